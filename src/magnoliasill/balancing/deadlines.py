"""Deadline propagation: the time that a caller has left, sent along from hop to hop."""

from __future__ import annotations

from ..codes import ErrorCode
from ..errors import CallError

DEADLINE_HEADER = "X-Deadline-Ms"
MAX_DIGITS = 9


def read_deadline(text: str | None, route_ms: int, now: float) -> float:
    """Return the time by which the caller needs the answer.

    Args:
        text: The value of the deadline header: milliseconds left, or None.
        route_ms: The route's own deadline, which the header can only shorten.
        now: Seconds on the monotonic clock.

    Raises:
        CallError: If the header is malformed, or no time is left.
    """
    if text is None:
        return now + route_ms / 1000
    if len(text) > MAX_DIGITS or not text.isdecimal():
        raise CallError(ErrorCode.DEADLINE_INVALID, f"{DEADLINE_HEADER} needs whole milliseconds")
    left_ms = int(text)
    if left_ms == 0:
        raise CallError(ErrorCode.DEADLINE_EXPIRED, "no time was left when the call arrived")
    return now + min(left_ms, route_ms) / 1000
