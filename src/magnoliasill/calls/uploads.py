"""Long request bodies: passed on in pieces while the caller sends them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..codes import ErrorCode
from ..core.outcomes import DID_NOT_RUN
from ..errors import CallError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.outcomes import OutcomeKind

HEAD_BYTES = 262_144  # a longer body is not held whole
PIECE_BYTES = 65_536


@attrs.define
class Upload:
    """A body that is read from the caller while it is sent.

    Attributes:
        length: Its length in bytes.
        head: Its first bytes.
        source: Gives the rest.
        taken: Whether the rest was begun, so that it can't be sent again.
        ended: How the attempt that took it ended.
    """

    length: int
    head: bytes
    source: Any
    taken: bool = False
    ended: OutcomeKind | None = None


def sample_body(body: bytes | Upload | None) -> bytes:
    """Return what stands for a body in a digest; of a long one its length and its first bytes."""
    if isinstance(body, Upload):
        return body.length.to_bytes(8) + body.head
    return body or b""


def read_pieces(upload: Upload) -> Iterator[bytes]:
    """Yield a body in pieces, once.

    Raises:
        CallError: If the caller's connection ends before the body is whole.
    """
    yield upload.head
    upload.taken = True
    left = upload.length - len(upload.head)
    while left:
        try:
            piece = upload.source.read(min(left, PIECE_BYTES))
        except OSError as error:
            raise CallError(ErrorCode.OUTCOME_UNKNOWN, f"the caller: {error}") from error
        if not piece:
            raise CallError(ErrorCode.OUTCOME_UNKNOWN, f"{left} bytes of the body are missing")
        left -= len(piece)
        yield piece


def check_sendable(upload: Upload) -> None:
    """Refuse to send a body again whose rest an earlier attempt has taken.

    Raises:
        CallError: `NOT_RUN` where that attempt certainly did not run, else `OUTCOME_UNKNOWN`.
    """
    if upload.taken:
        code = ErrorCode.NOT_RUN if upload.ended in DID_NOT_RUN else ErrorCode.OUTCOME_UNKNOWN
        raise CallError(code, "a long body can't be sent to a second backend server")
