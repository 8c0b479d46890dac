"""Evidence against a release: counts of answers by route, and a sequential test on them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from math import exp, log
from typing import TypeAlias

import attrs

from .fields import Count, Histogram  # noqa: TC001 - msgspec evaluates it
from .slowness import ALTERNATIVE_COUNT, BUCKETS, find_bucket, score_slowness

TOLERATED_FAILURE_RATE = 0.02  # a failure rate up to this is no evidence against a release
# Increases over the baseline rate to test for. Includes small ones, since a fault under load fails
# few answers while the release has a small share.
RATE_INCREASES = (0.04, 0.08, 0.15, 0.3)
MAX_FAILURE_RATE = 0.95
FALSE_ALARM_ODDS = 2_000.0  # a good release is rolled back less often than once in 2000 takeovers
BASELINE_RATE_FACTOR = 1.5  # margin, since the old release's failure rate is only an estimate
FAILURE_SCORE_LIMIT = log(FALSE_ALARM_ODDS)
DOUBT_SCORE_LIMIT = log(50.0)  # far below the other limits, and above what single failures reach
# A release that fails so many more answers counts as bad. The odds decide how many answers prove a
# good one: at a rate of 1 in 100, some 25.
BAD_RATE_INCREASE = 0.08
PROOF_SCORE_LIMIT = -log(4.0)
# Corrected for multiple testing: each alternative may fit a good release by chance.
SLOWNESS_SCORE_LIMIT = log(FALSE_ALARM_ODDS * ALTERNATIVE_COUNT)


class Verdict(Enum):
    """The result of comparing a release with the one before it."""

    UNCLEAR = "unclear"
    DOUBTFUL = "doubtful"  # the evidence is too weak to roll the release back, and points to it
    BAD = "bad"

    @property
    def rank(self) -> int:
        """The position in the order from good to bad."""
        return list(Verdict).index(self)


@attrs.frozen
class Tally:
    """The answers on one route, and how many of them failed."""

    answers: Count
    failures: Count


@attrs.define
class RouteCounts:
    """Counts of a backend server's answers on one route.

    Attributes:
        answers: The number of answers.
        failures: The number of failures among them.
        seconds: A histogram of the durations of successful answers, by bucket.
        timeouts: The number of failures without any answer until the deadline.
    """

    answers: Count = 0
    failures: Count = 0
    seconds: Histogram = attrs.field(factory=lambda: [0] * BUCKETS)
    timeouts: Count = 0


Counts: TypeAlias = Mapping[str, RouteCounts]


def count_answer(
    counts: dict[str, RouteCounts],
    route: str,
    failed: bool,
    seconds: float,
    cold: bool,
    timed_out: bool = False,
) -> None:
    """Count an answer of the backend server.

    Args:
        counts: The server's counts, by route.
        route: The route's name.
        failed: Whether the answer was a failure.
        seconds: How long it took.
        cold: Whether the server is still in its cold start, where a long duration is no evidence.
        timed_out: Whether it is a failure because no answer came until the deadline.
    """
    route_counts = counts.get(route)
    if route_counts is None:
        route_counts = counts[route] = RouteCounts()
    route_counts.answers += 1
    route_counts.timeouts += timed_out
    if failed:
        route_counts.failures += 1
    elif not cold:
        route_counts.seconds[find_bucket(seconds)] += 1


def add_counts(total: dict[str, RouteCounts], counts: Counts) -> None:
    """Add the counts of one backend server to those of its release."""
    for route, route_counts in counts.items():
        route_total = total.setdefault(route, RouteCounts())
        route_total.answers += route_counts.answers
        route_total.failures += route_counts.failures
        route_total.timeouts += route_counts.timeouts
        route_total.seconds = [
            a + b for a, b in zip(route_total.seconds, route_counts.seconds, strict=True)
        ]


def judge_release(old: Sequence[Counts], new: Sequence[Counts]) -> tuple[Verdict, str]:
    """Compare a release with the one before it.

    Args:
        old: Counts of each backend server of the established releases.
        new: Counts of each backend server of the release under evaluation.

    Returns:
        The verdict, and a human-readable reason.
    """
    before, after = sum_counts(old), sum_counts(new)
    total = 0.0
    highest = 0.0
    for route, route_counts in after.items():
        baseline = before.get(route, RouteCounts())
        score = score_failures(
            route_counts.failures, route_counts.answers, estimate_baseline_rate(baseline)
        )
        if score >= FAILURE_SCORE_LIMIT:
            reason = f"{route_counts.failures} of {route_counts.answers} failed on route {route}"
            return Verdict.BAD, f"{reason}, {baseline.failures} of {baseline.answers} before"
        total += score
        highest = max(highest, score)
        score = score_slowness(_list_durations(old, route), _list_durations(new, route))
        if score >= SLOWNESS_SCORE_LIMIT:
            reason = f"{sum(route_counts.seconds)} answers were slow on route {route}"
            return Verdict.BAD, f"{reason}, score {score:.1f}"
    if total >= FAILURE_SCORE_LIMIT:
        return Verdict.BAD, "answers failed on several routes"
    if max(highest, total) >= DOUBT_SCORE_LIMIT:
        return Verdict.DOUBTFUL, f"some answers failed, score {max(highest, total):.1f}"
    return Verdict.UNCLEAR, ""


def sum_counts(servers: Sequence[Counts]) -> dict[str, RouteCounts]:
    """Return the counts of all of a release's backend servers, by route."""
    total: dict[str, RouteCounts] = {}
    for counts in servers:
        add_counts(total, counts)
    return total


def is_proven_good(before: Counts, after: Counts) -> bool:
    """Return whether a release has answered enough, and failed so little, that it can't be bad.

    The absence of a verdict says nothing of a release with few answers. All routes count together.

    Args:
        before: All answers of the established releases, by route.
        after: The same of the release under evaluation.
    """
    score = 0.0
    for route, counts in after.items():
        rate = estimate_baseline_rate(before.get(route, RouteCounts()))
        bad_rate = rate + BAD_RATE_INCREASE
        score += counts.failures * log(bad_rate / rate)
        score += (counts.answers - counts.failures) * log((1 - bad_rate) / (1 - rate))
    return score <= PROOF_SCORE_LIMIT


def _list_durations(servers: Sequence[Counts], route: str) -> list[list[int]]:
    return [counts[route].seconds for counts in servers if route in counts]


def score_failures(failures: int, answers: int, rate: float) -> float:
    """Return the log likelihood ratio of raised failure rates against a baseline rate.

    Args:
        failures: The number of failures among the answers.
        answers: The number of answers.
        rate: The baseline rate.

    Returns:
        The logarithm of the likelihood ratio, averaged over the rates that a bad release may have.
    """
    scores = []
    for increase in RATE_INCREASES:
        raised_rate = min(rate + increase, MAX_FAILURE_RATE)
        score = failures * log(raised_rate / rate)
        scores.append(score + (answers - failures) * log((1 - raised_rate) / (1 - rate)))
    best = max(scores)
    return best + log(sum(exp(score - best) for score in scores) / len(scores))


def estimate_baseline_rate(baseline: RouteCounts) -> float:
    """Return the failure rate that is no evidence against a release.

    Args:
        baseline: All answers of the established releases on the route.
    """
    rate = BASELINE_RATE_FACTOR * baseline.failures / baseline.answers if baseline.answers else 0.0
    return min(max(TOLERATED_FAILURE_RATE, rate), MAX_FAILURE_RATE - max(RATE_INCREASES))
