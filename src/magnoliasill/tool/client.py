"""The tool's HTTP client of a daemon's administration port."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec
import urllib3

from ..calls.responses import CheckedConnectionPool
from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json
from ..errors import AdministrationError

READ_TIMEOUT_S = 5.0
CHANGE_TIMEOUT_S = 30.0
STATUS_OK = 200
CALLER_CODE_PREFIX = "MS-5"  # error codes of caller ports begin with it


@attrs.frozen
class ErrorResponse:
    """The body of a response that refuses a request."""

    code: str
    message: str
    advice: str = ""


def read_daemon(
    address: str,
    path: str,
    response_type: Any,
    timeout_s: float = READ_TIMEOUT_S,
    headers: dict[str, str] | None = None,
) -> Any:
    """Read one report from a daemon.

    Args:
        address: The daemon's administration address, `ip:port`.
        path: The path of the request.
        response_type: The type to decode the response into.
        timeout_s: Seconds to wait for the response.
        headers: Headers to send, or None.

    Returns:
        The decoded response.

    Raises:
        AdministrationError: If the daemon does not respond, refuses the request, or sends a
            response that can't be decoded.
    """
    try:
        data = _request("GET", address, path, None, headers or {}, timeout_s)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise _build_unreachable_error(address, error) from error
    return _decode_response(address, data, response_type)


def send_change(address: str, path: str, request: Any, token: str, response_type: Any) -> Any:
    """Ask a daemon to make a change of the configuration.

    Args:
        address: The daemon's administration address, `ip:port`.
        path: The path of the request.
        request: The body, with its `publish_id`.
        token: The team's token.
        response_type: The type to decode the response into.

    Returns:
        The decoded response.

    Raises:
        AdministrationError: If the daemon does not respond or refuses the change; its code is
            `STORE_OUTCOME_UNKNOWN` if the change may have been accepted.
    """
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    body = msgspec.json.encode(request)
    try:
        data = _request("POST", address, path, body, headers, CHANGE_TIMEOUT_S)
    except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.LocationParseError) as error:
        raise _build_unreachable_error(address, error) from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        advice = f"run the command again with --publish-id {request.publish_id}"
        message = f"{address}: no response: {error}"
        raise AdministrationError(ErrorCode.STORE_OUTCOME_UNKNOWN, message, advice) from error
    return _decode_response(address, data, response_type)


def _request(
    method: str,
    address: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    timeout_s: float,
) -> bytes:
    url = f"http://{address}{path}"
    pool = urllib3.PoolManager()
    pool.pool_classes_by_scheme = {"http": CheckedConnectionPool}
    response = pool.request(
        method, url, body=body, headers=headers, timeout=timeout_s, retries=False
    )
    if response.status != STATUS_OK:
        raise _decode_error(address, response.status, response.data)
    return response.data


def _decode_error(address: str, status: int, data: bytes) -> AdministrationError:
    try:
        error_response = decode_json(data, ErrorResponse)
        code = ErrorCode(error_response.code)
        if code.value.startswith(CALLER_CODE_PREFIX):
            message = f"{address}: responds as a caller port: {error_response.code}"
            return AdministrationError(ErrorCode.ADMIN_UNREACHABLE, message)
    except ValueError:
        message = f"{address}: status {status} without the error body of a daemon"
        return AdministrationError(ErrorCode.ADMIN_UNREACHABLE, message)
    return AdministrationError(code, error_response.message, error_response.advice)


def _decode_response(address: str, data: bytes, response_type: Any) -> Any:
    try:
        return decode_json(data, response_type)
    except DecodingError as error:
        message = f"{address}: response can't be decoded: {error}"
        raise AdministrationError(ErrorCode.ADMIN_UNREACHABLE, message) from error


def _build_unreachable_error(address: str, error: Exception) -> AdministrationError:
    return AdministrationError(ErrorCode.ADMIN_UNREACHABLE, f"{address}: {error}")
