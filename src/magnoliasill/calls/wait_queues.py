"""Queues of calls that wait for capacity at a backend server of their service."""

from __future__ import annotations

from collections import deque

import attrs
from eventlet.event import Event
from eventlet.timeout import Timeout


@attrs.define
class WaitQueues:
    """Queues of waiting calls by service; the longest-waiting call is first."""

    queues: dict[str, deque[Event]] = attrs.field(factory=dict)


def wait_for_capacity(waiting: WaitQueues, service: str, seconds: float) -> bool:
    """Wait until another call of the service frees capacity.

    Args:
        waiting: The queues.
        service: The service's name.
        seconds: The longest wait.

    Returns:
        True if woken by another call, False on timeout.
    """
    queue = waiting.queues.setdefault(service, deque())
    event = Event()
    queue.append(event)
    try:
        with Timeout(max(seconds, 0.0), False):
            event.wait()
            return True
        return False
    finally:
        if not event.ready():
            queue.remove(event)


def wake_next(waiting: WaitQueues, service: str) -> None:
    """Wake the longest-waiting call of a service, if there is one."""
    queue = waiting.queues.get(service)
    if queue:
        queue.popleft().send()
