"""Reads the status line of an HTTP response, past the interim responses before it.

The standard library takes any number from 100 to 999 as a status, also with a sign or with
underscores, any text after `HTTP/1.` as a version, and interim responses other than 100 as final.
"""

from __future__ import annotations

import re
from http.client import BadStatusLine, HTTPException
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINE_BYTES = 65_537  # as the standard library reads lines of a head
MAX_INTERIM_RESPONSES = 16
MAX_INTERIM_BYTES = 65_536  # of all their lines
MAX_REPORTED_BYTES = 80
# RFC 9112, section 4; the space before an absent reason phrase is optional here.
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: [^\r\n]*)?\r?\n")
_CONTINUE, _SWITCHING_PROTOCOLS = b"100", b"101"


def read_final_status(
    read_line: Callable[[int], bytes],
    first_line: bytes = b"",
    until: Callable[[bytes], bool] = lambda line: False,
) -> bytes:
    """Return the status line of a final response, skipping the interim responses before it.

    Args:
        read_line: Returns the next line, or its first bytes if it is longer than its argument.
        first_line: A status line that was read already, or empty.
        until: Returns whether to read no further than an interim response with this status line.

    Returns:
        The status line, or empty after such an interim response.

    Raises:
        HTTPException: If a status line is not valid, a switch of protocols is announced, which no
            request asks for, or the interim responses do not end.
    """
    size = 0
    for number in range(MAX_INTERIM_RESPONSES + 1):
        line = first_line if first_line and not number else read_line(MAX_LINE_BYTES)
        if not is_interim(line):
            return line
        while (header := read_line(MAX_LINE_BYTES)).strip():
            size += len(header)
            if size > MAX_INTERIM_BYTES:
                raise HTTPException("the interim responses are too long")
        if until(line):
            return b""
    raise HTTPException(f"got more than {MAX_INTERIM_RESPONSES} interim responses")


def is_interim(line: bytes) -> bool:
    """Return whether a status line is that of an interim response.

    Raises:
        BadStatusLine: If it is not valid, or announces a switch of protocols.
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None or match[1] == _SWITCHING_PROTOCOLS:
        raise BadStatusLine(line[:MAX_REPORTED_BYTES].decode("iso-8859-1"))
    return match[1].startswith(b"1")


def is_continue(line: bytes) -> bool:
    """Return whether a valid status line asks for the body of the request."""
    match = _STATUS_LINE.fullmatch(line)
    return match is not None and match[1] == _CONTINUE
