"""Collects the response counts of a service's gates, and tells the gates which releases to stop.

Whoever judges a release asks all gates of its service for their counts, over the gates' own port.
The request carries the verdict, if there is one, so that it reaches the gates also while the store
or the leader fails.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlencode, urlsplit

import attrs
import eventlet

from ..codes import LogEvent
from ..mesh.coverage import find_uncovered_route
from ..mesh.evidence import Tally, Verdict, is_proven_good, judge_release, sum_counts
from ..mesh.failure_trends import judge_trends
from ..mesh.gate_counts import (
    CollectedCounts,
    GateCounts,
    list_counts,
    restore_counts,
    tally_counts,
)
from ..mesh.restored_takeovers import adopt_order
from ..mesh.reviews import judge_completed_release, start_review
from ..mesh.takeovers import ReleaseStop
from ..urgent_hub import inherit_urgency
from .member_requests import request_from_member
from .state import find_takeover
from .takeover_items import learn_decision

if TYPE_CHECKING:
    from ..mesh.members import Member
    from ..mesh.takeovers import Order, Takeover
    from .state import OpenOrder, Sidecar

COUNTS_PATH = "/mesh/counts"
COUNTS_TIMEOUT_S = 0.5


@attrs.frozen
class Evaluation:
    """The result of comparing a release with the established ones.

    Attributes:
        verdict: The verdict.
        reason: Its human-readable reason.
        is_proven: Whether the release's answers make it unlikely that it is bad.
        before: The answers of the established releases, by route.
        after: The same of the release.
    """

    verdict: Verdict
    reason: str
    is_proven: bool
    before: dict[str, Tally]
    after: dict[str, Tally]

    @property
    def answers(self) -> int:
        """The number of the release's answers."""
        return sum(tally.answers for tally in self.after.values())

    @property
    def failures(self) -> int:
        """The number of failures among them."""
        return sum(tally.failures for tally in self.after.values())


def answer_counts_request(sidecar: Sidecar, target: str) -> GateCounts:
    """Return this sidecar's counts, and adopt the stop that the request carries.

    Args:
        sidecar: State of this sidecar.
        target: Request target, with the stop in its query if there is one.
    """
    sidecar.counts_collected_at = sidecar.clock()
    query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
    if "stopped" in query and query.get("order", "").isdecimal():
        stop = ReleaseStop(
            query.get("service", ""), query["stopped"], int(query["order"]), query.get("reason", "")
        )
        record_stop(sidecar, stop)
    return describe_counts(sidecar)


def describe_counts(sidecar: Sidecar) -> GateCounts:
    """Return the response counts and order ages of this sidecar."""
    latest = sidecar.backend.latest
    now = sidecar.clock()
    ages = {
        service: (order.revision, now - order.seen_at) for service, order in sidecar.orders.items()
    }
    return GateCounts(
        sidecar.start_id,
        latest.release if latest else "",
        sidecar.route_counts,
        ages,
        sidecar.stops.get(latest.service) if latest else None,
        _find_unstored_takeover(sidecar, latest.service) if latest else None,
    )


def _find_unstored_takeover(sidecar: Sidecar, service: str) -> Takeover | None:
    """Return a service's takeover if the store has lost its state, for the leader to write."""
    is_unstored = service in sidecar.unstored_takeovers
    return sidecar.takeovers[service][0] if is_unstored else None


def record_stop(sidecar: Sidecar, stop: ReleaseStop) -> None:
    """Stop a release here, unless the stop belongs to an older order than the known one."""
    known, open_order = sidecar.stops.get(stop.service), sidecar.orders.get(stop.service)
    if open_order is not None:
        stop = adopt_order(stop, open_order.revision, open_order.order.release)
    if known is not None and known.order_revision >= stop.order_revision:
        return
    sidecar.stops[stop.service] = stop
    sidecar.log(
        LogEvent.RELEASE_STOPPED,
        service=stop.service,
        release=stop.release,
        reason=stop.reason,
        revision=stop.order_revision,
    )


def find_stop(sidecar: Sidecar, open_order: OpenOrder) -> ReleaseStop | None:
    """Return the stop of the release that an order asks for, or None."""
    stop = sidecar.stops.get(open_order.order.service)
    if stop is None or stop.order_revision != open_order.revision:
        return None
    return stop if stop.release == open_order.order.release else None


def collect_counts(sidecar: Sidecar, open_order: OpenOrder) -> CollectedCounts:
    """Ask all gates of an order's service for their counts; tell them of a stop.

    Returns:
        The counts, together with those that were collected before for the same order.
    """
    service = open_order.order.service
    collected = sidecar.collected_counts.get(service)
    if collected is None or collected.order_revision != open_order.revision:
        collected = sidecar.collected_counts[service] = CollectedCounts(open_order.revision)
    target = _build_target(find_stop(sidecar, open_order))
    members = list(sidecar.members.by_service.get(service, {}).values())
    pool = eventlet.GreenPool()
    for member, counts in pool.imap(
        inherit_urgency(lambda member: (member, _fetch_counts(sidecar, member, target))), members
    ):
        if counts is None:
            continue
        collected.by_process[(member.name, counts.start_id + counts.release)] = counts
        if counts.stop is not None and counts.stop.service == service:
            record_stop(sidecar, counts.stop)
        if counts.takeover is not None and counts.takeover.service == service:
            learn_decision(sidecar, counts.takeover)
    takeover, pending_release = find_takeover(sidecar, service)
    if takeover is not None and not pending_release and not collected.has_restored:
        restore_counts(collected, takeover)
    return collected


def _build_target(stop: ReleaseStop | None) -> str:
    if stop is None:
        return COUNTS_PATH
    query = {
        "service": stop.service,
        "stopped": stop.release,
        "order": str(stop.order_revision),
        "reason": stop.reason,
    }
    return f"{COUNTS_PATH}?{urlencode(query)}"


def _fetch_counts(sidecar: Sidecar, member: Member, target: str) -> GateCounts | None:
    if member.name == sidecar.settings.name:
        return describe_counts(sidecar)
    counts = request_from_member(sidecar, member, target, COUNTS_TIMEOUT_S, GateCounts)
    if counts is None:
        sidecar.meters.count("attempts", "counts_unread")
    return counts


def evaluate_release(collected: CollectedCounts, release: str) -> Evaluation:
    """Judge a release by the counts of its gates and of the other releases' gates."""
    old = list_counts(collected, release, established=True)
    new = list_counts(collected, release, established=False)
    before, after = sum_counts(old), sum_counts(new)
    uncovered = find_uncovered_route(collected.coverages, before, after)
    findings = (
        judge_release(old, new),
        judge_trends(collected.trends, before, after),
        (Verdict.DOUBTFUL if uncovered else Verdict.UNCLEAR, uncovered),
    )
    verdict, reason = max(findings, key=lambda finding: finding[0].rank)
    is_proven = is_proven_good(before, after)
    return Evaluation(verdict, reason, is_proven, tally_counts(before), tally_counts(after))


def review_release(
    sidecar: Sidecar, collected: CollectedCounts, order: Order
) -> tuple[Verdict, str]:
    """Judge a release whose takeover was completed.

    Args:
        sidecar: State of this sidecar.
        collected: The counts of the service's gates.
        order: The order that the takeover was for.
    """
    processes = {
        key: gate.counts
        for key, gate in collected.by_process.items()
        if gate.release == order.release
    }
    if collected.review is None:
        collected.review = start_review(processes)
    before = sum_counts(list_counts(collected, order.release, established=True))
    has_alternative = count_servers(sidecar, order, established=True) > 0
    return judge_completed_release(collected.review, before, processes, has_alternative)


def count_servers(sidecar: Sidecar, order: Order, established: bool) -> int:
    """Return the number of servers that take requests, of the ordered release or of all others."""
    members = sidecar.members.by_service.get(order.service, {}).values()
    return sum(
        not member.leaving and (member.release != order.release) is established
        for member in members
    )


def find_order_age(sidecar: Sidecar, open_order: OpenOrder, collected: CollectedCounts) -> float:
    """Return the seconds since any member first saw the order.

    This sidecar's own age of the order is too low if its process started after the order was
    placed.
    """
    service = open_order.order.service
    ages = [gate.order_ages.get(service) for gate in collected.by_process.values()]
    reported = [age[1] for age in ages if age is not None and age[0] == open_order.revision]
    return max([sidecar.clock() - open_order.seen_at, *reported])
