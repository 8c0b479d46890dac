"""The callers' port: takes requests of this VM's callers and of its backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..calls.answers import answer_refusal
from ..calls.disconnects import CallerDisconnectedError, watch_caller
from ..codes import ErrorCode, LogEvent
from ..errors import CallError
from ..mesh.repeats import count_repeat, count_request
from ..mesh.routes import choose_destination, find_route
from ..mesh.waited import Patience, estimate_waited
from ..platform.headers import parse_caller_headers, remove_sidecar_headers
from .bodies import read_body
from .forwarding import Request, forward_request
from .protocol import answer_reply, count_open, end_connection, list_headers, read_target
from .state import find_parent, is_closing
from .transfer import Message, Reply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..mesh.routes import Route, RouteTable
    from .state import Sidecar

RETURN_S = 0.2  # until a new connection finds another daemon, or this one's successor
CANCELLED_STATUS = "499 Client Closed Request"


def build_caller_application(sidecar: Sidecar) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the callers' port."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        count_open(sidecar, environ)
        progress = _Progress(sidecar.clock())
        try:
            reply = _serve(sidecar, environ, progress)
        except CallError as error:
            end_connection(sidecar, environ)
            _log_refusal(sidecar, progress, error)
            return answer_refusal(start_response, error.code, error.message, error.retry_after_s)
        except CallerDisconnectedError:
            _log_cancelled(sidecar, progress)
            start_response(CANCELLED_STATUS, [("Content-Length", "0"), ("Connection", "close")])
            return []
        end_connection(sidecar, environ)
        _log_answer(sidecar, progress, reply)
        return answer_reply(reply, start_response)

    return application


@attrs.define
class _Progress:
    """What is known of a request so far, for its log line."""

    started_at: float
    request: Request | None = None
    identifier: str = ""


def _serve(sidecar: Sidecar, environ: dict[str, Any], progress: _Progress) -> Reply:
    headers = list_headers(environ)
    marks = parse_caller_headers(headers)
    progress.identifier = marks.identifier
    if is_closing(sidecar):
        message = "the daemon is stopping and takes no more requests"
        raise CallError(ErrorCode.NOT_READY, message, RETURN_S)
    table = sidecar.table
    if table is None:
        raise CallError(ErrorCode.NOT_READY, "no configuration is in force on this daemon")
    target = read_target(environ)
    route = _find_route(table, environ, target)
    _check_head(table, headers)
    now = progress.started_at
    parent = find_parent(sidecar, marks.identifier)
    patience = sidecar.patience.setdefault(route.name, Patience())
    time_left_s = route.timeout_s if marks.time_left_s is None else marks.time_left_s
    request = Request(
        identifier=marks.identifier,
        route=route,
        service=choose_destination(sidecar.splits, route, sidecar.random),
        version=table.version,
        nested=parent is not None,
        repeat=bool(parent),
        arrived_at=now,
        target_at=now + route.target_s - estimate_waited(patience, time_left_s),
        cutoff=now + min(time_left_s, route.timeout_s),
        caller_deadline=now + time_left_s,
    )
    progress.request = request
    count_request(sidecar.budget, request.service, now)
    if request.repeat:
        count_repeat(sidecar.budget, request.service, now)
    with watch_caller(sidecar.watched, environ) as watch:
        if not route.idempotent:
            request.on_start = watch.release
        body = read_body(environ, table.limits.body_bytes)
        message = Message(environ["REQUEST_METHOD"], target, remove_sidecar_headers(headers), body)
        return forward_request(sidecar, request, message)


def _find_route(table: RouteTable, environ: dict[str, Any], target: str) -> Route:
    path = target.partition("?")[0]
    route = find_route(table, environ.get("HTTP_HOST", ""), path)
    if route is None:
        raise CallError(ErrorCode.ROUTE_UNKNOWN, f"{environ['REQUEST_METHOD']} {path}")
    return route


def _check_head(table: RouteTable, headers: list[tuple[str, str]]) -> None:
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > table.limits.header_bytes:
        raise CallError(ErrorCode.HEADERS_TOO_LARGE, f"{size} bytes of headers")


def _describe(sidecar: Sidecar, progress: _Progress) -> dict[str, Any]:
    request = progress.request
    seconds = round(sidecar.clock() - progress.started_at, 4)
    sidecar.meters.observe("request", seconds)
    if request is None:
        version = sidecar.table.version if sidecar.table else 0
        return {
            "id": progress.identifier,
            "route": "",
            "service": "",
            "version": version,
            "nested": False,
            "attempts": 0,
            "seconds": seconds,
        }
    return {
        "id": request.identifier,
        "route": request.route.name,
        "service": request.service,
        "version": request.version,
        "nested": request.nested,
        "attempts": len(request.offers),
        "seconds": seconds,
    }


def _log_answer(sidecar: Sidecar, progress: _Progress, reply: Reply) -> None:
    sidecar.meters.count("requests", "answered")
    fields = _describe(sidecar, progress)
    member = progress.request.offers[-1] if progress.request.offers else ""
    sidecar.log(LogEvent.REQUEST_ANSWERED, status=reply.status, member=member, **fields)


def _log_refusal(sidecar: Sidecar, progress: _Progress, error: CallError) -> None:
    fields = _describe(sidecar, progress)
    unknown = error.code is ErrorCode.OUTCOME_UNKNOWN
    sidecar.meters.count("requests", "failed" if unknown else "refused")
    if unknown:
        sidecar.log(
            LogEvent.REQUEST_FAILED, status=error.code.value, reason=error.message, **fields
        )
        return
    sidecar.log(
        LogEvent.REQUEST_REFUSED,
        status=error.code.value,
        reason=error.message,
        retry_after_s=round(error.retry_after_s, 3),
        **fields,
    )


def _log_cancelled(sidecar: Sidecar, progress: _Progress) -> None:
    fields = _describe(sidecar, progress)
    sidecar.meters.count("requests", "cancelled")
    kept = {name: fields[name] for name in ("id", "route", "seconds", "attempts")}
    sidecar.log(LogEvent.REQUEST_CANCELLED, **kept)
