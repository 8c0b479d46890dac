"""Parses the headers of requests faster than the standard library."""

from __future__ import annotations

import http.client
from http.client import HTTPException, HTTPMessage
from typing import Any

from ..calls.head_fields import read_field_lines


def parse_head(file: Any, _class: type[HTTPMessage] = HTTPMessage) -> HTTPMessage:
    """Read headers up to and including the empty line; replaces `http.client.parse_headers`.

    Args:
        file: A binary file to read lines from.
        _class: The class of the returned message.

    Raises:
        HTTPException: If a line is malformed, folded or too long, or there are too many headers.
    """
    message = _class()
    for line in read_field_lines(file.readline):
        name, colon, value = line.decode("iso-8859-1").partition(":")
        if not colon or not name or name != name.strip():
            raise HTTPException(f"malformed header line: {line[:80]!r}")
        message.set_raw(name, value.strip(" \t\r\n"))
    return message


def install_head_parser() -> None:
    """Patch `http.client`, and with it the library's HTTP server, to use `parse_head`."""
    http.client.parse_headers = parse_head
