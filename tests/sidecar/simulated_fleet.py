"""Simulates sidecars that follow the store, on a virtual clock and over links of limited rate.

The sidecars run their real loops. Only what leaves the process is replaced: requests to the store
are answered by the fake store, and polls of a relay by the relay's own handler.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import attrs
import eventlet
import eventlet.hubs
import msgspec
from eventlet.hubs.hub import BaseHub

from fakes.store import (
    UNANSWERED,
    FakeStore,
    drop_history,
    expire_leases,
    format_era,
    handle_read,
    handle_request,
    put_item,
)
from magnoliasill.errors import StoreError
from magnoliasill.mesh.backend import Heartbeat, apply_heartbeat
from magnoliasill.mesh.settings import Bounds, SidecarSettings
from magnoliasill.platform.store import StoreClient, StoreRequest, StoreResponse
from magnoliasill.sidecar.daemon import STORE_TIMEOUT_S
from magnoliasill.sidecar.item_application import remove_lapsed_members
from magnoliasill.sidecar.metrics import Meters
from magnoliasill.sidecar.registration import Registration, keep_registered
from magnoliasill.sidecar.release_counts import COUNTS_PATH, answer_counts_request
from magnoliasill.sidecar.release_watch import run_release_watch
from magnoliasill.sidecar.state import NEVER, Sidecar
from magnoliasill.sidecar.store_relay import handle_follower_poll
from magnoliasill.sidecar.store_sync import follow_store
from magnoliasill.sidecar.takeover_leader import run_takeover_leader

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from magnoliasill.mesh.members import Member

STORE_DELAY_S = 0.004
PEER_DELAY_S = 0.0005
WATCH_POLL_INTERVAL_S = 0.01
CHECK_INTERVAL_S = 0.05
ITEM_OVERHEAD_BYTES = 150
FAST_LINK_BYTES_PER_S = 1_800_000.0
SLOW_LINK_BYTES_PER_S = 90_000.0  # a configuration of this simulation takes about 0.3 s
PROCESS_START_S = (0.4, 1.2)  # until a started process can be reached
HEARTBEAT_S = 1.5
SLOW_ANSWER_S = 1.0  # of a VM that is slow
VERSIONS_IN_SERIES = 7
ROUTES = 110  # makes a configuration longer than what relays send in one piece


class _TimerEntry(tuple[float, Any]):
    """A timer and its time; entries of the same time are ordered by insertion."""

    insertion: int

    def __lt__(self, other: tuple[float, Any]) -> bool:
        """Return whether this timer fires before another."""
        assert isinstance(other, _TimerEntry)
        return (self[0], self.insertion) < (other[0], other.insertion)


class VirtualHub(BaseHub):
    """Event hub whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        """Create a hub whose clock starts at 0."""
        self.now_s = 0.0
        self._insertions = 0
        super().__init__(clock=lambda: self.now_s)

    def add_timer(self, timer: Any) -> float:
        """Schedule a timer; those of the same time fire in the order in which they were added."""
        entry = _TimerEntry((self.now_s + timer.seconds, timer))
        self._insertions += 1
        entry.insertion = self._insertions
        self.next_timers.append(entry)
        return entry[0]

    @staticmethod
    def is_available() -> bool:
        """Return that the hub works on every platform."""
        return True

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock."""
        self.now_s += max(seconds or 0.0, 0.0)


@attrs.define(eq=False)
class Vm:
    """A simulated VM.

    Attributes:
        settings: The settings of its sidecar.
        sidecar: The sidecar that runs on it.
        registration: What that sidecar knows of its record in the store.
        link_bytes_per_s: The rate of its link.
        release: The release of its backend server.
        link_free_at: When its link has delivered all that was sent so far.
        refused: Whether the store answers this VM with 503.
        silent: Whether the store does not answer this VM.
        down: Whether the VM is without power.
        starting: Whether its process is not yet reachable after a start.
        frozen: Whether its processes stand still.
        cut: Whether it reaches no other VM, though the store.
        answer_delay_s: How long its answers to other VMs take, on top of their usual time.
        lost_watches: How many of its next watches of the store get no response.
        lost_reads: How many of its next reads of the store's items get none.
        running_since: Since when its process has run without interruption.
        calm_since: Since when it has been neither frozen, cut nor slow.
        served_since: Since when the store has served this VM.
        late_s: The longest time for which it lacked an accepted configuration, while the store
            had served it for the fleet's `contact_s`.
        late_while_refused_s: The same for the time in which the store did not serve it.
        overconfirmed_s: The most by which its copy counted as confirmed after the acceptance of a
            configuration that it lacked.
        bytes_received: The bytes that its link has delivered.
        events: The log events of its sidecar.
        loops: The green threads of its loops.
    """

    settings: SidecarSettings
    link_bytes_per_s: float
    release: str
    sidecar: Sidecar | None = None
    registration: Registration = attrs.field(factory=Registration)
    link_free_at: float = 0.0
    refused: bool = False
    silent: bool = False
    down: bool = False
    starting: bool = False
    frozen: bool = False
    cut: bool = False
    answer_delay_s: float = 0.0
    lost_watches: int = 0
    lost_reads: int = 0
    running_since: float = 0.0
    calm_since: float = NEVER
    served_since: float = 0.0
    late_s: float = 0.0
    late_while_refused_s: float = 0.0
    overconfirmed_s: float = 0.0
    bytes_received: int = 0
    events: list[dict[str, Any]] = attrs.field(factory=list)
    loops: list[Any] = attrs.field(factory=list)


@attrs.define
class SimulatedFleet:
    """The simulated VMs and their store.

    Attributes:
        hub: The hub with the virtual clock.
        random: Decides everything that is left to chance.
        vms: The VMs by name.
        fake_store: The data of the store.
        contact_s: For how long a VM must have been served to count as undisturbed.
        accepted: When each version of the configuration was accepted.
        failures: Errors that ended a loop.
        cut_data_centre: The data centre that reaches no other, or an empty string.
        silences: How often the watches of the store have fallen silent.
        are_watches_silent: Whether no watch is answered.
    """

    hub: VirtualHub
    random: Random
    vms: dict[str, Vm] = attrs.field(factory=dict)
    fake_store: FakeStore = attrs.field(factory=FakeStore)
    contact_s: float = 3.0
    accepted: dict[int, float] = attrs.field(factory=dict)
    failures: list[str] = attrs.field(factory=list)
    cut_data_centre: str = ""
    silences: int = 0
    are_watches_silent: bool = False

    @property
    def now(self) -> float:
        """Seconds on the virtual clock."""
        return self.hub.now_s


def open_simulated_fleet(
    seed: int,
    data_centres: int,
    vms: int,
    fast: Collection[int],
    slow_link_bytes_per_s: float = SLOW_LINK_BYTES_PER_S,
) -> SimulatedFleet:
    """Start the sidecars of a simulated fleet with a first configuration.

    Args:
        seed: Seed of all random choices.
        data_centres: The number of data centres.
        vms: The number of VMs in each data centre.
        fast: The positions, by name, of those of these VMs that have a fast link.
        slow_link_bytes_per_s: The rate of the other VMs' links.
    """
    eventlet.hubs.use_hub(VirtualHub)
    fleet = SimulatedFleet(eventlet.hubs.get_hub(), Random(seed))
    publish(fleet)
    for data_centre in range(data_centres):
        for number in range(vms):
            rate = FAST_LINK_BYTES_PER_S if number in fast else slow_link_bytes_per_s
            start_vm(fleet, f"dc-{data_centre}", f"vm-{data_centre}-{number:02}", rate)
    eventlet.spawn(_check_versions, fleet)
    return fleet


def ask_simulated_member(fleet: SimulatedFleet) -> Callable[..., Any]:
    """Return a replacement for `request_from_member` that calls the relay's handler."""

    def ask(
        sidecar: Sidecar,
        member: Member,
        target: str,
        timeout_s: float,
        response_type: Any,
        **_: Any,
    ) -> Any:
        with eventlet.Timeout(timeout_s, False):
            eventlet.sleep(PEER_DELAY_S)
            asker, vm = fleet.vms[sidecar.settings.name], fleet.vms[member.name]
            process = vm.sidecar
            if not _await_reachable(fleet, asker, vm, process):
                return None
            body = _answer_member(process, target)
            # A process that ended or froze while it held the request does not send its answer.
            if not _await_reachable(fleet, asker, vm, process):
                return None
            eventlet.sleep(vm.answer_delay_s)
            _transfer(fleet, vm, len(body))
            _transfer(fleet, asker, len(body))
            return msgspec.json.decode(body, type=response_type)
        return None

    return ask


def _await_reachable(fleet: SimulatedFleet, asker: Vm, vm: Vm, process: Sidecar) -> bool:
    """Wait while a VM is silent; return whether the process that was asked runs then."""
    while vm.down or vm.frozen or is_cut(fleet, asker, vm):
        eventlet.sleep(WATCH_POLL_INTERVAL_S)
    return not vm.starting and vm.sidecar is process


def _answer_member(sidecar: Sidecar, target: str) -> bytes:
    if target.startswith(COUNTS_PATH):
        return msgspec.json.encode(answer_counts_request(sidecar, target))
    return handle_follower_poll(sidecar, target)


def is_cut(fleet: SimulatedFleet, one: Vm, other: Vm) -> bool:
    """Return whether two VMs can't reach each other."""
    if one.cut or other.cut:
        return True
    cut = [vm.settings.data_centre == fleet.cut_data_centre for vm in (one, other)]
    return cut[0] != cut[1]


def is_in_touch(fleet: SimulatedFleet, vm: Vm) -> bool:
    """Return whether a VM has run and been served by the store for long enough."""
    if vm.refused or vm.silent or vm.down or vm.starting or is_disturbed(vm):
        return False
    calm_since = max(vm.running_since, vm.served_since, vm.calm_since)
    return fleet.now - calm_since >= fleet.contact_s


def is_disturbed(vm: Vm) -> bool:
    """Return whether a VM is frozen, cut or slow."""
    return vm.frozen or vm.cut or vm.answer_delay_s > 0


def publish(fleet: SimulatedFleet) -> int:
    """Write a new configuration in which one route differs from the last; return its version."""
    version = len(fleet.accepted) + 1
    put_item(fleet.fake_store, "op/config", encode_configuration(version))
    fleet.accepted[version] = fleet.now
    return version


def publish_series(fleet: SimulatedFleet, gap_s: float, until: float) -> None:
    """Write a new configuration again and again, in the background.

    Args:
        fleet: The fleet.
        gap_s: The time between two versions, in seconds.
        until: When to stop, on the virtual clock.
    """

    def run() -> None:
        while fleet.now < until:
            publish(fleet)
            eventlet.sleep(gap_s)

    eventlet.spawn(run)


def interrupt_store(
    fleet: SimulatedFleet,
    names: list[str],
    start: float,
    duration_s: float,
    silent: bool,
    leases_pause: bool = False,
) -> None:
    """Turn VMs away from the store for a time, in the background.

    Args:
        fleet: The fleet.
        names: The names of the VMs.
        start: When that begins, on the virtual clock.
        duration_s: How long it lasts, in seconds.
        silent: Whether the store leaves them without an answer instead of refusing.
        leases_pause: Whether leases last longer by that time instead of ending.
    """

    def run() -> None:
        eventlet.sleep(max(start - fleet.now, 0.0))
        affected = [fleet.vms[name] for name in names]
        for vm in affected:
            vm.refused, vm.silent = not silent, silent
        eventlet.sleep(duration_s)
        if leases_pause:
            for lease in fleet.fake_store.leases.values():
                lease.expires_at += duration_s
        for vm in affected:
            vm.refused = vm.silent = False
            vm.served_since = fleet.now

    eventlet.spawn(run)


def play_partial_outage(
    fleet: SimulatedFleet, share: float, gap_range_s: tuple[float, float], silent: bool
) -> None:
    """Turn the first VM, a relay, and others away from the store while configurations change.

    Args:
        fleet: The fleet, at most 5 s after its start.
        share: The share of all VMs that are turned away.
        gap_range_s: Bounds of the time between two configurations, in seconds.
        silent: Whether the store leaves them without an answer instead of refusing.
    """
    names = sorted(fleet.vms)
    others = fleet.random.sample(names[1:], round(share * len(names)) - 1)
    duration_s = fleet.random.uniform(5.0, 10.0)
    interrupt_store(fleet, [names[0], *others], 6.0, duration_s, silent)
    publish_series(fleet, fleet.random.uniform(*gap_range_s), 22.0)
    run_until(fleet, 24.0)


def silence_watches(fleet: SimulatedFleet, duration_s: float) -> None:
    """Answer no watch of the store for a time, then close all of them and drop the history."""
    fleet.are_watches_silent = True
    fleet.silences += 1
    eventlet.sleep(duration_s)
    drop_history(fleet.fake_store)
    fleet.are_watches_silent = False


def stop_vm(fleet: SimulatedFleet, name: str) -> None:
    """Cut the power of a VM."""
    vm = fleet.vms[name]
    vm.down = True
    for loop in vm.loops:
        loop.kill()
    vm.loops.clear()


def restart_vm(fleet: SimulatedFleet, name: str, down_s: float) -> None:
    """Cut the power of a VM for a time, in the background; its sidecar starts again empty."""
    stop_vm(fleet, name)

    def run() -> None:
        eventlet.sleep(down_s)
        vm = fleet.vms[name]
        vm.down, vm.starting = False, True
        eventlet.sleep(fleet.random.uniform(*PROCESS_START_S))
        vm.starting = False
        vm.running_since = vm.served_since = fleet.now
        _start_sidecar(fleet, vm, fleet.random.uniform(0.0, HEARTBEAT_S))

    eventlet.spawn(run)


def freeze_vm(fleet: SimulatedFleet, name: str, duration_s: float) -> None:
    """Let a VM's processes stand still for a time, in the background."""
    vm = fleet.vms[name]
    vm.frozen = True
    for loop in vm.loops:
        loop.kill()
    vm.loops.clear()

    def run() -> None:
        eventlet.sleep(duration_s)
        vm.frozen, vm.calm_since = False, fleet.now
        _start_loops(fleet, vm)

    eventlet.spawn(run)


def cut_vm(fleet: SimulatedFleet, name: str, duration_s: float) -> None:
    """Cut a VM off from all others, but not from the store, for a time, in the background."""
    vm = fleet.vms[name]
    vm.cut = True

    def run() -> None:
        eventlet.sleep(duration_s)
        vm.cut, vm.calm_since = False, fleet.now

    eventlet.spawn(run)


def slow_vm(fleet: SimulatedFleet, name: str, duration_s: float) -> None:
    """Delay a VM's answers to other VMs for a time, in the background."""
    vm = fleet.vms[name]
    vm.answer_delay_s = SLOW_ANSWER_S

    def run() -> None:
        eventlet.sleep(duration_s)
        vm.answer_delay_s, vm.calm_since = 0.0, fleet.now

    eventlet.spawn(run)


RELAY_FAULTS = {"power": restart_vm, "freeze": freeze_vm, "cut": cut_vm, "slow": slow_vm}


def find_relays(fleet: SimulatedFleet, count: int) -> list[str]:
    """Return the names of the VMs that most others follow, most followed first."""
    followed = Counter(vm.sidecar.followed_relay for vm in fleet.vms.values() if not vm.down)
    ranked = sorted((-number, name) for name, number in followed.items() if name)
    return [name for _, name in ranked[:count] if not fleet.vms[name].down]


def play_relay_faults(
    fleet: SimulatedFleet,
    faults: Sequence[str],
    gap_s: float,
    series: int = 6,
    fault_s: float = 2.0,
) -> None:
    """Publish in series, in each of which the most followed VMs fail at moments of their own.

    Args:
        fleet: The fleet, at most 5 s after its start.
        faults: Keys of `RELAY_FAULTS`, one for each VM that fails in a series.
        gap_s: The time between two configurations, in seconds.
        series: The number of series.
        fault_s: How long a fault lasts, in seconds.
    """
    for _ in range(series):
        for fault, name in zip(faults, find_relays(fleet, len(faults)), strict=False):
            at = fleet.random.uniform(0.0, VERSIONS_IN_SERIES * gap_s)
            eventlet.spawn_after(at, RELAY_FAULTS[fault], fleet, name, fault_s)
        for _ in range(VERSIONS_IN_SERIES):
            publish(fleet)
            eventlet.sleep(gap_s)
        eventlet.sleep(fleet.random.uniform(3.0, 5.0))


def play_return_of_store(
    fleet: SimulatedFleet, share: float, silent: bool, leases_pause: bool
) -> None:
    """Let the store fail for seconds while VMs lose power, then publish in quick succession.

    Args:
        fleet: The fleet, at most 5 s after its start.
        share: The share of all VMs that lose power, each at a moment of its own.
        silent: Whether the store leaves all without an answer instead of refusing.
        leases_pause: Whether leases last longer by the time of the failure instead of ending.
    """
    names = sorted(fleet.vms)
    start, duration_s = 6.0, fleet.random.uniform(6.0, 9.0)
    interrupt_store(fleet, names, start, duration_s, silent, leases_pause)
    for name in fleet.random.sample(names, round(share * len(names))):
        at, down_s = fleet.random.uniform(0.0, duration_s), fleet.random.uniform(1.0, 2.5)
        eventlet.spawn_after(start + at - fleet.now, restart_vm, fleet, name, down_s)
    run_until(fleet, start + duration_s + fleet.random.uniform(0.0, 0.6))
    for gap_s in (0.26, 0.26, 0.26, 0.26, 0.5, 2.0, 4.0):
        publish(fleet)
        eventlet.sleep(gap_s)


def play_faults_after_return(
    fleet: SimulatedFleet, share: float, silent: bool, faults: Sequence[str], fault_s: float = 2.0
) -> set[str]:
    """Let the store fail while VMs lose power, and the relays after it, with versions in series.

    Args:
        fleet: The fleet, at most 5 s after its start.
        share: The share of all VMs that lose power in the last seconds of the failure.
        silent: Whether the store leaves all without an answer instead of refusing.
        faults: Keys of `RELAY_FAULTS`, each for the VM that most others follow at its moment.
        fault_s: How long each of these lasts, in seconds.

    Returns:
        The names of the VMs that ran on without any fault.
    """
    names = sorted(fleet.vms)
    duration_s = fleet.random.uniform(6.0, 9.0)
    returned_at = 6.0 + duration_s
    interrupt_store(fleet, names, 6.0, duration_s, silent)
    herd = fleet.random.sample(names, round(share * len(names)))
    calm = set(names) - set(herd)
    for name in herd:
        at, down_s = returned_at - fleet.random.uniform(0.0, 4.0), fleet.random.uniform(1.0, 2.5)
        eventlet.spawn_after(at - fleet.now, restart_vm, fleet, name, down_s)

    def fail_relay(fault: str) -> None:
        for name in find_relays(fleet, 1):
            calm.discard(name)
            RELAY_FAULTS[fault](fleet, name, fault_s)

    for fault in faults:
        at = returned_at + fleet.random.uniform(0.0, 3.0)
        eventlet.spawn_after(at - fleet.now, fail_relay, fault)
    run_until(fleet, returned_at + fleet.random.uniform(0.0, 0.5))
    for gap_s in (*(0.26,) * 16, 2.0, 2.0, 2.0):
        publish(fleet)
        eventlet.sleep(gap_s)
    return calm


def run_until(fleet: SimulatedFleet, moment: float) -> None:
    """Let the fleet run until a moment on the virtual clock."""
    eventlet.sleep(max(moment - fleet.now, 0.0))


def find_received(vm: Vm, after: float) -> list[dict[str, Any]]:
    """Return a VM's log events about received configurations after a moment."""
    events = [event for event in vm.events if event["at"] > after]
    return [event for event in events if event["event"] == "configuration_received"]


def encode_configuration(version: int) -> bytes:
    """Return a configuration in the operator's format, of which each version changes one route."""
    rules = [
        {
            "name": f"r-{number}",
            "route_kind": "idempotent",
            "target_latency_s": 0.5 + (version / 1000 if number == version % ROUTES else 0.0),
            "priority": 1,
            "match_criteria": {"prefix": f"/{number:05}/"},
            "route_action": {"service_name": "shop", "timeout_s": 2.0, "max_attempts": 2},
        }
        for number in range(ROUTES)
    ]
    return msgspec.json.encode(
        {
            "version": f"r{version}",
            "listener_set": [{"host_name": "shop.example", "rule_set": rules}],
            "cluster_set": [{"name": "shop", "health_path": "/health"}],
        }
    )


def start_vm(
    fleet: SimulatedFleet, data_centre: str, name: str, rate: float, release: str = "v1"
) -> None:
    """Add a VM to the fleet.

    Args:
        fleet: The fleet.
        data_centre: The VM's data centre.
        name: Its name.
        rate: The rate of its link, in bytes per second.
        release: The release of its backend server.
    """
    settings = SidecarSettings(
        name=name,
        data_centre=data_centre,
        callers=f"{name}:1",
        gate=f"{name}:2",
        readiness=f"{name}:3",
        control=f"{name}:4",
        server=f"{name}:5",
        service="shop",
        store="store:1",
        link_mbps=rate * 8 / 1e6,
        bounds=Bounds(),
    )
    fleet.vms[name] = Vm(settings, rate, release)
    _start_sidecar(fleet, fleet.vms[name], 0.0)


def _start_sidecar(fleet: SimulatedFleet, vm: Vm, heartbeat_delay_s: float) -> None:
    """Start a sidecar without any state; its backend server's first heartbeat comes later."""
    settings = vm.settings

    def write(event: Any, **fields: Any) -> None:
        vm.events.append({"at": fleet.now, "event": event.name.lower(), **fields})

    vm.sidecar = Sidecar(
        settings,
        StoreClient(lambda request: _call_store(fleet, vm, request)),
        Meters(),
        write,
        start_id=f"{settings.name} {fleet.now}",
        random=Random(fleet.random.random()),
        clock=lambda: fleet.now,
        wake_clock=lambda: fleet.now,
    )
    vm.registration = Registration()
    _start_loops(fleet, vm)
    if heartbeat_delay_s:
        vm.loops.append(eventlet.spawn_after(heartbeat_delay_s, _send_heartbeat, fleet, vm))
    else:
        _send_heartbeat(fleet, vm)


def _start_loops(fleet: SimulatedFleet, vm: Vm) -> None:
    sidecar, registration = vm.sidecar, vm.registration
    sidecar.wake_registration = registration.wake
    for loop in (
        lambda: follow_store(sidecar),
        lambda: keep_registered(sidecar, registration),
        lambda: _remove_lapsed(sidecar),
    ):
        vm.loops.append(eventlet.spawn_after(fleet.random.random() * 0.3, _run, fleet, loop))
    for loop in (lambda: run_takeover_leader(sidecar), lambda: run_release_watch(sidecar)):
        vm.loops.append(eventlet.spawn(_run, fleet, loop))


def _send_heartbeat(fleet: SimulatedFleet, vm: Vm) -> None:
    settings, born = vm.settings, vm.sidecar.start_id
    heartbeat = Heartbeat(
        instance=f"i-{born}",
        address=settings.server,
        service="shop",
        release=vm.release,
        slots=9,
        data_centre=settings.data_centre,
        leaving=False,
        sequence=1,
        cold_s=0.0,
        born=1 + int(fleet.now),
    )
    apply_heartbeat(vm.sidecar.backend, heartbeat, fleet.now)
    vm.sidecar.wake_registration()


def _run(fleet: SimulatedFleet, loop: Callable[[], None]) -> None:
    try:
        loop()
    except Exception as error:  # reported by the test; a daemon would restart the loop
        fleet.failures.append(repr(error))


def _remove_lapsed(sidecar: Sidecar) -> None:
    while True:
        remove_lapsed_members(sidecar)
        eventlet.sleep(CHECK_INTERVAL_S)


def _call_store(fleet: SimulatedFleet, vm: Vm, request: StoreRequest) -> StoreResponse:
    """Answer a store request of a VM, after the time that its link takes."""
    deadline = fleet.now + (request.read_timeout_s or STORE_TIMEOUT_S) + request.wait_s
    eventlet.sleep(STORE_DELAY_S)
    parts = urlsplit(request.path)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    if vm.refused:
        return StoreResponse(503, {})
    if vm.silent:
        _lose_answer(fleet, deadline)
    if parts.path == "/-/kv-watch" and vm.lost_watches:
        vm.lost_watches -= 1
        _lose_answer(fleet, deadline)
    if parts.path == "/-/kv-range" and vm.lost_reads:
        vm.lost_reads -= 1
        _lose_answer(fleet, deadline)
    if parts.path == "/-/kv-watch":
        status, body = _wait_for_events(fleet, vm, parts.path, query, request.wait_s, deadline)
    else:
        status, body = handle_request(
            fleet.fake_store, fleet.now, request.method, parts.path, query, request.body
        )
    if vm.silent or status == UNANSWERED:
        _lose_answer(fleet, deadline)
    era = format_era(fleet.fake_store)
    rows = body.get("items") or body.get("events") or [body]
    _transfer(fleet, vm, sum(len(row.get("value", "")) + ITEM_OVERHEAD_BYTES for row in rows))
    return StoreResponse(status, body, era)


def _wait_for_events(
    fleet: SimulatedFleet,
    vm: Vm,
    path: str,
    query: dict[str, str],
    wait_s: float,
    deadline: float,
) -> tuple[int, Any]:
    until, silences = fleet.now + wait_s, fleet.silences
    while True:
        if vm.refused:
            return 503, {}
        if fleet.silences > silences and not fleet.are_watches_silent:
            raise StoreError("MS-302", "the store closed the connection")
        if fleet.are_watches_silent:
            if fleet.now >= deadline:
                _lose_answer(fleet, deadline)
            eventlet.sleep(WATCH_POLL_INTERVAL_S)
            continue
        if not vm.silent:
            expire_leases(fleet.fake_store, fleet.now)
        status, body = handle_read(fleet.fake_store, path, query)
        if status != 200 or body["events"] or fleet.now >= until:
            return status, body
        eventlet.sleep(WATCH_POLL_INTERVAL_S)


def _lose_answer(fleet: SimulatedFleet, deadline: float) -> None:
    eventlet.sleep(max(deadline - fleet.now, 0.0))
    raise StoreError("MS-302", "the store did not answer")


def _transfer(fleet: SimulatedFleet, vm: Vm, size: int) -> None:
    """Wait until a VM's link has carried a number of bytes, after all those before.

    Who cancels the request closes its connection: what was not sent by then stays unsent.
    """
    needed_s = size / vm.link_bytes_per_s
    done_at = vm.link_free_at = max(vm.link_free_at, fleet.now) + needed_s
    try:
        eventlet.sleep(done_at - fleet.now)
    finally:
        unsent_s = min(max(done_at - fleet.now, 0.0), needed_s)
        vm.link_free_at -= unsent_s
        vm.bytes_received += int(size - unsent_s * vm.link_bytes_per_s)


def _check_versions(fleet: SimulatedFleet) -> None:
    """Record how long each VM lacks an accepted configuration."""
    while True:
        eventlet.sleep(CHECK_INTERVAL_S)
        for vm in fleet.vms.values():
            version = vm.sidecar.table.version if vm.sidecar.table else 0
            accepted_at = fleet.accepted.get(version + 1)
            if vm.down or vm.starting or is_disturbed(vm) or accepted_at is None:
                continue
            if fleet.now - vm.calm_since < fleet.contact_s:
                continue
            late_s = fleet.now - accepted_at
            confirmed_s = vm.sidecar.store_confirmed_at - accepted_at
            vm.overconfirmed_s = max(vm.overconfirmed_s, confirmed_s)
            if vm.refused or vm.silent:
                vm.late_while_refused_s = max(vm.late_while_refused_s, late_s)
            elif fleet.now - vm.served_since >= fleet.contact_s:
                vm.late_s = max(vm.late_s, late_s)
