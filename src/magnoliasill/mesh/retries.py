"""Retry budget: limits requests that are resent to another backend server in a sliding window."""

from __future__ import annotations

from collections import deque

import attrs

# Part of the ratio that is used. Nested requests of a retried request count as retries too, and
# this sidecar can't see them.
RATIO_SAFETY = 0.5
# Part of the fixed budget that is used. A sidecar knows only roughly how many others share it.
EXTRA_SAFETY = 0.5


@attrs.define
class SlidingWindow:
    """The times of one kind of event in a sliding window."""

    times: deque[float] = attrs.field(factory=deque)

    def add(self, now: float) -> None:
        """Record an event."""
        self.times.append(now)

    def count(self, since: float) -> int:
        """Return the number of events since a time, and discard earlier ones."""
        while self.times and self.times[0] < since:
            self.times.popleft()
        return len(self.times)


@attrs.define
class ServiceRetries:
    """The requests and retries of one service at this sidecar."""

    requests: SlidingWindow = attrs.field(factory=SlidingWindow)
    retries: SlidingWindow = attrs.field(factory=SlidingWindow)


@attrs.define
class RetryBudget:
    """The retry budgets of all services.

    Attributes:
        ratio: The retries allowed per request, over all sidecars.
        extra: The retries allowed on top of that, over all sidecars.
        window_s: The length of the sliding window in seconds.
        services: The requests and retries by service.
    """

    ratio: float
    extra: float
    window_s: float
    services: dict[str, ServiceRetries] = attrs.field(factory=dict)


def count_request(budget: RetryBudget, service: str, now: float) -> None:
    """Record a new request for a service."""
    _find_service(budget, service).requests.add(now)


def record_nested_retry(budget: RetryBudget, service: str, now: float) -> None:
    """Record a retry that the budget can't refuse: a nested request of a retried request."""
    _find_service(budget, service).retries.add(now)


def try_acquire_retry(budget: RetryBudget, service: str, sidecar_count: int, now: float) -> bool:
    """Record a retry if the budget allows it; return whether it does.

    Args:
        budget: The retry budget.
        service: The service.
        sidecar_count: The number of sidecars that share the fixed part.
        now: Seconds on the monotonic clock.
    """
    windows = _find_service(budget, service)
    since = now - budget.window_s
    allowed = RATIO_SAFETY * budget.ratio * windows.requests.count(since)
    allowed += EXTRA_SAFETY * budget.extra / max(sidecar_count, 1)
    if windows.retries.count(since) + 1 > allowed:
        return False
    windows.retries.add(now)
    return True


def _find_service(budget: RetryBudget, service: str) -> ServiceRetries:
    windows = budget.services.get(service)
    if windows is None:
        windows = budget.services[service] = ServiceRetries()
    return windows
