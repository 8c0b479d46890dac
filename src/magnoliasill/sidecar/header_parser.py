"""Parses HTTP headers faster than the standard library.

The standard library uses its email parser, which takes longer than a whole hop between two
sidecars.
"""

from __future__ import annotations

import http.client
from http.client import HTTPException, HTTPMessage, LineTooLong
from typing import Any

# The same limits as in `http.client`.
MAX_LINE_BYTES = 65_536
MAX_HEADERS = 100
MAX_HEAD_BYTES = 65_536  # of all lines, as the library's HTTP server allows
_END_OF_HEADERS = (b"\r\n", b"\n")


def parse_head(file: Any, _class: type[HTTPMessage] = HTTPMessage) -> HTTPMessage:
    """Read headers up to and including the empty line; replaces `http.client.parse_headers`.

    Args:
        file: A binary file to read lines from.
        _class: The class of the returned message.

    Raises:
        HTTPException: If a line is malformed, folded or too long, or there are too many headers.
    """
    message = _class()
    size = 0
    for _ in range(MAX_HEADERS + 1):
        line = file.readline(MAX_LINE_BYTES + 1)
        size += len(line)
        if len(line) > MAX_LINE_BYTES or size > MAX_HEAD_BYTES:
            raise LineTooLong("header line")
        if line in _END_OF_HEADERS:
            return message
        name, colon, value = line.decode("iso-8859-1").partition(":")
        if not colon or not name or name != name.strip():
            raise HTTPException(f"malformed header line: {line[:80]!r}")
        message.set_raw(name, value.strip(" \t\r\n"))
    raise HTTPException(f"got more than {MAX_HEADERS} headers")


def install_head_parser() -> None:
    """Patch `http.client`, and with it the library's HTTP server, to use `parse_head`."""
    http.client.parse_headers = parse_head
