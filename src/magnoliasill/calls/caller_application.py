"""The WSGI application of the caller port: routes a call, forwards it, returns the response."""

from __future__ import annotations

from time import perf_counter
from typing import TYPE_CHECKING, Any

import attrs

from ..claims.idempotency import run_once
from ..codes import ErrorCode
from ..errors import CallError
from ..versions.routing import find_route
from .call import NOT_FORWARDED_HEADERS, read_call, read_path
from .cancellation import CallerDisconnectedError, watch_caller
from .crash_guard import reject_blocked_call
from .error_responses import respond_with_error
from .forwarder import forward_call

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ..versions.routing import RouteTarget
    from .call import Call
    from .exchange import CallResponse
    from .proxy_state import Proxy

CALLER_DISCONNECTED_STATUS = "499 Client Closed Request"


def build_application(proxy: Proxy) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the caller port."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        started = perf_counter()
        proxy.open_calls += 1
        environ["eventlet.posthooks"].append((_record_call_end, (proxy, started), {}))
        try:
            return _handle_call(proxy, environ, start_response)
        except CallError as error:
            proxy.metrics.count("refusals", error.code.value)
            return respond_with_error(
                start_response, error.code, error.message, error.retry_after_s
            )
        except CallerDisconnectedError:
            proxy.metrics.counters["cancelled"].inc()
            start_response(
                CALLER_DISCONNECTED_STATUS, [("Content-Length", "0"), ("Connection", "close")]
            )
            return []

    return application


def _record_call_end(environ: dict[str, Any], proxy: Proxy, started: float) -> None:
    """Record the end of a call, after its response was written or its caller disconnected."""
    proxy.open_calls -= 1
    proxy.metrics.observe("call_seconds", perf_counter() - started)


def _handle_call(proxy: Proxy, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    path = read_path(environ)
    target = _route(proxy, environ["REQUEST_METHOD"], path)
    call = read_call(environ, path, target, proxy.clock())
    response = _run_call(proxy, target, call, environ)
    headers = [
        (name, value)
        for name, value in response.headers
        if name.lower() not in NOT_FORWARDED_HEADERS
    ]
    length = _find_length(response)
    if length:
        headers.append(("Content-Length", length))
    if proxy.stopping:
        headers.append(("Connection", "close"))
    start_response(f"{response.status} {response.reason}", headers)
    proxy.metrics.counters["calls"].inc()
    if response.remaining_chunks is None:
        return [response.body]
    return _stream_body(response.body, response.remaining_chunks)


def _stream_body(first: bytes, remaining: Iterator[bytes]) -> Iterator[bytes]:
    """Yield a response body in chunks.

    If the backend server's response is truncated, the error ends the caller's connection early,
    so that the caller notices.
    """
    yield first
    yield from remaining


def _find_length(response: CallResponse) -> str:
    if response.remaining_chunks is None and response.body:
        return str(len(response.body))
    lengths = [value for name, value in response.headers if name.lower() == "content-length"]
    if lengths:
        return lengths[0]
    return "0" if response.remaining_chunks is None else ""


def _route(proxy: Proxy, method: str, path: str) -> RouteTarget:
    applied = proxy.node.configuration.applied
    if applied is None:
        raise CallError(ErrorCode.NOT_READY, "no active configuration on this daemon")
    target = find_route(applied.routes, method, path)
    if target is None:
        raise CallError(ErrorCode.ROUTE_UNKNOWN, f"{method} {path}")
    return target


def _run_call(
    proxy: Proxy, target: RouteTarget, call: Call, environ: dict[str, Any]
) -> CallResponse:
    def forward() -> CallResponse:
        return forward_call(proxy, target, call)

    if proxy.node.crashes.suspects:
        reject_blocked_call(proxy.node, call, proxy.clock() + proxy.clock_offset)
    if target.route.idempotent:
        with watch_caller(proxy.watched, environ) as watch:
            watched_call = attrs.evolve(call, check_caller=watch.check_connected)
            return forward_call(proxy, target, watched_call)
    return run_once(proxy.node, proxy.peers, target.service.service, call, forward)
