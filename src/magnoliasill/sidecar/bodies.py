"""Reads request bodies: buffers short ones and streams long ones."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING, Any

import attrs
from eventlet.wsgi import ChunkReadError

from ..calls.cancellation import CallerDisconnectedError
from ..codes import ErrorCode
from ..errors import CallError

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_BUFFERED_BYTES = 262_144  # only a buffered body can be sent again to a second backend server
READ_SIZE_BYTES = 65_536


@attrs.define
class LongBody:
    """A request body that is streamed from the caller to a backend server.

    Attributes:
        first_bytes: The bytes at the start that were read already.
        source: A file-like object to read the remaining bytes from.
        length: The length in bytes, or None for chunked transfer encoding.
        limit: The maximum length in bytes.
        consumed: Whether streaming has started, after which the body can't be sent again, whatever
            became of it.
    """

    first_bytes: bytes
    source: Any
    length: int | None
    limit: int
    consumed: bool = False


def read_body(environ: dict[str, Any], limit: int) -> bytes | LongBody | None:
    """Read a request body completely, or only its first bytes if it is long.

    Args:
        environ: The WSGI environment.
        limit: The maximum length in bytes.

    Raises:
        CallError: If the body is longer than the limit.
        CallerDisconnectedError: If the connection ends before the body is complete.
    """
    source = environ["wsgi.input"]
    if "HTTP_TRANSFER_ENCODING" in environ:
        first_bytes = _read_or_disconnect(source, MAX_BUFFERED_BYTES + 1)
        if len(first_bytes) > limit:
            raise CallError(
                ErrorCode.BODY_TOO_LARGE, f"the body exceeds the limit of {limit} bytes"
            )
        return (
            first_bytes
            if len(first_bytes) <= MAX_BUFFERED_BYTES
            else LongBody(first_bytes, source, None, limit)
        )
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        raise CallError(
            ErrorCode.BODY_TOO_LARGE, f"the body has {length} bytes; the limit is {limit}"
        )
    if not length:
        return None
    first_bytes = _read_or_disconnect(source, min(length, MAX_BUFFERED_BYTES))
    if len(first_bytes) < min(length, MAX_BUFFERED_BYTES):
        raise CallerDisconnectedError
    return (
        first_bytes if len(first_bytes) == length else LongBody(first_bytes, source, length, limit)
    )


def defer_body(environ: dict[str, Any], limit: int) -> LongBody:
    """Return a body of which nothing is read yet, since its sender waits to be asked for it.

    Args:
        environ: The WSGI environment.
        limit: The maximum length in bytes.
    """
    is_chunked = "HTTP_TRANSFER_ENCODING" in environ
    length = None if is_chunked else int(environ.get("CONTENT_LENGTH") or 0)
    return LongBody(b"", environ["wsgi.input"], length, limit)


def build_announced_body(body: bytes | LongBody) -> LongBody:
    """Return a body to send once the other end asks for it; a short one can be sent again."""
    if isinstance(body, LongBody):
        return body
    return LongBody(body, BytesIO(), len(body), len(body))


def measure_body(body: bytes | LongBody | None) -> int:
    """Return the length of a body in bytes, 0 for one in chunks."""
    if isinstance(body, LongBody):
        return body.length or 0
    return len(body or b"")


def is_deferred(environ: dict[str, Any]) -> bool:
    """Return whether the sender of a request waits to be asked for the body."""
    return environ.get("HTTP_EXPECT", "").lower() == "100-continue"


def read_chunks(body: LongBody) -> Iterator[bytes]:
    """Yield a long body in chunks; possible only once per body.

    Raises:
        CallError: If the body is longer than its limit.
        CallerDisconnectedError: If the connection ends before the body is complete.
    """
    body.consumed = True
    sent = len(body.first_bytes)
    if body.first_bytes:
        yield body.first_bytes
    while body.length is None or sent < body.length:
        wanted = (
            READ_SIZE_BYTES if body.length is None else min(READ_SIZE_BYTES, body.length - sent)
        )
        chunk = _read_or_disconnect(body.source, wanted)
        sent += len(chunk)
        if not chunk:
            if body.length is not None:
                raise CallerDisconnectedError
            return
        if sent > body.limit:
            raise CallError(
                ErrorCode.BODY_TOO_LARGE, f"the body exceeds the limit of {body.limit} bytes"
            )
        yield chunk


def _read_or_disconnect(source: Any, length: int) -> bytes:
    try:
        return source.read(length)
    except (ChunkReadError, OSError) as error:
        raise CallerDisconnectedError from error
