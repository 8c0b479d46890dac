"""WSGI application of the administration port.

It serves health checks, metrics and reports, accepts the announcements of backend servers, and
executes the teams' configuration changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from ..codes import ErrorCode
from ..core.events import ServerAnnounced
from ..decoding import DecodingError, decode_json
from ..error_catalogue import ERRORS
from ..errors import AdministrationError, MagnoliasillError
from ..publishing.change_requests import MAX_CHANGE_BYTES, handle_change
from ..takeovers.records import list_rollouts
from .exposition import format_metrics
from .reports import dump_state, list_members, list_services
from .version_report import report_version

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..calls.proxy_state import Proxy
    from ..core.events import Event
    from ..publishing.change_requests import ChangeContext

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4"
MAX_ANNOUNCEMENT_BYTES = 65_536
RETRY_AFTER_S = 1
MAX_PATH_CHARACTERS = 200

_STATUS_LINES: dict[ErrorCode, str] = {
    ErrorCode.TOKEN_REFUSED: "401 Unauthorized",
    ErrorCode.TEAM_MISMATCH: "403 Forbidden",
    ErrorCode.PATH_UNKNOWN: "404 Not Found",
    ErrorCode.SERVICE_UNKNOWN: "404 Not Found",
    ErrorCode.VERSION_UNKNOWN: "404 Not Found",
    ErrorCode.METHOD_UNKNOWN: "405 Method Not Allowed",
    ErrorCode.PUBLISH_CONFLICT: "409 Conflict",
    ErrorCode.REQUEST_TOO_LARGE: "413 Content Too Large",
    ErrorCode.STORE_OUTCOME_UNKNOWN: "502 Bad Gateway",
    ErrorCode.STORE_UNAVAILABLE: "503 Service Unavailable",
    ErrorCode.ADMIN_BUSY: "503 Service Unavailable",
}


@attrs.frozen
class Response:
    """An HTTP response: status line, content type, body and additional headers."""

    status: str
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class AdministrationContext:
    """The parts of the daemon that the administration port uses.

    Attributes:
        proxy: The daemon's proxy state: its node, metrics and open calls.
        submit: Submits an event to the engine.
        change_context: The store, clock and log that executing the teams' changes needs.
    """

    proxy: Proxy
    submit: Callable[[Event], None]
    change_context: ChangeContext


def build_administration_application(
    context: AdministrationContext,
) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the administration port."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        try:
            response = _route_request(context, environ)
        except MagnoliasillError as error:
            response = _build_error_response(error, environ["PATH_INFO"])
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(response.status, headers)
        return [response.body]

    return application


def _route_request(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
    handlers = ENDPOINTS.get(path)
    if handlers is None:
        raise AdministrationError(ErrorCode.PATH_UNKNOWN, path[:MAX_PATH_CHARACTERS])
    handler = handlers.get(method)
    if handler is None:
        raise AdministrationError(ErrorCode.METHOD_UNKNOWN, f"{path} does not support {method}")
    return handler(context, environ)


def _build_error_response(error: MagnoliasillError, path: str) -> Response:
    status = _STATUS_LINES.get(error.code, "400 Bad Request")
    advice = error.advice or ERRORS[error.code].remedy
    content = {"code": error.code.value, "message": error.message, "advice": advice}
    headers: tuple[tuple[str, str], ...] = ()
    if error.code is ErrorCode.METHOD_UNKNOWN:
        headers = (("Allow", ", ".join(sorted(ENDPOINTS[path]))),)
    elif error.code is ErrorCode.TOKEN_REFUSED:
        headers = (("WWW-Authenticate", "Bearer"),)
    elif status.startswith("503"):
        headers = (("Retry-After", str(RETRY_AFTER_S)),)
    return Response(status, JSON_TYPE, msgspec.json.encode(content), headers)


def _build_json_response(content: Any) -> Response:
    return Response("200 OK", JSON_TYPE, msgspec.json.encode(content))


def _read_body(environ: dict[str, Any], limit: int) -> bytes:
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        length = -1
    if length < 0:
        raise AdministrationError(ErrorCode.REQUEST_INVALID, "Content-Length is not a valid length")
    if length > limit:
        message = f"the body has {length} bytes; the limit is {limit}"
        raise AdministrationError(ErrorCode.REQUEST_TOO_LARGE, message)
    return environ["wsgi.input"].read(length) if length else b""


def _show_health(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    return _build_json_response({"status": "ok"})


def _show_readiness(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    proxy = context.proxy
    ready = proxy.node.configuration.applied is not None and not proxy.stopping
    status = "200 OK" if ready else "503 Service Unavailable"
    return Response(status, JSON_TYPE, msgspec.json.encode({"ready": ready}))


def _show_metrics(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    return Response("200 OK", TEXT_TYPE, format_metrics(context.proxy))


def _show_state(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    return _build_json_response(dump_state(context.proxy))


def _show_members(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    return _build_json_response(list_members(context.proxy.node))


def _show_version(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    return _build_json_response(report_version(context.proxy.node))


def _show_services(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    return _build_json_response(list_services(context.proxy.node))


def _show_rollouts(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    return _build_json_response(list_rollouts(context.proxy.node))


def _handle_announcement(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    body = _read_body(environ, MAX_ANNOUNCEMENT_BYTES)
    try:
        event = decode_json(body, ServerAnnounced)
    except DecodingError as error:
        raise AdministrationError(ErrorCode.REQUEST_INVALID, str(error)) from error
    context.submit(event)
    return _build_json_response({})


def _handle_change(context: AdministrationContext, environ: dict[str, Any]) -> Response:
    body = _read_body(environ, MAX_CHANGE_BYTES)
    authorization = environ.get("HTTP_AUTHORIZATION", "")
    accepted = handle_change(context.change_context, environ["PATH_INFO"], authorization, body)
    return _build_json_response(accepted)


ENDPOINTS: dict[str, dict[str, Callable[[AdministrationContext, dict[str, Any]], Response]]] = {
    "/healthz": {"GET": _show_health},
    "/readyz": {"GET": _show_readiness},
    "/metrics": {"GET": _show_metrics},
    "/v1/state": {"GET": _show_state},
    "/v1/members": {"GET": _show_members},
    "/v1/version": {"GET": _show_version},
    "/v1/services": {"GET": _show_services},
    "/v1/rollouts": {"GET": _show_rollouts},
    "/v1/server": {"POST": _handle_announcement},
    "/v1/publish": {"POST": _handle_change},
    "/v1/remove": {"POST": _handle_change},
    "/v1/undo": {"POST": _handle_change},
}
