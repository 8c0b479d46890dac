"""The tool's client of the administration port."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec
import urllib3

from ..codes import ErrorCode
from ..errors import AdministrationError

READ_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 30.0
STATUS_OK = 200
CALLER_CODES = "MS-5"


@attrs.frozen
class Problem:
    """The body of a refused request."""

    code: str
    message: str
    advice: str = ""


def read_daemon(address: str, path: str, kind: Any, timeout_s: float = READ_TIMEOUT_S) -> Any:
    """Read one report of a daemon.

    Args:
        address: The daemon's administration address, `ip:port`.
        path: The path of the call.
        kind: The type of the answer.
        timeout_s: Seconds to wait for the answer.

    Returns:
        The decoded answer.

    Raises:
        AdministrationError: If the daemon does not answer, refuses, or answers unreadably.
    """
    try:
        data = _request("GET", address, path, None, {}, timeout_s)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise _unreachable(address, error) from error
    return _decode(address, data, kind)


def send_change(address: str, path: str, request: Any, token: str, kind: Any) -> Any:
    """Ask a daemon to carry out a change.

    Args:
        address: The daemon's administration address, `ip:port`.
        path: The path of the call.
        request: The body, with its `publish_id`.
        token: The team's token.
        kind: The type of the answer.

    Returns:
        The decoded answer.

    Raises:
        AdministrationError: If the daemon does not answer or refuses; `STORE_OUTCOME_UNKNOWN`
            where the change may have been accepted.
    """
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    body = msgspec.json.encode(request)
    try:
        data = _request("POST", address, path, body, headers, CHANGE_TIMEOUT_S)
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.LocationParseError) as error:
        raise _unreachable(address, error) from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        advice = f"repeat the command with --publish-id {request.publish_id}"
        message = f"{address}: no answer: {error}"
        raise AdministrationError(ErrorCode.STORE_OUTCOME_UNKNOWN, message, advice) from error
    return _decode(address, data, kind)


def _request(
    method: str,
    address: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    timeout_s: float,
) -> bytes:
    url = f"http://{address}{path}"
    response = urllib3.request(
        method, url, body=body, headers=headers, timeout=timeout_s, retries=False
    )
    if response.status != STATUS_OK:
        raise _read_problem(address, response.status, response.data)
    return response.data


def _read_problem(address: str, status: int, data: bytes) -> AdministrationError:
    try:
        problem = msgspec.json.decode(data, type=Problem)
        code = ErrorCode(problem.code)
        if code.value.startswith(CALLER_CODES):
            message = f"{address}: answers as a caller port: {problem.code}"
            return AdministrationError(ErrorCode.ADMIN_UNREACHABLE, message)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
        message = f"{address}: status {status}, not as a daemon answers"
        return AdministrationError(ErrorCode.ADMIN_UNREACHABLE, message)
    return AdministrationError(code, problem.message, problem.advice)


def _decode(address: str, data: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        message = f"{address}: unreadable answer: {error}"
        raise AdministrationError(ErrorCode.ADMIN_UNREACHABLE, message) from error


def _unreachable(address: str, error: Exception) -> AdministrationError:
    return AdministrationError(ErrorCode.ADMIN_UNREACHABLE, f"{address}: {error}")
