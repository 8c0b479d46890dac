"""Long request bodies: streamed to the backend server while the caller sends them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..codes import ErrorCode
from ..core.outcomes import DID_NOT_RUN
from ..errors import CallError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.outcomes import OutcomeKind

BUFFERED_PREFIX_BYTES = 262_144  # longer bodies are streamed
CHUNK_BYTES = 65_536


@attrs.define
class Upload:
    """A request body that is read from the caller while it is sent to a backend server.

    Attributes:
        length: The body's length in bytes.
        prefix: The first bytes, which are buffered.
        stream: The caller's input stream, for the bytes after `prefix`.
        consumed: Whether reading `stream` has begun, so that the body can't be sent again.
        outcome: How the attempt that sent it ended, or None.
    """

    length: int
    prefix: bytes
    stream: Any
    consumed: bool = False
    outcome: OutcomeKind | None = None


def sample_body(body: bytes | Upload | None) -> bytes:
    """Return the bytes that represent a body in a hash: the body, or length and prefix if long."""
    if isinstance(body, Upload):
        return body.length.to_bytes(8) + body.prefix
    return body or b""


def iter_chunks(upload: Upload) -> Iterator[bytes]:
    """Yield a body in chunks; possible only once.

    Raises:
        CallError: If the caller's connection ends before the body is complete.
    """
    yield upload.prefix
    upload.consumed = True
    remaining = upload.length - len(upload.prefix)
    while remaining:
        try:
            chunk = upload.stream.read(min(remaining, CHUNK_BYTES))
        except OSError as error:
            raise CallError(
                ErrorCode.OUTCOME_UNKNOWN, f"error while reading the body from the caller: {error}"
            ) from error
        if not chunk:
            raise CallError(
                ErrorCode.OUTCOME_UNKNOWN, f"body truncated: {remaining} bytes are missing"
            )
        remaining -= len(chunk)
        yield chunk


def check_sendable(upload: Upload) -> None:
    """Raise an error if an earlier attempt has already consumed the body's stream.

    Raises:
        CallError: `NOT_RUN` if that attempt certainly did not run, otherwise `OUTCOME_UNKNOWN`.
    """
    if upload.consumed:
        code = ErrorCode.NOT_RUN if upload.outcome in DID_NOT_RUN else ErrorCode.OUTCOME_UNKNOWN
        raise CallError(code, "a streamed body can't be sent to a second backend server")
