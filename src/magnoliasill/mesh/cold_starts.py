"""Bounds the requests that a gate sends to its backend server while the server is cold.

A cold server crashes under too many requests. The bound holds over any sliding second, whoever
sent them, so it is counted where all of them pass: at the gate, when each one is sent. A request
reserves its place when it gets its slot and gives it back when it is sent, so that requests that
got their slots earlier can't be sent together later. Below that bound, a token bucket keeps the
mean rate at the one that the server bears.
"""

from __future__ import annotations

from collections import deque
from math import floor
from typing import TYPE_CHECKING

import attrs

from .rate_limits import RateLimiter, assign_turn, estimate_token_wait, has_token, take_token

if TYPE_CHECKING:
    from .routes import Warmup
    from .settings import Bounds

WINDOW_S = 1.05  # a second, and the variation of the time that a request takes to the server
MARGIN = 2  # requests below the bound, for those that a process before this one has sent
TIMER_TOLERANCE_S = 1e-6  # so that a timer set for the end of the window finds it ended
# A cold server usually takes twice as long. The durations of answers, as multiples of the usual
# one, are summed up less what a warm server stays below on average; the server is asked at a sum
# that two or three answers of a cold server reach, and single long answers of a warm one don't.
SLOW_DRIFT = 1.4
MAX_SLOW_RATIO = 2.4
SLOW_SUM = 1.2
# Between two questions because of slow answers, since each costs the server 6 ms. It doubles with
# each answer that the server is not cold, so that services of uneven durations ask rarely.
ASK_INTERVAL_S = 5.0
MAX_ASK_INTERVAL_S = 40.0
# Weight of the newest answer in the usual duration. The gate's own average adapts within the few
# answers in which coldness has to be noticed, and hid it in 4 of 9 simulated fleets.
USUAL_SMOOTHING = 0.02
MIN_USUAL_ANSWERS = 20  # before which no answer is compared with the usual duration
BREAK_ASK_INTERVAL_S = 1.0  # the same after a connection broke


@attrs.define
class ColdStarts:
    """The requests that a gate has sent to its server lately, and their bound while it is cold.

    Attributes:
        until: When the server stops being cold, in seconds on the monotonic clock.
        limiter: The rate at which a cold server gets requests, or None if it never was cold.
        most: The most requests that a cold server gets in `WINDOW_S`.
        sent: When requests were sent in the last `WINDOW_S`, also while it was not cold.
        reserved: The requests that have a slot and were not sent yet.
    """

    until: float = 0.0
    limiter: RateLimiter | None = None
    most: int = 0
    sent: deque[float] = attrs.field(factory=deque)
    reserved: int = 0


def is_cold(cold: ColdStarts, now: float) -> bool:
    """Return whether the server counts as cold."""
    return cold.limiter is not None and now < cold.until


def start_cold(
    cold: ColdStarts, warmup: Warmup, bounds: Bounds, seconds: float, now: float
) -> bool:
    """Bound the requests for a time from now on; return whether the server was not cold before.

    Args:
        cold: The state of the bound.
        warmup: How the servers of the service start.
        bounds: The guarantees of the deployment.
        seconds: How long the server is cold from now on.
        now: Seconds on the monotonic clock.
    """
    rate = warmup.rate_per_s
    most = floor(rate * bounds.warmup_excess + bounds.warmup_tolerance) - MARGIN
    is_new = not is_cold(cold, now)
    cold.most, cold.until = max(most, 1), now + seconds
    burst = max(min(bounds.warmup_tolerance, cold.most - rate), 1.0)
    if is_new:
        _forget_old(cold, now)
        tokens = max(burst - len(cold.sent) - cold.reserved, 0.0)
        cold.limiter = RateLimiter(rate, tokens, now, now, burst)
    elif cold.limiter.limit_per_s != rate:
        cold.limiter = RateLimiter(rate, 0.0, now, now, burst)
    return is_new


def end_cold(cold: ColdStarts, now: float) -> bool:
    """Lift the bound; return whether there was one."""
    was_cold = is_cold(cold, now)
    cold.until = min(cold.until, now)
    return was_cold


def may_start(cold: ColdStarts, running: int, now: float) -> bool:
    """Return whether a request may get a slot now, as far as coldness is concerned.

    Args:
        cold: The state of the bound.
        running: The requests that have a slot.
        now: Seconds on the monotonic clock.
    """
    if not is_cold(cold, now):
        return True
    _forget_old(cold, now)
    has_room = len(cold.sent) + min(cold.reserved, running) < cold.most
    return has_room and has_token(cold.limiter, now)


def reserve_start(cold: ColdStarts, now: float) -> None:
    """Count a request that gets a slot and has to be sent or released."""
    cold.reserved += 1
    if is_cold(cold, now):
        take_token(cold.limiter, now)


def release_start(cold: ColdStarts) -> None:
    """Give back the reservation of a request that is not sent."""
    cold.reserved = max(cold.reserved - 1, 0)


def record_sent(cold: ColdStarts, now: float) -> None:
    """Count a request that is sent to the server now."""
    release_start(cold)
    _forget_old(cold, now)
    cold.sent.append(now)


def discount_sent(cold: ColdStarts, sent_at: float) -> None:
    """Leave out a request that did not reach the server or that it answered as misdirected."""
    if sent_at in cold.sent:
        cold.sent.remove(sent_at)


def estimate_start_wait(cold: ColdStarts, running: int, ahead: int, now: float) -> float:
    """Return the seconds until the bound lets a request start.

    Args:
        cold: The state of the bound.
        running: The requests that have a slot.
        ahead: The number of requests that start before.
        now: Seconds on the monotonic clock.
    """
    if not is_cold(cold, now):
        return 0.0
    _forget_old(cold, now)
    wait_s = estimate_token_wait(cold.limiter, ahead, now)
    excess = len(cold.sent) + min(cold.reserved, running) + ahead + 1 - cold.most
    if 0 < excess <= len(cold.sent):
        wait_s = max(wait_s, cold.sent[excess - 1] + WINDOW_S - now)
    elif excess > 0:
        wait_s = max(wait_s, WINDOW_S)
    return min(wait_s, cold.until - now)


def assign_cold_turn(cold: ColdStarts, waiting: int, now: float) -> float:
    """Return the seconds after which a sender may send its next request to a cold server.

    Args:
        cold: The state of the bound.
        waiting: The number of requests that wait at the gate.
        now: Seconds on the monotonic clock.
    """
    if not is_cold(cold, now):
        return 0.0
    return min(assign_turn(cold.limiter, waiting, now), cold.until - now)


def _forget_old(cold: ColdStarts, now: float) -> None:
    while cold.sent and cold.sent[0] <= now - WINDOW_S + TIMER_TOLERANCE_S:
        cold.sent.popleft()


@attrs.define
class ColdDoubts:
    """Signs that the server may have become cold since its last heartbeat.

    Attributes:
        slow_sum: The sum of the durations of answers beyond those of a warm server, as multiples of
            the usual one; 0 at least.
        broken: Whether a connection was refused, or reset by a server that has ended, and none has
            been answered since.
        usual_s: The usual duration of a request at the warm server in seconds, by route, and the
            answers that it comes from.
        asked_at: When the server was last asked, in seconds on the monotonic clock.
        ask_interval_s: The seconds from then until slow answers may cause another question.
        known_at: When the server last said whether it is cold, in a heartbeat or a health answer.
    """

    slow_sum: float = 0.0
    broken: bool = False
    usual_s: dict[str, tuple[float, int]] = attrs.field(factory=dict)
    asked_at: float = -1e9
    ask_interval_s: float = ASK_INTERVAL_S
    known_at: float = -1e9


def count_duration(
    doubts: ColdDoubts, route: str, seconds: float, started_at: float, now: float
) -> bool:
    """Count an answer of a server not known as cold; return whether to ask it if it is.

    Args:
        doubts: The signs so far.
        route: The route's name.
        seconds: How long the request ran.
        started_at: When it was sent to the server, in seconds on the monotonic clock.
        now: Seconds on the monotonic clock.
    """
    usual_s, count = doubts.usual_s.get(route, (seconds, 0))
    weight = max(USUAL_SMOOTHING, 1 / (count + 1))
    doubts.usual_s[route] = (usual_s + weight * (seconds - usual_s), count + 1)
    if started_at < doubts.known_at or count < MIN_USUAL_ANSWERS or usual_s <= 0:
        return False
    excess = min(seconds / usual_s, MAX_SLOW_RATIO) - SLOW_DRIFT
    doubts.slow_sum = min(max(doubts.slow_sum + excess, 0.0), SLOW_SUM)
    if doubts.slow_sum < SLOW_SUM or now - doubts.asked_at < doubts.ask_interval_s:
        return False
    doubts.slow_sum = 0.0
    return True


def record_reply(doubts: ColdDoubts, server_is_cold: bool) -> None:
    """Adapt how often slow answers may cause a question to what the server replied to one."""
    doubled_s = min(2 * doubts.ask_interval_s, MAX_ASK_INTERVAL_S)
    doubts.ask_interval_s = ASK_INTERVAL_S if server_is_cold else doubled_s
