"""Cancels calls whose callers closed their connections."""

from __future__ import annotations

import socket
from contextlib import contextmanager
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
import greenlet
from eventlet.greenthread import kill
from eventlet.hubs import get_hub

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_CALL_AGE_S = 0.1
TCP_CLOSE_WAIT = 8  # the first byte of Linux's TCP_INFO once the other end has closed


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its call was answered."""


def ignore_caller() -> None:
    """Check nothing, for a call that goes on without its caller."""


@attrs.define(eq=False)
class WatchedCall:
    """A call that is cancelled when its caller disconnects.

    Attributes:
        sock: The caller's socket.
        greenlet: The greenlet that handles the call.
        started_at: When the watch began, in seconds on the monotonic clock.
        calls: The set of watched calls that contains this one.
    """

    sock: Any
    greenlet: Any
    started_at: float
    calls: set[WatchedCall]

    def stop_watching(self) -> None:
        """Let the call continue even if its caller disconnects."""
        self.calls.discard(self)

    def check_connected(self) -> None:
        """Raise `CallerDisconnectedError` if the caller has closed its connection by now."""
        if _is_closed(self.sock):
            raise CallerDisconnectedError

    def begin_run(self, is_cancellable: bool) -> None:
        """Prepare to send the call to a backend server.

        Args:
            is_cancellable: Whether it may be cancelled while it runs there.

        Raises:
            CallerDisconnectedError: If the caller has closed its connection by now.
        """
        self.check_connected()
        if not is_cancellable:
            self.stop_watching()


@contextmanager
def watch_caller(calls: set[WatchedCall], environ: dict[str, Any]) -> Iterator[WatchedCall]:
    """Raise `CallerDisconnectedError` inside the block when the caller closes its connection.

    Args:
        calls: The set of watched calls.
        environ: The WSGI environment of the call.
    """
    source = environ["wsgi.input"]
    call = WatchedCall(source.get_socket(), greenlet.getcurrent(), monotonic(), calls)
    calls.add(call)
    try:
        yield call
    finally:
        calls.discard(call)


def cancel_disconnected(calls: set[WatchedCall], now: float) -> int:
    """Cancel every watched call whose caller has disconnected, without waiting for its end.

    Args:
        calls: The set of watched calls.
        now: Seconds on the monotonic clock.

    Returns:
        The number of such calls.
    """
    disconnected = [
        call for call in calls if now - call.started_at >= MIN_CALL_AGE_S and _is_closed(call.sock)
    ]
    for call in disconnected:
        get_hub().schedule_call_global(0, _cancel, call)
    return len(disconnected)


def _cancel(call: WatchedCall) -> None:
    if call in call.calls:
        kill(call.greenlet, CallerDisconnectedError)


def _is_closed(sock: Any) -> bool:
    try:
        if not sock.fd.recv(1, socket.MSG_PEEK):
            return True
        # Bytes of a further request precede the end of the stream, but not the connection's state.
        state = sock.fd.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return bool(state and state[0] == TCP_CLOSE_WAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
