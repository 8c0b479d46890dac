"""Limits the time of calls that may block, in programs that run on the event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from contextlib import AbstractContextManager


def limit_time(seconds: float) -> AbstractContextManager:
    """Return a context in which a `TimeoutError` is raised after some seconds."""
    return eventlet.Timeout(seconds, TimeoutError(f"not done within {seconds:g} s"))
