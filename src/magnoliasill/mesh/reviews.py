"""Judges a release after its takeover was completed, when its servers answer all requests.

There is no established release left to compare with, and often none to return to. So only answers
that report a failure count, and only if the failures are not those of a few servers: a server that
fails by itself says nothing of the release.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, TypeAlias

import attrs

from .evidence import (
    DOUBT_SCORE_LIMIT,
    Counts,
    RouteCounts,
    Verdict,
    estimate_baseline_rate,
    score_failures,
)
from .failure_trends import FailureTrend, judge_trends

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_BASELINE_ANSWERS = 30  # of the established releases, needed to estimate the usual failure rate
LEFT_OUT_SHARE = 1 / 3  # of the servers: those that failed most
# Without another release that has servers, a stop refuses everyone. The bound on a bad release
# allows 50 bad answers, so most of them are used up first.
MIN_FAILURES_ALONE = 40

ServerKey: TypeAlias = tuple[str, str]


@attrs.define
class Review:
    """The state of a review.

    Attributes:
        counted_before: The counts of each process when the review began, by member name and
            process; a process that started later has none.
        trends: The state of the test for a raised failure rate, by route.
    """

    counted_before: dict[ServerKey, dict[str, RouteCounts]] = attrs.field(factory=dict)
    trends: dict[str, FailureTrend] = attrs.field(factory=dict)


def start_review(processes: Mapping[ServerKey, Counts]) -> Review:
    """Begin a review; only answers from now on count.

    Args:
        processes: The counts of the release so far, by member name and process.
    """
    return Review(
        {
            key: {route: attrs.evolve(row) for route, row in counts.items()}
            for key, counts in processes.items()
        }
    )


def judge_completed_release(
    review: Review,
    before: Counts,
    processes: Mapping[ServerKey, Counts],
    has_alternative: bool,
) -> tuple[Verdict, str]:
    """Judge a release by its answers since the review began.

    Args:
        review: The state, which is updated.
        before: All answers of the established releases, by route.
        processes: The counts of the release, by member name and process.
        has_alternative: Whether another release still has servers.

    Returns:
        BAD or UNCLEAR, and a human-readable reason.
    """
    if sum(counts.answers for counts in before.values()) < MIN_BASELINE_ANSWERS:
        return Verdict.UNCLEAR, ""
    servers = _sum_by_server(review, processes)
    total: dict[str, RouteCounts] = {}
    for counts in servers.values():
        _add(total, counts)
    verdict, reason = judge_trends(review.trends, dict(before), total)
    if verdict is not Verdict.BAD or not _is_widespread(servers, before):
        return Verdict.UNCLEAR, ""
    failures = sum(counts.failures for counts in total.values())
    if not has_alternative and failures < MIN_FAILURES_ALONE:
        return Verdict.UNCLEAR, ""
    return Verdict.BAD, f"after its takeover, {reason}"


def _sum_by_server(
    review: Review, processes: Mapping[ServerKey, Counts]
) -> dict[str, dict[str, RouteCounts]]:
    servers: dict[str, dict[str, RouteCounts]] = {}
    for key, counts in processes.items():
        known = review.counted_before.get(key, {})
        new = {
            route: _subtract(row, known.get(route, RouteCounts())) for route, row in counts.items()
        }
        _add(servers.setdefault(key[0], {}), new)
    return servers


def _subtract(counts: RouteCounts, known: RouteCounts) -> RouteCounts:
    """Return the answers since then, without those that timed out: any overload causes these."""
    timeouts = counts.timeouts - known.timeouts
    answers = counts.answers - known.answers - timeouts
    return RouteCounts(answers, counts.failures - known.failures - timeouts, [])


def _add(total: dict[str, RouteCounts], counts: Counts) -> None:
    for route, row in counts.items():
        sum_row = total.setdefault(route, RouteCounts(seconds=[]))
        sum_row.answers += row.answers
        sum_row.failures += row.failures


def _is_widespread(servers: Mapping[str, Counts], before: Counts) -> bool:
    """Return whether also the servers that failed least have failed more than usual."""
    answering = [counts for counts in servers.values() if any(r.answers for r in counts.values())]
    answering.sort(key=lambda counts: sum(row.failures for row in counts.values()))
    left_out = ceil(LEFT_OUT_SHARE * len(answering)) if len(answering) > 1 else 0
    kept: dict[str, RouteCounts] = {}
    for counts in answering[: len(answering) - left_out]:
        _add(kept, counts)
    score = 0.0
    for route, row in kept.items():
        rate = estimate_baseline_rate(before.get(route, RouteCounts()))
        score = max(score, score_failures(row.failures, row.answers, rate))
    return score >= DOUBT_SCORE_LIMIT
