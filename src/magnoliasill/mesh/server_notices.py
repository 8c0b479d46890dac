"""What backend servers announce: a rate limit, that they are cold, and that they leave.

The gate beside the server enforces all of it. Other sidecars keep it to send their requests
elsewhere, and tell a gate that has restarted.
"""

from __future__ import annotations

import attrs

from .rate_limits import MIN_RATE_PER_S


@attrs.define
class ServerNotice:
    """What an incarnation of a backend server announced, by the reports of its gate.

    Attributes:
        leaving: Whether it is leaving; this is never taken back.
        limit_per_s: The requests per second that it accepts, or None without a limit.
        heard_at: When the gate heard of the limit, in seconds on the monotonic clock.
        turn_at: When this sidecar may send it the next request.
        turn_interval_s: The seconds between two requests of this sidecar, by the latest report.
        cold_until: Until when the server is cold, by the latest report.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    heard_at: float = 0.0
    turn_at: float = 0.0
    turn_interval_s: float = 0.0
    cold_until: float = 0.0


def record_limit(
    notice: ServerNotice, limit_per_s: float | None, age_s: float, turn_s: float, now: float
) -> None:
    """Record the limit that a gate reports.

    Args:
        notice: What is known of the server.
        limit_per_s: The limit in requests per second, or None.
        age_s: The seconds since the gate heard of it.
        turn_s: The seconds after which this sidecar may send the next request.
        now: Seconds on the monotonic clock.
    """
    notice.heard_at = now - age_s
    notice.limit_per_s = limit_per_s
    notice.turn_at = now + turn_s
    if limit_per_s is not None:
        notice.turn_interval_s = max(turn_s, 1 / max(limit_per_s, MIN_RATE_PER_S))


def record_cold(
    notice: ServerNotice, cold_s: float, rate_per_s: float, turn_s: float, now: float
) -> None:
    """Record for how long a gate says that its server is cold.

    Args:
        notice: What is known of the server.
        cold_s: The seconds for which it is still cold; 0 if it is not.
        rate_per_s: The requests a second that it bears until then.
        turn_s: The seconds after which this sidecar may send the next request.
        now: Seconds on the monotonic clock.
    """
    notice.cold_until = now + cold_s
    if cold_s > 0:
        notice.turn_at = now + turn_s
        notice.turn_interval_s = max(turn_s, 1 / max(rate_per_s, MIN_RATE_PER_S))


def has_turns(notice: ServerNotice, now: float) -> bool:
    """Return whether the server's gate tells when this sidecar may send it a request."""
    return notice.limit_per_s is not None or now < notice.cold_until


def use_turn(notice: ServerNotice, now: float) -> None:
    """Count a request that is sent now, whose report has yet to assign the next turn."""
    if has_turns(notice, now):
        notice.turn_at = max(notice.turn_at, now) + notice.turn_interval_s


def find_turn_wait(notice: ServerNotice, now: float) -> float:
    """Return the seconds until this sidecar may send the server a request."""
    if not has_turns(notice, now):
        return 0.0
    return max(notice.turn_at - now, 0.0)
