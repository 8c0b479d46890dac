"""Detects HTTP messages that end within their head or chunked framing.

The standard library takes the end of a connection for the end of a line, of a head and of a
chunked body. A message that breaks off there would look like a complete one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class TruncatedLineError(ConnectionError):
    """Raised when a connection ends where a complete line is due."""


class LineReader:
    """Wraps a binary stream so that a line without its end raises an error.

    Attributes:
        observe: Called with the length of each line in bytes, or None.
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self.observe: Callable[[int], None] | None = None
        self.peek = getattr(stream, "peek", None)  # spares a call of `__getattr__` per request

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line with its end, or its first `limit` bytes if it is longer.

        Args:
            limit: The maximum number of bytes to read, or -1.

        Raises:
            TruncatedLineError: If the stream ends before the line does.
        """
        line: bytes = self._stream.readline(limit)
        if self.observe is not None:
            self.observe(len(line))
        if line.endswith(b"\n") or len(line) == limit:
            return line
        raise TruncatedLineError(f"the connection ended after {line[:80]!r}")
