"""Adaptive Retry-After delays for refused callers.

Retries have to spread out more the longer an overload lasts. So the range from which delays are
drawn doubles while many requests are refused and halves while few are. A delay is at most a third
of the time that the caller has left, since a later retry can't succeed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from .placement import LimitWait

INITIAL_SPREAD_S = 0.1  # a slot becomes free within about the duration of one request
MAX_SPREAD_S = 4.0
INTERVAL_S = 0.5
HIGH_REFUSAL_SHARE = 0.2
MAX_TIME_LEFT_SHARE = 1 / 3  # of the caller's time left; callers ignore longer delays


@attrs.define
class RetryAfterState:
    """The refusals and the range of delays of one service at this sidecar.

    Attributes:
        spread_s: The range of delays in seconds.
        offered: The number of requests in this interval.
        refused: The number of refusals in this interval.
        since: The start of the interval, in seconds on the monotonic clock.
    """

    spread_s: float = INITIAL_SPREAD_S
    offered: int = 0
    refused: int = 0
    since: float = 0.0


def count_arrival(state: RetryAfterState, now: float) -> None:
    """Count a request, and adapt the range of delays at the end of an interval."""
    if now - state.since >= INTERVAL_S:
        overloaded = state.refused > HIGH_REFUSAL_SHARE * max(state.offered, 1)
        factor = 2.0 if overloaded else 0.5
        state.spread_s = min(max(state.spread_s * factor, INITIAL_SPREAD_S), MAX_SPREAD_S)
        state.offered = state.refused = 0
        state.since = now
    state.offered += 1


def choose_retry_after(
    state: RetryAfterState,
    time_left_s: float,
    random: Random,
    limit_wait: LimitWait | None = None,
) -> float:
    """Count a refusal and return the seconds after which its caller may retry.

    Args:
        state: The service's state.
        time_left_s: Seconds until the caller stops waiting.
        random: Source of the random delay.
        limit_wait: When rate limits allow the next request, if they are why this one was refused.
            The delay may then exceed what callers heed, since an earlier retry would be in vain.
    """
    state.refused += 1
    return _compute_delay(state, time_left_s, random.random, limit_wait)


def find_retry_after_range(
    state: RetryAfterState, time_left_s: float, limit_wait: LimitWait | None = None
) -> tuple[float, float]:
    """Return the shortest and the longest delay that a refusal may get now; changes nothing.

    Args:
        state: The service's state.
        time_left_s: Seconds until the caller stops waiting.
        limit_wait: When rate limits allow the next request, if they are why it is refused.
    """
    return (
        _compute_delay(state, time_left_s, lambda: 0.0, limit_wait),
        _compute_delay(state, time_left_s, lambda: 1.0, limit_wait),
    )


def _compute_delay(
    state: RetryAfterState,
    time_left_s: float,
    draw: Callable[[], float],
    limit_wait: LimitWait | None,
) -> float:
    """Return a delay in seconds, which rises with each number from 0 to 1 that is drawn."""
    max_delay_s = max(time_left_s * MAX_TIME_LEFT_SHARE, 0.0)
    delay_s = INITIAL_SPREAD_S / 2 + draw() * state.spread_s
    delay_s = min(delay_s, max_delay_s * (0.6 + 0.35 * draw()))
    if limit_wait is None:
        return delay_s
    return max(delay_s, limit_wait.wait_s + draw() * limit_wait.interval_s)
