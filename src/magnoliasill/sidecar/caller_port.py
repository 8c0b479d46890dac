"""WSGI application for requests from the callers on this VM and from its backend server."""

from __future__ import annotations

from contextlib import contextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

import attrs
import eventlet

from ..calls.cancellation import CallerDisconnectedError, watch_caller
from ..calls.error_responses import is_not_run, respond_with_error
from ..codes import ErrorCode, LogEvent
from ..errors import CallError
from ..mesh.access import rank_priority
from ..mesh.earlier_waits import TimeLeftSamples, estimate_earlier_wait
from ..mesh.planned_stop import observe_duration
from ..mesh.retries import count_request, record_nested_retry
from ..mesh.routes import choose_destination, find_route
from ..platform.headers import (
    parse_caller_headers,
    remove_sidecar_headers,
    replace_team_headers,
)
from .bodies import read_body
from .forwarding import Request, forward_request
from .http_exchange import Message, Reply
from .link_use import count_received, count_sent
from .load_shedding import refuse_excess
from .protocol import (
    ARRIVED_KEY,
    PROTOCOL_KEY,
    close_if_stopping,
    count_open_request,
    list_headers,
    read_target,
    send_reply,
)
from .quota_reports import admit_team_request, return_token
from .state import (
    find_own_lag,
    find_parent,
    find_parent_retry,
    find_request_wait_left,
    is_closing,
)
from .team_access import check_access

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ..mesh.routes import Route, RouteTable
    from .state import Sidecar

# A stopping daemon asks callers to retry after this delay. By then a new connection reaches another
# daemon or the process that replaces this one.
STOPPING_RETRY_AFTER_S = 0.2
CANCELLED_STATUS = "499 Client Closed Request"


def build_caller_application(sidecar: Sidecar) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the callers' port."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        count_open_request(sidecar, environ)
        log_context = _RequestLogContext(sidecar.clock())
        try:
            reply = _handle_and_track_request(sidecar, environ, log_context)
        except CallError as error:
            close_if_stopping(sidecar, environ)
            _log_refused(sidecar, log_context, error)
            return respond_with_error(
                start_response, error.code, error.message, error.retry_after_s
            )
        except CallerDisconnectedError:
            _log_cancelled(sidecar, log_context)
            environ[PROTOCOL_KEY].close_connection = True
            start_response(CANCELLED_STATUS, [("Content-Length", "0")])
            return []
        close_if_stopping(sidecar, environ)
        _log_answered(sidecar, log_context, reply)
        if log_context.request is None or not log_context.request.nested:
            count_sent(sidecar, "callers", len(reply.body))
        return send_reply(reply, start_response)

    return application


@attrs.define
class _RequestLogContext:
    """What is known about a request so far, for its log line."""

    started_at: float
    request: Request | None = None
    identifier: str = ""


def _handle_and_track_request(
    sidecar: Sidecar, environ: dict[str, Any], log_context: _RequestLogContext
) -> Reply:
    """Handle a request; count it at the request that it belongs to while it is not served."""
    parent = find_parent(sidecar, parse_caller_headers(list_headers(environ)).identifier)
    if parent is None:
        return _handle_request(sidecar, environ, log_context)
    sidecar.unserved_calls[parent] += 1
    reply = _handle_request(sidecar, environ, log_context)
    if reply.status < 500 and parent in sidecar.unserved_calls:
        sidecar.unserved_calls[parent] -= 1
    return reply


def _handle_request(
    sidecar: Sidecar, environ: dict[str, Any], log_context: _RequestLogContext
) -> Reply:
    headers = list_headers(environ)
    caller_metadata = parse_caller_headers(headers)
    log_context.identifier = caller_metadata.identifier
    if is_closing(sidecar):
        message = "the daemon is stopping and accepts no more requests"
        raise CallError(ErrorCode.NOT_READY, message, STOPPING_RETRY_AFTER_S)
    table = sidecar.table
    if table is None:
        raise CallError(ErrorCode.NOT_READY, "the daemon has no active configuration yet")
    target = read_target(environ)
    route = _find_route(table, environ, target)
    _check_header_size(table, headers)
    now = log_context.started_at
    arrived_at = environ.get(ARRIVED_KEY)  # of a request that may have waited for earlier ones
    if arrived_at is None:
        arrived_at = now - find_own_lag(sidecar)  # read when the turn of its connection came
    parent = find_parent_retry(sidecar, caller_metadata.identifier)
    time_left_samples = sidecar.time_left_samples.setdefault(route.name, TimeLeftSamples())
    time_left_s = (
        route.timeout_s if caller_metadata.time_left_s is None else caller_metadata.time_left_s
    )
    access = check_access(sidecar, table, route, headers, parent is not None)
    request = Request(
        identifier=caller_metadata.identifier,
        route=route,
        service=choose_destination(sidecar.splits, route, sidecar.random),
        version=table.version,
        nested=parent is not None,
        parent_is_retry=bool(parent),
        arrived_at=now,
        target_at=arrived_at
        + route.target_s
        - estimate_earlier_wait(time_left_samples, time_left_s),
        answer_deadline=arrived_at + min(time_left_s, route.timeout_s),
        caller_deadline=arrived_at + time_left_s,
        priority=rank_priority(table, route, access.team),
        team=access.team,
    )
    log_context.request = request
    count_request(sidecar.retry_budget, request.service, now)
    if request.parent_is_retry:
        record_nested_retry(sidecar.retry_budget, request.service, now)
    if find_request_wait_left(sidecar, route.name, request.answer_deadline) <= 0:
        message = "the daemon stops before the request can be expected to finish"
        raise CallError(ErrorCode.NOT_READY, message, STOPPING_RETRY_AFTER_S)
    refuse_excess(sidecar, request)
    if table.teams is not None:
        request.check_access = partial(_check_still_allowed, sidecar, request, headers)
    with watch_caller(sidecar.watched_calls, environ) as watch, _register_thread(sidecar):
        request.check_caller = watch.check_connected
        request.on_start = partial(watch.begin_run, route.idempotent)
        body = read_body(environ, table.limits.body_bytes)
        if not request.nested:
            count_received(sidecar, "callers", len(body) if isinstance(body, bytes) else 0)
        sent_headers = remove_sidecar_headers(headers)
        if table.teams is not None:
            sent_headers = replace_team_headers(sent_headers, access.team and access.team.name)
        message = Message(environ["REQUEST_METHOD"], target, sent_headers, body)
        return _forward_within_quota(sidecar, request, message)


def _forward_within_quota(sidecar: Sidecar, request: Request, message: Message) -> Reply:
    """Forward a request once its team's quota allows it.

    Raises:
        CallError: If the quota does not allow it, or no backend server responded.
    """
    if request.team is None:
        return forward_request(sidecar, request, message)
    left_s = request.answer_deadline - sidecar.clock()
    admitted_at = admit_team_request(sidecar, request.team, left_s)
    try:
        return forward_request(sidecar, request, message)
    except CallError as error:
        if is_not_run(error.code):
            return_token(sidecar, request.team, admitted_at)
        raise
    except BaseException:  # such as the caller's leaving
        if not request.attempted_members:
            return_token(sidecar, request.team, admitted_at)
        raise


def _check_still_allowed(
    sidecar: Sidecar, request: Request, headers: list[tuple[str, str]]
) -> float | None:
    """Return until when a request may start, by the configuration that is in force now.

    Raises:
        CallError: If its key was taken away, or is no longer known to be valid.
    """
    access = check_access(sidecar, sidecar.table, request.route, headers, request.nested)
    return None if access.start_within_s is None else sidecar.clock() + access.start_within_s


@contextmanager
def _register_thread(sidecar: Sidecar) -> Iterator[None]:
    """Register the current thread, so that its caller gets an answer if the process ends."""
    thread = eventlet.getcurrent()
    sidecar.open_callers.add(thread)
    try:
        yield
    finally:
        sidecar.open_callers.discard(thread)


def _find_route(table: RouteTable, environ: dict[str, Any], target: str) -> Route:
    path = target.partition("?")[0]
    route = find_route(table, environ.get("HTTP_HOST", ""), path)
    if route is None:
        raise CallError(ErrorCode.ROUTE_UNKNOWN, f"no route for {environ['REQUEST_METHOD']} {path}")
    return route


def _check_header_size(table: RouteTable, headers: list[tuple[str, str]]) -> None:
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > table.limits.header_bytes:
        raise CallError(ErrorCode.HEADERS_TOO_LARGE, f"the headers are too large: {size} bytes")


def _observe_request(sidecar: Sidecar, log_context: _RequestLogContext) -> dict[str, Any]:
    """Record how long a request took; return the fields of its log line."""
    request = log_context.request
    seconds = round(sidecar.clock() - log_context.started_at, 4)
    sidecar.meters.observe("request", seconds)
    if request is None:
        version = sidecar.table.version if sidecar.table else 0
        return {
            "id": log_context.identifier,
            "route": "",
            "service": "",
            "version": version,
            "nested": False,
            "attempts": 0,
            "seconds": seconds,
        }
    if request.attempted_members:
        observe_duration(sidecar.slowest_requests, request.route.name, seconds)
    return {
        "id": request.identifier,
        "route": request.route.name,
        "service": request.service,
        "version": request.version,
        "nested": request.nested,
        "attempts": len(request.attempted_members),
        "seconds": seconds,
    }


def _log_answered(sidecar: Sidecar, log_context: _RequestLogContext, reply: Reply) -> None:
    sidecar.meters.count("requests", "answered")
    fields = _observe_request(sidecar, log_context)
    member = (
        log_context.request.attempted_members[-1] if log_context.request.attempted_members else ""
    )
    sidecar.log(LogEvent.REQUEST_ANSWERED, status=reply.status, member=member, **fields)


def _log_refused(sidecar: Sidecar, log_context: _RequestLogContext, error: CallError) -> None:
    fields = _observe_request(sidecar, log_context)
    outcome_unknown = error.code is ErrorCode.OUTCOME_UNKNOWN
    sidecar.meters.count("requests", "failed" if outcome_unknown else "refused")
    if outcome_unknown:
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


def _log_cancelled(sidecar: Sidecar, log_context: _RequestLogContext) -> None:
    fields = _observe_request(sidecar, log_context)
    sidecar.meters.count("requests", "cancelled")
    logged_fields = {name: fields[name] for name in ("id", "route", "seconds", "attempts")}
    sidecar.log(LogEvent.REQUEST_CANCELLED, **logged_fields)
