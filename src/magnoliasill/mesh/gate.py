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

INITIAL_SECONDS = 0.1
SMOOTHING = 0.1
DEADLINE_SHARE = 0.9  # of the time left that a request's expected end has to lie in
LAST_CHANCE_SHARE = 0.5  # of its usual time that must be left when a waiting request starts
MAX_WAITING_PER_SLOT = 4


@attrs.define(eq=False)
class Ticket:
    """One request at the gate.

    Attributes:
        route: The route's name.
        nested: Whether a running request of another backend server waits for it.
        priority: Its rank; 0 is the most urgent.
        target_at: When an answer stops being worth most, in seconds on the monotonic clock.
        deadline_at: When nobody waits for the answer any more.
        arrived_at: When it came.
        resume: Called once, with whether it may run.
    """

    route: str
    nested: bool
    priority: int
    target_at: float
    deadline_at: float
    arrived_at: float
    resume: Callable[[bool], None]


@attrs.define
class Gate:
    """The requests at one backend server.

    Attributes:
        slots: Requests that it runs at once.
        running: Requests that run.
        waiting: Requests that wait.
        mean_s: Seconds that a request takes, over all routes.
        route_s: Seconds that a request takes, by route.
        failing: The share of failures among its latest answers.
    """

    slots: int = 1
    running: int = 0
    waiting: list[Ticket] = attrs.field(factory=list)
    mean_s: float = INITIAL_SECONDS
    route_s: dict[str, float] = attrs.field(factory=dict)
    failing: float = 0.0


@attrs.frozen
class Offer:
    """The gate's answer to a request that comes.

    Attributes:
        admitted: Whether it runs now.
        queued: Whether it waits.
        reason: Why it was refused, or an empty string.
    """

    admitted: bool = False
    queued: bool = False
    reason: str = ""


def offer_request(gate: Gate, ticket: Ticket, now: float, late: bool) -> Offer:
    """Let a request run, wait, or go.

    Args:
        gate: The gate.
        ticket: The request.
        now: Seconds on the monotonic clock.
        late: Whether it may wait beyond its target, because no other server takes it sooner.
    """
    service_s = gate.route_s.get(ticket.route, gate.mean_s)
    if now + LAST_CHANCE_SHARE * service_s >= ticket.deadline_at:
        return Offer(reason="deadline")
    if gate.running < gate.slots and not gate.waiting:
        gate.running += 1
        return Offer(admitted=True)
    if len(gate.waiting) >= MAX_WAITING_PER_SLOT * gate.slots:
        return Offer(reason="queue")
    end_at = now + estimate_wait(gate, ticket, now) + service_s
    limit_at = ticket.deadline_at if late else min(ticket.target_at, ticket.deadline_at)
    if end_at > now + (limit_at - now) * DEADLINE_SHARE:
        return Offer(reason="deadline" if late else "target")
    gate.waiting.append(ticket)
    return Offer(queued=True)


def estimate_wait(gate: Gate, ticket: Ticket, now: float) -> float:
    """Return the seconds until a request would start, by those that go before it."""
    own = _order(gate, ticket, now)
    ahead = sum(_order(gate, other, now) < own for other in gate.waiting)
    return (ahead + 1) * gate.mean_s / gate.slots


def finish_request(gate: Gate, now: float) -> None:
    """Take back the place of a request that has ended, and start those that wait."""
    gate.running -= 1
    start_waiting(gate, now)


def start_waiting(gate: Gate, now: float) -> None:
    """Refuse waiting requests that can't end in time any more, and start others in order."""
    for ticket in [found for found in gate.waiting if _is_hopeless(gate, found, now)]:
        gate.waiting.remove(ticket)
        ticket.resume(False)
    while gate.waiting and gate.running < gate.slots:
        ticket = min(gate.waiting, key=lambda found: _order(gate, found, now))
        gate.waiting.remove(ticket)
        gate.running += 1
        ticket.resume(True)


def close_gate(gate: Gate) -> None:
    """Refuse everything that waits, because the backend server is going away."""
    waiting, gate.waiting = gate.waiting, []
    for ticket in waiting:
        ticket.resume(False)


def leave_queue(gate: Gate, ticket: Ticket) -> None:
    """Drop a waiting request whose caller has left."""
    if ticket in gate.waiting:
        gate.waiting.remove(ticket)


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


def _order(gate: Gate, ticket: Ticket, now: float) -> tuple[bool, bool, int, float]:
    service_s = gate.route_s.get(ticket.route, gate.mean_s)
    late = now + service_s > ticket.target_at
    return (not ticket.nested, late, ticket.priority, ticket.target_at)


def _is_hopeless(gate: Gate, ticket: Ticket, now: float) -> bool:
    service_s = gate.route_s.get(ticket.route, gate.mean_s)
    return now + LAST_CHANCE_SHARE * service_s >= ticket.deadline_at
