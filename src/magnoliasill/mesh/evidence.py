"""Evidence on a release: counts of answers by route, and the sequential test on them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from math import exp, log
from typing import TypeAlias

import attrs

from .slowness import ALTERNATIVES, BUCKETS, find_bucket, score_slowness

FAILURE_FLOOR = 0.02  # share of failures that says nothing against a release
RATE_STEPS = (0.04, 0.08, 0.15, 0.3)  # a fault under load fails few answers at a small share
MAX_RATE = 0.95
ERROR_ODDS = 2_000.0  # a good release is taken back less often than once in these
OLD_RATE_FACTOR = 1.5  # the old release's own rate is known only roughly
FAILURE_SCORE = log(ERROR_ODDS)
SLOW_SCORE = log(ERROR_ODDS * ALTERNATIVES)  # each of the ways to be slow may err by chance


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
    row = counts.get(route)
    if row is None:
        row = counts[route] = RouteCounts()
    row.answers += 1
    if failed:
        row.failures += 1
    elif not cold:
        row.seconds[find_bucket(seconds)] += 1


def add_counts(total: dict[str, RouteCounts], counts: Counts) -> None:
    """Add the counts of one backend server to those of its release."""
    for route, row in counts.items():
        found = total.setdefault(route, RouteCounts())
        found.answers += row.answers
        found.failures += row.failures
        found.seconds = [a + b for a, b in zip(found.seconds, row.seconds, strict=True)]


def judge_release(old: Sequence[Counts], new: Sequence[Counts]) -> tuple[Verdict, str]:
    """Compare a release with the one before it.

    Args:
        old: By backend server, counts of the releases that serve meanwhile.
        new: By backend server, counts of the release that takes over.

    Returns:
        The verdict, and why, for a person.
    """
    before, after = _add_all(old), _add_all(new)
    total = 0.0
    for route, row in after.items():
        known = before.get(route, RouteCounts())
        score = score_failures(row.failures, row.answers, _bound_rate(known))
        if score >= FAILURE_SCORE:
            reason = f"{row.failures} of {row.answers} failed on route {route}"
            return Verdict.BAD, f"{reason}, {known.failures} of {known.answers} before"
        total += score
        score = score_slowness(_list_durations(old, route), _list_durations(new, route))
        if score >= SLOW_SCORE:
            reason = f"{sum(row.seconds)} answers were slow on route {route}"
            return Verdict.BAD, f"{reason}, score {score:.1f}"
    if total >= FAILURE_SCORE:
        return Verdict.BAD, "answers failed on several routes"
    return Verdict.UNCLEAR, ""


def _add_all(servers: Sequence[Counts]) -> dict[str, RouteCounts]:
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
    for step in RATE_STEPS:
        higher = min(rate + step, MAX_RATE)
        score = failures * log(higher / rate)
        scores.append(score + (answers - failures) * log((1 - higher) / (1 - rate)))
    best = max(scores)
    return best + log(sum(exp(score - best) for score in scores) / len(scores))


def _bound_rate(known: RouteCounts) -> float:
    rate = OLD_RATE_FACTOR * known.failures / known.answers if known.answers else 0.0
    return min(max(FAILURE_FLOOR, rate), MAX_RATE - max(RATE_STEPS))
