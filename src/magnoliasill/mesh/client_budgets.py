"""Budgets for what clients occupy in a process: connections and bytes of incomplete bodies.

All clients on a VM share its address, so that each connection counts for itself.
"""

from __future__ import annotations

from heapq import nlargest
from math import inf
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

UNKNOWN_MEMORY_BUDGET_BYTES = 64_000_000
MEMORY_SHARE = 0.1  # of the VM's memory, for bytes of incomplete bodies
DESCRIPTOR_SHARE = 0.75  # the others are for connections to servers, sidecars and the store
CONNECTION_MEMORY_SHARE = 0.5  # of the VM's memory, for connections themselves
CONNECTION_BYTES = 32_000  # 23 kB were measured when idle, 30 kB with a body that is arriving
UNKNOWN_MEMORY_CONNECTIONS = 4_000  # 120 MB
FREED_SHARE = 0.1  # of a budget, freed at once, so that the choice is not made at each read
CROWDED_SHARE = 0.5  # of the budget for memory in use
STALLED_S = 0.1  # without a byte, of a body that is kept for a second attempt
STREAM_STALLED_S = 1.0  # of one that is passed on; uploads over slow links do not pause longer
MAX_WAIT_S = 10.0  # for the next bytes of a body
MIN_RATE_BYTES_PER_S = 1_000.0
MIN_RATE_AFTER_S = 5.0


@attrs.define(eq=False)
class IncompleteBody:
    """A request body, or head, that has not arrived completely.

    Attributes:
        length: Its length in bytes, or None if it is not known.
        received: The bytes that have arrived.
        held: The bytes of it that are in memory.
        waited_s: How long its reader has waited for the client, until the present wait.
        waiting_since: When the present wait began, or None if nothing is being read.
    """

    length: int | None
    received: int = 0
    held: int = 0
    waited_s: float = 0.0
    waiting_since: float | None = None


@attrs.define(eq=False)
class ClientConnection:
    """A client's connection.

    Attributes:
        sock: Identifies the connection to whoever closes it.
        idle_since: When it was opened or its latest request ended.
        complete_requests: The requests that have arrived completely and are not answered yet.
        served: Whether a request on it has been answered.
        body: The body that is arriving, or None.
        closed_for: The budget for which it is being closed, or an empty string.
    """

    sock: Any
    idle_since: float
    complete_requests: int = 0
    served: bool = False
    body: IncompleteBody | None = None
    closed_for: str = ""


@attrs.define
class ClientBudgets:
    """The budgets of a process and what is used of them.

    Attributes:
        max_held: The bytes of incomplete bodies that may be in memory.
        max_connections: The number of connections that may be open.
        held: The bytes of incomplete bodies in memory.
        closing_held: Those of them that are given up soon, since their connections are closed.
        connections: The open connections, except those that are being closed.
    """

    max_held: int
    max_connections: int
    held: int = 0
    closing_held: int = 0
    connections: set[ClientConnection] = attrs.field(factory=set)


def size_memory_budget(memory_mb: float) -> int:
    """Return the bytes that incomplete bodies may occupy.

    Args:
        memory_mb: The memory of the VM in MB, or 0 if it is not known.
    """
    return int(memory_mb * 1e6 * MEMORY_SHARE) if memory_mb > 0 else UNKNOWN_MEMORY_BUDGET_BYTES


def size_connection_budget(memory_mb: float, *descriptor_limits: int) -> int:
    """Return how many connections clients may have.

    Args:
        memory_mb: The memory of the VM in MB, or 0 if it is not known.
        *descriptor_limits: The limits on descriptors that apply, each 0 if it is not known.
    """
    budgets = [int(limit * DESCRIPTOR_SHARE) for limit in descriptor_limits if limit > 0]
    affordable = int(memory_mb * 1e6 * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)
    return min([*budgets, affordable if memory_mb > 0 else UNKNOWN_MEMORY_CONNECTIONS])


def add_connection(
    budgets: ClientBudgets, connection: ClientConnection, now: float
) -> list[ClientConnection]:
    """Add a connection; return those to close to stay within the budget, maybe this one.

    Args:
        budgets: The budgets.
        connection: The new connection.
        now: Seconds on the monotonic clock.
    """
    budgets.connections.add(connection)
    excess = len(budgets.connections) - budgets.max_connections
    if excess <= 0:
        return []
    count = max(excess, int(budgets.max_connections * FREED_SHARE))
    others = (found for found in budgets.connections if found is not connection)
    chosen = _choose(others, lambda found: _rank_connection(found, now), count)
    return _close(budgets, chosen or [connection], "connections")


def remove_connection(budgets: ClientBudgets, connection: ClientConnection) -> None:
    """Remove a connection that has ended, with the bytes that it holds."""
    end_body(budgets, connection)
    budgets.connections.discard(connection)


def hold_bytes(
    budgets: ClientBudgets, connection: ClientConnection, count: int, now: float
) -> list[ClientConnection]:
    """Count bytes of an incomplete body that are kept; return the connections to close.

    Args:
        budgets: The budgets.
        connection: The connection that the bytes came on, with a body.
        count: The number of bytes, negative if they are given up.
        now: Seconds on the monotonic clock.
    """
    if connection.body is None or connection.closed_for:
        return []
    connection.body.held += count
    budgets.held += count
    if budgets.held - budgets.closing_held <= budgets.max_held:
        return []
    excess = budgets.held - budgets.closing_held - int(budgets.max_held * (1 - FREED_SHARE))
    holding = [
        found
        for found in budgets.connections
        if found.body is not None and found.body.held and not found.complete_requests
    ]
    holding.sort(key=lambda found: rank_body(found.body, now), reverse=True)
    chosen = []
    for found in holding:
        if excess <= 0:
            break
        chosen.append(found)
        excess -= found.body.held if found.body else 0
    return _close(budgets, chosen, "memory")


def end_body(budgets: ClientBudgets, connection: ClientConnection) -> None:
    """Stop counting the bytes of a body, which is complete or was given up."""
    if connection.body is not None:
        budgets.held -= connection.body.held
        if connection.closed_for:
            budgets.closing_held -= connection.body.held
        connection.body = None


def is_crowded(budgets: ClientBudgets) -> bool:
    """Return whether bodies must be read in small pieces in turn, so that closed ones end first."""
    return budgets.held > budgets.max_held * CROWDED_SHARE


def rank_body(body: IncompleteBody, now: float) -> tuple[float, bool, float]:
    """Return how far behind a body is; the largest value is furthest behind.

    First counts its stall in seconds, then whether nothing of it was passed on yet, then the
    seconds to its end. A body of unknown length is taken to be half there.
    """
    wait_s = 0.0 if body.waiting_since is None else now - body.waiting_since
    is_passed_on = body.received > body.held
    left = body.received if body.length is None else body.length - body.received
    left_s = left * (body.waited_s + wait_s) / body.received if body.received else inf
    is_stalled = wait_s >= (STREAM_STALLED_S if is_passed_on else STALLED_S)
    return (wait_s if is_stalled else 0.0, not is_passed_on, left_s)


def find_time_left(body: IncompleteBody) -> float:
    """Return for how many seconds the next bytes of a body may be waited for, 0 if it is too slow.

    Only the time counts in which its reader waits for the client: a body that the backend server
    takes slowly is not the client's fault.
    """
    allowed_s = max(MIN_RATE_AFTER_S, body.received / MIN_RATE_BYTES_PER_S)
    return max(min(MAX_WAIT_S, allowed_s - body.waited_s), 0.0)


def _rank_connection(connection: ClientConnection, now: float) -> tuple[int, float] | None:
    """Return how far behind a connection is, or None if it must not be closed.

    First come those that have never sent a complete request, and bodies that stall, then idle
    connections, then bodies that arrive.
    """
    if connection.complete_requests:
        return None
    idle_s = now - connection.idle_since
    if connection.body is None:
        return (1 if connection.served else 2, idle_s)
    if connection.body.waiting_since is None:
        return None  # its reader waits for a backend server, not for the client
    stall_s, _, left_s = rank_body(connection.body, now)
    return (2, stall_s) if stall_s else (0, left_s)


def _choose(connections: Iterable[ClientConnection], rank: Any, count: int) -> list[Any]:
    ranked = ((rank(found), found) for found in connections)
    candidates = [pair for pair in ranked if pair[0] is not None]
    return [found for _, found in nlargest(count, candidates, key=lambda pair: pair[0])]


def _close(
    budgets: ClientBudgets, chosen: list[ClientConnection], budget: str
) -> list[ClientConnection]:
    for connection in chosen:
        connection.closed_for = budget
        budgets.connections.discard(connection)
        budgets.closing_held += connection.body.held if connection.body else 0
    return chosen
