"""Detects calls during which backend servers crash, and rejects such calls once blocked."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import ErrorCode
from ..core.outcomes import OutcomeKind
from ..errors import CallError
from .crash_table import compute_fingerprint, is_blocked
from .crashes import record_answer, record_crash
from .exchange import probe_server
from .uploads import sample_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.actions import Action
    from ..core.node import Node
    from .call import Call
    from .connections import ConnectionPool
    from .exchange import ExchangeFunction, ExchangeResult


def guard_exchange(
    node: Node,
    exchange: ExchangeFunction,
    clock: Callable[[], float],
    execute_action: Callable[[Action], None],
) -> ExchangeFunction:
    """Wrap an exchange function so that it records crashes and rejects blocked requests.

    Args:
        node: The node's state.
        exchange: Sends a call to one backend server.
        clock: The node's clock, in seconds.
        execute_action: Carries out an action that the node returns.
    """

    def exchange_guarded(
        pool: ConnectionPool, address: str, call: Call, timeout_s: float
    ) -> ExchangeResult:
        if node.crashes.suspects:
            reject_blocked_call(node, call, clock())
        result = exchange(pool, address, call, timeout_s)
        if result.kind is OutcomeKind.BROKEN:
            if not probe_server(address):
                for action in record_crash(node, clock(), _fingerprint(call), address):
                    execute_action(action)
        elif result.response is not None and node.crashes.suspects:
            record_answer(node.crashes, clock(), _fingerprint(call))
        return result

    return exchange_guarded


def reject_blocked_call(node: Node, call: Call, now: float) -> None:
    """Reject a call whose request is currently blocked.

    Raises:
        CallError: `REQUEST_CRASHES`; the caller should not retry.
    """
    if is_blocked(node.crashes, now, _fingerprint(call)):
        raise CallError(
            ErrorCode.REQUEST_CRASHES, "backend servers crashed while running this request"
        )


def _fingerprint(call: Call) -> bytes:
    return compute_fingerprint(call.method, call.target, sample_body(call.body))
