"""The platform's header names, and what they say of a request or an answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

READINESS_PATH = "/-/readiness"
_IDENTIFIER = "Attempt-Id"
_TIME_LEFT = "Request-Deadline"  # milliseconds that the caller still waits
_INSTANCE = "Target-Instance"
_CALLING_SERVICE = "Caller-Service"
_NOT_RUN = "not-executed"
_LOAD = "server-load"
_SIGNATURE = "response-signature"
_SET_BY_SIDECARS = frozenset({_TIME_LEFT.lower(), _INSTANCE.lower(), _CALLING_SERVICE.lower()})
_MISDIRECTED = 421


@attrs.frozen
class RequestMarks:
    """What a caller's headers say.

    Attributes:
        identifier: The attempt's identifier, or an empty string.
        time_left_s: Seconds that the caller still waits, or None where it does not say.
    """

    identifier: str
    time_left_s: float | None


@attrs.frozen
class AnswerMarks:
    """What a backend server's answer says besides its content.

    Attributes:
        identifier: The attempt that it answers, or an empty string.
        not_run: Whether it states that the request did not run.
        signed: Whether it bears the backend server's signature.
        running: Requests that it runs, or None where it says nothing.
        waiting: Requests that wait in it.
    """

    identifier: str
    not_run: bool
    signed: bool
    running: int | None = None
    waiting: int = 0


def parse_caller_headers(headers: Iterable[tuple[str, str]]) -> RequestMarks:
    """Read a caller's headers; a malformed time counts as none."""
    identifier, time_left_s = "", None
    for name, value in headers:
        lowered = name.lower()
        if lowered == _IDENTIFIER.lower():
            identifier = value
        elif lowered == _TIME_LEFT.lower():
            time_left_s = _read_milliseconds(value)
    return RequestMarks(identifier, time_left_s)


def remove_sidecar_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Leave out the headers that sidecars set themselves."""
    return [(name, value) for name, value in headers if name.lower() not in _SET_BY_SIDECARS]


def add_sidecar_headers(
    headers: list[tuple[str, str]], time_left_s: float, instance: str, calling_service: str
) -> list[tuple[str, str]]:
    """Add what a backend server expects to see.

    Args:
        headers: From `remove_sidecar_headers`.
        time_left_s: Seconds after which nobody waits for the answer.
        instance: The incarnation that is to run the request.
        calling_service: The service on the VM where the request began.
    """
    return [
        *headers,
        (_TIME_LEFT, str(max(int(time_left_s * 1000), 1))),
        (_INSTANCE, instance),
        (_CALLING_SERVICE, calling_service),
    ]


def parse_response_headers(status: int, headers: Iterable[tuple[str, str]]) -> AnswerMarks:
    """Read the marks of a backend server's answer."""
    found = {name.lower(): value for name, value in headers}
    running, waiting = _read_load(found.get(_LOAD, ""))
    return AnswerMarks(
        identifier=found.get(_IDENTIFIER.lower(), ""),
        not_run=_NOT_RUN in found or status == _MISDIRECTED,
        signed=_SIGNATURE in found,
        running=running,
        waiting=waiting,
    )


def _read_milliseconds(text: str) -> float | None:
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    return milliseconds / 1000 if 0 <= milliseconds < math.inf else None


def _read_load(text: str) -> tuple[int | None, int]:
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None, 0
    return int(parts[0]), int(parts[1])
