"""A call as the caller port reads it."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import attrs

from ..balancing.deadlines import read_deadline
from ..codes import ErrorCode
from ..errors import CallError
from .uploads import HEAD_BYTES, Upload

if TYPE_CHECKING:
    from ..versions.routing import RouteTarget

MAX_CHUNKED_BYTES = 4_000_000  # the end of a longer body in chunks can't be told beforehand
_DOT_SEGMENT = re.compile(r"/(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)
HOP_HEADERS = frozenset(
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
    """One call of a caller.

    Attributes:
        method: The HTTP method.
        path: The path without its query.
        target: Path and query.
        headers: The headers that are passed on.
        body: The body, held whole where it is short, or None.
        key: The idempotency key, or an empty string.
        deadline: Seconds on the monotonic clock by which the caller needs the answer.
        fresh: Whether it goes over a new connection, where no earlier answer can be pending
            and nothing between the ends can have lost track of it.
    """

    method: str
    path: str
    target: str
    headers: dict[str, str]
    body: bytes | Upload | None
    key: str
    deadline: float
    fresh: bool = False


def read_call(environ: dict[str, Any], path: str, target: RouteTarget, now: float) -> Call:
    """Read a call whole.

    Args:
        environ: The WSGI environment.
        path: The path, from `read_path`.
        target: The route that the call belongs to.
        now: Seconds on the monotonic clock.

    Returns:
        The call.

    Raises:
        CallError: If its body is too long or cut short, or a key is needed and missing.
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
        fresh=not target.route.idempotent,
    )


def read_path(environ: dict[str, Any]) -> str:
    """Return the path of a call as its caller wrote it, without the query.

    Decoding it would make another path of it for the backend server: `%2F` would become a
    separator.

    Args:
        environ: The WSGI environment.

    Raises:
        CallError: If it has a segment of dots, which could lead the backend server to a route
            other than the one that was found.
    """
    path: str = environ["RAW_PATH_INFO"]
    if _DOT_SEGMENT.search(path):
        raise CallError(ErrorCode.REQUEST_MALFORMED, "the path has a segment of dots")
    return path


def _read_body(environ: dict[str, Any], limit: int) -> bytes | Upload | None:
    source = environ["wsgi.input"]
    if "HTTP_TRANSFER_ENCODING" in environ:
        return _read_chunked(source, min(limit, MAX_CHUNKED_BYTES))
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        raise CallError(ErrorCode.BODY_TOO_LARGE, f"{length} bytes")
    if not length:
        return None
    head = source.read(min(length, HEAD_BYTES))
    if len(head) < min(length, HEAD_BYTES):
        raise CallError(ErrorCode.REQUEST_MALFORMED, f"{len(head)} of {length} bytes arrived")
    return head if len(head) == length else Upload(length, head, source)


def _read_chunked(source: Any, limit: int) -> bytes:
    try:
        body = source.read(limit + 1)
    except (ValueError, OSError) as error:
        raise CallError(ErrorCode.REQUEST_MALFORMED, f"chunked body: {error}") from error
    if len(body) > limit:
        message = f"more than {limit} bytes in chunks; a Content-Length allows more"
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
    return {name: value for name, value in headers.items() if name.lower() not in HOP_HEADERS}
