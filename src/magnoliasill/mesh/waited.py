"""How long a caller has waited before this attempt.

The pattern: callers that come back after a refusal. Their targets count from their first
attempts, so most of them can't be served in time any more, and should not keep those from it who
can. A caller that comes back has less time left than callers of its route usually have at first.
"""

from __future__ import annotations

from collections import deque

import attrs

MAX_SAMPLES = 64
MIN_SAMPLES = 16
USUAL_QUANTILE = 0.9  # of the samples; first attempts have the most time left
MIN_PATIENCE_RATIO = 0.85  # callers of one route differ in their patience by about a seventh


@attrs.define
class TimeLeftSamples:
    """The time that callers of one route had left lately, in seconds."""

    left_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=MAX_SAMPLES))


def estimate_earlier_wait(patience: TimeLeftSamples, left_s: float) -> float:
    """Note an attempt, and return the seconds that its caller has surely waited before.

    Args:
        patience: The route's.
        left_s: Seconds that the caller still waits.
    """
    patience.left_s.append(left_s)
    if len(patience.left_s) < MIN_SAMPLES:
        return 0.0
    usual_s = sorted(patience.left_s)[int(USUAL_QUANTILE * (len(patience.left_s) - 1))]
    return max(MIN_PATIENCE_RATIO * usual_s - left_s, 0.0)
