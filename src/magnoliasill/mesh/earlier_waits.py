"""Estimates how long a caller has already waited when it retries after a refusal.

A caller's latency target counts from its first attempt, so most retries can't meet it any more and
should not delay requests that can. A retry is recognised by its time left, which is shorter than
what callers of the route usually have on their first attempt.
"""

from __future__ import annotations

from collections import deque

import attrs

MAX_SAMPLES = 64
MIN_SAMPLES = 16
USUAL_QUANTILE = 0.9  # of the samples, since first attempts have the most time left
MIN_TIMEOUT_RATIO = 0.85  # of the usual; timeouts of callers of one route differ by about 1/7


@attrs.define
class TimeLeftSamples:
    """Samples of the time that recent callers of one route had left, in seconds."""

    left_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))


def estimate_earlier_wait(samples: TimeLeftSamples, left_s: float) -> float:
    """Record an attempt, and return a lower bound on its caller's earlier wait in seconds.

    Args:
        samples: The samples of the route.
        left_s: Seconds until the caller stops waiting.
    """
    samples.left_s.append(left_s)
    if len(samples.left_s) < MIN_SAMPLES:
        return 0.0
    usual_s = sorted(samples.left_s)[int(USUAL_QUANTILE * (len(samples.left_s) - 1))]
    return max(MIN_TIMEOUT_RATIO * usual_s - left_s, 0.0)
