"""Reads HTTP responses strictly, for all ports that receive them.

The standard library guesses where a response is not valid: it reads numbers as Python does, ignores
lines that are no field, and does not look at the ends of chunks.
"""

from __future__ import annotations

from http.client import HTTPResponse
from typing import Any

from urllib3 import HTTPConnectionPool
from urllib3.connection import HTTPConnection

from .body_framing import find_framing, parse_chunk_size
from .head_fields import MAX_LINE_BYTES, read_fields
from .line_reader import LineReader
from .response_errors import MalformedResponseError
from .status_line import StatusLine, read_final_status

_CHUNK_END = b"\r\n"


class CheckedResponse(HTTPResponse):
    """A response that is an error unless its head and body are valid and complete.

    It replaces the methods of the standard library that read the head and the framing of chunks.

    Attributes:
        status_line: The status line of the final response if it was read already, or None.
    """

    status_line: StatusLine | None = None

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        if not isinstance(self.fp, LineReader):
            self.fp = LineReader(self.fp)

    def begin(self) -> None:
        """Read the head of the final response.

        Raises:
            HTTPException: If it is not valid.
            TruncatedLineError: If the connection ends within it.
        """
        if self.headers is not None:
            return
        status_line = self.status_line or read_final_status(self.fp.readline)
        self.version, self.reason = status_line.version, status_line.reason
        self.code = self.status = status_line.status
        self.headers = self.msg = read_fields(self.fp.readline)
        framing = find_framing(self.version, self.status, self._method, self.headers)
        self.chunked, self.length, self.chunk_left = framing.chunked, framing.length, None
        self.will_close = framing.closes or self._check_close()

    def _get_chunk_left(self) -> int | None:
        """Return how many bytes of the current chunk are left, or None at the end of the body.

        Raises:
            HTTPException: If the framing of the chunk or a trailer is not valid.
            TruncatedLineError: If the connection ends within it.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None:
            self._read_chunk_end()
        self.chunk_left = parse_chunk_size(self.fp.readline(MAX_LINE_BYTES + 1)) or None
        if self.chunk_left is None:
            read_fields(self.fp.readline)
            self._close_conn()
        return self.chunk_left

    def _read_chunk_end(self) -> None:
        end = self._safe_read(len(_CHUNK_END))
        if end != _CHUNK_END:
            raise MalformedResponseError("a chunk is not followed by CR LF", end)


class CheckedConnection(HTTPConnection):
    """An HTTP connection whose responses are checked."""

    response_class = CheckedResponse


class CheckedConnectionPool(HTTPConnectionPool):
    """A pool of such connections, for `urllib3.PoolManager`."""

    ConnectionCls = CheckedConnection
