"""The queue of calls that wait for room at a backend server of their service."""

from __future__ import annotations

from collections import deque

import attrs
from eventlet.event import Event
from eventlet.timeout import Timeout


@attrs.define
class WaitingTable:
    """Calls that wait, by service, the longest wait first."""

    queues: dict[str, deque[Event]] = attrs.field(factory=dict)


def wait_for_room(table: WaitingTable, service: str, seconds: float) -> bool:
    """Wait until another call of the service makes room.

    Args:
        table: The calls that wait.
        service: The service's name.
        seconds: The longest wait.

    Returns:
        Whether room was made, rather than the time being over.
    """
    queue = table.queues.setdefault(service, deque())
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


def wake_next(table: WaitingTable, service: str) -> None:
    """Wake the call of a service that has waited longest, if there is one."""
    queue = table.queues.get(service)
    if queue:
        queue.popleft().send()
