"""Reads a call from the HTTP request that arrived on the caller port."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import attrs

from ..balancing.deadlines import read_deadline
from ..codes import ErrorCode
from ..errors import CallError
from .cancellation import ignore_caller
from .uploads import BUFFERED_PREFIX_BYTES, Upload

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..versions.routing import RouteTarget

MAX_CHUNKED_BYTES = 4_000_000  # chunked bodies are buffered, as their length is not known upfront
_DOT_SEGMENT = re.compile(r"/(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)
NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "date",
        "server",
    }
)


@attrs.frozen
class Call:
    """A call from a caller, as it is forwarded to backend servers.

    Attributes:
        method: The HTTP method.
        path: The path without its query.
        target: Path and query.
        headers: The headers to forward.
        body: The body; buffered completely if it is short, None if there is none.
        key: The idempotency key, or an empty string.
        deadline: Seconds on the monotonic clock by which the caller needs the response.
        new_connection: Whether to send it over a new connection. A reused one may still have an
            earlier response pending, or a middlebox may have dropped its state for it.
        check_caller: Raises `CallerDisconnectedError` if the caller has closed its connection.
    """

    method: str
    path: str
    target: str
    headers: dict[str, str]
    body: bytes | Upload | None
    key: str
    deadline: float
    new_connection: bool = False
    check_caller: Callable[[], None] = ignore_caller


def read_call(environ: dict[str, Any], path: str, target: RouteTarget, now: float) -> Call:
    """Read a call from its WSGI environment.

    Args:
        environ: The WSGI environment.
        path: The path, from `read_path`.
        target: The route of the call.
        now: Seconds on the monotonic clock.

    Returns:
        The call.

    Raises:
        CallError: If the body is too long or truncated, the deadline is invalid or expired, or
            the request lacks the idempotency key that its route requires.
    """
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if not target.route.idempotent and not key:
        raise CallError(ErrorCode.KEY_MISSING, "this route needs an Idempotency-Key header")
    body = _read_body(environ, target.service.limits.max_body_bytes)
    query = environ.get("QUERY_STRING", "")
    return Call(
        method=environ["REQUEST_METHOD"],
        path=path,
        target=f"{path}?{query}" if query else path,
        headers=_read_headers(environ),
        body=body,
        key=key,
        deadline=read_deadline(environ.get("HTTP_X_DEADLINE_MS"), target.route.deadline_ms, now),
        new_connection=not target.route.idempotent,
    )


def read_path(environ: dict[str, Any]) -> str:
    """Return the path of a request without its query, still percent-encoded.

    Decoding would change the path that the backend server sees: `%2F` would become a separator.

    Args:
        environ: The WSGI environment.

    Raises:
        CallError: If it has a dot segment, which the backend server could resolve to a route other
            than the one that was found.
    """
    path: str = environ["RAW_PATH_INFO"]
    if _DOT_SEGMENT.search(path):
        raise CallError(ErrorCode.REQUEST_MALFORMED, "the path has a dot segment")
    return path


def _read_body(environ: dict[str, Any], limit: int) -> bytes | Upload | None:
    stream = environ["wsgi.input"]
    if "HTTP_TRANSFER_ENCODING" in environ:
        return _read_chunked(stream, min(limit, MAX_CHUNKED_BYTES))
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        raise CallError(ErrorCode.BODY_TOO_LARGE, f"body too long: {length} bytes")
    if not length:
        return None
    prefix = stream.read(min(length, BUFFERED_PREFIX_BYTES))
    if len(prefix) < min(length, BUFFERED_PREFIX_BYTES):
        raise CallError(
            ErrorCode.REQUEST_MALFORMED, f"body truncated: received {len(prefix)} of {length} bytes"
        )
    return prefix if len(prefix) == length else Upload(length, prefix, stream)


def _read_chunked(stream: Any, limit: int) -> bytes:
    try:
        body = stream.read(limit + 1)
    except (ValueError, OSError) as error:
        raise CallError(ErrorCode.REQUEST_MALFORMED, f"invalid chunked body: {error}") from error
    if len(body) > limit:
        message = f"chunked body exceeds {limit} bytes; the limit with Content-Length may be higher"
        raise CallError(ErrorCode.BODY_TOO_LARGE, message)
    return body


def _read_headers(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return {
        name: value for name, value in headers.items() if name.lower() not in NOT_FORWARDED_HEADERS
    }
