"""The caller port: takes a call, routes it, has it forwarded, returns the answer."""

from __future__ import annotations

from time import perf_counter
from typing import TYPE_CHECKING, Any

from ..claims.idempotency import run_once
from ..codes import ErrorCode
from ..errors import CallError
from ..versions.routing import find_route
from .answers import respond_with_error
from .call import HOP_HEADERS, read_call, read_path
from .disconnects import CallerDisconnectedError, watch_caller
from .forwarder import forward_call
from .guard import refuse_crashing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ..versions.routing import RouteTarget
    from .call import Call
    from .exchange import CallResponse
    from .serving import Proxy

CALLER_DISCONNECTED_STATUS = "499 Client Closed Request"


def build_application(proxy: Proxy) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the caller port."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        started = perf_counter()
        proxy.open_calls += 1
        environ["eventlet.posthooks"].append((_finish, (proxy, started), {}))
        try:
            return _serve(proxy, environ, start_response)
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


def _finish(environ: dict[str, Any], proxy: Proxy, started: float) -> None:
    """Count a call as ended, once its answer was written or its caller is gone."""
    proxy.open_calls -= 1
    proxy.metrics.observe("call_seconds", perf_counter() - started)


def _serve(proxy: Proxy, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    path = read_path(environ)
    target = _route(proxy, environ["REQUEST_METHOD"], path)
    call = read_call(environ, path, target, proxy.clock())
    answer = _run(proxy, target, call, environ)
    headers = [(name, value) for name, value in answer.headers if name.lower() not in HOP_HEADERS]
    length = _find_length(answer)
    if length:
        headers.append(("Content-Length", length))
    if proxy.stopping:
        headers.append(("Connection", "close"))
    start_response(f"{answer.status} {answer.reason}", headers)
    proxy.metrics.counters["calls"].inc()
    if answer.remaining_chunks is None:
        return [answer.body]
    return _pass_on(answer.body, answer.remaining_chunks)


def _pass_on(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield an answer in pieces; where it breaks off, the caller's connection ends improperly."""
    yield first
    yield from rest


def _find_length(answer: CallResponse) -> str:
    if answer.remaining_chunks is None and answer.body:
        return str(len(answer.body))
    lengths = [value for name, value in answer.headers if name.lower() == "content-length"]
    if lengths:
        return lengths[0]
    return "0" if answer.remaining_chunks is None else ""


def _route(proxy: Proxy, method: str, path: str) -> RouteTarget:
    applied = proxy.node.configuration.applied
    if applied is None:
        raise CallError(ErrorCode.NOT_READY, "no configuration is in force on this daemon")
    target = find_route(applied.routes, method, path)
    if target is None:
        raise CallError(ErrorCode.ROUTE_UNKNOWN, f"{method} {path}")
    return target


def _run(proxy: Proxy, target: RouteTarget, call: Call, environ: dict[str, Any]) -> CallResponse:
    def forward() -> CallResponse:
        return forward_call(proxy, target, call)

    if proxy.node.crashes.suspects:
        refuse_crashing(proxy.node, call, proxy.clock() + proxy.clock_offset)
    if target.route.idempotent:
        with watch_caller(proxy.watched, environ):
            return forward()
    return run_once(proxy.node, proxy.peers, target.service.service, call, forward)
