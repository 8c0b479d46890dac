"""The lag of a sidecar's event loop, and which requests it refuses because of that.

Every step of a request waits for a turn of the loop. While the process has more to do than it gets
processor time for, turns grow until requests miss their deadlines and nothing is served at all. A
refusal at the caller's port costs a fraction of what a request does, so some are refused there to
keep turns short for the others.
"""

from __future__ import annotations

from math import exp, inf

import attrs

SMOOTHING_S = 0.25  # lags are averaged over about this time, so that one long step counts little
# Steps of a request at one sidecar that wait for a turn each: reading it, sending it on, reading
# its answer and sending that.
STEPS = 4
LOW_LAG_S = 0.1  # above this, new requests begin to be refused
HIGH_LAG_S = 0.4  # above this, all of them are


@attrs.define
class LoopLag:
    """How late the event loop resumes what is due.

    All times are seconds on the monotonic clock.

    Attributes:
        mean_s: The moving average of the lag in seconds.
        measured_at: When it was last measured.
        due_at: When the next measurement is due.
    """

    mean_s: float = 0.0
    measured_at: float = -inf
    due_at: float = inf


def schedule_measurement(lag: LoopLag, due_at: float) -> None:
    """Set when the lag is measured next, if the loop is not late."""
    lag.due_at = due_at


def record_lag(lag: LoopLag, now: float) -> None:
    """Record that the measurement that was due is made now."""
    lag.mean_s = _compute_mean(lag, now)
    lag.measured_at = now
    lag.due_at = inf


def find_lag(lag: LoopLag, now: float) -> float:
    """Return the seconds that a step waits for its turn, also by a measurement that is overdue."""
    return lag.mean_s if now < lag.due_at else _compute_mean(lag, now)


def _compute_mean(lag: LoopLag, now: float) -> float:
    weight = 1 - exp((lag.measured_at - now) / SMOOTHING_S)
    return lag.mean_s + weight * (max(now - lag.due_at, 0.0) - lag.mean_s)


def find_refusal_share(lag_s: float) -> float:
    """Return the share of new requests to refuse so that the others are served in time."""
    return min(max((lag_s - LOW_LAG_S) / (HIGH_LAG_S - LOW_LAG_S), 0.0), 1.0)


def is_hopeless(lag_s: float, time_left_s: float) -> bool:
    """Return whether a request's own steps take longer than its caller waits."""
    return STEPS * lag_s >= time_left_s
