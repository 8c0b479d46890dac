"""Likelihood ratio test for a release that answers more slowly than the established releases.

Backend servers differ in speed: a good release on a slow server takes longer than an established
release on fast ones. So the durations of each server are compared with the distribution of the
established releases, shifted to the speed of that server. A bad release either shifts by more than
servers differ, or answers a part of its requests much later than the rest.
"""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate
from math import log
from typing import TypeAlias

BUCKET_RATIO = 1.25  # between the bounds of adjacent buckets
FIRST_BUCKET_S = 0.002  # shorter than the work of any request
BUCKETS = 42  # the last one starts at 15 s, which is longer than any deadline
MIN_ANSWERS = 10  # of one server, needed to estimate its speed
SPEED_SLACK = 2  # buckets outside the range of established servers; a busier server is slower
OUTLIER_SHARE = 0.05  # of answers, outside the distribution: a lost packet, a server that hung
SLOW_SHARES = (0.1, 0.25, 0.5, 0.75, 1.0)  # of a bad release's answers that are slow
SLOW_SHIFTS_IN_BUCKETS = (5, 8, 11)  # 3, 6 and 12 times slower
SMOOTHING_KERNEL = ((-1, 0.25), (0, 0.5), (1, 0.25))  # for a distribution from few answers
ALTERNATIVE_COUNT = len(SLOW_SHARES) * len(SLOW_SHIFTS_IN_BUCKETS)

Histogram: TypeAlias = Sequence[int]


def find_bucket(seconds: float) -> int:
    """Return the index of the histogram bucket of a duration."""
    if seconds <= FIRST_BUCKET_S:
        return 0
    return min(int(log(seconds / FIRST_BUCKET_S) / log(BUCKET_RATIO)) + 1, BUCKETS - 1)


def score_slowness(old: Sequence[Histogram], new: Sequence[Histogram]) -> float:
    """Return the log likelihood ratio of a slow release against a good one.

    Args:
        old: The duration histogram of each backend server of the established releases.
        new: The duration histogram of each backend server of the release under evaluation.

    Returns:
        The logarithm of the ratio of the two maximum likelihoods.
    """
    established = [server for server in old if sum(server) >= MIN_ANSWERS]
    candidates = [_list_nonempty_buckets(server) for server in new if any(server)]
    if not established or not candidates:
        return 0.0
    medians = [_find_median(server) for server in established]
    shape = _build_shape(established, medians)
    speeds = range(min(medians) - SPEED_SLACK, max(medians) + SPEED_SLACK + 1)
    normal = [_shift_shape(shape, speed) for speed in speeds]
    normal_score = _fit_all(candidates, [(shares, shares) for shares in normal], 0.0)
    best_score = normal_score
    for shift in SLOW_SHIFTS_IN_BUCKETS:
        pairs = [
            (_shift_shape(shape, speed), _shift_shape(shape, speed + shift)) for speed in speeds
        ]
        best_score = max(best_score, *(_fit_all(candidates, pairs, share) for share in SLOW_SHARES))
    return best_score - normal_score


def _list_nonempty_buckets(histogram: Histogram) -> list[tuple[int, int]]:
    return [(bucket, count) for bucket, count in enumerate(histogram) if count]


def _fit_all(
    servers: list[list[tuple[int, int]]],
    pairs: list[tuple[list[float], list[float]]],
    share: float,
) -> float:
    """Return the log likelihood of all answers, with each server at its most likely speed.

    Args:
        servers: The nonempty buckets of each server, and their counts.
        pairs: For each speed, the distributions of normal and of slow answers over the buckets.
        share: The share of slow answers.
    """
    return sum(
        max(
            sum(
                count * log((1 - share) * normal[bucket] + share * slow[bucket])
                for bucket, count in server
            )
            for normal, slow in pairs
        )
        for server in servers
    )


def _find_median(histogram: Histogram) -> int:
    half = sum(histogram) / 2
    return next(bucket for bucket, seen in enumerate(accumulate(histogram)) if seen >= half)


def _build_shape(servers: Sequence[Histogram], medians: Sequence[int]) -> dict[int, float]:
    """Return the smoothed distribution of answers by bucket distance from their server's median."""
    total = sum(map(sum, servers))
    shape: dict[int, float] = {}
    for server, median in zip(servers, medians, strict=True):
        for bucket, count in enumerate(server):
            for offset, weight in SMOOTHING_KERNEL if count else ():
                distance = bucket - median + offset
                shape[distance] = shape.get(distance, 0.0) + weight * count / total
    return shape


def _shift_shape(shape: dict[int, float], speed: int) -> list[float]:
    shares = [OUTLIER_SHARE / BUCKETS] * BUCKETS
    for distance, share in shape.items():
        bucket = min(max(speed + distance, 0), BUCKETS - 1)
        shares[bucket] += (1 - OUTLIER_SHARE) * share
    return shares
