"""The tables of one running sidecar, and what its parts share."""

from __future__ import annotations

from collections import OrderedDict
from random import Random
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs

from ..calls.connections import ConnectionPool
from ..codes import LogEvent
from ..mesh.backend import Backend
from ..mesh.gate import MAX_WAIT_S, Gate
from ..mesh.items import Mirror
from ..mesh.members import Member, MemberTable
from ..mesh.relays import Trust, Versions
from ..mesh.repeats import RepeatBudget
from ..mesh.routes import SplitTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..calls.disconnects import WatchedCall
    from ..mesh.evidence import RouteCounts
    from ..mesh.returns import Pressure
    from ..mesh.routes import RouteTable
    from ..mesh.settings import SidecarSettings
    from ..mesh.takeovers import Order, Takeover
    from ..mesh.waited import Patience
    from ..platform.store import StoreClient
    from .meters import Meters


LINGER_S = 2.6  # two missed readiness checks, a second apart, and a caller's last request
GATE_LINGER_S = 1.6  # the backend server serves on until its last requests just end in time
LAST_START_S = 4.0  # what starts later may not end before the process does


@attrs.define
class OpenOrder:
    """An order as this sidecar saw it.

    Attributes:
        order: The order.
        revision: The store's revision of it.
        seen_at: When it was seen, in seconds on the monotonic clock.
    """

    order: Order
    revision: int
    seen_at: float


@attrs.define
class Sidecar:
    """One running sidecar.

    Attributes:
        settings: The settings in force.
        store: The client of the platform's store.
        meters: Counters and histograms.
        write_log: Writes one event.
        start_id: Tells this process from the one before it on the VM.
        random: The generator of every choice.
        clock: Seconds on the monotonic clock.
        table: The configuration in force, or None before the first.
        splits: The turns of split routes.
        mirror: What is known of the store's items.
        members: The sidecars with their backend servers.
        orders: The newest order of each service.
        takeovers: The newest takeover of each service, with the revision of its item.
        backend: The backend server beside this sidecar.
        gate: The requests at it.
        counts: Its answers by route.
        running: Identifiers of the requests that run at it, and whether each is a repeat.
        taken: Attempts that must not be repeated and were passed to it.
        server_links: Connections to it.
        peer_links: Connections to other sidecars.
        answer_bytes: The usual size of an answer, by route.
        patience: The time that callers have left, by route.
        budget: Repeats of each service.
        pressures: Refusals of each service.
        watched: Requests that end when their callers go away.
        open_requests: Requests that are being served.
        store_reachable: Whether the store answered last.
        store_heard_at: When the store last confirmed, here or to the relay, what is known here.
        watching: Whether this sidecar watches the store itself, and the store answers.
        relay_trust: The relays that are left alone for now.
        followed: The relay that was followed last, or empty.
        versions: The latest versions of long values, kept by a relay.
        stopping_at: When the signal to stop came, or None.
        registration: Called when this sidecar's record may have changed.
    """

    settings: SidecarSettings
    store: StoreClient
    meters: Meters
    write_log: Callable[..., None]
    start_id: str
    random: Random = attrs.field(factory=Random)
    clock: Callable[[], float] = monotonic
    table: RouteTable | None = None
    splits: SplitTable = attrs.field(factory=SplitTable)
    mirror: Mirror = attrs.field(factory=Mirror)
    members: MemberTable = attrs.field(factory=MemberTable)
    orders: dict[str, OpenOrder] = attrs.field(factory=dict)
    takeovers: dict[str, tuple[Takeover, int]] = attrs.field(factory=dict)
    backend: Backend = attrs.field(factory=Backend)
    gate: Gate = attrs.field(factory=Gate)
    counts: dict[str, RouteCounts] = attrs.field(factory=dict)
    running: dict[str, bool] = attrs.field(factory=dict)
    taken: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    server_links: ConnectionPool = attrs.field(factory=ConnectionPool)
    peer_links: ConnectionPool = attrs.field(factory=ConnectionPool)
    answer_bytes: dict[str, float] = attrs.field(factory=dict)
    patience: dict[str, Patience] = attrs.field(factory=dict)
    budget: RepeatBudget = attrs.field(factory=lambda: RepeatBudget(0.2, 50.0, 10.0))
    pressures: dict[str, Pressure] = attrs.field(factory=dict)
    watched: set[WatchedCall] = attrs.field(factory=set)
    open_requests: int = 0
    store_reachable: bool = True
    store_heard_at: float = float("-inf")
    watching: bool = False
    relay_trust: Trust = attrs.field(factory=Trust)
    followed: str = ""
    versions: Versions = attrs.field(factory=Versions)
    stopping_at: float | None = None
    registration: Callable[[], None] = lambda: None

    def log(self, event: LogEvent, **fields: Any) -> None:
        """Write one event and count it."""
        self.meters.count("events", event.name.lower())
        self.write_log(event, **fields)


def find_takeover(sidecar: Sidecar, service: str) -> tuple[Takeover | None, str]:
    """Return the latest takeover of a service, and the release of an order without one yet."""
    found = sidecar.takeovers.get(service)
    takeover = found[0] if found else None
    opened = sidecar.orders.get(service)
    if opened is None or (takeover is not None and takeover.order_revision >= opened.revision):
        return takeover, ""
    return takeover, opened.order.release


def log_takeover(sidecar: Sidecar, takeover: Takeover, revision: int) -> None:
    """Log a takeover whose share or phase changed."""
    sidecar.log(
        LogEvent.TAKEOVER_CHANGED,
        service=takeover.service,
        release=takeover.release,
        phase=takeover.phase.value,
        share=takeover.share,
        elapsed_s=round(takeover.elapsed_s, 2),
        reason=takeover.reason,
        revision=revision,
    )


def describe_self(sidecar: Sidecar) -> Member | None:
    """Return this sidecar's record as it should stand in the store, or None for none."""
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
    )


def is_closing(sidecar: Sidecar) -> bool:
    """Return whether a request that comes now could be cut off by the end of the process."""
    return _is_past(sidecar, LINGER_S)


def is_gate_closing(sidecar: Sidecar) -> bool:
    """Return whether other sidecars are to send their requests elsewhere."""
    return _is_past(sidecar, GATE_LINGER_S)


def find_wait_left(sidecar: Sidecar) -> float:
    """Return the seconds within which a request of this sidecar's callers has to start."""
    if sidecar.stopping_at is None:
        return MAX_WAIT_S
    return sidecar.stopping_at + LAST_START_S - sidecar.clock()


def _is_past(sidecar: Sidecar, seconds: float) -> bool:
    stopping_at = sidecar.stopping_at
    return stopping_at is not None and sidecar.clock() - stopping_at >= seconds


def find_parent(sidecar: Sidecar, identifier: str) -> bool | None:
    """Tell whether the own backend server makes this call while it runs another request.

    Identifiers of such calls begin with that of the request that they belong to.

    Returns:
        None if it does not; else whether that request is itself a repeat.
    """
    for parent, repeat in sidecar.running.items():
        if identifier != parent and identifier.startswith(parent):
            return repeat
    return None
