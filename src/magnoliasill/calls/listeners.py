"""Accepts connections also after the process had no descriptor left for one."""

from __future__ import annotations

import errno
from typing import Any

import eventlet

RETRY_INTERVAL_S = 0.05  # until the end of other connections frees descriptors
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Listener:
    """Wraps a listening socket, whose port eventlet's server closes at any error of `accept`."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def accept(self) -> tuple[Any, Any]:
        """Return the next connection and its address, as soon as there are resources for it."""
        while True:
            try:
                connection: tuple[Any, Any] = self._sock.accept()
                return connection
            except OSError as error:
                if error.errno not in EXHAUSTED:
                    raise
            eventlet.sleep(RETRY_INTERVAL_S)
