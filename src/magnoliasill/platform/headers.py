"""Reads and writes the platform's HTTP headers on requests and responses."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

READINESS_PATH = "/-/readiness"
_ATTEMPT_ID_HEADER = "Attempt-Id"
_DEADLINE_HEADER = "Request-Deadline"  # milliseconds until the caller times out
_INSTANCE_HEADER = "Target-Instance"
_CALLING_SERVICE_HEADER = "Caller-Service"
_NOT_RUN_HEADER = "not-executed"
_LOAD_HEADER = "server-load"
_SIGNATURE_HEADER = "response-signature"
_LIMIT_HEADER = "server-limit"  # requests a second, from all VMs together
_HEALTH_INSTANCE_HEADER = "instance-id"
_COLD_HEADER = "warmup-remaining"  # seconds, in answers to the health path
_LEAVING_HEADER = "server-leaving"
_KEY_HEADER = "authorization"
_TEAM_HEADER = "Tenant"
_TEAM_HEADERS = frozenset({_KEY_HEADER, _TEAM_HEADER.lower()})
_KEY = re.compile(r"bearer[ \t]+([!-~]+)", re.IGNORECASE)
_SIDECAR_HEADERS = frozenset(
    {_DEADLINE_HEADER.lower(), _INSTANCE_HEADER.lower(), _CALLING_SERVICE_HEADER.lower()}
)
_OK = 200
_MISDIRECTED_REQUEST = 421
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
_MAX_NUMBER_LENGTH = 32
_LOAD_COUNT = re.compile(r"[0-9]{1,9}")
_MAX_TIME_LEFT_S = 1e9
_MAX_COLD_S = 86_400.0


@attrs.frozen
class CallerMetadata:
    """Metadata from the headers of a caller's request.

    Attributes:
        identifier: The attempt's identifier, or an empty string.
        time_left_s: Seconds until the caller times out, or None if the headers set no deadline.
    """

    identifier: str
    time_left_s: float | None


@attrs.frozen
class ResponseMetadata:
    """Metadata from the status and headers of a backend server's response.

    Attributes:
        identifier: The identifier of the answered attempt, or an empty string.
        not_run: Whether the server reports that it did not run the request.
        signed: Whether the response carries a backend server's signature header.
        running: Requests that the server is running, or None without a valid load header.
        waiting: Requests in the server's queue.
        pace: How long work takes there now as a multiple of the usual, or None if not stated.
        limit_per_s: The requests per second that the server accepts, or None if it names no limit.
        limit_error: The value of a limit header that is no positive number, or an empty string.
        leaving: Whether the server says that it is leaving.
        misdirected: Whether another server than the one that was meant responded.
    """

    identifier: str
    not_run: bool
    signed: bool
    running: int | None = None
    waiting: int = 0
    limit_per_s: float | None = None
    limit_error: str = ""
    leaving: bool = False
    misdirected: bool = False
    pace: float | None = None


def parse_caller_headers(headers: Iterable[tuple[str, str]]) -> CallerMetadata:
    """Parse the headers of a caller's request; a malformed deadline is ignored."""
    identifier, time_left_s = "", None
    for name, value in headers:
        lower_name = name.lower()
        if lower_name == _ATTEMPT_ID_HEADER.lower():
            identifier = value
        elif lower_name == _DEADLINE_HEADER.lower():
            time_left_s = _parse_milliseconds(value)
    return CallerMetadata(identifier, time_left_s)


def remove_sidecar_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without those that only sidecars set, so that no caller can forge them."""
    return [(name, value) for name, value in headers if name.lower() not in _SIDECAR_HEADERS]


def parse_key(headers: Iterable[tuple[str, str]]) -> str | None:
    """Return the key that a request carries: empty if that is malformed, None if there is none."""
    values = [value for name, value in headers if name.lower() == _KEY_HEADER]
    if not values:
        return None
    match = _KEY.fullmatch(values[0].strip()) if len(values) == 1 else None
    return match.group(1) if match else ""


def replace_team_headers(
    headers: Iterable[tuple[str, str]], team: str | None
) -> list[tuple[str, str]]:
    """Return the headers without a caller's key, naming its team and no other.

    Args:
        headers: The caller's headers.
        team: The team's name, or None.
    """
    kept = [(name, value) for name, value in headers if name.lower() not in _TEAM_HEADERS]
    return kept if team is None else [*kept, (_TEAM_HEADER, team)]


def add_sidecar_headers(
    headers: list[tuple[str, str]], time_left_s: float, instance: str, calling_service: str
) -> list[tuple[str, str]]:
    """Add the headers that a backend server expects from a sidecar.

    Args:
        headers: Headers as returned by `remove_sidecar_headers`.
        time_left_s: Seconds until nobody waits for the response.
        instance: The backend server instance that is to run the request.
        calling_service: The service on the VM that sent the request.
    """
    return [
        *headers,
        (_DEADLINE_HEADER, str(max(int(time_left_s * 1000), 1))),
        (_INSTANCE_HEADER, instance),
        (_CALLING_SERVICE_HEADER, calling_service),
    ]


def parse_response_headers(status: int, headers: Iterable[tuple[str, str]]) -> ResponseMetadata:
    """Parse the status and headers of a backend server's response.

    A 421 (Misdirected Request) also counts as not run.
    """
    values = {name.lower(): value for name, value in headers}
    running, waiting, pace = _parse_load(values.get(_LOAD_HEADER, ""))
    limit_text = values.get(_LIMIT_HEADER)
    limit_per_s = _parse_positive_number(limit_text) if limit_text is not None else None
    limit_is_valid = limit_text is None or limit_per_s is not None
    return ResponseMetadata(
        identifier=values.get(_ATTEMPT_ID_HEADER.lower(), ""),
        not_run=_NOT_RUN_HEADER in values or status == _MISDIRECTED_REQUEST,
        signed=_SIGNATURE_HEADER in values,
        running=running,
        waiting=waiting,
        limit_per_s=limit_per_s,
        limit_error="" if limit_is_valid else repr(limit_text),
        leaving=values.get(_LEAVING_HEADER, "").strip() == "1",
        misdirected=status == _MISDIRECTED_REQUEST,
        pace=pace,
    )


@attrs.frozen
class HealthAnswer:
    """What a backend server's answer to its health path says.

    Attributes:
        instance: The incarnation that answered.
        cold_s: Seconds for which it is still cold.
    """

    instance: str
    cold_s: float


def parse_health_headers(status: int, headers: Iterable[tuple[str, str]]) -> HealthAnswer | None:
    """Parse an answer to the health path; return None if it says nothing usable."""
    values = {name.lower(): value.strip() for name, value in headers}
    text = values.get(_COLD_HEADER, "0")
    is_valid = len(text) <= _MAX_NUMBER_LENGTH and _DECIMAL_NUMBER.fullmatch(text) is not None
    instance = values.get(_HEALTH_INSTANCE_HEADER, "")
    if status != _OK or not instance or not is_valid or float(text) > _MAX_COLD_S:
        return None
    return HealthAnswer(instance, float(text))


def _parse_milliseconds(text: str) -> float | None:
    try:
        milliseconds = float(text)
    except ValueError:
        return None
    return min(milliseconds / 1000, _MAX_TIME_LEFT_S) if 0 <= milliseconds < math.inf else None


def _parse_positive_number(text: str) -> float | None:
    stripped = text.strip()
    if len(stripped) > _MAX_NUMBER_LENGTH or not _DECIMAL_NUMBER.fullmatch(stripped):
        return None
    return float(stripped) or None


def _parse_load(text: str) -> tuple[int | None, int, float | None]:
    """Return the running and waiting requests and, if there is a fourth figure, the pace."""
    parts = [part.strip() for part in text.split(",")]
    if len(parts) not in (3, 4) or not all(_LOAD_COUNT.fullmatch(part) for part in parts):
        return None, 0, None
    pace = int(parts[3]) / 100 if len(parts) == 4 else None
    return int(parts[0]), int(parts[1]), pace or None
