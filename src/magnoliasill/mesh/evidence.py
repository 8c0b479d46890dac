"""Evidence on a release: counts of answers by route, and the sequential test on them."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import log
from typing import TypeAlias

import attrs

BUCKET_RATIO = 1.5  # between the bounds of two neighbouring buckets
FIRST_BUCKET_S = 0.002  # shorter than any work
BUCKETS = 24
SLOW_FACTOR = 3.0  # times the old release's median; a cold start doubles
FAILURE_FLOOR = 0.02  # share of failures that says nothing against a release
SLOW_FLOOR = 0.06  # share of slow answers that says nothing against a release
RATE_STEP = 0.15  # a bad release's share lies at least this much higher
MAX_RATE = 0.95
ERROR_ODDS = 2_000.0  # a good release is taken back less often than once in these
OLD_RATE_FACTOR = 1.5  # the old release's own rate is known only roughly


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


def find_bucket(seconds: float) -> int:
    """Return the bucket of a duration."""
    if seconds <= FIRST_BUCKET_S:
        return 0
    return min(int(log(seconds / FIRST_BUCKET_S) / log(BUCKET_RATIO)) + 1, BUCKETS - 1)


def add_counts(total: dict[str, RouteCounts], counts: Counts) -> None:
    """Add the counts of one backend server to those of its release."""
    for route, row in counts.items():
        found = total.setdefault(route, RouteCounts())
        found.answers += row.answers
        found.failures += row.failures
        found.seconds = [a + b for a, b in zip(found.seconds, row.seconds, strict=True)]


def judge_release(old: Counts, new: Counts) -> tuple[Verdict, str]:
    """Compare a release with the one before it.

    Args:
        old: Counts of the releases that serve meanwhile.
        new: Counts of the release that takes over.

    Returns:
        The verdict, and why, for a person.
    """
    failing, failing_total = _Test(), _Test()
    for route, row in new.items():
        before = old.get(route, RouteCounts())
        rate = _bound_rate(FAILURE_FLOOR, before.failures, before.answers)
        failing = _Test.build(row.failures, row.answers, rate)
        if failing.is_significant():
            return Verdict.BAD, f"{row.failures} of {row.answers} failed on route {route}"
        failing_total = failing_total.join(failing)
        slow, timed, slow_before, timed_before = _count_slow(before, row)
        if timed_before:
            rate = _bound_rate(SLOW_FLOOR, slow_before, timed_before)
            if _Test.build(slow, timed, rate).is_significant():
                return Verdict.BAD, f"{slow} of {timed} were slow on route {route}"
    if failing_total.is_significant():
        return Verdict.BAD, "answers failed on several routes"
    return Verdict.UNCLEAR, ""


@attrs.frozen
class _Test:
    """A sequential probability ratio test, as the logarithm of its ratio."""

    score: float = 0.0

    @classmethod
    def build(cls, hits: int, calls: int, rate: float) -> _Test:
        """Test whether hits come at a rate that is higher by `RATE_STEP`."""
        higher = min(rate + RATE_STEP, MAX_RATE)
        score = hits * log(higher / rate) + (calls - hits) * log((1 - higher) / (1 - rate))
        return cls(score)

    def join(self, other: _Test) -> _Test:
        """Return the test on both samples."""
        return _Test(self.score + other.score)

    def is_significant(self) -> bool:
        """Return whether the higher rate is so much more likely."""
        return self.score >= log(ERROR_ODDS)


def _bound_rate(floor: float, hits: int, calls: int) -> float:
    rate = OLD_RATE_FACTOR * hits / calls if calls else 0.0
    return min(max(floor, rate), MAX_RATE - RATE_STEP)


def _count_slow(old: RouteCounts, new: RouteCounts) -> tuple[int, int, int, int]:
    timed_before = sum(old.seconds)
    seen, median = 0, 0
    for bucket, count in enumerate(old.seconds):
        seen += count
        if seen * 2 >= timed_before:
            median = bucket
            break
    first_slow = median + int(log(SLOW_FACTOR) / log(BUCKET_RATIO)) + 1
    return (
        sum(new.seconds[first_slow:]),
        sum(new.seconds),
        sum(old.seconds[first_slow:]),
        timed_before,
    )
