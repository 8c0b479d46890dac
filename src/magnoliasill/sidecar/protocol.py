"""Serves HTTP on a sidecar's ports and reads request targets and headers as they were sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eventlet.wsgi

from ..calls.caller_protocol import CallerProtocol
from ..calls.client_connections import CLOSING_CONNECTIONS, ClientConnections
from ..calls.listeners import Listener
from ..calls.request_protocol import HEAD_TIMEOUT_S
from ..urgent_hub import set_urgent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .http_exchange import Reply
    from .state import Sidecar

PROTOCOL_KEY = "magnoliasill.protocol"
ARRIVED_KEY = "magnoliasill.arrived_at"  # when a pipelined request was read, by the clock
READ_TIMEOUT_S = 10.0  # between two reads of a request's head or body
PEER_IDLE_S = 60.0  # longer than other sidecars keep an idle connection
IDLE_SLACK_S = 5.0  # for requests that arrive just as a connection reaches the idle timeout
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


def build_protocol(
    get_idle_timeout_s: Callable[[], float],
    urgent: bool = False,
    clients: ClientConnections = CallerProtocol.clients,
    get_head_timeout_s: Callable[[], float] = lambda: HEAD_TIMEOUT_S,
) -> type[CallerProtocol]:
    """Return the protocol class for one port.

    Args:
        get_idle_timeout_s: Returns the current idle timeout in seconds.
        urgent: Whether requests at the port go before those at others.
        clients: Enforces the budgets for clients.
        get_head_timeout_s: Returns how long a request's head may take, in seconds.
    """
    budgeted = clients

    class SidecarProtocol(CallerProtocol):
        """Adds itself to the WSGI environment, so that the application can close the connection."""

        clients = budgeted

        def get_head_timeout_s(self) -> float:
            """Return how many seconds a request's head may take at present."""
            return get_head_timeout_s()

        def handle_one_request(self) -> None:
            """Apply the current idle timeout and serve one request."""
            if urgent:
                set_urgent(True)
            self.server.keepalive = get_idle_timeout_s()
            super().handle_one_request()

        def get_environ(self) -> dict[str, Any]:
            """Return the WSGI environment with this protocol instance added."""
            environ = super().get_environ()
            environ[PROTOCOL_KEY] = self
            return environ

        def close_when_stopping(self) -> None:
            """Close the connection after the current answer, since the process stops."""
            self.close_connection = True

    return SidecarProtocol


def serve_port(
    sock: Any, application: Callable[..., Any], protocol: type[CallerProtocol], urgent: bool = False
) -> None:
    """Accept and serve connections on a listening socket until it is closed."""
    set_urgent(urgent)
    clients: ClientConnections = protocol.clients
    eventlet.wsgi.server(
        Listener(sock),
        application,
        protocol=protocol,
        max_size=clients.budgets.max_connections + CLOSING_CONNECTIONS,
        log_output=False,
        keepalive=True,
        socket_timeout=READ_TIMEOUT_S,
        debug=False,
    )


def read_target(environ: dict[str, Any]) -> str:
    """Return the path and query of a request exactly as they were sent."""
    return environ[PROTOCOL_KEY].requestline.split(" ")[1]


def list_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the end-to-end headers of a request, in order."""
    raw = environ["headers_raw"]
    connection_headers = {
        part.strip().lower()
        for name, value in raw
        if name.lower() == "connection"
        for part in value.split(",")
    }
    excluded = HOP_BY_HOP_HEADERS | connection_headers
    return [(name, value) for name, value in raw if name.lower() not in excluded]


def count_open_request(sidecar: Sidecar, environ: dict[str, Any]) -> None:
    """Count a request as open until its response is written or its caller disconnects."""
    sidecar.open_requests += 1
    environ["eventlet.posthooks"].append((_count_finished, (sidecar,), {}))


def _count_finished(environ: dict[str, Any], sidecar: Sidecar) -> None:
    sidecar.open_requests -= 1


def close_if_stopping(sidecar: Sidecar, environ: dict[str, Any]) -> None:
    """Close the connection after the response if the sidecar is stopping."""
    if sidecar.stop_schedule is not None:
        environ[PROTOCOL_KEY].close_when_stopping()


def send_reply(
    reply: Reply, start_response: Any, *extra_headers: tuple[str, str]
) -> Iterable[bytes]:
    """Start a WSGI response with a backend server's status and headers and return its body.

    Args:
        reply: The backend server's response.
        start_response: The WSGI `start_response` callable.
        *extra_headers: Headers to add.
    """
    headers = [*drop_hop_by_hop_headers(reply.headers), *extra_headers]
    length = (
        _find_content_length(reply.headers)
        if reply.remaining_chunks is not None
        else str(len(reply.body))
    )
    if length:
        headers.append(("Content-Length", length))
    start_response(f"{reply.status} {reply.reason}", headers)
    return [reply.body] if reply.remaining_chunks is None else _stream_reply(reply)


def _stream_reply(reply: Reply) -> Iterator[bytes]:
    try:
        yield reply.body
        yield from reply.remaining_chunks
    finally:
        reply.remaining_chunks.close()


def drop_hop_by_hop_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of a response without the hop-by-hop ones."""
    return [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP_HEADERS]


def _find_content_length(headers: list[tuple[str, str]]) -> str:
    """Return the value of the Content-Length header, or an empty string."""
    return next((value for name, value in headers if name.lower() == "content-length"), "")
