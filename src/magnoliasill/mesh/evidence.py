"""Evidence on a release: counts of answers by route, and the sequential test on them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from math import exp, log
from typing import TypeAlias

import attrs

from .slowness import ALTERNATIVES, BUCKETS, find_bucket, score_slowness

TOLERATED_FAILURE_RATE = 0.02  # share of failures that says nothing against a release
RATE_INCREASES = (0.04, 0.08, 0.15, 0.3)  # a fault under load fails few answers at a small share
MAX_FAILURE_RATE = 0.95
FALSE_ALARM_ODDS = 2_000.0  # a good release is taken back less often than once in these
BASELINE_RATE_FACTOR = 1.5  # the old release's own rate is known only roughly
FAILURE_SCORE_LIMIT = log(FALSE_ALARM_ODDS)
SLOWNESS_SCORE_LIMIT = log(
    FALSE_ALARM_ODDS * ALTERNATIVES
)  # each of the ways to be slow may err by chance


class Verdict(Enum):
    """What the answers say of a release."""

    UNCLEAR = "unclear"
    BAD = "bad"


@attrs.define
class RouteCounts:
    """Answers to one route's requests.

    Attributes:
        answers: How many there were.
        failures: How many of them were failures.
        seconds: How many successes lasted how long, by bucket.
    """

    answers: int = 0
    failures: int = 0
    seconds: list[int] = attrs.field(factory=lambda: [0] * BUCKETS)


Counts: TypeAlias = Mapping[str, RouteCounts]


def count_answer(
    counts: dict[str, RouteCounts], route: str, failed: bool, seconds: float, cold: bool
) -> None:
    """Count an answer of the backend server.

    Args:
        counts: By route.
        route: The route's name.
        failed: Whether it was a failure.
        seconds: How long it took.
        cold: Whether the server is in its cold start, when slowness says nothing.
    """
    route_counts = counts.get(route)
    if route_counts is None:
        route_counts = counts[route] = RouteCounts()
    route_counts.answers += 1
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
        route_total.seconds = [
            a + b for a, b in zip(route_total.seconds, route_counts.seconds, strict=True)
        ]


def judge_release(old: Sequence[Counts], new: Sequence[Counts]) -> tuple[Verdict, str]:
    """Compare a release with the one before it.

    Args:
        old: By backend server, counts of the releases that serve meanwhile.
        new: By backend server, counts of the release that takes over.

    Returns:
        The verdict, and why, for a person.
    """
    before, after = _sum_counts(old), _sum_counts(new)
    total = 0.0
    for route, route_counts in after.items():
        baseline = before.get(route, RouteCounts())
        score = score_failures(
            route_counts.failures, route_counts.answers, _estimate_baseline_rate(baseline)
        )
        if score >= FAILURE_SCORE_LIMIT:
            reason = f"{route_counts.failures} of {route_counts.answers} failed on route {route}"
            return Verdict.BAD, f"{reason}, {baseline.failures} of {baseline.answers} before"
        total += score
        score = score_slowness(_list_durations(old, route), _list_durations(new, route))
        if score >= SLOWNESS_SCORE_LIMIT:
            reason = f"{sum(route_counts.seconds)} answers were slow on route {route}"
            return Verdict.BAD, f"{reason}, score {score:.1f}"
    if total >= FAILURE_SCORE_LIMIT:
        return Verdict.BAD, "answers failed on several routes"
    return Verdict.UNCLEAR, ""


def _sum_counts(servers: Sequence[Counts]) -> dict[str, RouteCounts]:
    total: dict[str, RouteCounts] = {}
    for counts in servers:
        add_counts(total, counts)
    return total


def _list_durations(servers: Sequence[Counts], route: str) -> list[list[int]]:
    return [counts[route].seconds for counts in servers if route in counts]


def score_failures(failures: int, answers: int, rate: float) -> float:
    """Return how much likelier higher rates of failures are than a known one.

    Args:
        failures: How many answers were failures.
        answers: How many there were.
        rate: The known rate.

    Returns:
        The logarithm of the likelihood ratio, as a mean over the rates that a bad release may have.
    """
    scores = []
    for increase in RATE_INCREASES:
        raised_rate = min(rate + increase, MAX_FAILURE_RATE)
        score = failures * log(raised_rate / rate)
        scores.append(score + (answers - failures) * log((1 - raised_rate) / (1 - rate)))
    best = max(scores)
    return best + log(sum(exp(score - best) for score in scores) / len(scores))


def _estimate_baseline_rate(baseline: RouteCounts) -> float:
    rate = BASELINE_RATE_FACTOR * baseline.failures / baseline.answers if baseline.answers else 0.0
    return min(max(TOLERATED_FAILURE_RATE, rate), MAX_FAILURE_RATE - max(RATE_INCREASES))
