"""The administration port: health, metrics, reports, announcements and the teams' changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from ..codes import ErrorCode
from ..core.events import ServerAnnounced
from ..error_catalogue import ERRORS
from ..errors import AdministrationError, MagnoliasillError
from ..publishing.changes import MAX_CHANGE_BYTES, handle_change
from ..takeovers.records import list_rollouts
from .exposition import format_metrics
from .progress import report_version
from .reports import dump_state, list_members, list_services

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..calls.serving import Proxy
    from ..core.events import Event
    from ..publishing.changes import ChangeContext

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4"
MAX_BODY_BYTES = 65_536
RETRY_AFTER_S = 1
MAX_CODE_CHARACTERS = 200

_STATUSES: dict[ErrorCode, str] = {
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
class Reply:
    """Status line, content type, body and further headers of an answer."""

    status: str
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Administration:
    """What the administration port works on.

    Attributes:
        proxy: The daemon's serving state.
        submit: Passes an event to the engine.
        context: Carries out the teams' changes.
    """

    proxy: Proxy
    submit: Callable[[Event], None]
    context: ChangeContext


def build_administration(administration: Administration) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the administration port."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        try:
            reply = _answer(administration, environ)
        except MagnoliasillError as error:
            reply = _refuse(error, environ["PATH_INFO"])
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
        ]
        start_response(reply.status, headers)
        return [reply.body]

    return application


def _answer(administration: Administration, environ: dict[str, Any]) -> Reply:
    path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
    handlers = CALLS.get(path)
    if handlers is None:
        raise AdministrationError(ErrorCode.PATH_UNKNOWN, path[:MAX_CODE_CHARACTERS])
    handler = handlers.get(method)
    if handler is None:
        raise AdministrationError(ErrorCode.METHOD_UNKNOWN, f"{path} does not take {method}")
    return handler(administration, environ)


def _refuse(error: MagnoliasillError, path: str) -> Reply:
    status = _STATUSES.get(error.code, "400 Bad Request")
    advice = error.advice or ERRORS[error.code].remedy
    content = {"code": error.code.value, "message": error.message, "advice": advice}
    headers: tuple[tuple[str, str], ...] = ()
    if error.code is ErrorCode.METHOD_UNKNOWN:
        headers = (("Allow", ", ".join(sorted(CALLS[path]))),)
    elif error.code is ErrorCode.TOKEN_REFUSED:
        headers = (("WWW-Authenticate", "Bearer"),)
    elif status.startswith("503"):
        headers = (("Retry-After", str(RETRY_AFTER_S)),)
    return Reply(status, JSON_TYPE, msgspec.json.encode(content), headers)


def _encode(content: Any) -> Reply:
    return Reply("200 OK", JSON_TYPE, msgspec.json.encode(content))


def _read_body(environ: dict[str, Any], limit: int) -> bytes:
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        length = -1
    if length < 0:
        raise AdministrationError(ErrorCode.REQUEST_INVALID, "Content-Length is not a number")
    if length > limit:
        message = f"{length} bytes, the limit is {limit}"
        raise AdministrationError(ErrorCode.REQUEST_TOO_LARGE, message)
    return environ["wsgi.input"].read(length) if length else b""


def _show_health(administration: Administration, environ: dict[str, Any]) -> Reply:
    return _encode({"status": "ok"})


def _show_readiness(administration: Administration, environ: dict[str, Any]) -> Reply:
    proxy = administration.proxy
    ready = proxy.node.configuration.applied is not None and not proxy.stopping
    status = "200 OK" if ready else "503 Service Unavailable"
    return Reply(status, JSON_TYPE, msgspec.json.encode({"ready": ready}))


def _show_metrics(administration: Administration, environ: dict[str, Any]) -> Reply:
    return Reply("200 OK", TEXT_TYPE, format_metrics(administration.proxy))


def _show_state(administration: Administration, environ: dict[str, Any]) -> Reply:
    return _encode(dump_state(administration.proxy))


def _show_members(administration: Administration, environ: dict[str, Any]) -> Reply:
    return _encode(list_members(administration.proxy.node))


def _show_version(administration: Administration, environ: dict[str, Any]) -> Reply:
    return _encode(report_version(administration.proxy.node))


def _show_services(administration: Administration, environ: dict[str, Any]) -> Reply:
    return _encode(list_services(administration.proxy.node))


def _show_rollouts(administration: Administration, environ: dict[str, Any]) -> Reply:
    return _encode(list_rollouts(administration.proxy.node))


def _announce(administration: Administration, environ: dict[str, Any]) -> Reply:
    body = _read_body(environ, MAX_BODY_BYTES)
    try:
        event = msgspec.json.decode(body, type=ServerAnnounced)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise AdministrationError(ErrorCode.REQUEST_INVALID, str(error)) from error
    administration.submit(event)
    return _encode({})


def _change(administration: Administration, environ: dict[str, Any]) -> Reply:
    body = _read_body(environ, MAX_CHANGE_BYTES)
    authorization = environ.get("HTTP_AUTHORIZATION", "")
    accepted = handle_change(administration.context, environ["PATH_INFO"], authorization, body)
    return _encode(accepted)


CALLS: dict[str, dict[str, Callable[[Administration, dict[str, Any]], Reply]]] = {
    "/healthz": {"GET": _show_health},
    "/readyz": {"GET": _show_readiness},
    "/metrics": {"GET": _show_metrics},
    "/v1/state": {"GET": _show_state},
    "/v1/members": {"GET": _show_members},
    "/v1/version": {"GET": _show_version},
    "/v1/services": {"GET": _show_services},
    "/v1/rollouts": {"GET": _show_rollouts},
    "/v1/server": {"POST": _announce},
    "/v1/publish": {"POST": _change},
    "/v1/remove": {"POST": _change},
    "/v1/undo": {"POST": _change},
}
