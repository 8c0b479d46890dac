"""The gate beside a backend server: what runs, what waits, and what is refused.

The pattern: more work than slots. The gate is the only way to its backend server, so it knows the
slots in use. Waiting requests are ordered by who can still be served in time; what can't end within
its deadline is refused at once, as not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

INITIAL_MEAN_S = 0.1
SMOOTHING = 0.1
TARGET_HEADROOM = 2.2  # times its usual time left to the target at its start; work varies as much
START_HEADROOM = 1.4  # times its usual time left with which a waiting request still goes first
MAX_LATE_WAIT_SHARE = (
    0.4  # of the time left that a request may be expected to wait beyond its target
)
LATE_SMOOTHING = 0.05
MIN_LATE_START_SHARE = (
    0.5  # share of late requests that got a slot, below which others need not wait
)
LATE_PROBE_INTERVAL = (
    20  # one of so many late requests waits all the same, to notice the end of the load
)
MIN_TIME_LEFT_SHARE = 0.5  # of its usual time that must be left when a waiting request starts
MAX_WAITING_PER_SLOT = 4
NEW_REQUEST_SLOT_SHARE = (
    1 / 3
)  # of the slots that calls of running work leave to new work, however many come
MAX_WAIT_S = 2.5  # a caller that waited longer is better told to come back


@attrs.define(eq=False)
class QueuedRequest:
    """One request at the gate.

    Attributes:
        route: The route's name.
        nested: Whether a running request of another backend server waits for it.
        priority: Its rank; 0 is the most urgent.
        target_at: When an answer stops being worth most, in seconds on the monotonic clock.
        deadline_at: When nobody waits for the answer any more.
        arrived_at: When it came.
        start_by: When it is refused if it has not started.
        resume: Called once, with whether it may run.
    """

    route: str
    nested: bool
    priority: int
    target_at: float
    deadline_at: float
    arrived_at: float
    start_by: float
    resume: Callable[[bool], None]


@attrs.define
class Gate:
    """The requests at one backend server.

    Attributes:
        slots: Requests that it runs at once.
        running: Requests that run.
        running_new: Those of them that no other backend server waits for.
        waiting: Requests that wait.
        mean_s: Seconds that a request takes, over all routes.
        route_s: Seconds that a request takes, by route.
        failing: The share of failures among its latest answers.
        late_start_share: The share of requests waiting beyond their targets that got a slot lately.
        late_refused: Late requests refused in a row.
    """

    slots: int = 1
    running: int = 0
    running_new: int = 0
    waiting: list[QueuedRequest] = attrs.field(factory=list)
    mean_s: float = INITIAL_MEAN_S
    route_s: dict[str, float] = attrs.field(factory=dict)
    failing: float = 0.0
    late_start_share: float = 1.0
    late_refused: int = 0


@attrs.frozen
class AdmissionDecision:
    """The gate's answer to a request that comes.

    Attributes:
        admitted: Whether it runs now.
        queued: Whether it waits.
        reason: Why it was refused, or an empty string.
    """

    admitted: bool = False
    queued: bool = False
    reason: str = ""


def request_admission(
    gate: Gate, request: QueuedRequest, now: float, late: bool
) -> AdmissionDecision:
    """Let a request run, wait, or go.

    Args:
        gate: The gate.
        request: The request.
        now: Seconds on the monotonic clock.
        late: Whether it may wait beyond its target, because no other server takes it sooner.
    """
    service_s = gate.route_s.get(request.route, gate.mean_s)
    if now + MIN_TIME_LEFT_SHARE * service_s >= request.deadline_at:
        return AdmissionDecision(reason="deadline")
    if gate.running < gate.slots and not gate.waiting:
        _occupy_slot(gate, request)
        return AdmissionDecision(admitted=True)
    waiting_new = sum(not other.nested for other in gate.waiting)
    if not request.nested and waiting_new >= MAX_WAITING_PER_SLOT * gate.slots:
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
    """Return whether a request that can't be served in time can expect to be served at all.

    Others go before it as long as they come, so the load of late tells more than the queue.
    """
    if request.nested:  # refusing it would waste what its caller has already done
        return now + seconds <= request.deadline_at
    if seconds > MAX_LATE_WAIT_SHARE * (request.deadline_at - now):
        return False
    if sum(_is_late(gate, other, now) for other in gate.waiting) >= gate.slots:
        return False
    if gate.late_start_share >= MIN_LATE_START_SHARE or gate.late_refused >= LATE_PROBE_INTERVAL:
        gate.late_refused = 0
        return True
    gate.late_refused += 1
    return False


def estimate_wait(gate: Gate, request: QueuedRequest, now: float) -> float:
    """Return the seconds until a request would start, by those that go before it."""
    own = _rank(gate, request, now)
    ahead = sum(_rank(gate, other, now) < own for other in gate.waiting)
    if not request.nested:  # calls of running work take only their part of the slots from it
        nested = sum(other.nested for other in gate.waiting)
        ahead = ahead - nested + min(nested, int((ahead - nested + 1) / NEW_REQUEST_SLOT_SHARE))
    return (ahead + 1) * gate.mean_s / gate.slots


def finish_request(gate: Gate, nested: bool, now: float) -> None:
    """Take back the place of a request that has ended, and start those that wait.

    Args:
        gate: The gate.
        nested: Whether another backend server waited for it.
        now: Seconds on the monotonic clock.
    """
    gate.running -= 1
    gate.running_new -= not nested
    dispatch_waiting(gate, now)


def dispatch_waiting(gate: Gate, now: float) -> None:
    """Refuse waiting requests that can't end in time any more, and start others in order."""
    for request in [found for found in gate.waiting if _should_refuse(gate, found, now)]:
        gate.waiting.remove(request)
        _record_late_outcome(gate, False)
        request.resume(False)
    while gate.waiting and gate.running < gate.slots:
        request = _choose_next(gate, now)
        gate.waiting.remove(request)
        if _is_late(gate, request, now):
            _record_late_outcome(gate, True)
        _occupy_slot(gate, request)
        request.resume(True)


def _choose_next(gate: Gate, now: float) -> QueuedRequest:
    """Return what starts next: calls of running work first, but new work keeps some slots."""
    waiting = gate.waiting
    if gate.running_new < NEW_REQUEST_SLOT_SHARE * gate.slots:
        new = [found for found in waiting if not found.nested and not _is_late(gate, found, now)]
        waiting = new or waiting
    return min(waiting, key=lambda found: _rank(gate, found, now))


def _occupy_slot(gate: Gate, request: QueuedRequest) -> None:
    gate.running += 1
    gate.running_new += not request.nested


def refuse_waiting(gate: Gate) -> None:
    """Refuse everything that waits, because the backend server is going away."""
    waiting, gate.waiting = gate.waiting, []
    for request in waiting:
        request.resume(False)


def leave_queue(gate: Gate, request: QueuedRequest) -> None:
    """Drop a waiting request whose caller has left."""
    if request in gate.waiting:
        gate.waiting.remove(request)


def observe_answer(gate: Gate, route: str, seconds: float, failed: bool) -> None:
    """Take an answer of the backend server into the means.

    Args:
        gate: The gate.
        route: The route's name.
        seconds: How long it took.
        failed: Whether it was a failure, whose time says nothing.
    """
    gate.failing += SMOOTHING * (float(failed) - gate.failing)
    if failed:
        return
    gate.mean_s += SMOOTHING * (seconds - gate.mean_s)
    known = gate.route_s.get(route, seconds)
    gate.route_s[route] = known + SMOOTHING * (seconds - known)


def _rank(gate: Gate, request: QueuedRequest, now: float) -> tuple[bool, bool, int, float]:
    return (not request.nested, _is_late(gate, request, now), request.priority, request.target_at)


def _is_late(gate: Gate, request: QueuedRequest, now: float) -> bool:
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
