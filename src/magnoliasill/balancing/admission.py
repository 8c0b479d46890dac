"""Admission: how many calls of a service may wait for room, and when refused callers return."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .retries import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .upstreams import Upstream

INITIAL_SECONDS = 0.05
SMOOTHING = 0.1
MIN_WAITING = 1
PRESSURE_INTERVAL_S = 1.0
HIGH_REFUSED_SHARE = 0.3
LOW_REFUSED_SHARE = 0.05
MIN_SPREAD_S = 1
MAX_SPREAD_S = 16


@attrs.define
class ServiceLoad:
    """The load of one service as this daemon sees it.

    Attributes:
        waiting: Calls that wait for room.
        mean_s: Smoothed seconds of an answered attempt.
        budget: The retries that its calls have earned.
        admitted: Calls admitted in this interval.
        refused: Calls refused in this interval.
        counted_at: The start of the interval, in seconds of the node's clock.
        spread_s: Seconds over which refused callers return.
    """

    waiting: int = 0
    mean_s: float = INITIAL_SECONDS
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    admitted: int = 0
    refused: int = 0
    counted_at: float = 0.0
    spread_s: int = MIN_SPREAD_S


def may_wait(load: ServiceLoad, upstreams: Iterable[Upstream], wait_s: float) -> bool:
    """Return whether a call can expect room within the bound on waiting.

    Args:
        load: The service's load.
        upstreams: The backend servers that may get the call.
        wait_s: The bound, in seconds.
    """
    if wait_s <= 0:
        return False
    limit = sum(entry.limit for entry in upstreams)
    return load.waiting < max(int(limit * wait_s / load.mean_s), MIN_WAITING)


def observe_seconds(load: ServiceLoad, seconds: float) -> None:
    """Take the duration of an answered attempt into the mean."""
    load.mean_s += SMOOTHING * (seconds - load.mean_s)


def count_admitted(load: ServiceLoad, now: float) -> None:
    """Count a call that got room."""
    load.admitted += 1
    if now - load.counted_at >= PRESSURE_INTERVAL_S:
        _close_interval(load, now)


def choose_retry_after(load: ServiceLoad, now: float, random: Random) -> int:
    """Count a refused call and return the whole seconds after which its caller may return.

    The range doubles in each interval in which many calls are refused and halves in calm ones,
    so that the callers' return is spread the wider the longer the overload lasts.

    Args:
        load: The service's load.
        now: Seconds of the node's clock.
        random: The generator of the choice.
    """
    load.refused += 1
    if now - load.counted_at >= PRESSURE_INTERVAL_S:
        _close_interval(load, now)
    return random.randint(1, 1 + load.spread_s)


def _close_interval(load: ServiceLoad, now: float) -> None:
    share = load.refused / max(load.refused + load.admitted, 1)
    if share > HIGH_REFUSED_SHARE:
        load.spread_s = min(load.spread_s * 2, MAX_SPREAD_S)
    elif share < LOW_REFUSED_SHARE:
        load.spread_s = max(load.spread_s // 2, MIN_SPREAD_S)
    load.admitted = load.refused = 0
    load.counted_at = now
