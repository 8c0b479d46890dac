"""The guard around exchanges: refuses a request that crashed backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import ErrorCode
from ..core.outcomes import OutcomeKind
from ..errors import CallError
from .crashes import clear_suspect, digest_fingerprint, is_blocked, record_crash
from .exchange import probe_server
from .uploads import sample_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.actions import Action
    from ..core.node import Node
    from .call import Call
    from .connections import ConnectionPool
    from .exchange import Exchange, ExchangeFunction


def guard_exchange(
    node: Node,
    exchange: ExchangeFunction,
    clock: Callable[[], float],
    carry_out: Callable[[Action], None],
) -> ExchangeFunction:
    """Return an exchange function that counts and refuses requests which crash their servers.

    Args:
        node: The node's tables.
        exchange: Sends a call to one backend server.
        clock: The node's clock, in seconds.
        carry_out: Carries out what the node asks for.
    """

    def guarded(
        connections: ConnectionPool, address: str, call: Call, timeout_s: float
    ) -> Exchange:
        if node.crashes.suspects:
            refuse_crashing(node, call, clock())
        result = exchange(connections, address, call, timeout_s)
        if result.kind is OutcomeKind.BROKEN:
            if not probe_server(address):
                for action in record_crash(node, clock(), _fingerprint(call), address):
                    carry_out(action)
        elif result.answer is not None and node.crashes.suspects:
            clear_suspect(node.crashes, _fingerprint(call))
        return result

    return guarded


def refuse_crashing(node: Node, call: Call, now: float) -> None:
    """Refuse a call that is blocked at present.

    Raises:
        CallError: `REQUEST_CRASHES`, which is final for the caller.
    """
    if is_blocked(node.crashes, now, _fingerprint(call)):
        raise CallError(ErrorCode.REQUEST_CRASHES, "backend servers crashed while running it")


def _fingerprint(call: Call) -> bytes:
    return digest_fingerprint(call.method, call.target, sample_body(call.body))
