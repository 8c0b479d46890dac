"""Reads the fields of an HTTP message's head or trailer section.

The standard library uses its email parser, which ends the head at a line that is no field, and
takes longer than a whole hop between two sidecars.
"""

from __future__ import annotations

import re
from http.client import HTTPException, HTTPMessage, LineTooLong
from typing import TYPE_CHECKING

from .response_errors import MalformedResponseError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# The same limits as in `http.client`.
MAX_LINE_BYTES = 65_536
MAX_FIELDS = 100
MAX_HEAD_BYTES = 65_536  # of all lines, as the library's HTTP server allows
_END_OF_FIELDS = (b"\r\n", b"\n")
# RFC 9110, section 5, and RFC 9112, section 5, without line folding. A line may end in a bare LF.
# Values keep control characters other than NUL and CR: a caller's identifier comes back in one.
_FIELD_LINE = re.compile(rf"({TOKEN}):([^\x00\r\n]*)\r?\n")


def read_field_lines(read_line: Callable[[int], bytes]) -> Iterator[bytes]:
    """Yield the lines up to the empty one, which is read as well.

    Args:
        read_line: Returns the next line, or its first bytes if it is longer than its argument.

    Raises:
        HTTPException: If a line is too long, or there are too many.
    """
    size = 0
    for _ in range(MAX_FIELDS + 1):
        line = read_line(MAX_LINE_BYTES + 1)
        size += len(line)
        if len(line) > MAX_LINE_BYTES or size > MAX_HEAD_BYTES:
            raise LineTooLong("header line")
        if line in _END_OF_FIELDS:
            return
        yield line
    raise HTTPException(f"got more than {MAX_FIELDS} headers")


def read_fields(read_line: Callable[[int], bytes]) -> HTTPMessage:
    """Read the fields of a response up to and including the empty line.

    Args:
        read_line: Returns the next line, or its first bytes if it is longer than its argument.

    Raises:
        MalformedResponseError: If a line is no field.
        HTTPException: If a line is too long, or there are too many.
    """
    message = HTTPMessage()
    for line in read_field_lines(read_line):
        match = _FIELD_LINE.fullmatch(line.decode("iso-8859-1"))
        if match is None:
            raise MalformedResponseError("malformed header line", line)
        message.set_raw(match[1], match[2].strip(" \t"))
    return message
