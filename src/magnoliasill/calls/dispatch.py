"""Dispatch: selects a backend server with free capacity for each attempt of a call.

If no server has capacity, the call waits within its service's bound or is rejected immediately.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..balancing.admission import ServiceLoad, choose_retry_after, count_admitted, may_queue
from ..balancing.balancer import LoadTable, Pick, PlacementContext, list_upstreams, pick_server
from ..balancing.upstreams import remove_stale_upstreams
from ..codes import ErrorCode
from ..errors import CallError
from ..membership.server_index import ServerIndex, find_group, list_addresses
from ..takeovers.shares import limit_servers
from .wait_queues import WaitQueues, wait_for_capacity, wake_next

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..balancing.upstreams import Upstream
    from ..core.node import Node
    from ..membership.server_index import ServerGroup
    from ..versions.service_file import ServiceFile

RECHECK_INTERVAL_S = 0.05
UPSTREAM_CLEANUP_INTERVAL_S = 60.0


@attrs.define
class Dispatcher:
    """The state that selecting backend servers needs.

    Attributes:
        servers: The index of backend servers.
        load: The observed load of the backend servers.
        services: The load of each service.
        waiting: Calls that wait for capacity.
        upstreams_cleaned_at: When unused upstreams were last removed, in seconds of the node's
            clock.
    """

    servers: ServerIndex = attrs.field(factory=ServerIndex)
    load: LoadTable = attrs.field(factory=LoadTable)
    services: dict[str, ServiceLoad] = attrs.field(factory=dict)
    waiting: WaitQueues = attrs.field(factory=WaitQueues)
    upstreams_cleaned_at: float = 0.0


@attrs.frozen
class DispatchRequest:
    """What a call requires of the backend server for its next attempt.

    Attributes:
        service: The service file of the service.
        release: The release that the call goes to.
        cold_start_s: The duration of the release's cold start.
        deadline: Seconds on the monotonic clock by which the caller needs the response.
        clock: The monotonic clock, in seconds.
        clock_offset: The node's clock minus the monotonic clock, in seconds.
    """

    service: ServiceFile
    release: str
    cold_start_s: float
    deadline: float
    clock: Callable[[], float]
    clock_offset: float


def find_service_load(dispatcher: Dispatcher, service: str) -> ServiceLoad:
    """Return the load of a service; it is created at the first call."""
    load = dispatcher.services.get(service)
    if load is None:
        load = dispatcher.services[service] = ServiceLoad()
    return load


def list_tracked_upstreams(dispatcher: Dispatcher) -> list[Upstream]:
    """Return the upstreams of all backend servers that have been considered for calls."""
    return list(dispatcher.load.upstreams.entries.values())


def find_servers(
    dispatcher: Dispatcher, node: Node, request: DispatchRequest, now: float
) -> ServerGroup:
    """Return the backend servers that may handle a request."""
    index = dispatcher.servers
    name = request.service.service
    group = find_group(index, node, name, request.release, now)
    if now - dispatcher.upstreams_cleaned_at >= UPSTREAM_CLEANUP_INTERVAL_S:
        dispatcher.upstreams_cleaned_at = now
        remove_stale_upstreams(dispatcher.load.upstreams, list_addresses(index), now)
    return limit_servers(node, name, request.release, group)


def acquire_server(
    dispatcher: Dispatcher, node: Node, request: DispatchRequest, tried: list[str]
) -> Pick:
    """Select a backend server with free capacity, waiting for one within the service's bound.

    Args:
        dispatcher: The dispatcher's state.
        node: The node's state.
        request: What the call requires.
        tried: Addresses that the call has already been sent to.

    Returns:
        The selected server, whose count of requests in flight has been incremented.

    Raises:
        CallError: `OVERLOADED` if no server had capacity in time, `NO_SERVER` if there is no
            backend server to try. The attempt did not run.
    """
    name = request.service.service
    load = find_service_load(dispatcher, name)
    started = now = request.clock()
    wait_until = min(started + request.service.limits.queue_wait_ms / 1000, request.deadline)
    woken = False
    while True:
        pick = Pick(has_candidates=True)
        if now < request.deadline and (woken or not load.waiting):
            pick = _pick(dispatcher, node, request, tried, now)
        if pick.upstream is not None:
            pick.upstream.in_flight += 1
            count_admitted(load, now + request.clock_offset)
            if load.waiting:
                wake_next(dispatcher.waiting, name)
            return pick
        if not pick.has_candidates:
            raise CallError(ErrorCode.NO_SERVER, f"no backend server of {name} available")
        if now >= wait_until or (now == started and not _may_wait(dispatcher, node, request, now)):
            wake_next(dispatcher.waiting, name)
            seconds = compute_retry_after(dispatcher, node, request, now)
            message = f"no capacity at the backend servers of {name}"
            raise CallError(ErrorCode.OVERLOADED, message, retry_after_s=seconds)
        _wait(
            dispatcher,
            request,
            load,
            min(wait_until, pick.backoff_ends_at - request.clock_offset) - now,
        )
        now = request.clock()
        woken = True


def compute_retry_after(
    dispatcher: Dispatcher, node: Node, request: DispatchRequest, now: float
) -> int:
    """Count a rejected call and return the seconds after which its caller may retry."""
    load = find_service_load(dispatcher, request.service.service)
    return choose_retry_after(load, now + request.clock_offset, node.random)


def _pick(
    dispatcher: Dispatcher, node: Node, request: DispatchRequest, tried: list[str], now: float
) -> Pick:
    node_now = now + request.clock_offset
    group = find_servers(dispatcher, node, request, node_now)
    context = PlacementContext(node_now, request.service.limits.slots, request.cold_start_s, tried)
    return pick_server(group, dispatcher.load, context, node.random)


def _may_wait(dispatcher: Dispatcher, node: Node, request: DispatchRequest, now: float) -> bool:
    node_now = now + request.clock_offset
    group = find_servers(dispatcher, node, request, node_now)
    upstreams = list_upstreams(group, dispatcher.load, request.service.limits.slots, node_now)
    load = find_service_load(dispatcher, request.service.service)
    return may_queue(load, upstreams, request.service.limits.queue_wait_ms / 1000)


def _wait(
    dispatcher: Dispatcher, request: DispatchRequest, load: ServiceLoad, seconds: float
) -> None:
    load.waiting += 1
    try:
        wait_for_capacity(
            dispatcher.waiting, request.service.service, min(seconds, RECHECK_INTERVAL_S)
        )
    finally:
        load.waiting -= 1
