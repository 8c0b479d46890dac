"""A pool of keep-alive HTTP connections, bounded in size and idle time per server."""

from __future__ import annotations

import socket
from collections import deque
from http.client import HTTPConnection as BaseConnection
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
import eventlet.hubs

from ..balancing.idle_bounds import IDLE_TIMEOUT_S, IdleBound
from .responses import CheckedConnection
from .sockets import SOCKET_OPTIONS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from http.client import HTTPResponse

CONNECT_TIMEOUT_S = 1.0
DEFAULT_IDLE_BOUND = IdleBound(16, IDLE_TIMEOUT_S)  # until a bound is set for the address


@attrs.define
class PooledConnection:
    """An HTTP connection to a backend server, with what the pool needs to know about it.

    Attributes:
        http: The underlying connection.
        opened_at: When this object was created, in seconds on the monotonic clock.
        idle_since: When it last became idle; None before its first response.
        reader: Buffered reader of its responses, for users that must not lose bytes read past
            the end of a response.
    """

    http: CheckedConnection
    opened_at: float
    idle_since: float | None = None
    reader: Any = None


@attrs.define
class ConnectionPool:
    """Idle connections by server address.

    Attributes:
        idle: Idle connections by address; the most recently used one is last.
        bounds: How many idle connections are kept and for how long, by address.
    """

    idle: dict[str, deque[PooledConnection]] = attrs.field(factory=dict)
    bounds: dict[str, IdleBound] = attrs.field(factory=dict)


def acquire_connection(
    pool: ConnectionPool, address: str, timeout_s: float, force_new: bool = False
) -> PooledConnection:
    """Return an idle connection, or a new one that `connect` still has to open.

    Args:
        pool: The connection pool.
        address: The backend server's `ip:port`.
        timeout_s: Timeout of each read, in seconds.
        force_new: Whether to return a new connection even if one is idle.
    """
    idle = pool.idle.get(address)
    limit_s = pool.bounds.get(address, DEFAULT_IDLE_BOUND).seconds
    while idle and not force_new:
        connection = idle.pop()
        if monotonic() - connection.idle_since < limit_s and is_open(connection):
            connection.http.timeout = timeout_s
            connection.http.sock.settimeout(timeout_s)
            return connection
        connection.http.close()
    return open_connection(address, timeout_s)


def open_connection(address: str, timeout_s: float) -> PooledConnection:
    """Return a new connection outside the pool, which connects on first use."""
    host, _, port = address.rpartition(":")
    http = CheckedConnection(host, int(port), timeout=timeout_s, socket_options=SOCKET_OPTIONS)
    return PooledConnection(http, monotonic())


def connect(connection: PooledConnection, timeout_s: float) -> None:
    """Open a connection if it is new, before any request is sent over it.

    A failure here therefore guarantees that the request was not sent.

    Args:
        connection: From `acquire_connection`.
        timeout_s: Timeout of each later read and write, in seconds.
    """
    if connection.http.sock is None:
        connection.http.timeout = min(timeout_s, CONNECT_TIMEOUT_S)
        connection.http.connect()
        connection.http.timeout = timeout_s  # applied to the socket again on each request


def release_connection(pool: ConnectionPool, address: str, connection: PooledConnection) -> None:
    """Return a connection to the pool, or close it if enough are idle already.

    Its last response must have been read completely.
    """
    idle = pool.idle.setdefault(address, deque())
    if (
        len(idle) >= pool.bounds.get(address, DEFAULT_IDLE_BOUND).connections
        or connection.http.sock is None
    ):
        connection.http.close()
        return
    connection.idle_since = monotonic()
    idle.append(connection)


def close_expired(pool: ConnectionPool, now: float) -> None:
    """Close the connections that have been idle for longer than their bound allows.

    Args:
        pool: The connection pool.
        now: Seconds on the monotonic clock.
    """
    for address, idle in list(pool.idle.items()):
        limit_s = pool.bounds.get(address, DEFAULT_IDLE_BOUND).seconds
        while idle and now - idle[0].idle_since >= limit_s:
            idle.popleft().http.close()
        if not idle:
            del pool.idle[address]


def take_older_connection(
    pool: ConnectionPool, address: str, opened_before: float
) -> PooledConnection | None:
    """Remove and return the newest idle connection opened before a given time, or None."""
    idle = pool.idle.get(address, ())
    older = [
        connection
        for connection in idle
        if connection.opened_at < opened_before and is_open(connection)
    ]
    if not older:
        return None
    connection = max(older, key=lambda candidate: candidate.opened_at)
    idle.remove(connection)
    return connection


def drop_older_connections(pool: ConnectionPool, address: str, opened_before: float) -> None:
    """Close the idle connections to a backend server that were opened before a given time."""
    kept: deque[PooledConnection] = deque()
    for connection in pool.idle.pop(address, ()):
        if connection.opened_at < opened_before:
            connection.http.close()
        else:
            kept.append(connection)
    if kept:
        pool.idle[address] = kept


def drop_unproven_connections(pool: ConnectionPool, address: str, since: float) -> None:
    """Close the idle connections to a server on which nothing has arrived since a given time.

    If a connection went silent for good, those that were idle meanwhile probably did too.

    Args:
        pool: The connection pool.
        address: The server's `ip:port`.
        since: When a request was sent that got no response, in seconds on the monotonic clock.
    """
    idle = pool.idle.pop(address, deque())
    kept = deque(connection for connection in idle if connection.idle_since >= since)
    for connection in idle:
        if connection.idle_since < since:
            connection.http.close()
    if kept:
        pool.idle[address] = kept


def wait_readable(connection: PooledConnection, timeout_s: float) -> bool:
    """Wait until a connection has data to read; return False on timeout."""
    try:
        eventlet.hubs.trampoline(
            connection.http.sock, read=True, timeout=timeout_s, timeout_exc=TimeoutError
        )
    except TimeoutError:
        return False
    return True


def send_request(
    connection: PooledConnection, method: str, target: str, headers: Mapping[str, str], body: Any
) -> None:
    """Send one request without waiting for the response.

    Args:
        connection: From `acquire_connection`.
        method: The HTTP method.
        target: Path and query.
        headers: The request's headers.
        body: The request's body: bytes, an iterable of chunks, or None.
    """
    connection.http.request(method, target, body=body, headers=headers, preload_content=False)


def read_response(connection: PooledConnection) -> HTTPResponse:
    """Wait for the response to the request that was sent; its body is not read yet.

    Returns the standard library's response object: building urllib3's wrapper around it takes
    longer than sending the request.
    """
    return BaseConnection.getresponse(connection.http)


def is_open(connection: PooledConnection) -> bool:
    """Return whether an idle connection is reusable: the peer has neither closed it nor sent data.

    Only then would reading from its socket block.
    """
    sock = connection.http.sock
    if sock is None:
        return False
    try:
        sock.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
