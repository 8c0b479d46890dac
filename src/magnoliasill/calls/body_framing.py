"""Determines how long the body of a response is, without a network (RFC 9112, sections 6 and 7)."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from .head_fields import TOKEN
from .response_errors import MalformedResponseError

if TYPE_CHECKING:
    from http.client import HTTPMessage

CHUNKED = "chunked"
HTTP_1_0, HTTP_1_1 = 10, 11  # as the standard library encodes versions
_LENGTH = re.compile(r"[0-9]{1,18}")  # fits into a signed 64-bit integer
_QUOTED_STRING = r'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'
_EXTENSION = rf"[ \t]*;[ \t]*{TOKEN}(?:[ \t]*=[ \t]*(?:{TOKEN}|{_QUOTED_STRING}))?"
_CHUNK_SIZE_LINE = re.compile(rf"([0-9A-Fa-f]{{1,16}})(?:{_EXTENSION})*\r\n")


@attrs.frozen
class BodyFraming:
    """How the end of a response's body is found.

    Attributes:
        chunked: Whether the body is in chunks.
        length: The length in bytes; None for a body in chunks, or up to the connection's end.
        closes: Whether the connection must not be used again.
    """

    chunked: bool
    length: int | None
    closes: bool


def find_framing(version: int, status: int, method: str | None, fields: HTTPMessage) -> BodyFraming:
    """Return how the end of a response's body is found.

    Args:
        version: `HTTP_1_0` or `HTTP_1_1`.
        status: The status of the response.
        method: The method of the request, or None.
        fields: The fields of the head.

    Raises:
        MalformedResponseError: If the fields do not tell the length in one valid way.
    """
    chunked, length = read_framing_fields(version, fields)
    if status == HTTPStatus.NO_CONTENT:
        may_be_followed = chunked or bool(length)  # by a body that the status does not allow
        return BodyFraming(False, 0, closes=may_be_followed)
    if method == "HEAD" or status == HTTPStatus.NOT_MODIFIED:
        return BodyFraming(False, 0, closes=False)
    return BodyFraming(chunked, length, closes=not chunked and length is None)


def read_framing_fields(version: int, fields: HTTPMessage) -> tuple[bool, int | None]:
    """Return whether a message is announced in chunks, and its announced length in bytes or None.

    Raises:
        MalformedResponseError: If the fields contradict each other, or one is not valid. A transfer
            coding other than `chunked` is never asked for and could not be decoded.
    """
    encodings = fields.get_all("transfer-encoding", ())
    lengths = fields.get_all("content-length", ())
    if len(encodings) + len(lengths) > 1:
        raise MalformedResponseError(
            "more than one Transfer-Encoding or Content-Length", ", ".join((*encodings, *lengths))
        )
    if encodings and (version == HTTP_1_0 or encodings[0].lower() != CHUNKED):
        raise MalformedResponseError("unsupported Transfer-Encoding", encodings[0])
    if lengths and _LENGTH.fullmatch(lengths[0]) is None:
        raise MalformedResponseError("invalid Content-Length", lengths[0])
    return bool(encodings), int(lengths[0]) if lengths else None


def parse_chunk_size(line: bytes) -> int:
    """Return the size in bytes that a chunk's first line announces.

    Raises:
        MalformedResponseError: If the line is not valid.
    """
    match = _CHUNK_SIZE_LINE.fullmatch(line.decode("iso-8859-1"))
    if match is None:
        raise MalformedResponseError("malformed chunk size", line)
    return int(match[1], 16)
