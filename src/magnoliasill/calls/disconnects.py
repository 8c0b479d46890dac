"""Disconnects: cancels the calls whose callers closed their connections."""

from __future__ import annotations

import socket
from contextlib import contextmanager
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
import greenlet
from eventlet.greenthread import kill

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_AGE_S = 0.1


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its call was answered."""


@attrs.define(eq=False)
class WatchedCall:
    """A call that ends when its caller goes away.

    Attributes:
        sock: The caller's socket.
        greenlet: What serves the call.
        since: Seconds on the monotonic clock.
        calls: The calls that are watched.
    """

    sock: Any
    greenlet: Any
    since: float
    calls: set[WatchedCall]

    def stop_watching(self) -> None:
        """Let the call go on whatever becomes of its caller."""
        self.calls.discard(self)


@contextmanager
def watch_caller(calls: set[WatchedCall], environ: dict[str, Any]) -> Iterator[WatchedCall]:
    """Let the block end with `CallerDisconnectedError` once the caller has closed its connection.

    Args:
        calls: The calls that are watched.
        environ: The WSGI environment of the call.
    """
    source = environ["wsgi.input"]
    entry = WatchedCall(source.get_socket(), greenlet.getcurrent(), monotonic(), calls)
    calls.add(entry)
    try:
        yield entry
    finally:
        calls.discard(entry)


def cancel_disconnected(calls: set[WatchedCall], now: float) -> int:
    """End every watched call whose caller has gone.

    Args:
        calls: The calls that are watched.
        now: Seconds on the monotonic clock.

    Returns:
        How many there were.
    """
    gone = [entry for entry in calls if now - entry.since >= MIN_AGE_S and _is_closed(entry.sock)]
    for entry in gone:
        if entry in calls:
            kill(entry.greenlet, CallerDisconnectedError)
    return len(gone)


def _is_closed(sock: Any) -> bool:
    try:
        return not sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
