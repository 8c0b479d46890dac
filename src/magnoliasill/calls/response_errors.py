"""Errors of HTTP responses."""

from __future__ import annotations

from http.client import HTTPException

MAX_REPORTED_CHARACTERS = 80


class MalformedResponseError(HTTPException):
    """Raised for a response that RFC 9110 and 9112 do not allow.

    Args:
        problem: What is wrong.
        line: The line, or the part of it, that is not valid; named in the message, escaped and cut.
    """

    def __init__(self, problem: str, line: bytes | str) -> None:
        super().__init__(f"{problem}: {line[:MAX_REPORTED_CHARACTERS]!a}")
