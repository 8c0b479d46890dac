"""The HTTP protocol of a sidecar's ports, and what an application needs of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eventlet.wsgi

from ..calls.callers import CallerProtocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .state import Sidecar
    from .transfer import Reply

PROTOCOL_KEY = "magnoliasill.protocol"
MAX_CONNECTIONS = 4_000  # within the descriptors of a VM
READ_TIMEOUT_S = 10.0  # between two pieces of a head or body
PEER_IDLE_S = 60.0  # longer than a peer keeps an idle connection
IDLE_SLACK_S = 5.0  # callers may use a connection up to the limit itself
HOP_HEADERS = frozenset(
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


def build_protocol(find_idle_s: Callable[[], float]) -> type[CallerProtocol]:
    """Return a protocol class for one port.

    Args:
        find_idle_s: Returns the seconds that a connection may be idle at this moment.
    """

    class SidecarProtocol(CallerProtocol):
        """Hands itself to the application, which may end the connection after its answer."""

        def handle_one_request(self) -> None:
            """Serve a request, with the bound on idle connections that is in force now."""
            self.server.keepalive = find_idle_s()
            super().handle_one_request()

        def get_environ(self) -> dict[str, Any]:
            """Return the environment, with this protocol in it."""
            environ = super().get_environ()
            environ[PROTOCOL_KEY] = self
            return environ

    return SidecarProtocol


def serve_port(sock: Any, application: Callable[..., Any], protocol: type) -> None:
    """Serve connections to a listening socket until it is closed."""
    eventlet.wsgi.server(
        sock,
        application,
        protocol=protocol,
        max_size=MAX_CONNECTIONS,
        log_output=False,
        keepalive=True,
        socket_timeout=READ_TIMEOUT_S,
        debug=False,
    )


def read_target(environ: dict[str, Any]) -> str:
    """Return path and query as they stand in the request line."""
    return environ[PROTOCOL_KEY].requestline.split(" ")[1]


def list_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the headers that concern more than one connection, in order."""
    raw = environ["headers_raw"]
    named = {
        part.strip().lower()
        for name, value in raw
        if name.lower() == "connection"
        for part in value.split(",")
    }
    dropped = HOP_HEADERS | named
    return [(name, value) for name, value in raw if name.lower() not in dropped]


def count_open(sidecar: Sidecar, environ: dict[str, Any]) -> None:
    """Count a request as open until its answer was written or its caller is gone."""
    sidecar.open_requests += 1
    environ["eventlet.posthooks"].append((_finish, (sidecar,), {}))


def _finish(environ: dict[str, Any], sidecar: Sidecar) -> None:
    sidecar.open_requests -= 1


def end_connection(sidecar: Sidecar, environ: dict[str, Any]) -> None:
    """Let a connection end with its answer if the sidecar is stopping."""
    if sidecar.stopping_at is not None:
        environ[PROTOCOL_KEY].close_connection = True


def answer_reply(reply: Reply, start_response: Any, *notes: tuple[str, str]) -> Iterable[bytes]:
    """Answer with what a backend server answered.

    Args:
        reply: The answer.
        start_response: The WSGI function that starts the answer.
        *notes: Further headers.
    """
    headers = [*strip_answer(reply.headers), *notes]
    length = _find_length(reply.headers) if reply.rest is not None else str(len(reply.body))
    if length:
        headers.append(("Content-Length", length))
    start_response(f"{reply.status} {reply.reason}", headers)
    return [reply.body] if reply.rest is None else _chain(reply)


def _chain(reply: Reply) -> Iterator[bytes]:
    try:
        yield reply.body
        yield from reply.rest
    finally:
        reply.rest.close()


def strip_answer(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Leave out the headers of an answer that concern only one connection."""
    return [(name, value) for name, value in headers if name.lower() not in HOP_HEADERS]


def _find_length(headers: list[tuple[str, str]]) -> str:
    """Return the length that an answer states, or an empty string."""
    return next((value for name, value in headers if name.lower() == "content-length"), "")
