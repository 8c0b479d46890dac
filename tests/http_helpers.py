"""Runs WSGI applications and raw TCP servers inside a test, and sends raw HTTP to them."""

from __future__ import annotations

import random
import socket
from typing import TYPE_CHECKING, Any

import eventlet
import eventlet.wsgi
import msgspec

from magnoliasill.calls.proxy_state import Proxy
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.process.metrics import build_metrics
from magnoliasill.versions.configuration import build_snapshot
from magnoliasill.versions.service_file import Limits, Release, Route, ServiceFile

from .builders import build_head

if TYPE_CHECKING:
    from collections.abc import Callable

eventlet.monkey_patch()

TIMEOUT_S = 20.0


def build_proxy(server_address: str, max_body_bytes: int = 100) -> Proxy:
    """Return a proxy with one service `fees`, whose only backend server is on the proxy's VM."""
    routes = [
        Route("pay", "POST", "/fees", idempotent=False),
        Route("view", "GET", "/fees"),
        Route("put", "PUT", "/fees"),
        Route("open", "GET", "/receipts/*"),
    ]
    limits = Limits(max_body_bytes=max_body_bytes)
    file = ServiceFile("fees", "team", routes, [Release("r1")], "r1", limits=limits)
    own = MemberRecord("a-1", "a", "127.0.0.1:1", 1, "alive", "fees", "r1", server_address, True)
    node = Node(own, random.Random(1))
    node.configuration.applied = build_snapshot(*build_head(1, [file]))
    return Proxy(node, lambda action: None, build_metrics())


def serve_locally(application: Any, protocol: type = eventlet.wsgi.HttpProtocol) -> tuple[str, int]:
    """Serve an application on a free local port until the test process ends; return its address."""
    listener = eventlet.listen(("127.0.0.1", 0))
    eventlet.spawn(
        eventlet.wsgi.server,
        listener,
        application,
        log_output=False,
        debug=False,
        protocol=protocol,
    )
    return listener.getsockname()


def serve_bytes(handle: Callable[[Any], None]) -> str:
    """Accept connections on a free port and pass each to a function; return `ip:port`."""
    listener = eventlet.listen(("127.0.0.1", 0))
    eventlet.spawn(eventlet.serve, listener, lambda sock, _: handle(sock))
    host, port = listener.getsockname()
    return f"{host}:{port}"


def read_request(sock: Any) -> bytes:
    """Read one request without a body from a socket; empty if the peer has closed it."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65_536)
        if not chunk:
            return b""
        data += chunk
    return data


def exchange_bytes(
    address: tuple[str, int], data: bytes, close_sending: bool = False
) -> tuple[int, Any]:
    """Send bytes and read one response until the peer closes the connection.

    Args:
        address: The server's address.
        data: The bytes to send.
        close_sending: Whether to shut down the sending side afterwards.

    Returns:
        The status, and the decoded JSON body or None if the body is not JSON.
    """
    with eventlet.Timeout(TIMEOUT_S):
        sock = eventlet.connect(address)
        sock.sendall(data)
        if close_sending:
            sock.shutdown(socket.SHUT_WR)
        response = b""
        while chunk := sock.recv(65_536):
            response += chunk
    head, _, body = response.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    try:
        return status, msgspec.json.decode(body)
    except msgspec.DecodeError:
        return status, None
