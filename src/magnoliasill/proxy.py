"""The caller port: takes a call, routes it, has it forwarded, returns the answer."""

from __future__ import annotations

from time import monotonic, perf_counter
from typing import TYPE_CHECKING, Any

import attrs

from .answers import answer_refusal
from .call import HOP_HEADERS, read_call, read_path
from .codes import ErrorCode
from .connections import ConnectionTable
from .disconnects import CallerDisconnectedError, watch_caller
from .dispatch import Dispatcher
from .errors import CallError
from .exchange import exchange_call
from .forwarder import forward_call
from .guard import refuse_crashing
from .idempotency import Peers, run_once
from .routing import find_route
from .tally import count_attempt

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from .actions import Log
    from .call import Call
    from .disconnects import OpenCall
    from .exchange import Answer, ExchangeFunction
    from .metrics import Metrics
    from .node import Node
    from .outcomes import Outcome
    from .routing import RouteTarget
    from .store import StoreFunction

CALLER_DISCONNECTED_STATUS = "499 Client Closed Request"


@attrs.define
class Proxy:
    """What serving calls needs.

    Attributes:
        node: The node's tables.
        store: Performs requests to the platform's store.
        metrics: The daemon's metrics.
        clock_offset: Added to the monotonic clock, it gives the node's clock.
        connections: Idle connections to backend servers.
        dispatcher: Finds room at backend servers.
        notify: Writes a log event.
        exchange: Sends a call to one backend server.
        clock: The monotonic clock, in seconds.
        peers: Reaches other daemons for calls that must not be repeated.
        watched: Calls that end when their callers go away.
        open_calls: Calls that are being served.
        stopping: Whether the daemon takes no more calls.
    """

    node: Node
    store: StoreFunction
    metrics: Metrics
    clock_offset: float = 0.0
    connections: ConnectionTable = attrs.field(factory=ConnectionTable)
    dispatcher: Dispatcher = attrs.field(factory=Dispatcher)
    notify: Callable[[Log], None] = lambda entry: None
    exchange: ExchangeFunction = exchange_call
    clock: Callable[[], float] = monotonic
    peers: Peers = attrs.field(factory=lambda: Peers(lambda address, message: None))
    watched: set[OpenCall] = attrs.field(factory=set)
    open_calls: int = 0
    stopping: bool = False

    def record(self, outcome: Outcome) -> None:
        """Count the end of one attempt, for balancing and for the evidence on releases."""
        self.metrics.count("attempts", outcome.kind.value)
        self.metrics.observe("attempt_seconds", outcome.seconds)
        takeover = self.node.takeovers.active.get(outcome.service)
        if takeover is not None:
            count_attempt(takeover.tally, outcome)


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
            return answer_refusal(start_response, error.code, error.message, error.retry_after_s)
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
    if answer.rest is None:
        return [answer.body]
    return _pass_on(answer.body, answer.rest)


def _pass_on(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield an answer in pieces; where it breaks off, the caller's connection ends improperly."""
    yield first
    yield from rest


def _find_length(answer: Answer) -> str:
    if answer.rest is None and answer.body:
        return str(len(answer.body))
    lengths = [value for name, value in answer.headers if name.lower() == "content-length"]
    if lengths:
        return lengths[0]
    return "0" if answer.rest is None else ""


def _route(proxy: Proxy, method: str, path: str) -> RouteTarget:
    applied = proxy.node.configuration.applied
    if applied is None:
        raise CallError(ErrorCode.NOT_READY, "no configuration is in force on this daemon")
    target = find_route(applied.routes, method, path)
    if target is None:
        raise CallError(ErrorCode.ROUTE_UNKNOWN, f"{method} {path}")
    return target


def _run(proxy: Proxy, target: RouteTarget, call: Call, environ: dict[str, Any]) -> Answer:
    def forward() -> Answer:
        return forward_call(proxy, target, call)

    if proxy.node.crashes.suspects:
        refuse_crashing(proxy.node, call, proxy.clock() + proxy.clock_offset)
    if target.route.idempotent:
        with watch_caller(proxy.watched, environ):
            return forward()
    return run_once(proxy.node, proxy.peers, target.service.service, call, forward)
