"""Reads the status line of an HTTP response, past the interim responses before it.

The standard library takes any number from 100 to 999 as a status, also with a sign or with
underscores, any text after `HTTP/1.` as a version, and interim responses other than 100 as final.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from http.client import HTTPException
from typing import TYPE_CHECKING

import attrs

from .body_framing import HTTP_1_0, HTTP_1_1, read_framing_fields
from .head_fields import MAX_LINE_BYTES, read_fields
from .response_errors import MalformedResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_INTERIM_RESPONSES = 16
MAX_INTERIM_BYTES = 65_536  # of all their fields
# RFC 9112, section 4; the space before an absent reason phrase is optional here.
_STATUS_LINE = re.compile(r"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n")


@attrs.frozen
class StatusLine:
    """A valid status line.

    Attributes:
        version: The version of HTTP: `HTTP_1_0`, or `HTTP_1_1` for later ones.
        status: The status.
        reason: The reason phrase, or an empty string.
    """

    version: int
    status: int
    reason: str


def read_final_status(
    read_line: Callable[[int], bytes],
    until: Callable[[StatusLine], bool] = lambda status_line: False,
) -> StatusLine | None:
    """Return the status line of a final response, skipping the interim responses before it.

    Args:
        read_line: Returns the next line, or its first bytes if it is longer than its argument.
        until: Returns whether to read no further than an interim response with this status line.

    Returns:
        The status line, or None after such an interim response.

    Raises:
        HTTPException: If a head is not valid, a switch of protocols is announced, which no
            request asks for, or the interim responses do not end.
    """
    size = 0
    for _ in range(MAX_INTERIM_RESPONSES + 1):
        status_line = parse_status_line(read_line(MAX_LINE_BYTES + 1))
        if status_line.status >= HTTPStatus.OK:
            return status_line
        fields = read_fields(read_line)
        size += sum(len(name) + len(value) for name, value in fields.raw_items())
        if size > MAX_INTERIM_BYTES:
            raise HTTPException("the interim responses are too long")
        read_framing_fields(status_line.version, fields)
        if until(status_line):
            return None
    raise HTTPException(f"got more than {MAX_INTERIM_RESPONSES} interim responses")


def parse_status_line(line: bytes) -> StatusLine:
    """Return the parts of a status line.

    Raises:
        MalformedResponseError: If it is not valid, or announces a switch of protocols.
    """
    match = _STATUS_LINE.fullmatch(line.decode("iso-8859-1"))
    if match is None or int(match[2]) == HTTPStatus.SWITCHING_PROTOCOLS:
        raise MalformedResponseError("malformed status line", line)
    version = HTTP_1_0 if match[1] == "0" else HTTP_1_1
    return StatusLine(version, int(match[2]), (match[3] or "").strip())


def is_continue(status_line: StatusLine) -> bool:
    """Return whether a response asks for the body of the request."""
    return status_line.status == HTTPStatus.CONTINUE
