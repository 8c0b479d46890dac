"""The duty of deciding on takeovers: one sidecar has it, by an item under its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import eventlet

from ..codes import LogEvent
from ..errors import ConditionFailedError, LeaseEndedError, StoreError
from ..mesh.evidence import RouteCounts, Verdict, judge_release
from ..mesh.items import Condition, Put, Transaction
from ..mesh.records import DECIDER_KEY, TAKEOVER_PREFIX, encode_record
from ..mesh.takeovers import Phase, TakeoverObservation, decide_takeover, start_takeover
from ..platform.operators import STATUS_PREFIX, encode_status
from .asking import ask_member
from .state import find_takeover, log_takeover

if TYPE_CHECKING:
    from ..mesh.members import Member
    from ..mesh.takeovers import Takeover
    from .state import OpenOrder, Sidecar

STEP_S = 0.4  # between two looks at the answers of a release
ASK_TIMEOUT_S = 0.5
LEASE_S = 1.5  # the duty of a sidecar that died passes on within this; renewed with each step
COUNTS_PATH = "/mesh/counts"
RANK_PAUSE_S = (
    0.15  # per place in the order of names, so that few sidecars ask for the duty at once
)
MAX_RANK = 8


@attrs.frozen
class GateCounts:
    """What a gate says of its backend server's answers.

    Attributes:
        start_id: The process that counted.
        release: The release that they are of.
        counts: By route.
        order_ages: By service, the revision of its newest order and the seconds since it was seen.
    """

    start_id: str
    release: str
    counts: dict[str, RouteCounts]
    order_ages: dict[str, tuple[int, float]] = attrs.field(factory=dict)


@attrs.define
class Duty:
    """The duty as this sidecar has it.

    Attributes:
        revision: The revision of the item by which it has the duty, or 0.
        lease: The lease of that item, or 0.
        counts: The latest counts by service, then by member and process.
        statuses: By service, the revision of the order and the phase that operators can read.
    """

    revision: int = 0
    lease: int = 0
    counts: dict[str, dict[tuple[str, str], GateCounts]] = attrs.field(factory=dict)
    statuses: dict[str, tuple[int, Phase]] = attrs.field(factory=dict)


def keep_deciding(sidecar: Sidecar) -> None:
    """Decide on open takeovers whenever this sidecar has the duty, until the process ends."""
    duty = Duty()
    while True:
        eventlet.sleep(STEP_S)
        opened = list_open(sidecar)
        try:
            if not opened or sidecar.stopping_at is not None:
                _give_up(sidecar, duty)
                continue
            if not _has_duty(sidecar, duty):
                continue
            for order in opened:
                _decide(sidecar, duty, order)
        except (ConditionFailedError, LeaseEndedError) as error:
            _lose(sidecar, duty, error)
        except StoreError:
            sidecar.meters.count("store", "takeover_failed")


def list_open(sidecar: Sidecar) -> list[OpenOrder]:
    """Return the orders whose takeovers have not ended."""
    opened = []
    for service, order in sidecar.orders.items():
        takeover, waiting = find_takeover(sidecar, service)
        if waiting or (takeover is not None and takeover.phase is Phase.RUNNING):
            opened.append(order)
        elif takeover is not None and takeover.order_revision == order.revision:
            status = sidecar.mirror.items.get(STATUS_PREFIX + service)
            expected = encode_status(takeover.release, takeover.phase)
            if status is None or status.value != expected:
                opened.append(order)
    return opened


def _has_duty(sidecar: Sidecar, duty: Duty) -> bool:
    item = sidecar.mirror.items.get(DECIDER_KEY)
    own = f"{sidecar.settings.name} {sidecar.start_id}".encode()
    if item is not None and item.value is not None and item.revision >= duty.revision:
        if item.value != own or not duty.lease:
            duty.revision = 0
            return False
        duty.revision = item.revision
    if duty.revision:
        sidecar.store.renew_lease(duty.lease)
        sidecar.meters.count("store", "renewal")
        return True
    _wait_turn(sidecar)
    item = sidecar.mirror.items.get(DECIDER_KEY)
    if item is not None and item.value is not None:
        return False
    duty.lease = sidecar.store.grant_lease(LEASE_S)
    put = Put(DECIDER_KEY, own, duty.lease)
    duty.revision = sidecar.store.transact(Transaction((put,), (Condition(DECIDER_KEY, 0),)))
    sidecar.meters.count("store", "write", 2)
    sidecar.log(LogEvent.CONTROL_ACQUIRED, service="", generation=duty.revision)
    return True


def _wait_turn(sidecar: Sidecar) -> None:
    names = sorted(sidecar.members.records)
    rank = names.index(sidecar.settings.name) if sidecar.settings.name in names else MAX_RANK
    eventlet.sleep(min(rank, MAX_RANK) * RANK_PAUSE_S)


def _give_up(sidecar: Sidecar, duty: Duty) -> None:
    """Let another sidecar have the duty at once, rather than when the lease runs out."""
    if not duty.revision:
        return
    lease, duty.revision, duty.lease = duty.lease, 0, 0
    sidecar.log(LogEvent.CONTROL_LOST, service="")
    sidecar.store.end_lease(lease)
    sidecar.meters.count("store", "lease")


def _lose(sidecar: Sidecar, duty: Duty, error: StoreError) -> None:
    if duty.revision:
        sidecar.log(LogEvent.CONTROL_LOST, service="")
    duty.revision = duty.lease = 0
    sidecar.meters.count("store", type(error).__name__)


def _decide(sidecar: Sidecar, duty: Duty, opened: OpenOrder) -> None:
    order = opened.order
    before, waiting = find_takeover(sidecar, order.service)
    members = list(sidecar.members.by_service.get(order.service, {}).values())
    releases = {member.release for member in members}
    takeover = start_takeover(order, opened.revision, before, releases) if waiting else before
    _ask_members(sidecar, duty, order.service, members)
    verdict, reason = _judge(duty, order.service, order.release)
    elapsed_s = max(_find_age(sidecar, duty, opened), takeover.elapsed_s)
    servers = sum(m.release == order.release and not m.leaving for m in members)
    moment = TakeoverObservation(elapsed_s, servers, verdict, reason)
    decided = decide_takeover(takeover, order, moment)
    changed = waiting or (decided.phase, decided.share) != (takeover.phase, takeover.share)
    told = duty.statuses.get(order.service) == (opened.revision, decided.phase)
    if changed or not told:
        _publish(sidecar, duty, opened, attrs.evolve(decided, elapsed_s=elapsed_s))


def _find_age(sidecar: Sidecar, duty: Duty, opened: OpenOrder) -> float:
    """Return the seconds since the order came, as the member knows that saw it first.

    The process that has the duty may have started after the order.
    """
    service = opened.order.service
    ages = [found.order_ages.get(service) for found in duty.counts.get(service, {}).values()]
    told = [age[1] for age in ages if age is not None and age[0] == opened.revision]
    return max([sidecar.clock() - opened.seen_at, *told])


def _publish(sidecar: Sidecar, duty: Duty, opened: OpenOrder, takeover: Takeover) -> None:
    service = opened.order.service
    key = TAKEOVER_PREFIX + service
    known = sidecar.takeovers.get(service)
    status = encode_status(takeover.release, takeover.phase)
    transaction = Transaction(
        # the revision that comes back is that of the last change
        puts=(Put(STATUS_PREFIX + service, status), Put(key, encode_record(takeover))),
        conditions=(
            Condition(DECIDER_KEY, duty.revision),
            Condition(key, known[1] if known else 0),
        ),
    )
    revision = sidecar.store.transact(transaction)
    sidecar.meters.count("store", "write")
    duty.statuses[service] = (opened.revision, takeover.phase)
    sidecar.takeovers[service] = (takeover, revision)
    log_takeover(sidecar, takeover, revision)


def _judge(duty: Duty, service: str, release: str) -> tuple[Verdict, str]:
    found = duty.counts.get(service, {}).values()
    old = [gate.counts for gate in found if gate.release != release]
    return judge_release(old, [gate.counts for gate in found if gate.release == release])


def _ask_members(sidecar: Sidecar, duty: Duty, service: str, members: list[Member]) -> None:
    known = duty.counts.setdefault(service, {})
    pool = eventlet.GreenPool()
    for name, found in pool.imap(lambda member: (member.name, _ask(sidecar, member)), members):
        if found is not None:
            known[(name, found.start_id + found.release)] = found


def _ask(sidecar: Sidecar, member: Member) -> GateCounts | None:
    if member.name == sidecar.settings.name:
        return describe_counts(sidecar)
    counts = ask_member(sidecar, member, COUNTS_PATH, ASK_TIMEOUT_S, GateCounts)
    if counts is None:
        sidecar.meters.count("attempts", "counts_unread")
    return counts


def describe_counts(sidecar: Sidecar) -> GateCounts:
    """Return what this sidecar's gate has counted."""
    latest = sidecar.backend.latest
    release = latest.release if latest else ""
    now = sidecar.clock()
    ages = {
        service: (order.revision, now - order.seen_at) for service, order in sidecar.orders.items()
    }
    return GateCounts(sidecar.start_id, release, sidecar.counts, ages)
