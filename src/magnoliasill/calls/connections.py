"""Connections to backend servers: kept alive, bounded, and dropped when they went silent."""

from __future__ import annotations

import socket
from collections import deque
from http.client import HTTPConnection as BaseConnection
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
import eventlet.hubs
from urllib3.connection import HTTPConnection

from ..balancing.idle_bounds import KEPT_S, IdleBound
from .sockets import SOCKET_OPTIONS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from http.client import HTTPResponse

CONNECT_TIMEOUT_S = 1.0
UNBOUNDED = IdleBound(16, KEPT_S)  # until the forwarder has set a bound


@attrs.define
class PooledConnection:
    """A connection to a backend server.

    Attributes:
        http: The connection.
        opened_at: When it was made, in seconds on the monotonic clock.
        idle_since: When it became idle, or None before its first answer.
        reader: Reads its answers, where bytes that follow one must not be lost.
    """

    http: HTTPConnection
    opened_at: float
    idle_since: float | None = None
    reader: Any = None


@attrs.define
class ConnectionPool:
    """Idle connections.

    Attributes:
        idle: By the backend server's address, the one used last at the end.
        bounds: How many are kept and how long, by address.
    """

    idle: dict[str, deque[PooledConnection]] = attrs.field(factory=dict)
    bounds: dict[str, IdleBound] = attrs.field(factory=dict)


def acquire_connection(
    table: ConnectionPool, address: str, timeout_s: float, fresh: bool = False
) -> PooledConnection:
    """Return an idle connection, or a new one that `connect` connects.

    Args:
        table: The idle connections.
        address: The backend server's `ip:port`.
        timeout_s: Seconds that each read may take.
        fresh: Whether only a new connection will do.
    """
    idle = table.idle.get(address)
    limit_s = table.bounds.get(address, UNBOUNDED).seconds
    while idle and not fresh:
        link = idle.pop()
        if monotonic() - link.idle_since < limit_s and _is_open(link):
            link.http.timeout = timeout_s
            link.http.sock.settimeout(timeout_s)
            return link
        link.http.close()
    return open_connection(address, timeout_s)


def open_connection(address: str, timeout_s: float) -> PooledConnection:
    """Return a new connection, which connects on first use."""
    host, _, port = address.rpartition(":")
    http = HTTPConnection(host, int(port), timeout=timeout_s, socket_options=SOCKET_OPTIONS)
    return PooledConnection(http, monotonic())


def connect(link: PooledConnection, timeout_s: float) -> None:
    """Connect a new connection, so that a failure certainly comes before any request.

    Args:
        link: From `acquire_connection`.
        timeout_s: Seconds that each later read and write may take.
    """
    if link.http.sock is None:
        link.http.timeout = min(timeout_s, CONNECT_TIMEOUT_S)
        link.http.connect()
        link.http.timeout = timeout_s  # each request sets it on the socket again


def release_connection(table: ConnectionPool, address: str, link: PooledConnection) -> None:
    """Keep a connection whose answer was read whole, or close it when enough are idle."""
    idle = table.idle.setdefault(address, deque())
    if len(idle) >= table.bounds.get(address, UNBOUNDED).connections or link.http.sock is None:
        link.http.close()
        return
    link.idle_since = monotonic()
    idle.append(link)


def close_expired(table: ConnectionPool, now: float) -> None:
    """Close the connections that have been idle for longer than their bound.

    Args:
        table: The idle connections.
        now: Seconds on the monotonic clock.
    """
    for address, idle in list(table.idle.items()):
        limit_s = table.bounds.get(address, UNBOUNDED).seconds
        while idle and now - idle[0].idle_since >= limit_s:
            idle.popleft().http.close()
        if not idle:
            del table.idle[address]


def take_older_connection(
    table: ConnectionPool, address: str, before: float
) -> PooledConnection | None:
    """Return the idle connection opened last before a time, or None."""
    idle = table.idle.get(address, ())
    older = [link for link in idle if link.opened_at < before and _is_open(link)]
    if not older:
        return None
    link = max(older, key=lambda found: found.opened_at)
    idle.remove(link)
    return link


def drop_older_connections(table: ConnectionPool, address: str, before: float) -> None:
    """Close the idle connections to a backend server that were opened before a time."""
    kept: deque[PooledConnection] = deque()
    for link in table.idle.pop(address, ()):
        if link.opened_at < before:
            link.http.close()
        else:
            kept.append(link)
    if kept:
        table.idle[address] = kept


def wait_readable(link: PooledConnection, timeout_s: float) -> bool:
    """Wait until a connection has something to read; returns whether it has."""
    try:
        eventlet.hubs.trampoline(
            link.http.sock, read=True, timeout=timeout_s, timeout_exc=TimeoutError
        )
    except TimeoutError:
        return False
    return True


def send_request(
    link: PooledConnection, method: str, target: str, headers: Mapping[str, str], body: Any
) -> None:
    """Send one request, whose answer is not yet waited for.

    Args:
        link: From `acquire_connection`.
        method: The HTTP method.
        target: Path and query.
        headers: The request's headers.
        body: The request's body: bytes, chunks, or None.
    """
    link.http.request(method, target, body=body, headers=headers, preload_content=False)


def read_response(link: PooledConnection) -> HTTPResponse:
    """Return the response to the request that was sent, whose body is not yet read.

    It is that of the standard library: the one that urllib3 puts around it takes longer to build
    than the request to send.
    """
    return BaseConnection.getresponse(link.http)


def _is_open(link: PooledConnection) -> bool:
    """Look whether the other end has closed or sent; a socket that is just silent would block."""
    sock = link.http.sock
    if sock is None:
        return False
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
