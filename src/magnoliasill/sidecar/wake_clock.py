"""A monotonic clock that goes on while the VM is suspended."""

from __future__ import annotations

import time


def read_wake_clock() -> float:
    """Return the seconds on a monotonic clock that includes suspensions of the VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
