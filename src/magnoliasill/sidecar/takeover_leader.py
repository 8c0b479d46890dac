"""Leader election by a leased store item, and the leader's decisions on takeovers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs
import eventlet

from ..codes import LogEvent
from ..errors import ConditionFailedError, LeaseEndedError, StoreError
from ..mesh.evidence import Verdict
from ..mesh.gate_counts import estimate_rate
from ..mesh.records import LEADER_KEY, TAKEOVER_PREFIX, encode_record
from ..mesh.store_items import Condition, Put, Transaction
from ..mesh.takeovers import (
    Phase,
    ReleaseStop,
    TakeoverObservation,
    decide_takeover,
    find_unproven_share,
    is_rising,
    plan_course,
    start_takeover,
)
from ..platform.operator_configuration import STATUS_PREFIX, encode_status
from ..urgent_hub import inherit_urgency, spawn_urgent
from .release_counts import (
    collect_counts,
    count_servers,
    evaluate_release,
    find_order_age,
    find_stop,
    record_stop,
)
from .state import find_takeover, log_takeover

if TYPE_CHECKING:
    from ..mesh.takeovers import Takeover
    from .release_counts import Evaluation
    from .state import OpenOrder, Sidecar

DECISION_INTERVAL_S = 0.4  # between two evaluations of a release's responses
RAMP_INTERVAL_S = 0.2  # the same while its share rises
# Between two writes of a running takeover's evidence, which outlives the processes that have it.
EVIDENCE_INTERVAL_S = 4.0
FAILURE_INTERVAL_S = 1.0  # the same while the release fails
MIN_PAUSE_S = 0.1  # after an evaluation that took long, since some gates did not answer
LEASE_S = 1.5  # how soon another sidecar can lead after the leader died; renewed every decision
# Delay before competing for leadership, per position in the members' name order: most sidecars
# then find that another one leads and send no requests to the store.
RANK_DELAY_S = 0.15
MAX_RANK = 8


@attrs.define
class Leadership:
    """This sidecar's leadership of takeover decisions.

    Attributes:
        revision: The position of the leader item while this sidecar leads, or 0.
        lease: The lease of that item, or 0.
        statuses: By service, the order's position and the phase last published for operators.
    """

    revision: int = 0
    lease: int = 0
    statuses: dict[str, tuple[int, Phase]] = attrs.field(factory=dict)

    def end(self) -> None:
        """Forget the leadership; the store may come to lack what was published."""
        self.revision = self.lease = 0
        self.statuses.clear()


def run_takeover_leader(sidecar: Sidecar) -> None:
    """Decide on open takeovers while this sidecar is the leader, until the process ends."""
    leadership = Leadership()
    pool = eventlet.GreenPool()
    spent_s = 0.0
    while True:
        eventlet.sleep(max(_find_interval(sidecar) - spent_s, MIN_PAUSE_S))
        started = sidecar.clock()
        open_orders = list_open_orders(sidecar)
        try:
            if not open_orders or sidecar.stop_schedule is not None:
                _release_leadership(sidecar, leadership)
                continue
            if not _acquire_or_renew(sidecar, leadership):
                continue
            advance = partial(_try_to_advance, sidecar, leadership)
            for error in list(pool.imap(inherit_urgency(advance), open_orders)):
                if error is not None:
                    raise error
        except (ConditionFailedError, LeaseEndedError) as error:
            _record_leadership_loss(sidecar, leadership, error)
        except StoreError:
            sidecar.meters.count("store", "takeover_failed")
        spent_s = sidecar.clock() - started


def _find_interval(sidecar: Sidecar) -> float:
    """Return the seconds between two evaluations."""
    takeovers = (takeover for takeover, _ in sidecar.takeovers.values())
    has_ramp = any(is_rising(takeover) for takeover in takeovers)
    return RAMP_INTERVAL_S if has_ramp else DECISION_INTERVAL_S


def list_open_orders(sidecar: Sidecar) -> list[OpenOrder]:
    """Return the orders whose takeovers are unfinished or whose final state is unpublished."""
    open_orders = []
    for service, order in sidecar.orders.items():
        takeover, pending_release = find_takeover(sidecar, service)
        if pending_release or (takeover is not None and takeover.phase is Phase.RUNNING):
            open_orders.append(order)
        elif takeover is not None and takeover.order_revision == order.revision:
            if takeover.phase is Phase.COMPLETED and find_stop(sidecar, order) is not None:
                open_orders.append(order)
                continue
            status = sidecar.mirror.items.get(STATUS_PREFIX + service)
            expected = encode_status(takeover.release, takeover.phase)
            is_unstored = service in sidecar.unstored_takeovers
            if is_unstored or status is None or status.value != expected:
                open_orders.append(order)
    return open_orders


def _acquire_or_renew(sidecar: Sidecar, leadership: Leadership) -> bool:
    item = sidecar.mirror.items.get(LEADER_KEY)
    own_value = f"{sidecar.settings.name} {sidecar.start_id}".encode()
    if item is not None and item.value is not None and item.revision >= leadership.revision:
        if item.value != own_value or not leadership.lease:
            leadership.end()
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
    lease = leadership.lease
    leadership.end()
    sidecar.log(LogEvent.CONTROL_LOST, service="")
    sidecar.store.end_lease(lease)
    sidecar.meters.count("store", "lease")


def _record_leadership_loss(sidecar: Sidecar, leadership: Leadership, error: StoreError) -> None:
    if leadership.revision:
        sidecar.log(LogEvent.CONTROL_LOST, service="")
    leadership.end()
    sidecar.meters.count("store", type(error).__name__)


def _try_to_advance(
    sidecar: Sidecar, leadership: Leadership, open_order: OpenOrder
) -> StoreError | None:
    """Decide on one takeover; return the error if the decision could not be published."""
    try:
        _advance_takeover(sidecar, leadership, open_order)
    except StoreError as error:
        return error
    return None


def _advance_takeover(sidecar: Sidecar, leadership: Leadership, open_order: OpenOrder) -> None:
    order = open_order.order
    before, pending_release = find_takeover(sidecar, order.service)
    members = list(sidecar.members.by_service.get(order.service, {}).values())
    releases = {member.release for member in members}
    takeover = (
        start_takeover(order, open_order.revision, before, releases) if pending_release else before
    )
    now = sidecar.clock()
    open_order.seen_at = min(open_order.seen_at, now - takeover.age_s)
    evaluation = _judge(sidecar, open_order, takeover)
    if find_takeover(sidecar, order.service)[0] != before:
        return  # the gates know a newer state than the store
    collected = sidecar.collected_counts[order.service]
    age_s = find_order_age(sidecar, open_order, collected)
    rate_per_s = estimate_rate(collected, sidecar.clock())
    if rate_per_s is None:  # this sidecar leads only since then
        rate_per_s = takeover.rate_per_s
    elapsed_s = max(age_s, takeover.age_s)
    bounds = sidecar.settings.bounds
    observation = TakeoverObservation(
        elapsed_s=elapsed_s,
        servers=count_servers(sidecar, order, established=False),
        verdict=evaluation.verdict,
        reason=evaluation.reason,
        is_proven=evaluation.is_proven,
        answers=evaluation.answers,
        rate_per_s=rate_per_s,
        course=plan_course(order.duration_s, rate_per_s, bounds),
        unproven_share=find_unproven_share(
            order, elapsed_s, rate_per_s, evaluation.answers, bounds
        ),
        other_servers=count_servers(sidecar, order, established=True),
    )
    decided = decide_takeover(takeover, order, observation)
    changed = pending_release or (decided.phase, decided.share) != (takeover.phase, takeover.share)
    if changed:
        decided = attrs.evolve(
            decided, elapsed_s=observation.elapsed_s, answered=observation.answers
        )
    is_due = _is_evidence_due(takeover, evaluation, observation.elapsed_s)
    if changed or is_due or not _is_published(sidecar, leadership, open_order, decided):
        decided = attrs.evolve(
            decided,
            age_s=observation.elapsed_s,
            before=evaluation.before,
            after=evaluation.after,
            rate_per_s=rate_per_s,
        )
        _publish(sidecar, leadership, open_order, decided)


def _is_evidence_due(takeover: Takeover, evaluation: Evaluation, elapsed_s: float) -> bool:
    """Return whether the counts of a running takeover must be written again."""
    if takeover.phase is not Phase.RUNNING:
        return False
    has_failed = evaluation.failures > sum(tally.failures for tally in takeover.after.values())
    interval_s = FAILURE_INTERVAL_S if has_failed else EVIDENCE_INTERVAL_S
    return elapsed_s - takeover.age_s >= interval_s


def _is_published(
    sidecar: Sidecar, leadership: Leadership, open_order: OpenOrder, takeover: Takeover
) -> bool:
    if takeover.service in sidecar.unstored_takeovers:
        return False
    if leadership.statuses.get(takeover.service) == (open_order.revision, takeover.phase):
        return True
    status = sidecar.mirror.items.get(STATUS_PREFIX + takeover.service)
    return status is not None and status.value == encode_status(takeover.release, takeover.phase)


def _judge(sidecar: Sidecar, open_order: OpenOrder, takeover: Takeover) -> Evaluation:
    """Collect the counts and judge the ordered release; tell the gates if it is to be stopped."""
    order = open_order.order
    collected = collect_counts(sidecar, open_order)
    sidecar.counts_collected_at = sidecar.clock()
    evaluation = evaluate_release(collected, order.release)
    stop = find_stop(sidecar, open_order)
    if stop is not None:
        return attrs.evolve(evaluation, verdict=Verdict.BAD, reason=stop.reason)
    if takeover.phase is not Phase.RUNNING:  # the gates of the release review it
        return attrs.evolve(evaluation, verdict=Verdict.UNCLEAR, reason="")
    if evaluation.verdict is Verdict.BAD:
        stop = ReleaseStop(order.service, order.release, open_order.revision, evaluation.reason)
        record_stop(sidecar, stop)
        spawn_urgent(collect_counts, sidecar, open_order)  # does not wait for the store
    return evaluation


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
    sidecar.unstored_takeovers.discard(service)
    log_takeover(sidecar, takeover, revision)
