"""Detects HTTP messages that end within their head or chunked framing, and odd status lines.

The standard library takes the end of a connection for the end of a line, of a head and of a
chunked body. A message that breaks off there would look like a complete one.
"""

from __future__ import annotations

from http.client import HTTPResponse
from typing import TYPE_CHECKING, Any

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

from .status_line import read_final_status

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


class ResponseReader(LineReader):
    """Wraps a stream that begins with a response; its first line is that of the final response.

    Args:
        stream: The stream.
        first_line: A line that was read from it already, or empty.
    """

    def __init__(self, stream: Any, first_line: bytes = b"") -> None:
        super().__init__(stream)
        self._first_line = first_line
        self._has_status = False

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line, as `LineReader.readline` does.

        Raises:
            HTTPException: If it is the first one, and there is no valid final response.
            TruncatedLineError: If the stream ends before the line does.
        """
        if self._has_status:
            return super().readline(limit)
        self._has_status = True
        return read_final_status(super().readline, self._first_line)


class CheckedResponse(HTTPResponse):
    """A response that is an error unless its status line is valid, and its head and body whole."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.fp = ResponseReader(self.fp)


class CheckedConnection(HTTPConnection):
    """An HTTP connection whose responses are checked for completeness."""

    response_class = CheckedResponse


class CheckedConnectionPool(HTTPConnectionPool):
    """A pool of such connections, for `urllib3.PoolManager`."""

    ConnectionCls = CheckedConnection
