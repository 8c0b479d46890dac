"""CUSUM test for a release that begins to fail after it has answered well for some time.

A test on all answers needs the more failures, the more good answers came before. This one compares
the answers between two evaluations with those of the established releases in the same time, so that
a fault that all releases share says nothing about one of them.
"""

from __future__ import annotations

from math import log

import attrs

from .evidence import (
    BASELINE_RATE_FACTOR,
    DOUBT_SCORE_LIMIT,
    FALSE_ALARM_ODDS,
    MAX_FAILURE_RATE,
    RouteCounts,
    Verdict,
    estimate_baseline_rate,
)

RATE_INCREASE = 0.15  # over the baseline rate, to test for
# The average number of a good release's answers until a false alarm is at least the exponential of
# the limit. A takeover has some hundred.
ANSWERS_PER_TAKEOVER = 500
SCORE_LIMIT = log(FALSE_ALARM_ODDS * ANSWERS_PER_TAKEOVER)
KEPT_SHARE = 0.7  # weight of earlier answers in the recent failure rate, at each evaluation
MIN_RECENT_ANSWERS = 20  # of the established releases, needed to estimate that rate


@attrs.define
class FailureTrend:
    """The state of the test on one route.

    Attributes:
        before: All answers of the established releases at the last evaluation.
        after: The same of the release under evaluation.
        recent_answers: The recent answers of the established releases, weighted by age.
        recent_failures: The failures among them.
        recent_rate: Their recent failure rate, when it could last be estimated.
        score: The CUSUM statistic.
    """

    before: RouteCounts = attrs.field(factory=RouteCounts)
    after: RouteCounts = attrs.field(factory=RouteCounts)
    recent_answers: float = 0.0
    recent_failures: float = 0.0
    recent_rate: float = 0.0
    score: float = 0.0


def judge_trends(
    trends: dict[str, FailureTrend], before: dict[str, RouteCounts], after: dict[str, RouteCounts]
) -> tuple[Verdict, str]:
    """Update the test on each route with the answers since the last evaluation.

    Args:
        trends: The state by route; routes are added.
        before: All answers of the established releases so far, by route.
        after: The same of the release under evaluation.

    Returns:
        The verdict, and a human-readable reason.
    """
    verdict, reason = Verdict.UNCLEAR, ""
    for route, route_counts in after.items():
        trend = trends.setdefault(route, FailureTrend())
        baseline = before.get(route, RouteCounts())
        answers, failures = _count_new(trend.after, route_counts)
        _update_baseline(trend, baseline)
        _update_score(trend, answers, failures)
        trend.before, trend.after = _copy(baseline), _copy(route_counts)
        found = _classify(trend.score)
        if found.rank > verdict.rank:
            verdict = found
            reason = f"answers on route {route} began to fail, score {trend.score:.1f}"
    return verdict, reason


def _classify(score: float) -> Verdict:
    if score >= SCORE_LIMIT:
        return Verdict.BAD
    return Verdict.DOUBTFUL if score >= DOUBT_SCORE_LIMIT else Verdict.UNCLEAR


def _update_baseline(trend: FailureTrend, baseline: RouteCounts) -> None:
    answers, failures = _count_new(trend.before, baseline)
    trend.recent_answers = KEPT_SHARE * trend.recent_answers + answers
    trend.recent_failures = KEPT_SHARE * trend.recent_failures + failures
    if trend.recent_answers >= MIN_RECENT_ANSWERS:
        trend.recent_rate = trend.recent_failures / trend.recent_answers
    trend.before = baseline


def _update_score(trend: FailureTrend, answers: int, failures: int) -> None:
    recent_rate = BASELINE_RATE_FACTOR * trend.recent_rate
    rate = max(estimate_baseline_rate(trend.before), recent_rate)
    rate = min(rate, MAX_FAILURE_RATE - RATE_INCREASE)
    raised_rate = rate + RATE_INCREASE
    score = failures * log(raised_rate / rate)
    score += (answers - failures) * log((1 - raised_rate) / (1 - rate))
    trend.score = max(0.0, trend.score + score)


def _count_new(known: RouteCounts, counts: RouteCounts) -> tuple[int, int]:
    return max(counts.answers - known.answers, 0), max(counts.failures - known.failures, 0)


def _copy(counts: RouteCounts) -> RouteCounts:
    return RouteCounts(counts.answers, counts.failures, [])
