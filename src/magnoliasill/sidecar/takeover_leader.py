"""Leader election by a leased store item, and the leader's decisions on takeovers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import eventlet

from ..codes import LogEvent
from ..errors import ConditionFailedError, LeaseEndedError, StoreError
from ..mesh.evidence import RouteCounts, Verdict, judge_release
from ..mesh.records import LEADER_KEY, TAKEOVER_PREFIX, encode_record
from ..mesh.store_items import Condition, Put, Transaction
from ..mesh.takeovers import Phase, TakeoverObservation, decide_takeover, start_takeover
from ..platform.operator_configuration import STATUS_PREFIX, encode_status
from .member_requests import request_from_member
from .state import find_takeover, log_takeover

if TYPE_CHECKING:
    from ..mesh.members import Member
    from ..mesh.takeovers import Takeover
    from .state import OpenOrder, Sidecar

DECISION_INTERVAL_S = 0.4  # between two evaluations of a release's responses
COUNTS_TIMEOUT_S = 0.5
LEASE_S = 1.5  # how soon another sidecar can lead after the leader died; renewed every decision
COUNTS_PATH = "/mesh/counts"
# Delay before competing for leadership, per position in the members' name order: most sidecars
# then find that another one leads and send no requests to the store.
RANK_DELAY_S = 0.15
MAX_RANK = 8


@attrs.frozen
class GateCounts:
    """What a gate reports about its backend server's responses.

    Attributes:
        start_id: Identifies the sidecar process that counted.
        release: The release that the counts belong to.
        counts: Response counts by route.
        order_ages: By service, the revision of its newest order and the seconds since this
            sidecar first saw it.
    """

    start_id: str
    release: str
    counts: dict[str, RouteCounts]
    order_ages: dict[str, tuple[int, float]] = attrs.field(factory=dict)


@attrs.define
class Leadership:
    """This sidecar's leadership of takeover decisions.

    Attributes:
        revision: The revision of the leader item while this sidecar leads, or 0.
        lease: The lease of that item, or 0.
        counts: The latest counts by service, then by member name and by process and release.
        statuses: By service, the order's revision and the phase last published for operators.
    """

    revision: int = 0
    lease: int = 0
    counts: dict[str, dict[tuple[str, str], GateCounts]] = attrs.field(factory=dict)
    statuses: dict[str, tuple[int, Phase]] = attrs.field(factory=dict)


def run_takeover_leader(sidecar: Sidecar) -> None:
    """Decide on open takeovers while this sidecar is the leader, until the process ends."""
    leadership = Leadership()
    while True:
        eventlet.sleep(DECISION_INTERVAL_S)
        open_orders = list_open_orders(sidecar)
        try:
            if not open_orders or sidecar.stopping_at is not None:
                _release_leadership(sidecar, leadership)
                continue
            if not _acquire_or_renew(sidecar, leadership):
                continue
            for open_order in open_orders:
                _advance_takeover(sidecar, leadership, open_order)
        except (ConditionFailedError, LeaseEndedError) as error:
            _record_leadership_loss(sidecar, leadership, error)
        except StoreError:
            sidecar.meters.count("store", "takeover_failed")


def list_open_orders(sidecar: Sidecar) -> list[OpenOrder]:
    """Return the orders whose takeovers are unfinished or whose final status is unpublished."""
    open_orders = []
    for service, order in sidecar.orders.items():
        takeover, pending_release = find_takeover(sidecar, service)
        if pending_release or (takeover is not None and takeover.phase is Phase.RUNNING):
            open_orders.append(order)
        elif takeover is not None and takeover.order_revision == order.revision:
            status = sidecar.mirror.items.get(STATUS_PREFIX + service)
            expected = encode_status(takeover.release, takeover.phase)
            if status is None or status.value != expected:
                open_orders.append(order)
    return open_orders


def _acquire_or_renew(sidecar: Sidecar, leadership: Leadership) -> bool:
    item = sidecar.mirror.items.get(LEADER_KEY)
    own_value = f"{sidecar.settings.name} {sidecar.start_id}".encode()
    if item is not None and item.value is not None and item.revision >= leadership.revision:
        if item.value != own_value or not leadership.lease:
            leadership.revision = 0
            return False
        leadership.revision = item.revision
    if leadership.revision:
        sidecar.store.renew_lease(leadership.lease)
        sidecar.meters.count("store", "renewal")
        return True
    _wait_by_rank(sidecar)
    item = sidecar.mirror.items.get(LEADER_KEY)
    if item is not None and item.value is not None:
        return False
    leadership.lease = sidecar.store.grant_lease(LEASE_S)
    put = Put(LEADER_KEY, own_value, leadership.lease)
    leadership.revision = sidecar.store.transact(Transaction((put,), (Condition(LEADER_KEY, 0),)))
    sidecar.meters.count("store", "write", 2)
    sidecar.log(LogEvent.CONTROL_ACQUIRED, service="", generation=leadership.revision)
    return True


def _wait_by_rank(sidecar: Sidecar) -> None:
    names = sorted(sidecar.members.records)
    rank = names.index(sidecar.settings.name) if sidecar.settings.name in names else MAX_RANK
    eventlet.sleep(min(rank, MAX_RANK) * RANK_DELAY_S)


def _release_leadership(sidecar: Sidecar, leadership: Leadership) -> None:
    """End the lease so that another sidecar can lead at once instead of after its expiry."""
    if not leadership.revision:
        return
    lease, leadership.revision, leadership.lease = leadership.lease, 0, 0
    sidecar.log(LogEvent.CONTROL_LOST, service="")
    sidecar.store.end_lease(lease)
    sidecar.meters.count("store", "lease")


def _record_leadership_loss(sidecar: Sidecar, leadership: Leadership, error: StoreError) -> None:
    if leadership.revision:
        sidecar.log(LogEvent.CONTROL_LOST, service="")
    leadership.revision = leadership.lease = 0
    sidecar.meters.count("store", type(error).__name__)


def _advance_takeover(sidecar: Sidecar, leadership: Leadership, open_order: OpenOrder) -> None:
    order = open_order.order
    before, pending_release = find_takeover(sidecar, order.service)
    members = list(sidecar.members.by_service.get(order.service, {}).values())
    releases = {member.release for member in members}
    takeover = (
        start_takeover(order, open_order.revision, before, releases) if pending_release else before
    )
    _collect_counts(sidecar, leadership, order.service, members)
    verdict, reason = _evaluate_release(leadership, order.service, order.release)
    elapsed_s = max(_find_order_age(sidecar, leadership, open_order), takeover.elapsed_s)
    servers = sum(m.release == order.release and not m.leaving for m in members)
    observation = TakeoverObservation(elapsed_s, servers, verdict, reason)
    decided = decide_takeover(takeover, order, observation)
    changed = pending_release or (decided.phase, decided.share) != (takeover.phase, takeover.share)
    published = leadership.statuses.get(order.service) == (open_order.revision, decided.phase)
    if changed or not published:
        _publish(sidecar, leadership, open_order, attrs.evolve(decided, elapsed_s=elapsed_s))


def _find_order_age(sidecar: Sidecar, leadership: Leadership, open_order: OpenOrder) -> float:
    """Return the seconds since any member first saw the order.

    The leader's own age of the order is too low if its process started after the order was placed.
    """
    service = open_order.order.service
    ages = [
        gate_counts.order_ages.get(service)
        for gate_counts in leadership.counts.get(service, {}).values()
    ]
    reported = [age[1] for age in ages if age is not None and age[0] == open_order.revision]
    return max([sidecar.clock() - open_order.seen_at, *reported])


def _publish(
    sidecar: Sidecar, leadership: Leadership, open_order: OpenOrder, takeover: Takeover
) -> None:
    service = open_order.order.service
    key = TAKEOVER_PREFIX + service
    known = sidecar.takeovers.get(service)
    status = encode_status(takeover.release, takeover.phase)
    transaction = Transaction(
        # the store returns the revision of the last put, which must be that of the takeover record
        puts=(Put(STATUS_PREFIX + service, status), Put(key, encode_record(takeover))),
        conditions=(
            Condition(LEADER_KEY, leadership.revision),
            Condition(key, known[1] if known else 0),
        ),
    )
    revision = sidecar.store.transact(transaction)
    sidecar.meters.count("store", "write")
    leadership.statuses[service] = (open_order.revision, takeover.phase)
    sidecar.takeovers[service] = (takeover, revision)
    log_takeover(sidecar, takeover, revision)


def _evaluate_release(leadership: Leadership, service: str, release: str) -> tuple[Verdict, str]:
    gate_counts = leadership.counts.get(service, {}).values()
    old = [gate.counts for gate in gate_counts if gate.release != release]
    return judge_release(old, [gate.counts for gate in gate_counts if gate.release == release])


def _collect_counts(
    sidecar: Sidecar, leadership: Leadership, service: str, members: list[Member]
) -> None:
    known = leadership.counts.setdefault(service, {})
    pool = eventlet.GreenPool()
    for name, gate_counts in pool.imap(
        lambda member: (member.name, _fetch_counts(sidecar, member)), members
    ):
        if gate_counts is not None:
            known[(name, gate_counts.start_id + gate_counts.release)] = gate_counts


def _fetch_counts(sidecar: Sidecar, member: Member) -> GateCounts | None:
    if member.name == sidecar.settings.name:
        return describe_counts(sidecar)
    counts = request_from_member(sidecar, member, COUNTS_PATH, COUNTS_TIMEOUT_S, GateCounts)
    if counts is None:
        sidecar.meters.count("attempts", "counts_unread")
    return counts


def describe_counts(sidecar: Sidecar) -> GateCounts:
    """Return the response counts and order ages of this sidecar, as sent to the leader."""
    latest = sidecar.backend.latest
    release = latest.release if latest else ""
    now = sidecar.clock()
    ages = {
        service: (order.revision, now - order.seen_at) for service, order in sidecar.orders.items()
    }
    return GateCounts(sidecar.start_id, release, sidecar.route_counts, ages)
