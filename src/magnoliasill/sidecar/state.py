"""State of one running sidecar, and queries on it that its modules share."""

from __future__ import annotations

from collections import Counter, OrderedDict
from math import inf
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
from eventlet.event import Event

from ..calls.client_connections import ClientConnections
from ..calls.connections import ConnectionPool
from ..codes import LogEvent
from ..mesh.backend import Backend
from ..mesh.cold_starts import ColdDoubts
from ..mesh.contacts import Contacts
from ..mesh.crash_findings import ROUNDS_PER_S, WRITES_PER_S, CrashFindings, build_limiter
from ..mesh.egress import Egress
from ..mesh.evacuations import Evacuations
from ..mesh.gate import MAX_WAIT_S, Gate
from ..mesh.ingress import Ingress
from ..mesh.loop_lag import LoopLag, find_lag
from ..mesh.members import Member, MemberTable
from ..mesh.planned_stop import find_latest_start
from ..mesh.relays import LongValueVersions, RelayBackoff
from ..mesh.retries import RetryBudget
from ..mesh.routes import SplitTable
from ..mesh.store_items import Mirror
from ..platform.operator_configuration import build_decoder
from .quota_state import QuotaState
from .wake_clock import read_wake_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..calls.cancellation import WatchedCall
    from ..mesh.earlier_waits import TimeLeftSamples
    from ..mesh.evidence import RouteCounts
    from ..mesh.gate_counts import CollectedCounts
    from ..mesh.planned_stop import StopSchedule
    from ..mesh.rate_limits import RateLimiter
    from ..mesh.retry_after import RetryAfterState
    from ..mesh.routes import RouteTable
    from ..mesh.settings import SidecarSettings
    from ..mesh.takeovers import Order, ReleaseStop, Takeover
    from ..platform.store import StoreClient
    from .metrics import Meters


STORE_DOUBT_S = 4.0  # after a call to the store failed
NOTHING_STORED = b"[]"  # the value of an item with no findings
NEVER = float("-inf")  # a time before all others, in seconds on the monotonic clock


def do_nothing() -> None:
    """Stand in for a callback that is not set."""


@attrs.define
class OpenOrder:
    """The newest takeover order of a service, with when this sidecar saw it.

    Attributes:
        order: The order.
        revision: The position of the order in the store's history.
        seen_at: When this sidecar first saw it, in seconds on the monotonic clock.
        replaced: The orders before it, which an older copy of the store may have again.
    """

    order: Order
    revision: int
    seen_at: float
    replaced: tuple[Order, ...] = ()


@attrs.define
class CrashReports:
    """What is still to be told, and the sidecar's item in the store.

    Attributes:
        unsent: The requests to report, as pairs of service and fingerprint.
        due_at: When they are sent, in seconds on the monotonic clock.
        rounds: Limits how often they are sent.
        writes: Limits how often the item in the store is written.
        stored: The value of that item, as this process has written it.
        untold: What a gate is still to be told, by its name, while it is sent notices.
        silent_until: Until when a gate that did not answer gets no notices, by its name.
        changed: Event that is set when the item in the store has to be written.
        lease: The lease of that item, or 0 for none.
        leased_at: When the lease was granted.
        revision: The revision of that item, 0 if there is none, None if it is not known.
        applied: The revisions of the items of all sidecars that were applied, by key.
        asked_at: When the store was last asked for these items.
        blocked: The requests whose block has been logged.
    """

    unsent: set[tuple[str, bytes]] = attrs.field(factory=set)
    due_at: float = inf
    rounds: RateLimiter = attrs.field(factory=lambda: build_limiter(ROUNDS_PER_S))
    writes: RateLimiter = attrs.field(factory=lambda: build_limiter(WRITES_PER_S))
    stored: bytes = NOTHING_STORED
    untold: dict[str, set[tuple[str, bytes]]] = attrs.field(factory=dict)
    silent_until: dict[str, float] = attrs.field(factory=dict)
    changed: Event = attrs.field(factory=Event)
    lease: int = 0
    leased_at: float = 0.0
    revision: int | None = None
    applied: dict[str, int] = attrs.field(factory=dict)
    asked_at: float = NEVER
    blocked: set[bytes] = attrs.field(factory=set)


@attrs.define
class Sidecar:
    """All state of one running sidecar.

    Attributes:
        settings: The active settings.
        store: The client of the platform's store.
        meters: Counters and histograms.
        write_log: Writes one event to the log.
        start_id: Distinguishes this process from earlier ones on the VM.
        random: Generator for all random choices.
        clock: Returns seconds on the monotonic clock.
        wake_clock: Returns seconds on a monotonic clock that includes suspensions of the VM.
        started_at: When this process started.
        table: The active configuration, or None before the first one.
        decode_configuration: Decodes the next version of the configuration.
        splits: State of the traffic split of each split route.
        mirror: Local copy of the store's items.
        members: All registered sidecars with their backend servers.
        contacts: What requests to other data centres tell of them.
        orders: The newest order of each service.
        takeovers: The newest takeover of each service, with the position of its item, or 0.
        unstored_takeovers: The services whose takeover the store has lost in this state.
        evacuations: The data centres whose servers must get no requests.
        stops: The newest stop of a release of each service that was decided without its record.
        collected_counts: The counts of the gates of services with an order, if this sidecar judges
            a release of theirs.
        counts_collected_at: When the counts of this gate were last collected to judge a release.
        watches_release: Whether this sidecar judges the release of its own server, since no leader
            does.
        backend: State of the backend server that this sidecar fronts.
        gate: Admission gate of that server: its running and waiting requests.
        server_started_at: When that server started, as far as this process saw it start.
        server_states_pace: Whether that server states in its answers how long work takes there.
        cold_doubts: Signs that the server became cold since its last heartbeat.
        loop_lag: How late this process resumes what is due.
        dispatch_scheduled: Whether a timer is set for the gate's next start under a rate limit.
        route_counts: Counts of that server's responses by route.
        running_requests: Requests running at that server, by identifier; True marks a retry.
        unserved_calls: How many of their nested requests failed or are open, by the identifier of
            the running request.
        passed_attempts: Identifiers of non-idempotent attempts that were passed to that server.
        server_connections: Connections to that server.
        peer_connections: Connections to other sidecars.
        control_connections: Connections to other sidecars for what sidecars ask each other, which
            goes before callers' requests.
        answer_bytes: Moving average of the response size in bytes, by route.
        typical_runs: Moving average of the duration at all backend servers in seconds, by route.
        egress: The use of this VM's link by answers to other VMs.
        ingress: The request bodies that come over that link to the gate.
        time_left_samples: Samples of the time that callers have left at their requests, by route.
        retry_budget: Retry budget of each service.
        retry_after_states: Recent rejections of each service, which scale the advised retry delay.
        clients: The connections of clients on all ports, with the budgets for them.
        watched_calls: Requests to cancel when their callers disconnect.
        open_requests: Number of requests in progress.
        store_reachable: Whether the last call to the store succeeded.
        store_answered_at: When the store last answered any call of this sidecar.
        store_returned_at: When the store last answered after a failure.
        store_confirmed_at: When the store last confirmed the local copy, here or to the relay.
        copy_confirmed_at: When the local copy is known to have been the newest state of the store,
            by the wake clock.
        configuration_unread: Whether the newest configuration could not be applied.
        configuration_unseen_at: When the store last confirmed a copy without the newest received
            configuration, here or to the relay: it was accepted later.
        store_doubtful_until: Until when a watch waits only shortly, since another call failed.
        watching_store: Whether this sidecar watches the store itself and the store responds.
        watch_overrun_s: The seconds by which the latest watch outlasted its wait, or 0 after one
            that returned changes.
        cancel_watch: Ends the current watch of the store, if there is one.
        in_sync_at: When the local copy was last complete.
        relay_backoff: Sidecars, this one included, that are temporarily no source of changes.
        followed_relay: Name of the relay last followed, or empty.
        versions: Recent versions of long values, which a relay keeps to send deltas.
        stop_schedule: The times of the shutdown in progress, or None.
        slowest_requests: The slowest recent durations of callers' requests in seconds, by route.
        slowest_runs: The same of the requests that ran at the gate's server.
        open_callers: The threads in which callers' requests are handled.
        crash_findings: Requests under which backend servers ended.
        crash_reports: What of that is still to be told to other sidecars.
        quotas: Teams' requests here within their quotas.
        wake_registration: Called when this sidecar's record may have changed.
    """

    settings: SidecarSettings
    store: StoreClient
    meters: Meters
    write_log: Callable[..., None]
    start_id: str
    random: Random = attrs.field(factory=Random)
    clock: Callable[[], float] = monotonic
    wake_clock: Callable[[], float] = read_wake_clock
    started_at: float = attrs.field(factory=monotonic)
    table: RouteTable | None = None
    decode_configuration: Callable[[bytes], RouteTable] = attrs.field(factory=build_decoder)
    splits: SplitTable = attrs.field(factory=SplitTable)
    mirror: Mirror = attrs.field(factory=Mirror)
    members: MemberTable = attrs.field(factory=MemberTable)
    contacts: Contacts = attrs.field(
        default=attrs.Factory(lambda self: Contacts(self.settings.name), takes_self=True)
    )
    orders: dict[str, OpenOrder] = attrs.field(factory=dict)
    takeovers: dict[str, tuple[Takeover, int]] = attrs.field(factory=dict)
    unstored_takeovers: set[str] = attrs.field(factory=set)
    evacuations: Evacuations = attrs.field(factory=Evacuations)
    stops: dict[str, ReleaseStop] = attrs.field(factory=dict)
    collected_counts: dict[str, CollectedCounts] = attrs.field(factory=dict)
    counts_collected_at: float = NEVER
    watches_release: bool = False
    backend: Backend = attrs.field(factory=Backend)
    gate: Gate = attrs.field(factory=Gate)
    server_started_at: float | None = None
    server_states_pace: bool = False
    cold_doubts: ColdDoubts = attrs.field(factory=ColdDoubts)
    loop_lag: LoopLag = attrs.field(factory=LoopLag)
    dispatch_scheduled: bool = False
    route_counts: dict[str, RouteCounts] = attrs.field(factory=dict)
    running_requests: dict[str, bool] = attrs.field(factory=dict)
    unserved_calls: Counter[str] = attrs.field(factory=Counter)
    passed_attempts: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    server_connections: ConnectionPool = attrs.field(factory=ConnectionPool)
    peer_connections: ConnectionPool = attrs.field(factory=ConnectionPool)
    control_connections: ConnectionPool = attrs.field(factory=ConnectionPool)
    answer_bytes: dict[str, float] = attrs.field(factory=dict)
    typical_runs: dict[str, float] = attrs.field(factory=dict)
    egress: Egress = attrs.field(factory=Egress)
    ingress: Ingress = attrs.field(factory=Ingress)
    time_left_samples: dict[str, TimeLeftSamples] = attrs.field(factory=dict)
    retry_budget: RetryBudget = attrs.field(factory=lambda: RetryBudget(0.2, 50.0, 10.0))
    retry_after_states: dict[str, RetryAfterState] = attrs.field(factory=dict)
    clients: ClientConnections = attrs.field(factory=ClientConnections)
    watched_calls: set[WatchedCall] = attrs.field(factory=set)
    open_requests: int = 0
    store_reachable: bool = True
    store_answered_at: float = NEVER
    store_returned_at: float = NEVER
    store_confirmed_at: float = NEVER
    copy_confirmed_at: float = NEVER
    configuration_unread: bool = False
    configuration_unseen_at: float = NEVER
    store_doubtful_until: float = NEVER
    watching_store: bool = False
    watch_overrun_s: float = 0.0
    cancel_watch: Callable[[], None] = do_nothing
    in_sync_at: float = NEVER
    relay_backoff: RelayBackoff = attrs.field(factory=RelayBackoff)
    followed_relay: str = ""
    versions: LongValueVersions = attrs.field(factory=LongValueVersions)
    stop_schedule: StopSchedule | None = None
    slowest_requests: dict[str, float] = attrs.field(factory=dict)
    slowest_runs: dict[str, float] = attrs.field(factory=dict)
    open_callers: set[Any] = attrs.field(factory=set)
    crash_findings: CrashFindings = attrs.field(factory=CrashFindings)
    crash_reports: CrashReports = attrs.field(factory=CrashReports)
    quotas: QuotaState = attrs.field(factory=QuotaState)
    wake_registration: Callable[[], None] = do_nothing

    def log(self, event: LogEvent, **fields: Any) -> None:
        """Write one event to the log and count it."""
        self.meters.count("events", event.name.lower())
        self.write_log(event, **fields)


def record_store_answer(sidecar: Sidecar) -> None:
    """Record that the store answered this sidecar, which may read from it again."""
    sidecar.store_answered_at = sidecar.clock()
    sidecar.relay_backoff.restore(sidecar.settings.name)
    if sidecar.store_reachable:
        return
    sidecar.store_reachable = True
    sidecar.store_returned_at = sidecar.clock()
    sidecar.log(LogEvent.STORE_AVAILABLE)
    sidecar.relay_backoff.restore_unserved()  # it probably answers them again, too
    sidecar.wake_registration()  # restores the record if it lapsed meanwhile


def record_store_failure(sidecar: Sidecar, reason: str) -> None:
    """Record that the store did not answer this sidecar, or turned it away."""
    if not sidecar.store_reachable:
        return
    sidecar.store_reachable = False
    sidecar.log(LogEvent.STORE_UNAVAILABLE, reason=reason)


def find_takeover(sidecar: Sidecar, service: str) -> tuple[Takeover | None, str]:
    """Return a service's latest takeover, and the release of a newer order if one is pending.

    The release is empty if the takeover belongs to the newest order or there is no order.
    """
    found = sidecar.takeovers.get(service)
    takeover = found[0] if found else None
    open_order = sidecar.orders.get(service)
    if open_order is None or (
        takeover is not None and takeover.order_revision >= open_order.revision
    ):
        return takeover, ""
    return takeover, open_order.order.release


def log_takeover(sidecar: Sidecar, takeover: Takeover, revision: int) -> None:
    """Log a takeover whose share, phase or evidence changed."""
    sidecar.log(
        LogEvent.TAKEOVER_CHANGED,
        service=takeover.service,
        release=takeover.release,
        phase=takeover.phase.value,
        share=takeover.share,
        elapsed_s=round(takeover.elapsed_s, 2),
        answers=sum(tally.answers for tally in takeover.after.values()),
        failures=sum(tally.failures for tally in takeover.after.values()),
        reason=takeover.reason,
        revision=revision,
    )


def build_own_record(sidecar: Sidecar) -> Member | None:
    """Return the member record to store for this sidecar, or None before the first heartbeat."""
    latest = sidecar.backend.latest
    if latest is None:
        return None
    return Member(
        name=sidecar.settings.name,
        data_centre=sidecar.settings.data_centre,
        gate=sidecar.settings.gate,
        service=latest.service,
        release=latest.release,
        instance=latest.instance,
        slots=latest.slots,
        leaving=sidecar.backend.leaving_at is not None or is_gate_closing(sidecar),
        link_mbps=sidecar.settings.link_mbps,
        born=latest.born,
        server_leaving=sidecar.backend.leaving_at is not None,
    )


def is_closing(sidecar: Sidecar) -> bool:
    """Return whether no caller's request is accepted any more, since the process ends soon."""
    schedule = sidecar.stop_schedule
    return schedule is not None and sidecar.clock() >= schedule.callers_close_at


def is_gate_closing(sidecar: Sidecar) -> bool:
    """Return whether other sidecars should send their requests elsewhere."""
    schedule = sidecar.stop_schedule
    return schedule is not None and sidecar.clock() >= schedule.gate_closes_at


def find_own_lag(sidecar: Sidecar) -> float:
    """Return the seconds that a step of a request waits for its turn in this process."""
    return find_lag(sidecar.loop_lag, sidecar.clock())


def find_request_wait_left(sidecar: Sidecar, route: str, answer_deadline: float) -> float:
    """Return the seconds within which a caller's request must start at a backend server.

    Args:
        sidecar: The sidecar's state.
        route: The request's route.
        answer_deadline: When the caller gets an answer in any case.
    """
    return _find_wait_left(sidecar, sidecar.slowest_requests, route, answer_deadline)


def find_run_wait_left(sidecar: Sidecar, route: str, deadline: float) -> float:
    """Return the seconds within which a request at this VM's gate must start.

    Args:
        sidecar: The sidecar's state.
        route: The request's route.
        deadline: When its caller stops waiting.
    """
    return _find_wait_left(sidecar, sidecar.slowest_runs, route, deadline)


def _find_wait_left(
    sidecar: Sidecar, slowest_s: dict[str, float], route: str, deadline: float
) -> float:
    if sidecar.stop_schedule is None:
        return MAX_WAIT_S
    now = sidecar.clock()
    return find_latest_start(sidecar.stop_schedule, slowest_s, route, deadline - now) - now


def find_parent(sidecar: Sidecar, identifier: str) -> str | None:
    """Return the identifier of the request that a nested request belongs to.

    The identifier of a nested request begins with that of its parent.

    Returns:
        None if no parent request is running at the local backend server.
    """
    for parent in sidecar.running_requests:
        if parent and identifier != parent and identifier.startswith(parent):
            return parent
    return None


def find_parent_retry(sidecar: Sidecar, identifier: str) -> bool | None:
    """Return whether the request that a nested request belongs to is a retry, or None."""
    parent = find_parent(sidecar, identifier)
    return None if parent is None else sidecar.running_requests[parent]
