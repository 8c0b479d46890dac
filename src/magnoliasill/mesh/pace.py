"""Limits the requests in progress at a server that has just started or recovered.

Handles servers that bear little at first, for a time that nobody states. The limit rises while
answers take about as long as at the other servers of the service, and falls on answers that are
late or several times slower, and on refusals, resets and time-outs. It is judged in rounds: only
requests that started after the last change of the limit count, so that a pause of the VM, which
makes all running requests late at once, lowers it once. It ends once the server has borne all of
its slots for a while, and begins again only when the server answers after an outage.
"""

from __future__ import annotations

from enum import Enum
from math import ceil, inf

import attrs

# Shares of the slots, since what a cold server bears grows with its size.
INITIAL_SHARE = 0.25
STEP_SHARE = 0.1  # added by a round of good answers
CUT_FACTOR = 0.75
# A healthy server of speed 1.6 that is full takes up to 2.4 times as long as an idle usual one.
USUAL_RATIO = 2.5
SLOW_RATIO = 4.0  # of a duration to the usual one, in multiples of the server's own usual ratio
SMOOTHING = 0.2  # the limit is low for a few answers only
UNUSED_CREDIT = 0.3  # of a good answer that came while less than half of the limit was in use
LATE_COST = 1.0  # in good answers: as many late ones hold the limit, more of them lower it
FAILED_COST = 1.5  # failures end fast, so that they would crowd out the others
MAX_OWN_LOSS = LATE_COST  # so that the limit never rises while all answers are late
CUT_SHARE = 0.5  # of the limit: the credit below zero that lowers it
OUTAGE_S = 1.0  # without any answer, after which a server that answers again is paced
OUTAGE_FAILURES = 5  # in that time, so that a server that gets few requests is not taken for down
SETTLE_S = 2.0  # for which the limit equals the slots before it ends
COLD_SLACK_S = 0.5  # between the end of a cold phase and a report that still counts as part of it


class Outcome(Enum):
    """How a request at the server ended."""

    ANSWERED = "answered"
    REFUSED = "refused"  # also where it could not be sent
    BROKEN = "broken"  # reset or timed out


class PaceChange(Enum):
    """What an observation changes."""

    NONE = "none"
    BEGUN = "begun"
    ENDED = "ended"


@attrs.frozen
class Run:
    """A request that has ended at the server.

    Attributes:
        outcome: How it ended.
        started_at: When it was sent to the server, in seconds on the monotonic clock.
        seconds: How long it took.
        typical_s: The usual duration of its route's requests at all servers, or 0 if not known.
        allowed_s: The duration up to which its answer is in time.
        running: The requests that ran at the server when it ended, with this one.
    """

    outcome: Outcome
    started_at: float
    seconds: float = 0.0
    typical_s: float = 0.0
    allowed_s: float = inf
    running: int = 1


@attrs.define
class Pacer:
    """The pace of one server.

    Attributes:
        limit: The number of requests that may be in progress, or None for all slots.
        credit: The good answers less the bad ones since the last change.
        changed_at: When the limit last changed, in seconds on the monotonic clock.
        failing_since: When the first of the failures since the last answer started, or None.
        failures: How many these are.
        ratio: The moving average of durations as multiples of the usual ones at all servers.
        loss: The moving average of what requests lack to a credit of 1.
        own_ratio: The ratio that is usual for this server, at least 1. Like `own_loss`, it grows
            only while the limit is low, since later the load may be the cause.
        own_loss: The loss that is usual for this server whatever the limit.
        cold_until: When the cold phase that the server last reported is over.
        begun_at: When the limit began.
    """

    limit: float | None = None
    credit: float = 0.0
    changed_at: float = -inf
    failing_since: float | None = None
    failures: int = 0
    ratio: float = 1.0
    loss: float = 0.0
    own_ratio: float = 1.0
    own_loss: float = 0.0
    cold_until: float = -inf
    begun_at: float = 0.0


def find_limit(pacer: Pacer | None, slots: int) -> int:
    """Return how many requests may be in progress at a server with so many slots."""
    if pacer is None or pacer.limit is None:
        return slots
    return max(min(int(pacer.limit), slots), 1)


def begin_pacing(pacer: Pacer, slots: int, now: float, share: float = INITIAL_SHARE) -> PaceChange:
    """Begin with a low limit, since the server has started or recovers.

    Args:
        pacer: The server's pace.
        slots: The server's slots.
        now: Seconds on the monotonic clock.
        share: The share of the slots to begin with.
    """
    is_new = pacer.limit is None
    pacer.begun_at = now if is_new else pacer.begun_at
    _change_limit(pacer, max(share * slots, 1.0), now)
    return PaceChange.BEGUN if is_new else PaceChange.NONE


def report_cold(pacer: Pacer, cold_s: float, slots: int, now: float) -> PaceChange:
    """Begin with a low limit if a heartbeat reports a cold phase that is new.

    Args:
        pacer: The server's pace.
        cold_s: The seconds for which the server stays cold, by the heartbeat; 0 if it is warm.
        slots: The server's slots.
        now: Seconds on the monotonic clock.
    """
    if cold_s <= 0:
        return PaceChange.NONE
    is_new = now >= pacer.cold_until + COLD_SLACK_S
    pacer.cold_until = now + cold_s
    return begin_pacing(pacer, slots, now) if is_new else PaceChange.NONE


def observe_run(pacer: Pacer, run: Run, slots: int, now: float) -> PaceChange:
    """Raise, lower, begin or end the limit by a request that has ended.

    Args:
        pacer: The server's pace.
        run: The request.
        slots: The server's slots.
        now: Seconds on the monotonic clock.
    """
    credit = _rate_run(pacer, run, slots)
    if run.started_at < pacer.changed_at:
        return PaceChange.NONE
    if pacer.limit is None:
        return _watch_for_recovery(pacer, run, slots, now)
    if credit > 0 and run.running < pacer.limit / 2:
        credit *= UNUSED_CREDIT
    pacer.credit += credit
    limit = min(pacer.limit, slots)
    if pacer.credit <= -max(CUT_SHARE * limit, 1.0):
        _change_limit(pacer, max(limit * CUT_FACTOR, 1.0), now)
    elif limit >= slots:
        pacer.credit = min(pacer.credit, limit)
        if pacer.credit > 0 and now >= pacer.changed_at + SETTLE_S:
            _change_limit(pacer, None, now)
            return PaceChange.ENDED
    elif pacer.credit >= ceil(limit):
        _change_limit(pacer, min(limit + max(STEP_SHARE * slots, 1.0), float(slots)), now)
    return PaceChange.NONE


def _rate_run(pacer: Pacer, run: Run, slots: int) -> float:
    """Return what a request adds to the credit, and update what is usual for the server."""
    is_low = find_limit(pacer, slots) <= max(INITIAL_SHARE * slots, 1.0)
    credit = 1.0
    if run.outcome is not Outcome.ANSWERED:
        credit = -FAILED_COST
    elif run.typical_s > 0:
        ratio, own_ratio = run.seconds / run.typical_s, pacer.own_ratio
        pacer.ratio += SMOOTHING * (ratio - pacer.ratio)
        if is_low or pacer.ratio < own_ratio:
            pacer.own_ratio = max(pacer.ratio, 1.0)
        if ratio > SLOW_RATIO * own_ratio or (ratio > USUAL_RATIO and run.seconds > run.allowed_s):
            credit = -LATE_COST
        elif ratio > USUAL_RATIO * own_ratio:
            credit = 0.0
    own_loss = pacer.own_loss
    pacer.loss += SMOOTHING * (1.0 - credit - pacer.loss)
    if is_low or pacer.loss < own_loss:
        pacer.own_loss = min(pacer.loss, MAX_OWN_LOSS)
    return credit + own_loss


def _watch_for_recovery(pacer: Pacer, run: Run, slots: int, now: float) -> PaceChange:
    """Begin a limit when a server answers again after an outage.

    A server that fails or is slow on a part of its requests is not limited: what it does not run
    it does not serve, and load is rarely the cause.
    """
    if run.outcome is not Outcome.ANSWERED:
        pacer.failures += 1
        if pacer.failing_since is None:
            pacer.failing_since = run.started_at
        return PaceChange.NONE
    since, failures = pacer.failing_since, pacer.failures
    pacer.failing_since, pacer.failures = None, 0
    if since is None or failures < OUTAGE_FAILURES or run.started_at < since + OUTAGE_S:
        return PaceChange.NONE
    return begin_pacing(pacer, slots, now)


def _change_limit(pacer: Pacer, limit: float | None, now: float) -> None:
    pacer.limit = limit
    pacer.credit = 0.0
    pacer.changed_at = now
    pacer.failing_since, pacer.failures = None, 0
