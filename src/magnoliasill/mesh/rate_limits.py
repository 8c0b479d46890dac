"""The rate limit that a backend server names for all sidecars together, enforced by its gate.

A token bucket that holds little: the server asks for relief, so bursts after a pause would defeat
the limit. The gate also tells each sidecar when it may send the next request, one turn after
another, so that they use the limit up together without asking in vain.
"""

from __future__ import annotations

import attrs

BURST_S = 0.1  # of the limit's requests that may start at once after a pause; at least one
# A server is heard only when it responds, so a lower limit would keep its own end from being heard.
MIN_RATE_PER_S = 0.2
TOKEN_TOLERANCE = 1e-9  # of rounding, so that a timer set for a token finds it
MAX_TURN_S = 2.0  # bounds the time to notice a raised or ended limit; a sidecar asks again then


@attrs.define
class RateLimiter:
    """The state of a backend server's rate limit.

    Attributes:
        limit_per_s: The requests per second that the server accepts.
        tokens: The requests that may start now.
        updated_at: When `tokens` was computed, in seconds on the monotonic clock.
        next_turn_at: When the next sidecar that asks may send a request.
        burst: The most tokens, or None for those of `BURST_S`.
    """

    limit_per_s: float
    tokens: float
    updated_at: float
    next_turn_at: float
    burst: float | None = None

    @property
    def rate_per_s(self) -> float:
        """The rate at which requests may start."""
        return max(self.limit_per_s, MIN_RATE_PER_S)


def build_limiter(limit_per_s: float, now: float) -> RateLimiter:
    """Return a limiter without tokens, since the server has just had too much."""
    return RateLimiter(limit_per_s, 0.0, now, now)


def change_limit(limiter: RateLimiter, limit_per_s: float, now: float) -> None:
    """Replace the limit; tokens that were gained stay, as far as the new limit allows."""
    _refill(limiter, now)
    limiter.limit_per_s = limit_per_s
    limiter.tokens = min(limiter.tokens, _compute_capacity(limiter))
    limiter.next_turn_at = min(limiter.next_turn_at, now + 1 / limiter.rate_per_s)


def take_token(limiter: RateLimiter, now: float) -> bool:
    """Take the token of a request that starts now; return whether there was one."""
    if not has_token(limiter, now):
        return False
    limiter.tokens -= 1.0
    return True


def has_token(limiter: RateLimiter, now: float) -> bool:
    """Return whether there is a token for a request that starts now."""
    _refill(limiter, now)
    return limiter.tokens >= 1.0 - TOKEN_TOLERANCE


def estimate_token_wait(limiter: RateLimiter, ahead: int, now: float) -> float:
    """Return the seconds until a request gets a token.

    Args:
        limiter: The limiter.
        ahead: The number of requests that get theirs before.
        now: Seconds on the monotonic clock.
    """
    _refill(limiter, now)
    return max(ahead + 1 - limiter.tokens, 0.0) / limiter.rate_per_s


def assign_turn(limiter: RateLimiter, waiting: int, now: float) -> float:
    """Return the seconds after which the sidecar that asks may send its next request.

    Args:
        limiter: The limiter.
        waiting: The number of requests that wait for a token.
        now: Seconds on the monotonic clock.
    """
    turn_at = max(limiter.next_turn_at, now + estimate_token_wait(limiter, waiting, now))
    turn_at = min(turn_at, now + MAX_TURN_S)
    limiter.next_turn_at = turn_at + 1 / limiter.rate_per_s
    return turn_at - now


def _refill(limiter: RateLimiter, now: float) -> None:
    elapsed_s = max(now - limiter.updated_at, 0.0)
    gained = limiter.tokens + elapsed_s * limiter.rate_per_s
    limiter.tokens = min(gained, _compute_capacity(limiter))
    limiter.updated_at = max(now, limiter.updated_at)


def _compute_capacity(limiter: RateLimiter) -> float:
    if limiter.burst is not None:
        return limiter.burst
    return max(limiter.rate_per_s * BURST_S, 1.0)
