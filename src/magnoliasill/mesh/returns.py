"""When a refused caller may return.

The pattern: an overload that lasts. The range from which return times are drawn doubles while many
requests are refused and halves when few are, so that callers return the wider apart the longer it
lasts; within a third of the time that the caller has left, since a later return helps nobody.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

INITIAL_SPREAD_S = 0.1  # a slot becomes free within about one request's time
MAX_SPREAD_S = 4.0
INTERVAL_S = 0.5
HIGH_REFUSAL_SHARE = 0.2
MAX_TIME_LEFT_SHARE = 1 / 3  # of its time left, up to which a caller heeds the advice


@attrs.define
class RetryAfterState:
    """Refusals of one service at this sidecar.

    Attributes:
        spread_s: The range of return times, in seconds.
        offered: Requests in this interval.
        refused: Refusals in this interval.
        since: The start of the interval, in seconds on the monotonic clock.
    """

    spread_s: float = INITIAL_SPREAD_S
    offered: int = 0
    refused: int = 0
    since: float = 0.0


def count_arrival(pressure: RetryAfterState, now: float) -> None:
    """Note a request, and adapt the range at the end of an interval."""
    if now - pressure.since >= INTERVAL_S:
        overloaded = pressure.refused > HIGH_REFUSAL_SHARE * max(pressure.offered, 1)
        factor = 2.0 if overloaded else 0.5
        pressure.spread_s = min(max(pressure.spread_s * factor, INITIAL_SPREAD_S), MAX_SPREAD_S)
        pressure.offered = pressure.refused = 0
        pressure.since = now
    pressure.offered += 1


def choose_retry_after(pressure: RetryAfterState, time_left_s: float, random: Random) -> float:
    """Note a refusal and return the seconds after which its caller may return.

    Args:
        pressure: The service's.
        time_left_s: Seconds that the caller still waits.
        random: The generator of the choice.
    """
    pressure.refused += 1
    max_delay_s = max(time_left_s * MAX_TIME_LEFT_SHARE, 0.0)
    delay_s = INITIAL_SPREAD_S / 2 + random.random() * pressure.spread_s
    return min(delay_s, max_delay_s * (0.6 + 0.35 * random.random()))
