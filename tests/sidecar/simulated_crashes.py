"""Simulates requests that end each backend server that runs them, on a virtual clock.

Such a request comes again and again, with the same path and body and a new identifier, at any VM.
The sidecars run their real code; what is added to `simulated_calls` is servers that end and come
back, links between data centres that can be cut, VMs that lose power, and a store that can be away.
"""

from __future__ import annotations

import base64
import itertools
from collections import Counter, defaultdict
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import attrs
import eventlet

from fakes.store import FakeStore, handle_request
from magnoliasill.codes import ErrorCode
from magnoliasill.errors import CallError, StoreError
from magnoliasill.mesh.hop_headers import REPORT_HEADER, decode_call, encode_header_value
from magnoliasill.mesh.records import CRASH_PREFIX
from magnoliasill.mesh.routes import Destination, Route
from magnoliasill.mesh.store_items import Item, Page
from magnoliasill.platform.store import StoreClient, StoreRequest, StoreResponse
from magnoliasill.sidecar import crash_guard, forwarding, gate_port, member_requests, store_sync
from magnoliasill.sidecar.bodies import LongBody
from magnoliasill.sidecar.control_port import record_heartbeat
from magnoliasill.sidecar.crash_notices import NOTICE_PATH
from magnoliasill.sidecar.crash_reports import ALL_PATH, describe_all, receive_notice
from magnoliasill.sidecar.crash_store import keep_findings_stored
from magnoliasill.sidecar.forwarding import Request, forward_request
from magnoliasill.sidecar.gate_port import handle_gate_request
from magnoliasill.sidecar.http_exchange import (
    BrokenError,
    Message,
    NotSentError,
    Reply,
    TimedOutError,
)
from magnoliasill.sidecar.state import find_parent_retry

from . import simulated_calls
from .simulated_calls import (
    HOP_DELAY_S,
    Arrival,
    CallFleet,
    SimulatedServer,
    SimulatedVm,
    build_heartbeat,
    open_call_fleet,
    replace_server,
)

if TYPE_CHECKING:
    from collections.abc import Callable

STORE_DELAY_S = 0.005
WATCH_DELAY_S = (0.03, 0.75)  # until a sidecar hears of a change, with the batches of its relay
CONNECT_TIMEOUT_S = 0.25  # of a hop to a VM that does not answer
KEEPALIVE_S = 3.0  # until a silent connection is found
SERVER_DOWN_S = (1.0, 3.0)
CRASH_SHARE = (0.2, 0.9)  # of a request's work that is done when it ends its server
LONG_BODY_BYTES = 700_000
LONG_PREFIX_BYTES = 262_144
CLIENT_PAUSE_S = 0.4  # mean time until such a request comes again


@attrs.define(eq=False)
class Run:
    """A request that runs at a backend server.

    Attributes:
        identifier: The identifier of the attempt.
        ended: Event that gets the status of the response, or None if the server ended.
        work: The green thread that does the work.
    """

    identifier: str
    ended: Any = attrs.field(factory=eventlet.Event)
    work: Any = None


@attrs.define
class CrashPlay:
    """A fleet with requests that end servers, and what happened.

    Attributes:
        fleet: The simulated fleet.
        random: Decides everything that is left to chance.
        fake_store: The data of the store.
        names: The name of each request that ends servers, by identifier of the attempt.
        runs: The requests that run at each server.
        down: The servers that have ended.
        ends: For each request that ends servers, when it ended one.
        sent: For each of them, when it reached a server.
        outcomes: How innocent requests ended, and how often.
        refused: Innocent requests that were refused because of servers that ended.
        nested: The name of the request ending servers that a request makes, by its identifier.
        loops: The green threads of each VM's background loops.
        dark: The VMs without power, whose connections stay silent.
        cut: Whether the data centres are cut off from each other.
        store_away: Whether the store answers nobody.
        on_end: Called with the VM's name when its server ends, before anyone hears of it.
        same_instance: Whether a server that comes back has the identifier that it had.
    """

    fleet: CallFleet
    random: Random
    fake_store: FakeStore = attrs.field(factory=FakeStore)
    names: dict[str, str] = attrs.field(factory=dict)
    runs: defaultdict[int, set[Run]] = attrs.field(factory=lambda: defaultdict(set))
    down: set[int] = attrs.field(factory=set)
    ends: defaultdict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    sent: defaultdict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    outcomes: Counter[str] = attrs.field(factory=Counter)
    refused: list[str] = attrs.field(factory=list)
    nested: dict[str, str] = attrs.field(factory=dict)
    loops: dict[str, list[Any]] = attrs.field(factory=dict)
    dark: set[str] = attrs.field(factory=set)
    cut: bool = False
    store_away: bool = False
    on_end: Callable[[str], None] = lambda name: None
    same_instance: bool = False

    @property
    def now(self) -> float:
        """Seconds on the virtual clock."""
        return self.fleet.now


def open_crash_play(seed: int, services: list[str], data_centres: int = 4) -> CrashPlay:
    """Start a fleet in which requests can end servers.

    Args:
        seed: Seed of all random choices.
        services: The service of each VM's backend server.
        data_centres: The number of data centres over which the VMs are spread in turn.
    """
    start_sidecar = simulated_calls._start_sidecar
    fleets: list[CrashPlay] = []

    def start_with_store(fleet: CallFleet, vm: SimulatedVm) -> None:
        if not fleets:
            fleets.append(CrashPlay(fleet, Random(seed)))
        _connect_store(fleets[0], vm)
        start_sidecar(fleet, vm)
        start_crash_loops(fleets[0], vm)

    simulated_calls._start_sidecar = start_with_store
    try:
        open_call_fleet(seed, services, data_centres)
    finally:
        simulated_calls._start_sidecar = start_sidecar
    play = fleets[0]
    forwarding.exchange = partial(_exchange_with_gate, play)
    gate_port.exchange = partial(_exchange_with_server, play)
    gate_port.has_server_ended = crash_guard.has_server_ended = partial(_has_ended, play)
    member_requests.exchange = partial(_exchange_with_member, play)
    return play


def start_crash_loops(play: CrashPlay, vm: SimulatedVm) -> None:
    """Start the background loop of a sidecar that a play needs, with what the store has."""
    for key, item in play.fake_store.items.items():
        if key.startswith(CRASH_PREFIX):
            _deliver_findings(vm, key, item)
    loop = eventlet.spawn(keep_findings_stored, vm.sidecar)
    play.loops[vm.sidecar.settings.name] = [loop]


def _deliver_findings(vm: SimulatedVm, key: str, item: Any) -> None:
    page = Page((Item(key, item["revision"], base64.b64decode(item["value"])),), 0)
    store_sync.apply_page(vm.sidecar, page)


def restart_vm(play: CrashPlay, name: str, down_s: float, dark: bool = False) -> None:
    """Kill a VM's sidecar, or cut the VM's power, and start it again after a while.

    Args:
        play: The play.
        name: The VM's name.
        down_s: For how long no sidecar runs, in seconds.
        dark: Whether the VM is without power, so that its backend server ends too.
    """
    vm = play.fleet.vms[name]
    if vm.down:
        return
    vm.down = True
    for loop in (vm.loop, *play.loops.pop(name, ())):
        loop.kill()
    if dark:
        play.dark.add(name)
        _end_server(play, name)
    eventlet.spawn_after(down_s, _start_again, play, name)


def _start_again(play: CrashPlay, name: str) -> None:
    vm = play.fleet.vms[name]
    play.dark.discard(name)
    vm.sidecar = simulated_calls._build_sidecar(
        play.fleet, name, vm.sidecar.settings.data_centre, vm.server
    )
    vm.starts += 1
    vm.down = False
    _connect_store(play, vm)
    simulated_calls._start_sidecar(play.fleet, vm, id(vm.server) not in play.down)
    start_crash_loops(play, vm)


def start_crashing_callers(
    play: CrashPlay,
    name: str,
    service: str,
    start: float,
    until: float,
    through: str | None = None,
    others: tuple[str, ...] = (),
    **options: Any,
) -> None:
    """Send a request that ends servers, again and again at any VM, in the background.

    Args:
        play: The play.
        name: Distinguishes such requests; it is part of the path.
        service: The service that it is for.
        start: When it is sent first, on the virtual clock.
        until: When it is no longer sent.
        others: Services that its route leads to as well, by turns at random.
        through: The service whose requests make it as a nested request, or None.
        **options: Passed to `send_request`.
    """

    def run() -> None:
        eventlet.sleep(max(start - play.now, 0.0))
        while play.now < until:
            origin = _choose_origin(play)
            for _ in range(2):  # a client repeats it once at the same VM
                kind = {"crashes": True} if through is None else {"nested": name}
                path = name if through is None else f"parent-of-{name}"
                target = through or play.random.choice((service, *others))
                call = eventlet.spawn(
                    _try_request, play, origin, target, name=path, **kind, **options
                )
                if not _wait_at_vm(play, play.fleet.vms[origin], call):
                    break
            eventlet.sleep(play.random.expovariate(1 / CLIENT_PAUSE_S))

    eventlet.spawn(run)


def _wait_at_vm(play: CrashPlay, vm: SimulatedVm, call: Any) -> bool:
    """Wait for a call from a VM; return whether it ended while the VM's sidecar went on."""
    starts = vm.starts
    while not call.dead:
        if vm.starts != starts or vm.down:
            call.kill()
            return False
        eventlet.sleep(HOP_DELAY_S)
    return True


def start_innocent_callers(
    play: CrashPlay, service: str, per_s: float, until: float, popular: bool = False, **options: Any
) -> None:
    """Send requests that end no server from callers on all VMs, in the background.

    Args:
        play: The play.
        service: The service that they are for.
        per_s: The mean number of requests a second, over all VMs.
        until: When to stop, on the virtual clock.
        popular: Whether they are all equal.
        **options: Passed to `send_request`.
    """
    numbers = itertools.count()

    def call() -> None:
        path = f"{service}/popular" if popular else f"{service}/page-{next(numbers)}"
        origin = _choose_origin(play)
        for _ in range(2):
            if play.fleet.vms[origin].down:
                return
            request = eventlet.spawn(_try_request, play, origin, service, name=path, **options)
            if not _wait_at_vm(play, play.fleet.vms[origin], request) or request.wait():
                return
            eventlet.sleep(0.05)

    def run() -> None:
        while play.now < until:
            eventlet.sleep(play.random.expovariate(per_s))
            eventlet.spawn(call)

    eventlet.spawn(run)


def send_request(
    play: CrashPlay,
    origin: str,
    service: str,
    name: str,
    crashes: bool = False,
    nested: str = "",
    parent: str = "",
    idempotent: bool = True,
    body_bytes: int = 0,
    deadline_s: float = 2.0,
    target_s: float = 0.5,
) -> Reply:
    """Send one request through a VM's sidecar, as its callers' port does.

    Args:
        play: The play.
        origin: The name of the VM.
        service: The service that is needed.
        name: Part of the path; equal requests have equal names.
        crashes: Whether it ends each server that runs it.
        nested: The name of a request ending servers that its server makes, or an empty string.
        parent: The identifier of the request that it belongs to, or an empty string.
        idempotent: Whether it may run more than once.
        body_bytes: The length of its body.
        deadline_s: The seconds until its caller stops waiting.
        target_s: The latency target in seconds.

    Raises:
        CallError: If it was refused or has no response.
    """
    fleet, now = play.fleet, play.now
    sidecar = fleet.vms[origin].sidecar
    identifier = f"{parent}.{len(fleet.sent)}" if parent else f"{origin}/{len(fleet.sent)}"
    fleet.sent[identifier] = (now, origin)
    if crashes:
        play.names[identifier] = name
    elif nested:
        play.nested[identifier] = nested
    retry = find_parent_retry(sidecar, identifier)
    route = Route(
        f"r-{service}", "/", (Destination(service),), idempotent, deadline_s, target_s, attempts=2
    )
    simulated_calls.count_request(sidecar.retry_budget, service, now)
    request = Request(
        identifier=identifier,
        route=route,
        service=service,
        version=1,
        nested=retry is not None,
        parent_is_retry=bool(retry),
        arrived_at=now,
        target_at=now + target_s,
        answer_deadline=now + deadline_s,
        caller_deadline=now + deadline_s,
    )
    headers = [("Host", "site.example"), ("Attempt-Id", identifier)]
    message = Message("POST", f"/{name}", headers, _build_body(name, body_bytes))
    try:
        return forward_request(sidecar, request, message)
    except CallError as error:
        if error.code is not ErrorCode.OUTCOME_UNKNOWN:
            fleet.refused.add(identifier)
        raise


def count_late_runs(play: CrashPlay, after_s: float) -> int:
    """Return the most runs of one request that began some time after its third end."""
    late = [0]
    for name, ends in play.ends.items():
        if len(ends) >= 3:
            late.append(sum(at > ends[2] + after_s for at in play.sent[name]))
    return max(late)


def count_ended(play: CrashPlay) -> int:
    """Return the most servers that were ended by one request."""
    return max((len(ends) for ends in play.ends.values()), default=0)


def find_untrue_refusals(play: CrashPlay) -> list[str]:
    """Return the requests that ran although they were reported as not run."""
    return [name for name in play.fleet.refused if play.fleet.runs[name]]


def _build_body(name: str, size: int) -> bytes | LongBody | None:
    if not size:
        return None
    beginning = (name.encode() * (size // len(name) + 1))[: min(size, LONG_PREFIX_BYTES)]
    return beginning if len(beginning) == size else LongBody(beginning, None, size, size)


def _choose_origin(play: CrashPlay) -> str:
    return play.random.choice([name for name, vm in play.fleet.vms.items() if not vm.down])


def _try_request(play: CrashPlay, origin: str, service: str, **options: Any) -> Reply | None:
    """Send a request; return its response, or None if it has none, and count how it ended."""
    innocent = not options.get("crashes") and not options.get("nested")
    try:
        reply = send_request(play, origin, service, **options)
    except CallError as error:
        if innocent:
            play.outcomes["failed" if error.code is ErrorCode.OUTCOME_UNKNOWN else "refused"] += 1
            if any(word in error.message for word in ("ended", crash_guard.ALONE_REASON)):
                play.refused.append(f"{options['name']} at {play.now:.3f}: {error.message}")
        return None
    except Exception as error:  # reported by the test, since a green thread's error is only printed
        play.fleet.failures.append(repr(error))
        return None
    if innocent:
        play.outcomes["answered" if reply.status == 200 else "failed"] += 1
    return reply if reply.status == 200 else None


def _connect_store(play: CrashPlay, vm: SimulatedVm) -> None:
    vm.sidecar.store = StoreClient(partial(_call_store, play, vm, vm.starts))


def _call_store(
    play: CrashPlay, vm: SimulatedVm, starts: int, request: StoreRequest
) -> StoreResponse:
    eventlet.sleep(STORE_DELAY_S)
    if play.store_away or vm.down or vm.starts != starts:
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, "the store did not answer")
    parts = urlsplit(request.path)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    status, body = handle_request(
        play.fake_store, play.now, request.method, parts.path, query, request.body
    )
    for put in (request.body or {}).get("puts", ()) if status == 200 else ():
        item = play.fake_store.items[put["key"]]
        for other in play.fleet.vms.values():
            delay_s = play.random.uniform(*WATCH_DELAY_S)
            eventlet.spawn_after(delay_s, _deliver_if_up, play, other, put["key"], item)
    return StoreResponse(status, body)


def _deliver_if_up(play: CrashPlay, vm: SimulatedVm, key: str, item: Any) -> None:
    if not vm.down and not play.store_away:
        _deliver_findings(vm, key, item)


def _find_sender(play: CrashPlay, pool: Any) -> SimulatedVm:
    """Return the VM whose sidecar has a pool of connections.

    Raises:
        NotSentError: If that process is down.
    """
    for vm in play.fleet.vms.values():
        if vm.sidecar.peer_connections is pool and not vm.down:
            return vm
    raise NotSentError(ErrorCode.NOT_RUN, "the sending process is down")


def _is_cut(play: CrashPlay, one: SimulatedVm, other: SimulatedVm) -> bool:
    centres = {one.sidecar.settings.data_centre, other.sidecar.settings.data_centre}
    return play.cut and len(centres) > 1


def _open_hop(play: CrashPlay, pool: Any, address: str) -> SimulatedVm:
    """Return the VM at an address once a request has reached it.

    Raises:
        NotSentError: If it can't be reached.
    """
    vm = play.fleet.vms[address.partition(":")[0]]
    eventlet.sleep(HOP_DELAY_S)
    if _is_cut(play, _find_sender(play, pool), vm):
        eventlet.sleep(CONNECT_TIMEOUT_S)
        raise NotSentError(ErrorCode.NOT_RUN, "connection timed out")
    if vm.sidecar.settings.name in play.dark:
        eventlet.sleep(CONNECT_TIMEOUT_S)
        raise NotSentError(ErrorCode.NOT_RUN, "connection timed out")
    if vm.down:
        raise NotSentError(ErrorCode.NOT_RUN, "connection refused")
    return vm


def _exchange_with_gate(
    play: CrashPlay, pool: Any, address: str, message: Message, deadline: float, *_: Any, **__: Any
) -> Reply:
    """Deliver a request to another VM's gate, as `exchange` does."""
    origin = _find_sender(play, pool)
    vm = _open_hop(play, pool, address)
    starts = vm.starts
    headers = dict(message.headers)
    call = decode_call(headers.pop(simulated_calls.CALL_HEADER))
    passed_on = attrs.evolve(message, headers=list(headers.items()))
    answer = eventlet.spawn(handle_gate_request, vm.sidecar, call, passed_on)
    gate_result = _wait_for_gate(play, vm, starts, answer)
    if gate_result is not None:
        eventlet.sleep(HOP_DELAY_S)
    if gate_result is None or vm.starts != starts or vm.down:
        _raise_broken(play, vm, deadline)
    if _is_cut(play, origin, vm):
        eventlet.sleep(max(deadline - play.now, 0.0))
        raise TimedOutError(ErrorCode.OUTCOME_UNKNOWN, "no response before the deadline")
    report = (REPORT_HEADER, encode_header_value(gate_result.report))
    reply = gate_result.reply or Reply(503, "Not Run", [], b"")
    return attrs.evolve(reply, headers=[*reply.headers, report])


def _raise_broken(play: CrashPlay, vm: SimulatedVm, deadline: float) -> None:
    """Raise the error of a hop whose other end is gone, at once or after a silence."""
    if vm.sidecar.settings.name not in play.dark:
        raise BrokenError(ErrorCode.OUTCOME_UNKNOWN, "connection reset")
    silent_until = min(deadline, play.now + KEEPALIVE_S)
    eventlet.sleep(max(silent_until - play.now, 0.0))
    if silent_until == deadline:
        raise TimedOutError(ErrorCode.OUTCOME_UNKNOWN, "no response before the deadline")
    raise BrokenError(ErrorCode.OUTCOME_UNKNOWN, "the other end is silent")


def _wait_for_gate(play: CrashPlay, vm: SimulatedVm, starts: int, answer: Any) -> Any:
    """Return the gate's result, or None if the gate's process ended before."""
    while not answer.dead:
        if vm.starts != starts or vm.down:
            answer.kill()
            return None
        eventlet.sleep(HOP_DELAY_S / 3)
    return answer.wait()


def _exchange_with_member(
    play: CrashPlay, pool: Any, address: str, message: Message, deadline: float, *_: Any, **__: Any
) -> Reply:
    """Deliver a request between sidecars, as `exchange` does."""
    vm = _open_hop(play, pool, address)
    body = answer_member(vm, message)
    eventlet.sleep(HOP_DELAY_S)
    return Reply(200, "OK", [], body)


def answer_member(vm: SimulatedVm, message: Message) -> bytes:
    """Return a sidecar's response to another sidecar's request."""
    if message.target == ALL_PATH:
        return describe_all(vm.sidecar)
    assert message.target == NOTICE_PATH
    return receive_notice(vm.sidecar, message.body)


def _has_ended(play: CrashPlay, sidecar: Any) -> bool:
    return id(play.fleet.vms[sidecar.settings.name].server) in play.down


def _exchange_with_server(
    play: CrashPlay,
    pool: Any,
    address: str,
    message: Message,
    deadline: float,
    retryable: bool,
    matches_request: Callable[[int, list[tuple[str, str]]], bool],
    **_: Any,
) -> Reply:
    """Run a request on a VM's backend server, as `exchange` does."""
    name = address.partition(":")[0]
    server = play.fleet.vms[name].server
    if id(server) in play.down:
        raise NotSentError(ErrorCode.NOT_RUN, "connection refused")
    headers = dict(message.headers)
    identifier = headers["Attempt-Id"]
    if headers["Target-Instance"] != server.instance:
        return simulated_calls._reply(server, 421, identifier, matches_request)
    sent_at, origin = play.fleet.sent[identifier]
    server.arrivals.append(Arrival(play.now, sent_at, origin, identifier))
    crashing = play.names.get(identifier)
    if crashing is not None:
        play.sent[crashing].append(play.now)
    if len(play.runs[id(server)]) >= server.slots + simulated_calls.SERVER_QUEUE:
        not_run = ("Not-Executed", "1")
        return simulated_calls._reply(server, 503, identifier, matches_request, not_run)
    play.fleet.runs[identifier] += 1
    run = Run(identifier)
    play.runs[id(server)].add(run)
    run.work = eventlet.spawn(_work, play, name, server, run)
    status = run.ended.wait()
    if status is None:
        raise BrokenError(ErrorCode.OUTCOME_UNKNOWN, "connection reset by the server")
    return simulated_calls._reply(server, status, identifier, matches_request)


def _work(play: CrashPlay, name: str, server: SimulatedServer, run: Run) -> None:
    seconds = server.work_s * play.random.uniform(0.7, 1.4)
    crashing = play.names.get(run.identifier)
    if crashing is not None:
        eventlet.sleep(seconds * play.random.uniform(*CRASH_SHARE))
        eventlet.spawn(_end_server, play, name)
        return
    eventlet.sleep(seconds)
    status = 200
    if server.calls:
        status = _call_from_server(play, name, server, run)
    play.runs[id(server)].discard(run)
    run.ended.send(status)


def _call_from_server(play: CrashPlay, name: str, server: SimulatedServer, run: Run) -> int:
    """Return the status of a request whose server calls another service for it."""
    crashing = play.nested.get(run.identifier)
    options = {"name": crashing or f"part-of-{run.identifier}", "crashes": crashing is not None}
    try:
        reply = send_request(
            play, name, server.calls, parent=run.identifier, deadline_s=0.8, **options
        )
    except CallError:
        return 500
    return reply.status


def _end_server(play: CrashPlay, name: str) -> None:
    """End a VM's backend server with all that runs on it, and start another after a while."""
    vm = play.fleet.vms[name]
    server = vm.server
    if id(server) in play.down:
        return
    play.down.add(id(server))
    runs, play.runs[id(server)] = play.runs[id(server)], set()
    for crashing in {play.names[run.identifier] for run in runs if run.identifier in play.names}:
        play.ends[crashing].append(play.now)
    if runs and not vm.down:
        play.on_end(name)
    for run in runs:
        if run.work is not eventlet.getcurrent():
            run.work.kill()
        if not vm.down:  # its sidecar may have ended at the same moment
            run.ended.send(None)
    eventlet.spawn_after(play.random.uniform(*SERVER_DOWN_S), _start_server, play, name, server)


def _start_server(play: CrashPlay, name: str, before: SimulatedServer) -> None:
    born = before.born + 1
    instance = before.instance if play.same_instance else f"{before.instance.split('+')[0]}+{born}"
    server = SimulatedServer(before.service, instance, born, before.slots, before.work_s)
    server.calls = before.calls
    vm = play.fleet.vms[name]
    while vm.down:
        eventlet.sleep(0.1)
    replace_server(play.fleet, name, server)


def renew_heartbeat(play: CrashPlay, name: str) -> None:
    """Deliver one more heartbeat of a VM's server."""
    vm = play.fleet.vms[name]
    if id(vm.server) not in play.down:
        record_heartbeat(vm.sidecar, build_heartbeat(vm))


# Cases: each prepares a play of `END_S` seconds.

START_S = 4.0
UNTIL_S = 22.0
END_S = 25.0
SERVICES = ("certs", "shop", "stock", "media")
INNOCENT_PER_SERVER_S = 12.0
POPULAR_PER_S = 8.0
MANY = 50
CALLERS = 6  # of one request, as on the day deadly


def play_case(case: str, vms: int, seed: int) -> CrashPlay:
    """Play one of `CASES` to its end.

    Args:
        case: The name of the case.
        vms: The number of VMs.
        seed: Seed of all random choices.
    """
    services = [SERVICES[number // 4 % len(SERVICES)] for number in range(vms)]
    play = open_crash_play(seed, services)
    servers = services.count("certs")
    start_innocent_callers(play, "certs", INNOCENT_PER_SERVER_S * servers, UNTIL_S)
    start_innocent_callers(play, "certs", POPULAR_PER_S, UNTIL_S, popular=True)
    CASES[case](play)
    eventlet.sleep(END_S - play.now)
    return play


def _play_one(play: CrashPlay, **options: Any) -> None:
    start_crashing_callers(play, "bad", "certs", START_S, UNTIL_S, **options)


def _play_two_callers(play: CrashPlay) -> None:
    _play_one(play)
    start_crashing_callers(play, "bad", "certs", START_S + play.random.random(), UNTIL_S)


def _play_many_callers(play: CrashPlay) -> None:
    for _ in range(CALLERS):
        start = START_S + play.random.random()
        start_crashing_callers(play, "bad", "certs", start, UNTIL_S)


def _play_cut(play: CrashPlay) -> None:
    _play_one(play)
    eventlet.spawn_after(START_S - 0.5 - play.now, setattr, play, "cut", True)


def _play_gate_restarts(play: CrashPlay) -> None:
    play.on_end = lambda name: eventlet.spawn_after(0.005, restart_vm, play, name, 0.5)
    _play_one(play)


def _play_gate_killed(play: CrashPlay) -> None:
    play.on_end = lambda name: restart_vm(play, name, 0.5)
    _play_one(play)


def _play_power_loss(play: CrashPlay) -> None:
    play.on_end = lambda name: restart_vm(play, name, 2.0, dark=True)
    _play_one(play)


def _play_store_away(play: CrashPlay) -> None:
    play.same_instance = True  # records of new incarnations can't be written meanwhile
    eventlet.spawn_after(START_S - 0.5 - play.now, setattr, play, "store_away", True)
    _play_one(play)


def _play_many(play: CrashPlay) -> None:
    for number in range(MANY):
        start = START_S + play.random.random()
        start_crashing_callers(
            play, f"bad-{number}", "certs", start, UNTIL_S, body_bytes=LONG_BODY_BYTES
        )


def _play_nested(play: CrashPlay) -> None:
    for server in play.fleet.servers:
        if server.service == "shop":
            server.calls = "certs"
    _play_one(play, through="shop")
    start_innocent_callers(play, "shop", POPULAR_PER_S, UNTIL_S)


def _play_same_address(play: CrashPlay) -> None:
    play.same_instance = True
    _play_one(play)


def _play_unrepeatable(play: CrashPlay) -> None:
    _play_one(play, idempotent=False)


def _play_split_route(play: CrashPlay) -> None:
    _play_one(play, others=("media",))


def _play_herd(play: CrashPlay) -> None:
    names = play.random.sample(sorted(play.fleet.vms), round(0.6 * len(play.fleet.vms)))
    for name in names:
        at = 8.0 + play.random.random() * 0.02
        eventlet.spawn_after(at - play.now, restart_vm, play, name, 2.0, dark=True)


def _play_release(play: CrashPlay) -> None:
    names = [name for name, vm in play.fleet.vms.items() if vm.server.service == "certs"]
    for number, name in enumerate(names):
        eventlet.spawn_after(8.0 + number * 0.3 - play.now, _end_server, play, name)


CASES: dict[str, Callable[[CrashPlay], None]] = {
    "one_request": _play_one,
    "two_callers": _play_two_callers,
    "many_callers": _play_many_callers,
    "data_centres_cut": _play_cut,
    "gate_restarts": _play_gate_restarts,
    "gate_killed": _play_gate_killed,
    "power_loss": _play_power_loss,
    "store_away": _play_store_away,
    "fifty_long_requests": _play_many,
    "nested": _play_nested,
    "same_address": _play_same_address,
    "not_idempotent": _play_unrepeatable,
    "split_route": _play_split_route,
    "herd_without_power": _play_herd,
    "release_replaces_servers": _play_release,
}
