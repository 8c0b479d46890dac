"""Reads request bodies: buffers short ones and streams long ones."""

from __future__ import annotations

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
        head: The first bytes, which were read already.
        source: A file-like object that returns the remaining bytes.
        length: The length in bytes, or None for chunked transfer encoding.
        limit: The maximum length in bytes.
        consumed: Whether streaming has started, after which the body can't be sent again.
    """

    head: bytes
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
        head = _read_or_disconnect(source, MAX_BUFFERED_BYTES + 1)
        if len(head) > limit:
            raise CallError(ErrorCode.BODY_TOO_LARGE, f"more than {limit} bytes")
        return head if len(head) <= MAX_BUFFERED_BYTES else LongBody(head, source, None, limit)
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        raise CallError(ErrorCode.BODY_TOO_LARGE, f"{length} bytes, {limit} are allowed")
    if not length:
        return None
    head = _read_or_disconnect(source, min(length, MAX_BUFFERED_BYTES))
    if len(head) < min(length, MAX_BUFFERED_BYTES):
        raise CallerDisconnectedError
    return head if len(head) == length else LongBody(head, source, length, limit)


def read_pieces(body: LongBody) -> Iterator[bytes]:
    """Yield a long body in pieces; possible only once per body.

    Raises:
        CallError: If the body is longer than its limit.
        CallerDisconnectedError: If the connection ends before the body is complete.
    """
    body.consumed = True
    sent = len(body.head)
    yield body.head
    while body.length is None or sent < body.length:
        wanted = (
            READ_SIZE_BYTES if body.length is None else min(READ_SIZE_BYTES, body.length - sent)
        )
        piece = _read_or_disconnect(body.source, wanted)
        sent += len(piece)
        if not piece:
            if body.length is not None:
                raise CallerDisconnectedError
            return
        if sent > body.limit:
            raise CallError(ErrorCode.BODY_TOO_LARGE, f"more than {body.limit} bytes")
        yield piece


def _read_or_disconnect(source: Any, length: int) -> bytes:
    try:
        return source.read(length)
    except (ChunkReadError, OSError) as error:
        raise CallerDisconnectedError from error
