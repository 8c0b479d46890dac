"""Admission control in front of a backend server: which requests run, wait or are refused.

Handles more requests than the server has slots, or than the rate limit that it names. All requests
to the server pass through its gate, so the gate knows how many slots are in use. Requests that can
still meet their latency target are queued before those that can't, which are called late. A request
that can't finish before its deadline is refused at once and reported as not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .cold_starts import ColdStarts, estimate_start_wait, is_cold, may_start, reserve_start
from .pace import find_limit
from .rate_limits import build_limiter, change_limit, estimate_token_wait, take_token

if TYPE_CHECKING:
    from collections.abc import Callable

    from .pace import Pacer
    from .rate_limits import RateLimiter

INITIAL_MEAN_S = 0.1
SMOOTHING = 0.1
# Time that has to be left before a request's target when it starts, in multiples of its mean
# duration. `TARGET_HEADROOM` is applied to its expected start when it arrives, since durations vary
# that much. `START_HEADROOM` decides whether a waiting request is late and goes behind the others.
TARGET_HEADROOM = 2.2
START_HEADROOM = 1.4
MAX_LATE_WAIT_SHARE = 0.4  # of a late request's time to its deadline; a longer wait is refused
LATE_SMOOTHING = 0.05
MAX_PACE = 8.0  # of a single request, so that a rare long one doesn't keep others away
# If a smaller share of late requests gets a slot, further ones are refused at once.
MIN_LATE_START_SHARE = 0.5
LATE_PROBE_INTERVAL = 20  # late requests refused before one is queued to detect that load fell
# Part of a request's mean duration that has to be left before its deadline when it starts.
MIN_TIME_LEFT_SHARE = 0.5
MAX_WAITING_PER_SLOT = 4
NEW_REQUEST_SLOT_SHARE = 1 / 3  # of the slots, kept for new requests under any load of nested ones
# Nested requests that start in a row while others wait, under a rate limit or while the server is
# paced. A limited server has slots to spare, and of a single slot no share is left for nested ones.
MAX_NESTED_STREAK = 2
MAX_WAIT_S = 2.5  # beyond this, it is better to refuse the request and have the caller retry


@attrs.define(eq=False)
class QueuedRequest:
    """A request at the gate.

    Attributes:
        route: The route's name.
        nested: Whether a request that runs on another backend server waits for its answer.
        priority: Its priority; 0 is the most urgent.
        target_at: Its latency target; an answer after this is worth less. In monotonic seconds.
        deadline_at: When its caller stops waiting for the answer.
        arrived_at: When it arrived.
        start_by: When it is refused if it has not started by then.
        resume: Called once when it leaves the queue, with whether it may run.
        delivery_s: Seconds from the end of its run until its answer is expected to be sent; the
            target and the deadline are those for the end of the run.
    """

    route: str
    nested: bool
    priority: int
    target_at: float
    deadline_at: float
    arrived_at: float
    start_by: float
    resume: Callable[[bool], None]
    delivery_s: float = 0.0


@attrs.define
class Gate:
    """The state of the gate of one backend server.

    Attributes:
        slots: The number of requests that the server can run concurrently.
        running: The number of running requests.
        running_new: The number of running requests that are not nested.
        waiting: The queued requests.
        mean_s: The moving average of a request's duration in seconds, over all routes.
        route_s: The moving average of a request's duration in seconds, by route.
        pace: The moving average of a request's duration as a multiple of the usual one of its
            route at all servers of the service.
        failing: The moving average of the share of failed answers.
        late_start_share: The moving average of the share of late requests that got a slot.
        late_refused: The number of late requests refused in a row.
        limiter: The rate limit that the server names, or None.
        nested_streak: The number of nested requests started since the last other one.
        pacer: The limit below the slots while the server starts or recovers, or None where such
            servers are not paced.
        cold: The bound on requests while the server is cold.
    """

    slots: int = 1
    running: int = 0
    running_new: int = 0
    waiting: list[QueuedRequest] = attrs.field(factory=list)
    mean_s: float = INITIAL_MEAN_S
    route_s: dict[str, float] = attrs.field(factory=dict)
    pace: float = 1.0
    failing: float = 0.0
    late_start_share: float = 1.0
    late_refused: int = 0
    limiter: RateLimiter | None = None
    nested_streak: int = 0
    pacer: Pacer | None = None
    cold: ColdStarts = attrs.field(factory=ColdStarts)


@attrs.frozen
class AdmissionDecision:
    """The gate's decision on an arriving request.

    Attributes:
        admitted: Whether the request runs now.
        queued: Whether it waits for a slot.
        reason: Why it was refused, or an empty string.
    """

    admitted: bool = False
    queued: bool = False
    reason: str = ""


def request_admission(
    gate: Gate, request: QueuedRequest, now: float, late: bool
) -> AdmissionDecision:
    """Admit, queue or refuse a request.

    Args:
        gate: The gate.
        request: The request.
        now: Seconds on the monotonic clock.
        late: Whether it may be queued past its target, because no other server takes it sooner.
    """
    service_s = gate.route_s.get(request.route, gate.mean_s)
    if now + MIN_TIME_LEFT_SHARE * service_s >= request.deadline_at:
        return AdmissionDecision(reason="deadline")
    if not late and request.delivery_s and now + service_s > request.target_at:
        return AdmissionDecision(reason="target")
    if not gate.waiting and _may_start(gate, now):
        _occupy_slot(gate, request)
        return AdmissionDecision(admitted=True)
    waiting_new = sum(not other.nested for other in gate.waiting)
    if not request.nested and waiting_new >= MAX_WAITING_PER_SLOT * count_open_slots(gate):
        return AdmissionDecision(reason="queue")
    wait_s = estimate_wait(gate, request, now)
    if now + wait_s > request.start_by:
        return AdmissionDecision(reason="wait")
    if now + wait_s + TARGET_HEADROOM * service_s > request.target_at:
        if not late:
            return AdmissionDecision(reason="target")
        if not _may_wait_late(gate, request, wait_s + service_s, now):
            return AdmissionDecision(reason="deadline")
    gate.waiting.append(request)
    return AdmissionDecision(queued=True)


def _may_wait_late(gate: Gate, request: QueuedRequest, seconds: float, now: float) -> bool:
    """Return whether a request that will miss its target can expect to finish before its deadline.

    Requests that arrive later may overtake it as long as they can meet their targets, so how late
    requests have fared recently is a better predictor than the length of the queue.
    """
    if request.nested:  # refusing it would waste the work that its caller has already done
        return now + seconds <= request.deadline_at
    if seconds > MAX_LATE_WAIT_SHARE * (request.deadline_at - now):
        return False
    if _has_rate(gate, now):
        return True
    if sum(_is_late(gate, other, now) for other in gate.waiting) >= count_open_slots(gate):
        return False
    if gate.late_start_share >= MIN_LATE_START_SHARE or gate.late_refused >= LATE_PROBE_INTERVAL:
        gate.late_refused = 0
        return True
    gate.late_refused += 1
    return False


def count_open_slots(gate: Gate) -> int:
    """Return how many requests may run at once: the slots, or fewer while the server is paced."""
    return find_limit(gate.pacer, gate.slots)


def estimate_wait(gate: Gate, request: QueuedRequest, now: float) -> float:
    """Return the seconds until a request would start, given the requests queued ahead of it."""
    own_rank = _rank(gate, request, now)
    ahead = sum(_rank(gate, other, now) <= own_rank for other in gate.waiting)
    if not request.nested:  # nested requests can't take the slots that are kept for new ones
        nested = sum(other.nested for other in gate.waiting)
        ahead = ahead - nested + min(nested, int((ahead - nested + 1) / NEW_REQUEST_SLOT_SHARE))
    slots = count_open_slots(gate)
    free_slots = max(slots - gate.running, 0)
    slot_wait_s = max(ahead + 1 - free_slots, 0) * gate.mean_s / slots
    return max(slot_wait_s, _estimate_rate_wait(gate, ahead, now))


def _has_rate(gate: Gate, now: float) -> bool:
    """Return whether requests start at a bounded rate, so that slots are no matter."""
    return gate.limiter is not None or is_cold(gate.cold, now)


def _estimate_rate_wait(gate: Gate, ahead: int, now: float) -> float:
    """Return the seconds until the server's own limit and its coldness let a request start."""
    wait_s = estimate_start_wait(gate.cold, gate.running, ahead, now)
    if gate.limiter is None:
        return wait_s
    return max(wait_s, estimate_token_wait(gate.limiter, ahead, now))


def finish_request(gate: Gate, nested: bool, now: float) -> None:
    """Release the slot of a request that has ended, and start waiting requests.

    Args:
        gate: The gate.
        nested: Whether the request was nested.
        now: Seconds on the monotonic clock.
    """
    gate.running -= 1
    gate.running_new -= not nested
    dispatch_waiting(gate, now)


def dispatch_waiting(gate: Gate, now: float) -> None:
    """Refuse waiting requests that can no longer finish in time, and start others in order."""
    for request in [found for found in gate.waiting if _should_refuse(gate, found, now)]:
        gate.waiting.remove(request)
        _record_late_outcome(gate, False)
        request.resume(False)
    while gate.waiting and _may_start(gate, now):
        request = _choose_next(gate, now)
        gate.waiting.remove(request)
        if _is_late(gate, request, now):
            _record_late_outcome(gate, True)
        _occupy_slot(gate, request)
        request.resume(True)


def _choose_next(gate: Gate, now: float) -> QueuedRequest:
    """Return the next request to start: nested ones first, except on slots kept for new ones."""
    waiting = gate.waiting
    if _is_turn_of_new(gate, now):
        new = [found for found in waiting if not found.nested and not _is_late(gate, found, now)]
        waiting = new or waiting
    return min(waiting, key=lambda found: _rank(gate, found, now))


def _is_turn_of_new(gate: Gate, now: float) -> bool:
    if _has_rate(gate, now) or count_open_slots(gate) < gate.slots:
        return gate.nested_streak >= MAX_NESTED_STREAK
    return gate.running_new < NEW_REQUEST_SLOT_SHARE * gate.slots


def _may_start(gate: Gate, now: float) -> bool:
    """Return whether there is a slot, and take the tokens of the limits if there are any."""
    if gate.running >= count_open_slots(gate) or not may_start(gate.cold, gate.running, now):
        return False
    if gate.limiter is not None and not take_token(gate.limiter, now):
        return False
    reserve_start(gate.cold, now)
    return True


def _occupy_slot(gate: Gate, request: QueuedRequest) -> None:
    gate.running += 1
    gate.running_new += not request.nested
    gate.nested_streak = gate.nested_streak + 1 if request.nested else 0


def limit_rate(gate: Gate, limit_per_s: float | None, now: float) -> None:
    """Apply the rate limit that the backend server names, or none.

    Args:
        gate: The gate.
        limit_per_s: The requests per second that the server accepts, or None.
        now: Seconds on the monotonic clock.
    """
    if limit_per_s is None:
        gate.limiter = None
        dispatch_waiting(gate, now)
        return
    if gate.limiter is None:
        gate.limiter = build_limiter(limit_per_s, now)
    else:
        change_limit(gate.limiter, limit_per_s, now)
    _refuse_beyond_limit(gate, now)


def bound_cold_server(gate: Gate, now: float) -> None:
    """Refuse the waiting requests that can't start in time now that the server is cold."""
    _refuse_beyond_limit(gate, now, by_target=True)


def _refuse_beyond_limit(gate: Gate, now: float, by_target: bool = False) -> None:
    """Refuse the waiting requests that were queued by a higher limit and are too many for this."""
    kept = 0
    for request in sorted(gate.waiting, key=lambda found: _rank(gate, found, now)):
        start_at = now + _estimate_rate_wait(gate, kept, now)
        service_s = gate.route_s.get(request.route, gate.mean_s)
        latest_start = min(request.start_by, request.deadline_at - MIN_TIME_LEFT_SHARE * service_s)
        if by_target and request.target_at > now and not request.nested:  # it may still be in time
            latest_start = min(latest_start, request.target_at - service_s)
        if start_at < latest_start:
            kept += 1
            continue
        gate.waiting.remove(request)
        request.resume(False)


def find_next_start(gate: Gate, now: float) -> float | None:
    """Return the seconds until a token lets a waiting request start, or None without a limit."""
    if not _has_rate(gate, now) or not gate.waiting or gate.running >= count_open_slots(gate):
        return None
    return _estimate_rate_wait(gate, 0, now)


def refuse_waiting(gate: Gate) -> None:
    """Refuse all waiting requests, because the backend server is going away."""
    waiting, gate.waiting = gate.waiting, []
    for request in waiting:
        request.resume(False)


def leave_queue(gate: Gate, request: QueuedRequest) -> None:
    """Remove a waiting request whose caller has disconnected."""
    if request in gate.waiting:
        gate.waiting.remove(request)


def observe_answer(gate: Gate, route: str, seconds: float, failed: bool) -> None:
    """Update the moving averages with an answer of the backend server.

    Args:
        gate: The gate.
        route: The route's name.
        seconds: How long it took.
        failed: Whether it was a failure; the duration of a failure is ignored.
    """
    gate.failing += SMOOTHING * (float(failed) - gate.failing)
    if failed:
        return
    gate.mean_s += SMOOTHING * (seconds - gate.mean_s)
    previous = gate.route_s.get(route, seconds)
    gate.route_s[route] = previous + SMOOTHING * (seconds - previous)


def observe_pace(gate: Gate, seconds: float, typical_s: float) -> None:
    """Update how the server's durations compare with those of its kin.

    Args:
        gate: The gate.
        seconds: How long a request took.
        typical_s: The usual duration of its route's requests at all servers, or 0 if not known.
    """
    if typical_s > 0:
        ratio = min(max(seconds / typical_s, 1 / MAX_PACE), MAX_PACE)
        gate.pace += SMOOTHING * (ratio - gate.pace)


def _rank(gate: Gate, request: QueuedRequest, now: float) -> tuple[bool, bool, int, float]:
    return (not request.nested, _is_late(gate, request, now), request.priority, request.target_at)


def _is_late(gate: Gate, request: QueuedRequest, now: float) -> bool:
    if _has_rate(gate, now):  # tokens come in time for all that were queued, none overtakes
        return False
    service_s = gate.route_s.get(request.route, gate.mean_s)
    return now + START_HEADROOM * service_s > request.target_at


def _should_refuse(gate: Gate, request: QueuedRequest, now: float) -> bool:
    service_s = gate.route_s.get(request.route, gate.mean_s)
    if now + MIN_TIME_LEFT_SHARE * service_s >= request.deadline_at or now >= request.start_by:
        return True
    if (
        request.nested
        or gate.late_start_share >= MIN_LATE_START_SHARE
        or not _is_late(gate, request, now)
    ):
        return False
    waited_s = now - request.arrived_at
    return waited_s > MAX_LATE_WAIT_SHARE * (request.deadline_at - request.arrived_at)


def _record_late_outcome(gate: Gate, started: bool) -> None:
    gate.late_start_share += LATE_SMOOTHING * (float(started) - gate.late_start_share)
