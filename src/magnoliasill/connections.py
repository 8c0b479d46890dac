"""Kept-alive connections to backend servers, bounded for each of them."""

from __future__ import annotations

import socket
from collections import deque
from http.client import HTTPConnection as BaseConnection
from time import monotonic
from typing import TYPE_CHECKING

import attrs
from urllib3.connection import HTTPConnection

if TYPE_CHECKING:
    from collections.abc import Mapping
    from http.client import HTTPResponse

IDLE_LIMIT_S = 5.0
MAX_IDLE = 16


@attrs.define
class Idle:
    """An idle connection and the time at which it became idle, on the monotonic clock."""

    connection: HTTPConnection
    since: float


@attrs.define
class ConnectionTable:
    """Idle connections by the backend server's address, the one used last at the end."""

    idle: dict[str, deque[Idle]] = attrs.field(factory=dict)


def take_connection(table: ConnectionTable, address: str, timeout_s: float) -> HTTPConnection:
    """Return an idle connection, or a new one that connects on first use.

    Args:
        table: The idle connections.
        address: The backend server's `ip:port`.
        timeout_s: Seconds that connecting, and each read, may take.
    """
    idle = table.idle.get(address)
    while idle:
        kept = idle.pop()
        if monotonic() - kept.since < IDLE_LIMIT_S and _is_open(kept.connection):
            kept.connection.timeout = timeout_s
            kept.connection.sock.settimeout(timeout_s)
            return kept.connection
        kept.connection.close()
    host, _, port = address.rpartition(":")
    return HTTPConnection(host, int(port), timeout=timeout_s)


def give_back(table: ConnectionTable, address: str, connection: HTTPConnection) -> None:
    """Keep a connection whose answer was read whole, or close it when enough are idle."""
    idle = table.idle.setdefault(address, deque())
    if len(idle) >= MAX_IDLE:
        connection.close()
        return
    idle.append(Idle(connection, monotonic()))


def drop_kin(table: ConnectionTable, address: str) -> None:
    """Close every idle connection to a backend server, after one of them failed."""
    for kept in table.idle.pop(address, ()):
        kept.connection.close()


def send_request(
    connection: HTTPConnection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes | None,
) -> HTTPResponse:
    """Send one request and return its response, whose body is not yet read.

    The response is that of the standard library: the one that urllib3 puts around it takes
    longer to build than the request to send.

    Args:
        connection: From `take_connection`.
        method: The HTTP method.
        target: Path and query.
        headers: The request's headers.
        body: The request's body, or None.
    """
    connection.request(method, target, body=body, headers=headers, preload_content=False)
    return BaseConnection.getresponse(connection)


def _is_open(connection: HTTPConnection) -> bool:
    """Look whether the other end has closed; a socket that is just silent would block."""
    sock = connection.sock
    if sock is None:
        return False
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
