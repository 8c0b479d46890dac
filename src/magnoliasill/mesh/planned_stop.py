"""A planned stop of a sidecar: which requests it still takes, and when it stops taking any.

Handles requests that arrive late in the grace period. One that can't be expected to finish before
the process ends is refused while it has certainly not run, since it would be cut off otherwise.
"""

from __future__ import annotations

from math import inf

import attrs

# The process exits this long before the end of the grace period, at which the platform kills it.
EXIT_MARGIN_S = 0.5
# Callers are accepted for this long after the signal to stop: it covers two failed readiness
# checks, a second apart, and the last request that a caller then sends.
CALLER_LINGER_S = 2.6
# Other sidecars send requests to this gate for this long after the signal to stop.
GATE_LINGER_S = 1.6
GATE_LINGER_SHARE = 0.3  # of the grace period, at most
# Between the latest expected answer and the exit, so that the answer reaches the caller; callers
# that come too late are refused meanwhile.
ANSWER_MARGIN_S = 0.2
SLOWEST_DECAY = 0.98  # of the slowest duration, with each faster answer


@attrs.frozen
class StopSchedule:
    """The times of a planned stop, in seconds on the monotonic clock.

    Attributes:
        began_at: When the signal to stop arrived.
        gate_closes_at: Until when other sidecars' requests are accepted.
        callers_close_at: Until when callers' requests are accepted.
        exits_at: When the process ends even if requests are still open.
    """

    began_at: float
    gate_closes_at: float
    callers_close_at: float
    exits_at: float


def plan_stop(now: float, grace_s: float) -> StopSchedule:
    """Return the schedule of a stop that begins now.

    Args:
        now: Seconds on the monotonic clock.
        grace_s: Seconds from the signal to stop until the process is killed.
    """
    exits_at = now + max(grace_s - EXIT_MARGIN_S, grace_s / 2)
    callers_close_at = min(now + CALLER_LINGER_S, exits_at - ANSWER_MARGIN_S)
    gate_closes_at = min(now + min(GATE_LINGER_S, GATE_LINGER_SHARE * grace_s), callers_close_at)
    return StopSchedule(now, gate_closes_at, callers_close_at, exits_at)


def observe_duration(slowest_s: dict[str, float], route: str, seconds: float) -> None:
    """Update the slowest recent duration of a route's requests.

    Args:
        slowest_s: The slowest recent durations in seconds, by route.
        route: The route's name.
        seconds: How long a request took.
    """
    decayed = SLOWEST_DECAY * slowest_s.get(route, 0.0) + (1 - SLOWEST_DECAY) * seconds
    slowest_s[route] = max(seconds, decayed)


def find_latest_start(
    schedule: StopSchedule, slowest_s: dict[str, float], route: str, longest_s: float
) -> float:
    """Return until when a request may start and be expected to be answered before the exit.

    Args:
        schedule: The schedule of the stop.
        slowest_s: The slowest recent durations in seconds, by route.
        route: The request's route.
        longest_s: Seconds after which the request ends in any case.
    """
    expected_s = min(slowest_s.get(route, inf), longest_s)
    return schedule.exits_at - ANSWER_MARGIN_S - expected_s
