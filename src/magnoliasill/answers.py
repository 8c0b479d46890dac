"""The answers that the daemon gives by itself, as JSON with a code."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from .codes import ErrorCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

RETRY_AFTER_S = 1

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
}


@attrs.frozen
class Refusal:
    """The body of an answer that no backend server gave.

    Attributes:
        code: The error code.
        message: What happened.
        ran: `no` where the request certainly did not run, else `unknown`.
    """

    code: str
    message: str
    ran: str


def answer_refusal(
    start_response: Callable[..., object], code: ErrorCode, message: str, retry_after_s: int = 0
) -> Iterable[bytes]:
    """Answer a call by the daemon itself.

    Args:
        start_response: The WSGI function that starts the answer.
        code: What happened.
        message: Details for a person.
        retry_after_s: Seconds after which the caller may return, or 0 for the default.

    Returns:
        The body's chunks.
    """
    ran = "unknown" if code is ErrorCode.OUTCOME_UNKNOWN else "no"
    body = msgspec.json.encode(Refusal(code.value, message, ran))
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    status = _STATUSES[code]
    if status.startswith("503"):
        headers.append(("Retry-After", str(retry_after_s or RETRY_AFTER_S)))
    start_response(status, headers)
    return [body]
