"""The limit of requests in flight to each backend server, adapted to how it answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.outcomes import OutcomeKind

if TYPE_CHECKING:
    from random import Random

    from .load import LoadReport
    from .upstreams import Upstream

MIN_LIMIT = 1.0
SHED_FACTOR = 0.7
TIMEOUT_FACTOR = 0.5
QUEUE_FACTOR = 0.9
LOWER_INTERVAL_S = 0.1
FIRST_HOLD_S = 0.01
MAX_HOLD_S = 1.0
DRAIN_S = 10.0

_FACTORS = {
    OutcomeKind.SHED: SHED_FACTOR,
    OutcomeKind.UNREACHABLE: SHED_FACTOR,
    OutcomeKind.TIMED_OUT: TIMEOUT_FACTOR,
    OutcomeKind.BROKEN: SHED_FACTOR,
}


def adapt_limit(entry: Upstream, kind: OutcomeKind, slots: int, now: float, random: Random) -> None:
    """Raise or lower the limit after an attempt, and pause after an end without an answer.

    Such an end lowers the limit at most once in `LOWER_INTERVAL_S`, so that a burst counts once.
    Each in a row doubles the pause: a limit cannot go below one request, and more
    daemons may call a backend server than it has slots.

    Args:
        entry: The backend server; the attempt still counts as in flight.
        kind: How the attempt ended.
        slots: Requests that the backend server runs at once.
        now: Seconds of the node's clock.
        random: Spreads the pauses of different daemons.
    """
    factor = _FACTORS.get(kind)
    if factor is None:
        _raise_limit(entry, kind, slots)
        return
    _lower_limit(entry, factor, now)
    entry.hold_s = min(max(entry.hold_s * 2, FIRST_HOLD_S), MAX_HOLD_S)
    entry.held_until = now + entry.hold_s * random.uniform(0.5, 1.5)


def apply_report(entry: Upstream, report: LoadReport, now: float) -> None:
    """Take over what an answer says of its backend server's load.

    A report only ever lowers the work that a server gets, so a false one attracts no calls.

    Args:
        entry: The backend server; the attempt still counts as in flight.
        report: What the answer said.
        now: Seconds of the node's clock.
    """
    if report.draining:
        entry.draining_until = now + DRAIN_S
    if report.running is None:
        return
    entry.reported_others = max(report.running - entry.in_flight, 0)
    entry.reported_at = now
    if report.running > report.slots > 0:
        _lower_limit(entry, QUEUE_FACTOR, now)


def _raise_limit(entry: Upstream, kind: OutcomeKind, slots: int) -> None:
    if kind is OutcomeKind.CANCELLED:
        return
    entry.hold_s = 0.0
    if entry.in_flight * 2 >= entry.limit:
        entry.limit = min(entry.limit + 1 / entry.limit, float(slots))


def _lower_limit(entry: Upstream, factor: float, now: float) -> None:
    if now - entry.lowered_at >= LOWER_INTERVAL_S:
        entry.limit = max(entry.limit * factor, MIN_LIMIT)
        entry.lowered_at = now
