"""Adaptive concurrency limits: bounds this daemon's requests in flight to each backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.outcomes import OutcomeKind

if TYPE_CHECKING:
    from random import Random

    from .load_reports import LoadReport
    from .upstreams import Upstream

MIN_LIMIT = 1.0
SHED_FACTOR = 0.7
TIMEOUT_FACTOR = 0.5
QUEUEING_FACTOR = 0.9
MIN_DECREASE_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 1.0
DRAINING_EXPIRY_S = 10.0

_FACTORS = {
    OutcomeKind.SHED: SHED_FACTOR,
    OutcomeKind.UNREACHABLE: SHED_FACTOR,
    OutcomeKind.TIMED_OUT: TIMEOUT_FACTOR,
    OutcomeKind.BROKEN: SHED_FACTOR,
}


def adapt_limit(entry: Upstream, kind: OutcomeKind, slots: int, now: float, random: Random) -> None:
    """Raise or lower the limit after an attempt, and back off after one without an answer.

    Attempts without an answer lower the limit at most once per `MIN_DECREASE_INTERVAL_S`, so that
    a burst counts once. Each consecutive one doubles the backoff. The limit alone is not enough,
    because it can't go below one request and more daemons may call a backend server than it has
    slots.

    Args:
        entry: The backend server; the attempt still counts as in flight.
        kind: How the attempt ended.
        slots: Maximum requests that the backend server runs at once.
        now: Seconds of the node's clock.
        random: Adds jitter to the backoffs of different daemons.
    """
    factor = _FACTORS.get(kind)
    if factor is None:
        _raise_limit(entry, kind, slots)
        return
    _lower_limit(entry, factor, now)
    entry.hold_s = min(max(entry.hold_s * 2, INITIAL_BACKOFF_S), MAX_BACKOFF_S)
    entry.held_until = now + entry.hold_s * random.uniform(0.5, 1.5)


def apply_report(entry: Upstream, report: LoadReport, now: float) -> None:
    """Apply the load report of a backend server's answer.

    A report can only lower the number of requests that a server gets, so a false one attracts no
    calls.

    Args:
        entry: The backend server; the attempt still counts as in flight.
        report: The load report of the answer.
        now: Seconds of the node's clock.
    """
    if report.draining:
        entry.draining_until = now + DRAINING_EXPIRY_S
    if report.running is None:
        return
    entry.reported_others = max(report.running - entry.in_flight, 0)
    entry.reported_at = now
    if report.running > report.slots > 0:
        _lower_limit(entry, QUEUEING_FACTOR, now)


def _raise_limit(entry: Upstream, kind: OutcomeKind, slots: int) -> None:
    if kind is OutcomeKind.CANCELLED:
        return
    entry.hold_s = 0.0
    if entry.in_flight * 2 >= entry.limit:
        entry.limit = min(entry.limit + 1 / entry.limit, float(slots))


def _lower_limit(entry: Upstream, factor: float, now: float) -> None:
    if now - entry.lowered_at >= MIN_DECREASE_INTERVAL_S:
        entry.limit = max(entry.limit * factor, MIN_LIMIT)
        entry.lowered_at = now
