"""The forwarder: sends a call to a backend server and, if safe, retries it on others."""

from __future__ import annotations

from typing import TYPE_CHECKING
from weakref import finalize

from ..balancing.admission import record_duration
from ..balancing.balancer import list_upstreams
from ..balancing.deadlines import DEADLINE_HEADER
from ..balancing.idle_bounds import SHORT_IDLE_TIMEOUT_S, compute_idle_bound
from ..balancing.limits import adapt_limit, apply_report
from ..balancing.load_reports import read_report
from ..balancing.outliers import count_outcome, eject_outlier, is_short_timeout
from ..balancing.retries import ATTEMPT_HEADER, add_retry_tokens, may_retry
from ..codes import ErrorCode, LogEvent
from ..core.actions import Log
from ..core.outcomes import DID_NOT_RUN, Outcome, OutcomeKind
from ..errors import CallError
from ..membership.server_index import EMPTY_GROUP
from ..takeovers.releases import choose_release
from .dispatch import (
    DispatchRequest,
    acquire_server,
    compute_retry_after,
    find_servers,
    find_service_load,
)
from .wait_queues import wake_next

if TYPE_CHECKING:
    from ..balancing.balancer import Pick
    from ..balancing.upstreams import Upstream
    from ..versions.routing import RouteTarget
    from .call import Call
    from .exchange import CallResponse, ExchangeResult
    from .proxy_state import Proxy

_ANSWERED = frozenset({OutcomeKind.SUCCEEDED, OutcomeKind.FAILED})


def forward_call(proxy: Proxy, target: RouteTarget, call: Call) -> CallResponse:
    """Forward a call to backend servers until one has answered or no retry is allowed.

    Args:
        proxy: The daemon's serving state.
        target: The route of the call.
        call: The call. If its route is not idempotent, the idempotency key is already claimed.

    Returns:
        The backend server's response.

    Raises:
        CallError: `NO_SERVER`, `OVERLOADED` or `NOT_RUN` if the call did not run,
            `OUTCOME_UNKNOWN` if it may have run.
    """
    request = _build_request(proxy, target, call)
    load = find_service_load(proxy.dispatcher, target.service.service)
    add_retry_tokens(load.budget)
    caller_retry = call.headers.get(ATTEMPT_HEADER, "1") != "1"
    tried: list[str] = []
    unknown_outcome = ""
    while True:
        try:
            pick = acquire_server(proxy.dispatcher, proxy.node, request, tried)
        except CallError as error:
            raise _build_error(proxy, request, error, unknown_outcome, tried) from error
        tried.append(pick.record.server_address)
        if len(tried) > 1:
            proxy.metrics.counters["retries"].inc()
        _set_attempt_headers(proxy, call, len(tried), caller_retry)
        result = _attempt(proxy, target, request, pick, call)
        if result.kind in _ANSWERED and result.response is not None:
            return result.response
        if result.kind not in DID_NOT_RUN:
            unknown_outcome = result.problem or result.kind.value
        if not may_retry(
            result.kind, target.route.idempotent, caller_retry, len(tried), load.budget
        ):
            break
    error = CallError(ErrorCode.NOT_RUN, "no backend server could run the call")
    raise _build_error(proxy, request, error, unknown_outcome, tried)


def _build_error(
    proxy: Proxy, request: DispatchRequest, error: CallError, unknown_outcome: str, tried: list[str]
) -> CallError:
    if unknown_outcome:
        return CallError(ErrorCode.OUTCOME_UNKNOWN, unknown_outcome)
    if not tried or error.code is ErrorCode.OVERLOADED:
        return error
    seconds = compute_retry_after(proxy.dispatcher, proxy.node, request, proxy.clock())
    return CallError(ErrorCode.NOT_RUN, error.message, retry_after_s=seconds)


def _build_request(proxy: Proxy, target: RouteTarget, call: Call) -> DispatchRequest:
    service = target.service
    release = choose_release(proxy.node, service, target.route.name)
    cold_start_ms = next((r.cold_start_ms for r in service.releases if r.name == release), 0)
    return DispatchRequest(
        service, release, cold_start_ms / 1000, call.deadline, proxy.clock, proxy.clock_offset
    )


def _set_attempt_headers(proxy: Proxy, call: Call, attempt: int, caller_retry: bool) -> None:
    left_ms = max(int((call.deadline - proxy.clock()) * 1000), 1)
    call.headers[DEADLINE_HEADER] = str(left_ms)
    if not caller_retry and attempt > 1:
        call.headers[ATTEMPT_HEADER] = str(attempt)


def _attempt(
    proxy: Proxy, target: RouteTarget, request: DispatchRequest, pick: Pick, call: Call
) -> ExchangeResult:
    address = pick.record.server_address
    _update_idle_bound(proxy, request, pick)
    started = proxy.clock()
    result = None
    try:
        call.check_caller()
        result = proxy.exchange(proxy.connections, address, call, call.deadline - started)
    finally:
        ended = proxy.clock()
        kind = OutcomeKind.CANCELLED if result is None else result.kind
        outcome = Outcome(
            service=target.service.service,
            route=target.route.name,
            release=pick.record.release,
            server_address=address,
            kind=kind,
            ended_at=ended + proxy.clock_offset,
            seconds=ended - started,
        )
        _record_result(proxy, request, pick, outcome, result)
        proxy.record_outcome(outcome)
    return result


def _update_idle_bound(proxy: Proxy, request: DispatchRequest, pick: Pick) -> None:
    index, upstream, service = proxy.dispatcher.servers, pick.upstream, request.service
    if upstream.bounded_revision == index.revision:
        return
    group = index.groups.get((service.service, request.release), EMPTY_GROUP)
    bound = compute_idle_bound(
        index.position, group, pick.record.name, service.service, service.limits
    )
    proxy.connections.bounds[upstream.address] = bound
    upstream.keeps_connection = bound.seconds > SHORT_IDLE_TIMEOUT_S
    upstream.bounded_revision = index.revision


def _record_result(
    proxy: Proxy,
    request: DispatchRequest,
    pick: Pick,
    outcome: Outcome,
    result: ExchangeResult | None,
) -> None:
    dispatcher, node, now = proxy.dispatcher, proxy.node, outcome.ended_at
    upstream = pick.upstream
    kind = outcome.kind
    if is_short_timeout(kind, outcome.seconds):
        kind = OutcomeKind.CANCELLED
    adapt_limit(upstream, kind, request.service.limits.slots, now, node.random)
    if result is not None and result.response is not None:
        apply_report(upstream, read_report(result.response.headers), now)
    if (
        result is not None
        and result.response is not None
        and result.response.remaining_chunks is not None
    ):
        finalize(
            result.response.remaining_chunks, _release_slot, proxy, upstream, outcome.service
        ).atexit = False
    else:
        _release_slot(proxy, upstream, outcome.service)
    if outcome.kind in _ANSWERED:
        load = find_service_load(dispatcher, outcome.service)
        record_duration(load, outcome.seconds)
    if count_outcome(upstream, kind, now):
        _eject_if_outlier(proxy, request, upstream, now)


def _release_slot(proxy: Proxy, upstream: Upstream, service: str) -> None:
    """Free a slot at a backend server once a response is complete or its stream is discarded."""
    upstream.in_flight -= 1
    wake_next(proxy.dispatcher.waiting, service)


def _eject_if_outlier(
    proxy: Proxy, request: DispatchRequest, upstream: Upstream, now: float
) -> None:
    group = find_servers(proxy.dispatcher, proxy.node, request, now)
    peers = list_upstreams(group, proxy.dispatcher.load, request.service.limits.slots, now)
    if eject_outlier(upstream, peers, now, proxy.node.random):
        fields = {"service": request.service.service, "server": upstream.address}
        proxy.log_event(Log(LogEvent.SERVER_EJECTED, fields))
