"""Error responses that the daemon itself sends to callers: JSON bodies with an error code."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

DEFAULT_RETRY_AFTER_S = 1

_STATUSES: dict[ErrorCode, str] = {
    ErrorCode.ROUTE_UNKNOWN: "404 Not Found",
    ErrorCode.KEY_MISSING: "400 Bad Request",
    ErrorCode.BODY_TOO_LARGE: "413 Content Too Large",
    ErrorCode.NOT_READY: "503 Service Unavailable",
    ErrorCode.NO_SERVER: "503 Service Unavailable",
    ErrorCode.NOT_RUN: "503 Service Unavailable",
    ErrorCode.OUTCOME_UNKNOWN: "502 Bad Gateway",
    ErrorCode.OVERLOADED: "503 Service Unavailable",
    ErrorCode.DEADLINE_EXPIRED: "504 Gateway Timeout",
    ErrorCode.DEADLINE_INVALID: "400 Bad Request",
    ErrorCode.KEY_IN_PROGRESS: "409 Conflict",
    ErrorCode.KEY_USED: "502 Bad Gateway",
    ErrorCode.KEY_REUSED: "422 Unprocessable Content",
    ErrorCode.KEY_EXPIRED: "410 Gone",
    ErrorCode.CLAIM_UNAVAILABLE: "503 Service Unavailable",
    ErrorCode.REQUEST_MALFORMED: "400 Bad Request",
    ErrorCode.REQUEST_CRASHES: "422 Unprocessable Content",
    ErrorCode.REQUEST_BLOCKED: "503 Service Unavailable",
    ErrorCode.TEAM_KEY_UNKNOWN: "401 Unauthorized",
    ErrorCode.TEAM_OVER_QUOTA: "429 Too Many Requests",
}
_OUTCOME_UNKNOWN_CODES = frozenset(
    {
        ErrorCode.OUTCOME_UNKNOWN,
        ErrorCode.KEY_IN_PROGRESS,
        ErrorCode.KEY_USED,
        ErrorCode.KEY_EXPIRED,
        ErrorCode.REQUEST_CRASHES,
    }
)
_RETRYABLE_STATUSES = ("503", "409", "429")


@attrs.frozen
class Refusal:
    """The JSON body of an error response that the daemon itself sends.

    Attributes:
        code: The error code.
        message: Error message.
        ran: `no` if the request certainly did not run, otherwise `unknown`.
    """

    code: str
    message: str
    ran: str


def respond_with_error(
    start_response: Callable[..., object], code: ErrorCode, message: str, retry_after_s: float = 0
) -> Iterable[bytes]:
    """Start an error response from the daemon itself and return its body.

    Args:
        start_response: The WSGI `start_response` function.
        code: The error code, which determines the HTTP status.
        message: Error message.
        retry_after_s: Value of `Retry-After` for statuses that have one; 0 for the default.

    Returns:
        The body as a WSGI iterable.
    """
    body = encode_error_body(code, message)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    status = _STATUSES[code]
    if status.startswith(_RETRYABLE_STATUSES):
        headers.append(("Retry-After", f"{retry_after_s or DEFAULT_RETRY_AFTER_S:.3g}"))
    start_response(status, headers)
    return [body]


def find_status(code: ErrorCode) -> int:
    """Return the HTTP status of an error response with this code."""
    return int(_STATUSES[code].partition(" ")[0])


def encode_error_body(code: ErrorCode, message: str) -> bytes:
    """Return the JSON body that says why the daemon rejected or could not complete a request."""
    ran = "no" if is_not_run(code) else "unknown"
    return msgspec.json.encode(Refusal(code.value, message, ran))


def is_not_run(code: ErrorCode) -> bool:
    """Return whether an error with this code guarantees that the request did not run."""
    return code not in _OUTCOME_UNKNOWN_CODES
