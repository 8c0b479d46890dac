"""Dispatch: finds room for an attempt at a backend server, or refuses the call at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..balancing.admission import ServiceLoad, choose_retry_after, count_admitted, may_wait
from ..balancing.balancer import LoadTable, Pick, Question, list_upstreams, pick_server
from ..balancing.upstreams import forget_upstreams
from ..codes import ErrorCode
from ..errors import CallError
from ..membership.servers import ServerIndex, find_group, list_addresses
from ..takeovers.shares import focus_servers
from .waiting import WaitingTable, wait_for_room, wake_next

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..balancing.upstreams import Upstream
    from ..core.node import Node
    from ..membership.servers import ServerGroup
    from ..versions.service_file import ServiceFile

WAIT_STEP_S = 0.05
UPSTREAM_CLEANUP_INTERVAL_S = 60.0


@attrs.define
class Dispatcher:
    """What finding room needs.

    Attributes:
        servers: The index of backend servers.
        load: What is known of the backend servers.
        services: The load of each service.
        waiting: Calls that wait for room.
        forgot_at: When unused entries were last dropped, in seconds of the node's clock.
    """

    servers: ServerIndex = attrs.field(factory=ServerIndex)
    load: LoadTable = attrs.field(factory=LoadTable)
    services: dict[str, ServiceLoad] = attrs.field(factory=dict)
    waiting: WaitingTable = attrs.field(factory=WaitingTable)
    forgot_at: float = 0.0


@attrs.frozen
class DispatchRequest:
    """A call's need of room for its next attempt.

    Attributes:
        service: The service.
        release: The release that the call goes to.
        cold_start_s: The length of the release's cold start.
        deadline: Seconds on the monotonic clock by which the caller needs the answer.
        clock: The monotonic clock, in seconds.
        clock_offset: Added to the monotonic clock, it gives the node's clock.
    """

    service: ServiceFile
    release: str
    cold_start_s: float
    deadline: float
    clock: Callable[[], float]
    clock_offset: float


def find_service_load(dispatcher: Dispatcher, service: str) -> ServiceLoad:
    """Return the load of a service, from zero at its first call."""
    load = dispatcher.services.get(service)
    if load is None:
        load = dispatcher.services[service] = ServiceLoad()
    return load


def list_tracked_upstreams(dispatcher: Dispatcher) -> list[Upstream]:
    """Return what is known of every backend server that calls have considered."""
    return list(dispatcher.load.upstreams.entries.values())


def find_servers(
    dispatcher: Dispatcher, node: Node, request: DispatchRequest, now: float
) -> ServerGroup:
    """Return the backend servers that a request may go to."""
    index = dispatcher.servers
    name = request.service.service
    group = find_group(index, node, name, request.release, now)
    if now - dispatcher.forgot_at >= UPSTREAM_CLEANUP_INTERVAL_S:
        dispatcher.forgot_at = now
        forget_upstreams(dispatcher.load.upstreams, list_addresses(index), now)
    return focus_servers(node, name, request.release, group)


def acquire_server(
    dispatcher: Dispatcher, node: Node, request: DispatchRequest, tried: list[str]
) -> Pick:
    """Find a backend server with room, waiting within the service's bound.

    Args:
        dispatcher: The tables.
        node: The node's tables.
        request: What the call needs.
        tried: Addresses that the call has already been sent to.

    Returns:
        The choice; its backend server counts one more request in flight.

    Raises:
        CallError: `OVERLOADED` where there was no room in time, `NO_SERVER` where no backend
            server is left; the attempt did not run.
    """
    name = request.service.service
    load = find_service_load(dispatcher, name)
    started = now = request.clock()
    until = min(started + request.service.limits.queue_wait_ms / 1000, request.deadline)
    woken = False
    while True:
        pick = Pick(known=True)
        if woken or not load.waiting:
            pick = _pick(dispatcher, node, request, tried, now)
        if pick.upstream is not None:
            pick.upstream.in_flight += 1
            count_admitted(load, now + request.clock_offset)
            if load.waiting:
                wake_next(dispatcher.waiting, name)
            return pick
        if not pick.known:
            raise CallError(ErrorCode.NO_SERVER, f"no backend server of {name} is left")
        if now >= until or (now == started and not _may_wait(dispatcher, node, request, now)):
            wake_next(dispatcher.waiting, name)
            seconds = delay_return(dispatcher, node, request, now)
            message = f"no room at the backend servers of {name}"
            raise CallError(ErrorCode.OVERLOADED, message, retry_after_s=seconds)
        _wait(dispatcher, request, load, min(until, pick.room_at - request.clock_offset) - now)
        now = request.clock()
        woken = True


def delay_return(dispatcher: Dispatcher, node: Node, request: DispatchRequest, now: float) -> int:
    """Return the seconds after which the caller of a refused call may return."""
    load = find_service_load(dispatcher, request.service.service)
    return choose_retry_after(load, now + request.clock_offset, node.random)


def _pick(
    dispatcher: Dispatcher, node: Node, request: DispatchRequest, tried: list[str], now: float
) -> Pick:
    node_now = now + request.clock_offset
    group = find_servers(dispatcher, node, request, node_now)
    question = Question(node_now, request.service.limits.slots, request.cold_start_s, tried)
    return pick_server(group, dispatcher.load, question, node.random)


def _may_wait(dispatcher: Dispatcher, node: Node, request: DispatchRequest, now: float) -> bool:
    node_now = now + request.clock_offset
    group = find_servers(dispatcher, node, request, node_now)
    upstreams = list_upstreams(group, dispatcher.load, request.service.limits.slots, node_now)
    load = find_service_load(dispatcher, request.service.service)
    return may_wait(load, upstreams, request.service.limits.queue_wait_ms / 1000)


def _wait(
    dispatcher: Dispatcher, request: DispatchRequest, load: ServiceLoad, seconds: float
) -> None:
    load.waiting += 1
    try:
        wait_for_room(dispatcher.waiting, request.service.service, min(seconds, WAIT_STEP_S))
    finally:
        load.waiting -= 1
