"""The budget of repeats: arrivals at a second backend server, over a sliding window."""

from __future__ import annotations

from collections import deque

import attrs

RATIO_SAFETY = 0.5  # of the ratio; calls made by a repeated run count as repeats too, unseen here
EXTRA_SAFETY = 0.5  # of the fixed part; sidecars know each other's number only roughly


@attrs.define
class SlidingWindow:
    """Moments of one kind of event, in a sliding window."""

    times: deque[float] = attrs.field(factory=deque)

    def add(self, now: float) -> None:
        """Note an event."""
        self.times.append(now)

    def count(self, since: float) -> int:
        """Return the events since a moment, and forget those before it."""
        while self.times and self.times[0] < since:
            self.times.popleft()
        return len(self.times)


@attrs.define
class ServiceRetries:
    """Requests and repeats of one service at this sidecar."""

    requests: SlidingWindow = attrs.field(factory=SlidingWindow)
    retries: SlidingWindow = attrs.field(factory=SlidingWindow)


@attrs.define
class RetryBudget:
    """The budget over all services.

    Attributes:
        ratio: Repeats for each request, over all daemons.
        extra: Repeats besides, over all daemons.
        window_s: The window, in seconds.
        services: By service.
    """

    ratio: float
    extra: float
    window_s: float
    services: dict[str, ServiceRetries] = attrs.field(factory=dict)


def count_request(budget: RetryBudget, service: str, now: float) -> None:
    """Note a new request for a service."""
    _find_service(budget, service).requests.add(now)


def record_nested_retry(budget: RetryBudget, service: str, now: float) -> None:
    """Note a repeat that nobody asked for: a call made by a run that is itself a repeat."""
    _find_service(budget, service).retries.add(now)


def try_acquire_retry(budget: RetryBudget, service: str, daemons: int, now: float) -> bool:
    """Note a repeat if the budget allows it; returns whether it does.

    Args:
        budget: The budget.
        service: The service.
        daemons: Sidecars that share the fixed part.
        now: Seconds on the monotonic clock.
    """
    rows = _find_service(budget, service)
    since = now - budget.window_s
    allowed = RATIO_SAFETY * budget.ratio * rows.requests.count(since)
    allowed += EXTRA_SAFETY * budget.extra / max(daemons, 1)
    if rows.retries.count(since) + 1 > allowed:
        return False
    rows.retries.add(now)
    return True


def _find_service(budget: RetryBudget, service: str) -> ServiceRetries:
    rows = budget.services.get(service)
    if rows is None:
        rows = budget.services[service] = ServiceRetries()
    return rows
