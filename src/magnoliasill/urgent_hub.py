"""Event hub that resumes urgent green threads first, however many others are ready.

The hub of eventlet resumes every ready green thread once before it looks for new events. Under
overload such a turn takes up to seconds, and an exchange of several steps takes as many turns. This
hub looks for events of urgent green threads also within a turn, at short intervals.
"""

from __future__ import annotations

import heapq
from contextlib import suppress
from typing import TYPE_CHECKING, Any, TypeVar

import eventlet
import eventlet.hubs
from eventlet import patcher
from eventlet.hubs import epolls
from greenlet import getcurrent

if TYPE_CHECKING:
    from collections.abc import Callable

Result = TypeVar("Result")

select = patcher.original("select")

CHECK_INTERVAL_S = 0.005  # between searches for urgent events while others are served
_URGENT = "is_urgent"  # attribute of urgent green threads


class UrgentHub(epolls.Hub):
    """Hub that looks for events and timers of urgent green threads between those of others."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """Create a hub that measures time with a clock, by default the monotonic one."""
        self._urgent_poll = select.epoll()
        self._urgent_files: set[int] = set()
        self._urgent_timers: list[tuple[float, int, Any]] = []
        self._timers_added = 0
        self._next_check_at = 0.0
        self._is_serving = False
        super().__init__(clock)

    @staticmethod
    def is_available() -> bool:
        """Return whether the platform has what the hub needs."""
        return epolls.is_available()

    def add(self, evtype: str, fileno: int, cb: Any, tb: Any, mac: Any) -> Any:
        """Call back when a file is ready; for an urgent green thread before others."""

        def call_back(ready: int) -> None:
            self._serve_urgent()
            # An urgent green thread may have been resumed, or have ended another one, just now.
            if self.listeners[evtype].get(fileno) is listener:
                cb(ready)

        listener = super().add(evtype, fileno, call_back, tb, mac)
        if is_urgent():
            self._watch_urgent_file(fileno)
        return listener

    def remove(self, listener: Any) -> None:
        """Stop calling a listener."""
        super().remove(listener)
        if listener.fileno in self._urgent_files:
            self._watch_urgent_file(listener.fileno)

    def add_timer(self, timer: Any) -> float:
        """Schedule a timer; one that an urgent green thread sets fires before others."""
        if not is_urgent():
            return super().add_timer(timer)
        due_at = self.clock() + timer.seconds
        self._timers_added += 1
        heapq.heappush(self._urgent_timers, (due_at, self._timers_added, timer))
        return due_at

    def sleep_until(self) -> float | None:
        """Return when the next timer is due, or None if there is none."""
        due = [heap[0][0] for heap in (self.timers, self._urgent_timers) if heap]
        return min(due, default=None)

    def fire_timers(self, when: float) -> None:
        """Call the timers that are due."""
        self._fire_urgent_timers(when)
        while self.timers and self.timers[0][0] <= when:
            self._call_timer(heapq.heappop(self.timers)[1])
            self._serve_urgent()

    def _watch_urgent_file(self, fileno: int) -> None:
        """Watch a file for the events that its present listeners wait for."""
        with suppress(OSError, ValueError):  # it is not watched, or already closed
            self._urgent_poll.unregister(fileno)
        self._urgent_files.discard(fileno)
        mask = 0
        if fileno in self.listeners[self.READ]:
            mask |= self.READ_MASK | self.EXC_MASK
        if fileno in self.listeners[self.WRITE]:
            mask |= self.WRITE_MASK | self.EXC_MASK
        if mask:
            with suppress(OSError, ValueError):  # closed; the main poll reports that
                self._urgent_poll.register(fileno, mask)
                self._urgent_files.add(fileno)

    def _serve_urgent(self) -> None:
        now = self.clock()
        if self._is_serving or now < self._next_check_at:
            return
        self._is_serving = True
        try:
            self._fire_urgent_timers(now)
            if self._urgent_files:
                for fileno, event in self._urgent_poll.poll(0):
                    self._call_listeners(fileno, event)
        finally:
            self._is_serving = False
            self._next_check_at = self.clock() + CHECK_INTERVAL_S

    def _fire_urgent_timers(self, when: float) -> None:
        due = []
        while self._urgent_timers and self._urgent_timers[0][0] <= when:
            due.append(heapq.heappop(self._urgent_timers)[2])
        for timer in due:  # those that they set in turn have to wait for the next search
            self._call_timer(timer)

    def _call_timer(self, timer: Any) -> None:
        if timer.called:
            self.timers_canceled -= 1
            return
        try:
            timer()
        except self.SYSTEM_EXCEPTIONS:
            raise
        except BaseException as error:
            self.squelch_timer_exception(timer, (type(error), error, error.__traceback__))

    def _call_listeners(self, fileno: int, event: int) -> None:
        if not any(fileno in self.listeners[evtype] for evtype in (self.READ, self.WRITE)):
            self._watch_urgent_file(fileno)
        for evtype, mask in ((self.READ, self.READ_MASK), (self.WRITE, self.WRITE_MASK)):
            listener = self.listeners[evtype].get(fileno)
            if listener is None or not event & (mask | self.EXC_MASK):
                continue
            try:
                listener.cb(fileno)
            except self.SYSTEM_EXCEPTIONS:
                raise
            except BaseException as error:
                self.squelch_exception(fileno, (type(error), error, error.__traceback__))


def install_urgent_hub() -> None:
    """Use the urgent hub in this thread, if the platform has what it needs."""
    if UrgentHub.is_available():
        eventlet.hubs.use_hub(UrgentHub)


def is_urgent() -> bool:
    """Return whether the running green thread is urgent."""
    return getattr(getcurrent(), _URGENT, False)


def set_urgent(urgent: bool) -> None:
    """Make the running green thread urgent, or no longer so."""
    setattr(getcurrent(), _URGENT, urgent)


def inherit_urgency(function: Callable[..., Result]) -> Callable[..., Result]:
    """Return a function for a new green thread, which is urgent there if the running one is."""
    urgent = is_urgent()

    def run(*arguments: Any) -> Result:
        set_urgent(urgent)
        return function(*arguments)

    return run


def spawn_urgent(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a function in a new green thread that is urgent if the running one is."""
    return eventlet.spawn(inherit_urgency(function), *arguments)
