"""The forwarder: picks backend servers for a call until one of them has answered."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from .balancer import pick_server
from .codes import ErrorCode
from .errors import CallError
from .exchange import exchange_call
from .outcomes import DID_NOT_RUN, Outcome, OutcomeKind
from .releases import choose_release
from .servers import find_group

if TYPE_CHECKING:
    from .call import Call
    from .exchange import Answer, Exchange
    from .messages import MemberRecord
    from .proxy import Proxy
    from .routing import RouteTarget

MAX_ATTEMPTS = 3


def forward_call(proxy: Proxy, target: RouteTarget, call: Call) -> Answer:
    """Run a call on a backend server.

    Args:
        proxy: The daemon's serving state.
        target: The route of the call.
        call: The call; its key is claimed where the route needs it.

    Returns:
        The whole answer.

    Raises:
        CallError: `NO_SERVER` or `NOT_RUN` where the call did not run, `OUTCOME_UNKNOWN` where
            it may have.
    """
    node = proxy.node
    release = choose_release(node, target.service)
    tried: list[str] = []
    last: Exchange | None = None
    for _ in range(MAX_ATTEMPTS):
        now = monotonic() + proxy.clock_offset
        group = find_group(proxy.servers, node, target.service.service, release, now)
        server = pick_server(group, proxy.load, node.random, tried)
        if server is None:
            break
        tried.append(server.server_address)
        last = _attempt(proxy, target, server, call)
        if last.answer is not None and last.kind is not OutcomeKind.SHED:
            return last.answer
        if last.kind not in DID_NOT_RUN and not target.route.idempotent:
            raise CallError(ErrorCode.OUTCOME_UNKNOWN, last.problem)
    if last is None:
        raise CallError(ErrorCode.NO_SERVER, f"no backend server of {target.service.service}")
    if last.kind in DID_NOT_RUN:
        raise CallError(ErrorCode.NOT_RUN, "no backend server could run the call")
    raise CallError(ErrorCode.OUTCOME_UNKNOWN, last.problem)


def _attempt(proxy: Proxy, target: RouteTarget, server: MemberRecord, call: Call) -> Exchange:
    address = server.server_address
    in_flight = proxy.load.in_flight
    in_flight[address] = in_flight.get(address, 0) + 1
    started = monotonic()
    try:
        result = exchange_call(proxy.connections, address, call, call.deadline - started)
    finally:
        in_flight[address] -= 1
    ended = monotonic()
    outcome = Outcome(
        service=target.service.service,
        route=target.route.name,
        release=server.release,
        server_address=address,
        kind=result.kind,
        ended_at=ended + proxy.clock_offset,
        seconds=ended - started,
    )
    proxy.record(outcome)
    return result
