"""Simulates callers, sidecars and backend servers on a virtual clock, with limits and restarts.

The sidecars run their real forwarding, gate and record handling. Only what leaves the process is
replaced: the hop between VMs, the backend server, and the store's delivery of member records.
"""

from __future__ import annotations

import re
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import eventlet.hubs

from magnoliasill.codes import ErrorCode
from magnoliasill.errors import CallError
from magnoliasill.mesh.backend import Heartbeat
from magnoliasill.mesh.gate import dispatch_waiting
from magnoliasill.mesh.hop_headers import (
    CALL_HEADER,
    REPORT_HEADER,
    decode_call,
    encode_header_value,
)
from magnoliasill.mesh.records import MEMBER_PREFIX, encode_record
from magnoliasill.mesh.retries import count_request
from magnoliasill.mesh.routes import Destination, Route
from magnoliasill.mesh.settings import Bounds, SidecarSettings
from magnoliasill.mesh.store_items import Item, Page
from magnoliasill.sidecar import forwarding, gate_port, store_sync
from magnoliasill.sidecar.bodies import measure_body
from magnoliasill.sidecar.body_turns import receive_in_turn
from magnoliasill.sidecar.control_port import record_heartbeat
from magnoliasill.sidecar.forwarding import Request, forward_request
from magnoliasill.sidecar.gate_port import handle_gate_request
from magnoliasill.sidecar.http_exchange import BrokenError, Message, NotSentError, Reply
from magnoliasill.sidecar.metrics import Meters
from magnoliasill.sidecar.state import Sidecar, build_own_record, find_parent_retry

from .simulated_fleet import VirtualHub

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliasill.mesh.hop_headers import HopCall

HOP_DELAY_S = 0.0015
RECORD_DELAY_S = 0.1  # from a change of a member's record until another sidecar has it
MEAN_ACTION_GAP_S = 0.7
CHECK_INTERVAL_S = 0.05  # of the sidecars' periodic checks
SERVER_QUEUE = 3  # requests that a backend server queues beyond its slots
CONTACT_S = 3.0
DRAIN_S = 2.0
LIMIT_WINDOW_S = 4.0
NOTICE_DELAY_S = 0.5  # requests that begin on a VM count this long after it passed a limit on
MAX_OVERSHOOT = 1.5
EXTRA_REQUESTS = 5
HEAD_BYTES = 600  # of a request on its way to a gate


@attrs.frozen
class Arrival:
    """A request that reached a backend server.

    Attributes:
        at: When it arrived.
        sent_at: When its caller sent it.
        origin: The name of the VM where it began.
        identifier: The identifier of the attempt.
    """

    at: float
    sent_at: float
    origin: str
    identifier: str


@attrs.define(eq=False)
class SimulatedServer:
    """A backend server.

    Attributes:
        service: The name of its service.
        instance: The identifier of this incarnation.
        born: Its start time in milliseconds.
        slots: The number of requests that it runs concurrently.
        work_s: The seconds that a request takes.
        limit: The value of the header that names its rate limit, or None if it names none.
        leaving: Whether its responses say that it is leaving.
        calls: The service that each of its requests calls before it ends, or an empty string.
        running: The requests in progress or queued.
        arrivals: All requests that reached it.
        limits: The limits that it named, each with the time since which it did; 0 for none.
        told_at: When each VM first passed a limit on, by VM.
        told_leaving_at: When each VM first passed on that the server is leaving, by VM.
    """

    service: str
    instance: str
    born: int = 1
    slots: int = 9
    work_s: float = 0.09
    limit: str | None = None
    leaving: bool = False
    calls: str = ""
    running: int = 0
    arrivals: list[Arrival] = attrs.field(factory=list)
    limits: list[tuple[float, float]] = attrs.field(factory=list)
    told_at: dict[str, float] = attrs.field(factory=dict)
    told_leaving_at: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class SimulatedVm:
    """A VM with a sidecar and a backend server.

    Attributes:
        sidecar: The sidecar that runs on it.
        server: Its backend server.
        starts: How often its sidecar has started.
        down: Whether its sidecar is down.
        events: The log events of its sidecars.
        loop: The green thread of the sidecar's periodic checks.
        link_bytes_per_s: The rate at which its link receives, or 0 for any rate.
        link_free_at: When its link has delivered all that was sent to it so far.
        longest_delay_s: The longest time that a message has waited for the link.
    """

    sidecar: Sidecar
    server: SimulatedServer
    starts: int = 1
    down: bool = False
    events: list[dict[str, Any]] = attrs.field(factory=list)
    loop: Any = None
    link_bytes_per_s: float = 0.0
    link_free_at: float = 0.0
    longest_delay_s: float = 0.0


@attrs.define
class CallFleet:
    """The simulated VMs and what their callers saw.

    Attributes:
        hub: The hub with the virtual clock.
        random: Decides everything that is left to chance.
        vms: The VMs by name.
        servers: All backend servers that ever ran.
        records: The member records in the store by VM, with their revisions.
        revision: The store's revision.
        sent: When each request was sent and the VM where it began, by identifier.
        once: The requests that must run at most once, by identifier.
        runs: How often each request ran, by identifier.
        refused: The requests that were reported as not run, by identifier.
        outcomes: How requests ended: `answered`, `in_time`, `failed`, `refused`, `gave_up`.
        refused_waits: The seconds for which each refused attempt was held.
        promises: For each refusal, when the caller was told to come back, and its service.
        hops: Attempts at gates, and those of them that were refused, by reason.
        failures: Errors that ended a caller's request unexpectedly.
    """

    hub: VirtualHub
    random: Random
    vms: dict[str, SimulatedVm] = attrs.field(factory=dict)
    servers: list[SimulatedServer] = attrs.field(factory=list)
    records: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    revision: int = 0
    sent: dict[str, tuple[float, str]] = attrs.field(factory=dict)
    once: set[str] = attrs.field(factory=set)
    runs: Counter[str] = attrs.field(factory=Counter)
    refused: set[str] = attrs.field(factory=set)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    refused_waits: list[float] = attrs.field(factory=list)
    promises: list[tuple[float, str]] = attrs.field(factory=list)
    hops: Counter[str] = attrs.field(factory=Counter)
    failures: list[str] = attrs.field(factory=list)

    @property
    def now(self) -> float:
        """Seconds on the virtual clock."""
        return self.hub.now_s


def open_call_fleet(seed: int, services: list[str], data_centres: int = 2) -> CallFleet:
    """Start a VM with a sidecar and a backend server for each listed service.

    Args:
        seed: Seed of all random choices.
        services: The service of each VM's backend server.
        data_centres: The number of data centres over which the VMs are spread in turn.
    """
    eventlet.hubs.use_hub(VirtualHub)
    fleet = CallFleet(eventlet.hubs.get_hub(), Random(seed))
    forwarding.exchange = lambda *args, **options: _exchange_with_gate(fleet, *args, **options)
    gate_port.exchange = lambda *args, **options: _exchange_with_server(fleet, *args, **options)
    for number, service in enumerate(services):
        name = f"vm-{number:02}"
        server = SimulatedServer(service, f"i-{number}")
        vm = SimulatedVm(_build_sidecar(fleet, name, f"dc-{number % data_centres}", server), server)
        fleet.vms[name] = vm
        fleet.servers.append(server)
        _start_sidecar(fleet, vm)
    eventlet.sleep(2 * RECORD_DELAY_S)
    return fleet


def limit_link(fleet: CallFleet, name: str, mbps: float) -> None:
    """Give a VM a link of a limited rate, which its record names, too."""
    vm = fleet.vms[name]
    vm.link_bytes_per_s = mbps * 1e6 / 8
    vm.sidecar.settings = attrs.evolve(vm.sidecar.settings, link_mbps=mbps)
    vm.sidecar.wake_registration()
    eventlet.sleep(2 * RECORD_DELAY_S)


def name_limit(fleet: CallFleet, server: SimulatedServer, limit: str | None) -> None:
    """Have a backend server name a limit in its responses from now on, or none."""
    server.limit = limit
    value = float(limit) if re.fullmatch(r"[0-9.]+", limit or "") else 0.0
    server.limits.append((fleet.now, value))


def restart_vm(fleet: CallFleet, name: str, down_s: float) -> None:
    """Kill a VM's sidecar and start another after a while; its backend server goes on.

    Args:
        fleet: The fleet.
        name: The VM's name.
        down_s: For how long no sidecar runs, in seconds.
    """
    vm = fleet.vms[name]
    vm.down = True
    vm.loop.kill()
    for server in fleet.servers:
        server.told_at.pop(name, None)
        server.told_leaving_at.pop(name, None)
    eventlet.sleep(down_s)
    vm.sidecar = _build_sidecar(fleet, name, vm.sidecar.settings.data_centre, vm.server)
    vm.starts += 1
    vm.down = False
    _start_sidecar(fleet, vm)


def replace_server(fleet: CallFleet, name: str, server: SimulatedServer) -> SimulatedServer:
    """Let another backend server, or one that moved, take over the address of a VM's server."""
    vm = fleet.vms[name]
    vm.server = server
    if server not in fleet.servers:
        fleet.servers.append(server)
    record_heartbeat(vm.sidecar, build_heartbeat(vm))
    return server


def run_until(fleet: CallFleet, moment: float) -> None:
    """Let the fleet run until a moment on the virtual clock."""
    eventlet.sleep(max(moment - fleet.now, 0.0))


def start_callers(
    fleet: CallFleet, service: str, per_s: float, until: float, **options: Any
) -> None:
    """Send requests from callers on all VMs in turn at random intervals, in the background.

    Args:
        fleet: The fleet.
        service: The service that they need.
        per_s: The mean number of requests a second, over all VMs.
        until: When to stop, on the virtual clock.
        **options: Passed to `send_request`.
    """

    def run() -> None:
        while fleet.now < until:
            eventlet.sleep(fleet.random.expovariate(per_s))
            names = [name for name, vm in fleet.vms.items() if not vm.down]
            eventlet.spawn(_call, fleet, fleet.random.choice(names), service, options)

    eventlet.spawn(run)


def play_random_notices(fleet: CallFleet, until: float) -> None:
    """Let servers name limits and leave, and sidecars restart, at random times.

    Args:
        fleet: The fleet.
        until: When to stop, on the virtual clock.
    """
    generator = Random(fleet.random.random())
    while fleet.now < until:
        eventlet.sleep(generator.expovariate(1 / MEAN_ACTION_GAP_S))
        name = generator.choice([name for name, vm in fleet.vms.items() if not vm.down])
        server = fleet.vms[name].server
        action = generator.random()
        if action < 0.6:
            name_limit(fleet, server, f"{10 ** generator.uniform(-1, 2):.2f}")
        elif action < 0.75:
            name_limit(fleet, server, None)
        elif action < 0.9:
            eventlet.spawn(restart_vm, fleet, name, generator.uniform(0.1, 5.0))
        elif action < 0.95:
            server.leaving = True
        else:
            successor = SimulatedServer(server.service, f"{server.instance}+", server.born + 1)
            replace_server(fleet, name, successor)


def send_request(
    fleet: CallFleet,
    origin: str,
    service: str,
    parent: str = "",
    idempotent: bool = True,
    deadline_s: float = 1.2,
    target_s: float = 0.3,
    body: bytes | None = None,
) -> Reply:
    """Send one request through a VM's sidecar, as its callers' port does.

    Args:
        fleet: The fleet.
        origin: The name of the VM.
        service: The service that is needed.
        parent: The identifier of the request that it belongs to, or an empty string.
        idempotent: Whether it may run more than once.
        deadline_s: The seconds until its caller stops waiting.
        target_s: The latency target in seconds.
        body: Its body, or None.

    Raises:
        CallError: If it was refused or has no response.
    """
    vm, now = fleet.vms[origin], fleet.now
    sidecar = vm.sidecar
    identifier = f"{parent}.1" if parent else f"{origin}/{len(fleet.sent)}"
    fleet.sent[identifier] = (now, origin)
    if not idempotent:
        fleet.once.add(identifier)
    retry = find_parent_retry(sidecar, identifier)
    route = Route(
        f"r-{service}", "/", (Destination(service),), idempotent, deadline_s, target_s, attempts=2
    )
    count_request(sidecar.retry_budget, service, now)
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
    headers = [("Attempt-Id", identifier)]
    try:
        reply = forward_request(
            sidecar, request, Message("POST" if body else "GET", "/", headers, body)
        )
    except CallError as error:
        if error.code is not ErrorCode.OUTCOME_UNKNOWN:
            fleet.refused.add(identifier)
            fleet.refused_waits.append(fleet.now - now)
            fleet.promises.append((fleet.now + error.retry_after_s, service))
        raise
    if not vm.down:
        _record_notice(fleet, origin, reply)
    return reply


def find_limit_violations(fleet: CallFleet) -> list[str]:
    """Return where a backend server got more than its limit from VMs that had passed it on."""
    violations = []
    for server in fleet.servers:
        named = [at for at, limit in server.limits if limit]
        if not named:
            continue
        for end in server.arrivals:
            start = end.at - LIMIT_WINDOW_S
            limit = _find_highest_limit(server, start, end.at)
            if end.at < named[0] + CONTACT_S or limit is None:
                continue
            told = sum(
                start < arrival.at <= end.at
                and server.told_at.get(arrival.origin, 1e9) + NOTICE_DELAY_S <= arrival.at
                for arrival in server.arrivals
            )
            allowed = MAX_OVERSHOOT * limit * LIMIT_WINDOW_S + EXTRA_REQUESTS
            if told > allowed:
                violations.append(
                    f"{server.instance} at {end.at:.3f}: {told}, {allowed:.0f} allowed"
                )
    return violations


def find_drain_violations(fleet: CallFleet) -> list[str]:
    """Return the requests that reached a server from a VM that had long passed on its leaving."""
    return [
        f"{server.instance} at {arrival.at:.3f}: {arrival.identifier}"
        for server in fleet.servers
        for arrival in server.arrivals
        if arrival.sent_at > server.told_leaving_at.get(arrival.origin, 1e9) + DRAIN_S
    ]


def find_untrue_reports(fleet: CallFleet) -> list[str]:
    """Return the requests that ran although reported as not run, or ran twice against the rules."""
    ran_twice = [name for name in fleet.once if fleet.runs[name] > 1]
    not_run = [name for name in fleet.refused & fleet.once if fleet.runs[name]]
    return [*ran_twice, *not_run]


def build_heartbeat(vm: SimulatedVm, leaving: bool = False) -> Heartbeat:
    """Return the next heartbeat of a VM's backend server."""
    server, settings = vm.server, vm.sidecar.settings
    latest = vm.sidecar.backend.latest
    return Heartbeat(
        instance=server.instance,
        born=server.born,
        sequence=latest.sequence + 1 if latest else 1,
        address=settings.server,
        service=server.service,
        release="v1",
        data_centre=settings.data_centre,
        slots=server.slots,
        leaving=leaving,
        cold_s=0.0,
    )


def _find_highest_limit(server: SimulatedServer, start: float, end: float) -> float | None:
    """Return the highest limit named between two times, or None if none was named at some time."""
    before = [limit for at, limit in server.limits if at <= start]
    within = [limit for at, limit in server.limits if start < at <= end]
    limits = [before[-1] if before else 0.0, *within]
    return max(limits) if all(limits) else None


def _call(fleet: CallFleet, origin: str, service: str, options: dict[str, Any]) -> None:
    """Send a request and, if it is refused, once more after the advised delay."""
    started_at, deadline_s = fleet.now, options.get("deadline_s", 1.2)
    try:
        for last in (False, True):
            left_s = started_at + deadline_s - fleet.now
            try:
                reply = send_request(fleet, origin, service, **{**options, "deadline_s": left_s})
            except CallError as error:
                if error.code is ErrorCode.OUTCOME_UNKNOWN:
                    fleet.outcomes["failed"] += 1
                    return
                if last or error.retry_after_s > left_s / 3 or fleet.vms[origin].down:
                    fleet.outcomes["refused"] += 1
                    return
                eventlet.sleep(error.retry_after_s)
                continue
            fleet.outcomes["answered" if reply.status == 200 else "failed"] += 1
            fleet.outcomes[
                "in_time"
            ] += reply.status == 200 and fleet.now - started_at <= options.get("target_s", 0.3)
            return
    except Exception as error:  # reported by the test, since a green thread's error is only printed
        fleet.failures.append(repr(error))


def _build_sidecar(
    fleet: CallFleet, name: str, data_centre: str, server: SimulatedServer
) -> Sidecar:
    settings = SidecarSettings(
        name=name,
        data_centre=data_centre,
        callers=f"{name}:1",
        gate=f"{name}:2",
        readiness=f"{name}:3",
        control=f"{name}:4",
        server=f"{name}:5",
        service=server.service,
        store="store:1",
        bounds=Bounds(),
    )

    def write(event: Any, **fields: Any) -> None:
        fields = {"event": event.name.lower(), **fields}
        fleet.vms[name].events.append({"at": fleet.now, **fields})
        if event.name in ("ATTEMPT_ENDED", "ATTEMPT_FAILED"):
            fleet.hops[fields.get("reason", "answered") or "answered"] += 1

    return Sidecar(
        settings,
        None,
        Meters(),
        write,
        start_id=f"{fleet.now}",
        random=Random(fleet.random.random()),
        clock=lambda: fleet.now,
        wake_clock=lambda: fleet.now,
    )


def _start_sidecar(fleet: CallFleet, vm: SimulatedVm, server_runs: bool = True) -> None:
    sidecar = vm.sidecar
    sidecar.wake_registration = lambda: eventlet.spawn_after(0, _register, fleet, vm, sidecar)
    _deliver(sidecar, fleet.records, fleet.revision)
    if server_runs:
        record_heartbeat(sidecar, build_heartbeat(vm))

    def run_checks() -> None:
        while True:
            dispatch_waiting(sidecar.gate, fleet.now)
            eventlet.sleep(CHECK_INTERVAL_S)

    vm.loop = eventlet.spawn(run_checks)


def _register(fleet: CallFleet, vm: SimulatedVm, sidecar: Sidecar) -> None:
    """Write a sidecar's record and deliver it to all others."""
    if vm.down or vm.sidecar is not sidecar:
        return
    record = encode_record(build_own_record(sidecar))
    fleet.revision += 1
    changed = {sidecar.settings.name: (record, fleet.revision)}
    fleet.records.update(changed)
    revision = fleet.revision
    eventlet.sleep(RECORD_DELAY_S)
    for other in list(fleet.vms.values()):
        if not other.down:
            _deliver(other.sidecar, changed, revision)


def _deliver(sidecar: Sidecar, records: dict[str, tuple[bytes, int]], revision: int) -> None:
    items = [
        Item(MEMBER_PREFIX + name, item_revision, value)
        for name, (value, item_revision) in records.items()
    ]
    store_sync.apply_page(sidecar, Page(tuple(items), revision))


def carry_to(fleet: CallFleet, vm: SimulatedVm, size: int) -> None:
    """Wait until a VM's link has delivered a number of bytes, behind all that was sent before.

    What is on the way arrives also if its sender gives up.
    """
    if not vm.link_bytes_per_s:
        return
    waits_until = max(vm.link_free_at, fleet.now)
    vm.longest_delay_s = max(vm.longest_delay_s, waits_until - fleet.now)
    vm.link_free_at = waits_until + size / vm.link_bytes_per_s
    eventlet.sleep(vm.link_free_at - fleet.now)


def _ask_for_body(fleet: CallFleet, vm: SimulatedVm, size: int) -> bytes:
    eventlet.sleep(2 * HOP_DELAY_S)
    carry_to(fleet, vm, size)
    return b"u" * size


def _exchange_with_gate(
    fleet: CallFleet, pool: Any, address: str, message: Message, *args: Any, **options: Any
) -> Reply:
    """Deliver a request to another VM's gate, as `exchange` does."""
    vm = fleet.vms[address.partition(":")[0]]
    eventlet.sleep(HOP_DELAY_S)
    size = measure_body(message.body)
    carry_to(fleet, vm, HEAD_BYTES + (0 if message.expects_continue else size))
    if vm.down:
        raise NotSentError(ErrorCode.NOT_RUN, "connection refused")
    starts = vm.starts
    headers = dict(message.headers)
    call = decode_call(headers.pop(CALL_HEADER))

    def receive(current: HopCall) -> bytes | None:
        return receive_in_turn(vm.sidecar, current, size, lambda: _ask_for_body(fleet, vm, size))

    gate_result = handle_gate_request(
        vm.sidecar,
        call,
        attrs.evolve(message, headers=list(headers.items())),
        receive_body=receive if message.expects_continue else None,
    )
    eventlet.sleep(HOP_DELAY_S)
    if vm.starts != starts or vm.down:
        raise BrokenError(ErrorCode.OUTCOME_UNKNOWN, "connection reset")
    report = (REPORT_HEADER, encode_header_value(gate_result.report))
    reply = gate_result.reply or Reply(503, "Not Run", [], b"")
    return attrs.evolve(reply, headers=[*reply.headers, report])


def _exchange_with_server(
    fleet: CallFleet,
    pool: Any,
    address: str,
    message: Message,
    deadline: float,
    retryable: bool,
    matches_request: Callable[[int, list[tuple[str, str]]], bool],
    **options: Any,
) -> Reply:
    """Run a request on a VM's backend server, as `exchange` does."""
    vm = fleet.vms[address.partition(":")[0]]
    server = vm.server
    headers = dict(message.headers)
    identifier = headers["Attempt-Id"]
    if headers["Target-Instance"] != server.instance:
        return _reply(server, 421, identifier, matches_request)
    sent_at, origin = fleet.sent[identifier]
    server.arrivals.append(Arrival(fleet.now, sent_at, origin, identifier))
    if server.running >= server.slots + SERVER_QUEUE:
        return _reply(server, 503, identifier, matches_request, ("Not-Executed", "1"))
    server.running += 1
    fleet.runs[identifier] += 1
    try:
        eventlet.sleep(server.work_s * fleet.random.uniform(0.7, 1.4))
        status = 200 if not server.calls else _call_from_server(fleet, vm, server, identifier)
    finally:
        server.running -= 1
    return _reply(server, status, identifier, matches_request)


def _call_from_server(
    fleet: CallFleet, vm: SimulatedVm, server: SimulatedServer, identifier: str
) -> int:
    origin = next(name for name, other in fleet.vms.items() if other is vm)
    try:
        return send_request(fleet, origin, server.calls, identifier, deadline_s=0.6).status
    except CallError:
        return 500


def _reply(
    server: SimulatedServer,
    status: int,
    identifier: str,
    matches_request: Callable[[int, list[tuple[str, str]]], bool],
    *extra: tuple[str, str],
) -> Reply:
    headers = [("Attempt-Id", identifier), ("Response-Signature", "t"), *extra]
    if status in (421, 503):
        headers = [("Attempt-Id", identifier), *extra]
    if server.limit is not None:
        headers.append(("Server-Limit", server.limit))
    if server.leaving:
        headers.append(("Server-Leaving", "1"))
    headers.append(("X-Server", f"{server.instance}~{server.born}"))
    assert matches_request(status, headers)
    return Reply(status, "", headers, b"")


def _record_notice(fleet: CallFleet, origin: str, reply: Reply) -> None:
    headers = dict(reply.headers)
    for server in fleet.servers:
        if headers.get("X-Server") == f"{server.instance}~{server.born}":
            if "Server-Limit" in headers:
                server.told_at.setdefault(origin, fleet.now)
            if "Server-Leaving" in headers:
                server.told_leaving_at.setdefault(origin, fleet.now)
