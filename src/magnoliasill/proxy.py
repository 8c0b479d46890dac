"""The caller port: takes a call, routes it, forwards it, returns the answer."""

from __future__ import annotations

from time import monotonic, perf_counter
from typing import TYPE_CHECKING, Any

import attrs
import urllib3

from .answers import answer_refusal
from .balancer import LoadTable, list_servers, pick_server
from .codes import ErrorCode
from .connections import ConnectionTable, drop_kin, give_back, send_request, take_connection
from .errors import CallError, StoreError
from .idempotency import claim_key
from .routing import find_route

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from urllib3.response import BaseHTTPResponse

    from .messages import MemberRecord
    from .metrics import Metrics
    from .node import Node
    from .routing import RouteTarget
    from .store import StoreFunction

MAX_ATTEMPTS = 3
RELEASE_HEADER = "X-Release"
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "date",
        "server",
    }
)


@attrs.define
class Proxy:
    """What serving calls needs.

    Attributes:
        node: The node's tables.
        store: Performs requests to the platform's store.
        metrics: The daemon's metrics.
        connections: Idle connections to backend servers.
        load: Requests in flight to each backend server.
        open_calls: Calls that are being served.
        stopping: Whether the daemon takes no more calls.
    """

    node: Node
    store: StoreFunction
    metrics: Metrics
    connections: ConnectionTable = attrs.field(factory=ConnectionTable)
    load: LoadTable = attrs.field(factory=LoadTable)
    open_calls: int = 0
    stopping: bool = False


@attrs.frozen
class Call:
    """One call of a caller."""

    method: str
    path: str
    target: str
    headers: dict[str, str]
    body: bytes | None
    key: str


def build_application(proxy: Proxy) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the caller port."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        started = perf_counter()
        proxy.open_calls += 1
        try:
            return _serve(proxy, environ, start_response)
        except CallError as error:
            proxy.metrics.counters["refusals"].inc()
            return answer_refusal(start_response, error.code, error.message)
        finally:
            proxy.open_calls -= 1
            proxy.metrics.latency.record_value(int((perf_counter() - started) * 1e6))

    return application


def _serve(proxy: Proxy, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    target = _route(proxy, environ["REQUEST_METHOD"], environ["PATH_INFO"])
    call = _read_call(environ, target)
    if not target.route.idempotent:
        _claim(proxy, target, call)
    response, body = _forward(proxy, target, call)
    headers = [
        (name, value) for name, value in response.headers.items() if name.lower() not in HOP_HEADERS
    ]
    headers.append(("Content-Length", str(len(body))))
    start_response(f"{response.status} {response.reason}", headers)
    proxy.metrics.counters["calls"].inc()
    return [body]


def _route(proxy: Proxy, method: str, path: str) -> RouteTarget:
    applied = proxy.node.configuration.applied
    if applied is None or proxy.stopping:
        raise CallError(ErrorCode.NOT_READY, "no configuration is in force on this daemon")
    target = find_route(applied.routes, method, path)
    if target is None:
        raise CallError(ErrorCode.ROUTE_UNKNOWN, f"{method} {path}")
    return target


def _read_call(environ: dict[str, Any], target: RouteTarget) -> Call:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > target.service.limits.max_body_bytes:
        raise CallError(ErrorCode.BODY_TOO_LARGE, f"{length} bytes")
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if not target.route.idempotent and not key:
        raise CallError(ErrorCode.KEY_MISSING, "this route needs an Idempotency-Key header")
    path = environ["PATH_INFO"]
    query = environ.get("QUERY_STRING", "")
    body = environ["wsgi.input"].read(length) if length else None
    headers = _read_headers(environ)
    full = f"{path}?{query}" if query else path
    return Call(environ["REQUEST_METHOD"], path, full, headers, body, key)


def _read_headers(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return {name: value for name, value in headers.items() if name.lower() not in HOP_HEADERS}


def _claim(proxy: Proxy, target: RouteTarget, call: Call) -> None:
    try:
        claim_key(proxy.store, target.service.service, call.key, call.body or b"")
    except StoreError as error:
        raise CallError(ErrorCode.NOT_RUN, error.message) from error


def _forward(proxy: Proxy, target: RouteTarget, call: Call) -> tuple[BaseHTTPResponse, bytes]:
    deadline = monotonic() + target.route.deadline_ms / 1000
    node = proxy.node
    tried: list[str] = []
    for _ in range(MAX_ATTEMPTS):
        servers = list_servers(node, target.service.service, target.service.serving)
        server = pick_server(servers, node.own.data_centre, proxy.load, node.random, tried)
        if server is None:
            break
        tried.append(server.server_address)
        try:
            return _exchange(proxy, server, call, deadline - monotonic())
        except urllib3.exceptions.NewConnectionError:
            continue
        except (urllib3.exceptions.HTTPError, OSError) as error:
            drop_kin(proxy.connections, server.server_address)
            if not target.route.idempotent:
                message = f"{server.server_address}: {error}"
                raise CallError(ErrorCode.OUTCOME_UNKNOWN, message) from error
    if not tried:
        raise CallError(ErrorCode.NO_SERVER, f"no backend server of {target.service.service}")
    raise CallError(ErrorCode.NOT_RUN, "no backend server could be reached")


def _exchange(
    proxy: Proxy, server: MemberRecord, call: Call, timeout_s: float
) -> tuple[BaseHTTPResponse, bytes]:
    address = server.server_address
    in_flight = proxy.load.in_flight
    connection = take_connection(proxy.connections, address, max(timeout_s, 0.001))
    in_flight[address] = in_flight.get(address, 0) + 1
    try:
        response = send_request(connection, call.method, call.target, call.headers, call.body)
        body = response.read(decode_content=False)
    except BaseException:
        connection.close()
        raise
    finally:
        in_flight[address] -= 1
    give_back(proxy.connections, address, connection)
    return response, body
