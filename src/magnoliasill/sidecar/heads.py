"""Parses the headers of requests and answers; the library's mail parser takes longer than a hop."""

from __future__ import annotations

import http.client
from http.client import HTTPException, HTTPMessage, LineTooLong
from typing import Any

MAX_LINE_BYTES = 65_536  # the library's own bounds
MAX_HEADERS = 100
_LINE_ENDS = (b"\r\n", b"\n", b"")


def parse_head(file: Any, _class: type[HTTPMessage] = HTTPMessage) -> HTTPMessage:
    """Read headers up to the empty line, as `http.client.parse_headers` does.

    Args:
        file: Gives lines of bytes.
        _class: The class of the result.

    Raises:
        HTTPException: If a line is no header, is folded, or there are too many.
    """
    message = _class()
    for _ in range(MAX_HEADERS + 1):
        line = file.readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise LineTooLong("header line")
        if line in _LINE_ENDS:
            return message
        name, colon, value = line.decode("iso-8859-1").partition(":")
        if not colon or not name or name != name.strip():
            raise HTTPException(f"no header: {line[:80]!r}")
        message.set_raw(name, value.strip(" \t\r\n"))
    raise HTTPException(f"got more than {MAX_HEADERS} headers")


def install_head_parser() -> None:
    """Let the standard library's client and server use `parse_head`."""
    http.client.parse_headers = parse_head
