"""Finds out whether the local backend server still runs, after a connection to it broke.

A broken connection alone says nothing: servers reset connections when they are full, drop idle
ones, and spoil answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from ..calls.connections import (
    connect,
    is_open,
    open_connection,
    release_connection,
    wait_readable,
)

if TYPE_CHECKING:
    from .state import Sidecar

CONNECT_TIMEOUT_S = 0.25
CLOSING_S = 0.02  # a process that exits closes its sockets one after the other


def has_server_ended(sidecar: Sidecar) -> bool:
    """Return whether the backend server's process has ended.

    An open idle connection or a new one that stays open shows that it runs. A connection that times
    out shows nothing, since a full backlog drops it too.

    Args:
        sidecar: The sidecar beside the server.
    """
    pool, address = sidecar.server_connections, sidecar.settings.server
    if _has_open_idle_connection(sidecar):
        eventlet.sleep(CLOSING_S)
        if _has_open_idle_connection(sidecar):
            return False
    connection = open_connection(address, CONNECT_TIMEOUT_S)
    try:
        connect(connection, CONNECT_TIMEOUT_S)
    except NewConnectionError:  # a subclass of the other
        return True
    except ConnectTimeoutError:
        return False
    if wait_readable(connection, CLOSING_S):
        connection.http.close()
        return True
    release_connection(pool, address, connection)
    return False


def _has_open_idle_connection(sidecar: Sidecar) -> bool:
    idle = sidecar.server_connections.idle.get(sidecar.settings.server, ())
    return any(is_open(connection) for connection in idle)
