"""Admission control: bounds the queue of waiting calls and spreads retries of refused callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .retries import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .upstreams import Upstream

INITIAL_MEAN_S = 0.05
SMOOTHING_FACTOR = 0.1
MIN_QUEUE_LIMIT = 1
RETRY_AFTER_INTERVAL_S = 1.0
HIGH_REFUSED_SHARE = 0.3
LOW_REFUSED_SHARE = 0.05
MIN_RETRY_AFTER_SPREAD_S = 1
MAX_RETRY_AFTER_SPREAD_S = 16


@attrs.define
class ServiceLoad:
    """The load of one service as observed by this daemon.

    Attributes:
        waiting: Calls that wait for free capacity.
        mean_s: Smoothed duration of answered attempts, in seconds.
        budget: The retry budget of its calls.
        admitted: Calls admitted in this interval.
        refused: Calls refused in this interval.
        counted_at: The start of the interval, in seconds of the node's clock.
        retry_after_spread_s: Range of seconds over which the retries of refused callers are spread.
    """

    waiting: int = 0
    mean_s: float = INITIAL_MEAN_S
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    admitted: int = 0
    refused: int = 0
    counted_at: float = 0.0
    retry_after_spread_s: int = MIN_RETRY_AFTER_SPREAD_S


def may_queue(load: ServiceLoad, upstreams: Iterable[Upstream], wait_s: float) -> bool:
    """Return whether a call can expect free capacity within the maximum waiting time.

    Args:
        load: The service's load.
        upstreams: The backend servers that may run the call.
        wait_s: The maximum waiting time, in seconds.
    """
    if wait_s <= 0:
        return False
    limit = sum(entry.limit for entry in upstreams)
    return load.waiting < max(int(limit * wait_s / load.mean_s), MIN_QUEUE_LIMIT)


def record_duration(load: ServiceLoad, seconds: float) -> None:
    """Update the mean with the duration of an answered attempt."""
    load.mean_s += SMOOTHING_FACTOR * (seconds - load.mean_s)


def count_admitted(load: ServiceLoad, now: float) -> None:
    """Count a call that was assigned to a backend server."""
    load.admitted += 1
    if now - load.counted_at >= RETRY_AFTER_INTERVAL_S:
        _close_interval(load, now)


def choose_retry_after(load: ServiceLoad, now: float, random: Random) -> int:
    """Count a refused call and return the seconds after which its caller may retry.

    The range doubles after each interval in which many calls were refused and halves after each
    one in which few were, so that retries spread wider the longer an overload lasts.

    Args:
        load: The service's load.
        now: Seconds of the node's clock.
        random: The generator for the choice.
    """
    load.refused += 1
    if now - load.counted_at >= RETRY_AFTER_INTERVAL_S:
        _close_interval(load, now)
    return random.randint(1, 1 + load.retry_after_spread_s)


def _close_interval(load: ServiceLoad, now: float) -> None:
    refused_share = load.refused / max(load.refused + load.admitted, 1)
    if refused_share > HIGH_REFUSED_SHARE:
        load.retry_after_spread_s = min(load.retry_after_spread_s * 2, MAX_RETRY_AFTER_SPREAD_S)
    elif refused_share < LOW_REFUSED_SHARE:
        load.retry_after_spread_s = max(load.retry_after_spread_s // 2, MIN_RETRY_AFTER_SPREAD_S)
    load.admitted = load.refused = 0
    load.counted_at = now
