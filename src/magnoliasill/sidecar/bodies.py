"""Request bodies: short ones are held whole, long ones pass through in pieces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from eventlet.wsgi import ChunkReadError

from ..calls.disconnects import CallerDisconnectedError
from ..codes import ErrorCode
from ..errors import CallError

if TYPE_CHECKING:
    from collections.abc import Iterator

HELD_BYTES = 262_144  # so much can be sent to a second backend server
PIECE_BYTES = 65_536


@attrs.define
class LongBody:
    """A body that is read from the caller while it is sent.

    Attributes:
        head: Its first bytes.
        source: Gives the rest.
        length: Its length in bytes, or None where it comes in chunks.
        limit: The longest body that is allowed.
        taken: Whether the rest was begun, so that it can't be sent again.
    """

    head: bytes
    source: Any
    length: int | None
    limit: int
    taken: bool = False


def read_body(environ: dict[str, Any], limit: int) -> bytes | LongBody | None:
    """Read a body, or its beginning where it is long.

    Args:
        environ: The WSGI environment.
        limit: The longest body that is allowed, in bytes.

    Raises:
        CallError: If it is longer than the limit.
        CallerDisconnectedError: If the connection ends before the body is whole.
    """
    source = environ["wsgi.input"]
    if "HTTP_TRANSFER_ENCODING" in environ:
        head = _read(source, HELD_BYTES + 1)
        if len(head) > limit:
            raise CallError(ErrorCode.BODY_TOO_LARGE, f"more than {limit} bytes")
        return head if len(head) <= HELD_BYTES else LongBody(head, source, None, limit)
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > limit:
        raise CallError(ErrorCode.BODY_TOO_LARGE, f"{length} bytes, {limit} are allowed")
    if not length:
        return None
    head = _read(source, min(length, HELD_BYTES))
    if len(head) < min(length, HELD_BYTES):
        raise CallerDisconnectedError
    return head if len(head) == length else LongBody(head, source, length, limit)


def read_pieces(body: LongBody) -> Iterator[bytes]:
    """Yield a long body in pieces, once.

    Raises:
        CallerDisconnectedError: If the connection ends before the body is whole.
    """
    body.taken = True
    sent = len(body.head)
    yield body.head
    while body.length is None or sent < body.length:
        wanted = PIECE_BYTES if body.length is None else min(PIECE_BYTES, body.length - sent)
        piece = _read(body.source, wanted)
        sent += len(piece)
        if not piece:
            if body.length is not None:
                raise CallerDisconnectedError
            return
        if sent > body.limit:
            raise CallError(ErrorCode.BODY_TOO_LARGE, f"more than {body.limit} bytes")
        yield piece


def _read(source: Any, length: int) -> bytes:
    try:
        return source.read(length)
    except (ChunkReadError, OSError) as error:
        raise CallerDisconnectedError from error
