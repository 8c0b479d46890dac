"""Enforces the budgets for clients at the connections of a process, on all of its ports."""

from __future__ import annotations

import socket
from collections import Counter
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING, Any

import eventlet

from ..mesh.client_budgets import (
    UNKNOWN_MEMORY_BUDGET_BYTES,
    UNKNOWN_MEMORY_CONNECTIONS,
    ClientBudgets,
    ClientConnection,
    IncompleteBody,
    add_connection,
    end_body,
    hold_bytes,
    is_crowded,
    remove_connection,
)

if TYPE_CHECKING:
    from collections.abc import Callable

BUDGETS = ("connections", "framing", "head_time", "memory", "rate", "stall")
CLOSING_CONNECTIONS = 64  # closed ones whose threads have not ended yet, beyond the budget
REPORT_INTERVAL_S = 1.0


class ClientConnections:
    """The connections of clients, which are closed to stay within the budgets.

    Attributes:
        budgets: The budgets and their use.
    """

    def __init__(
        self,
        max_held: int = UNKNOWN_MEMORY_BUDGET_BYTES,
        max_connections: int = UNKNOWN_MEMORY_CONNECTIONS,
        count: Callable[[str], None] = lambda budget: None,
        report: Callable[[dict[str, int]], None] = lambda counts: None,
    ) -> None:
        """Create the state without connections.

        Args:
            max_held: The bytes of incomplete bodies that may be in memory.
            max_connections: The number of connections that may be open.
            count: Counts a client that was turned away, by budget.
            report: Logs how many clients were turned away, by budget.
        """
        self.budgets = ClientBudgets(max_held, max_connections)
        self._count = count
        self._report = report
        self._unreported: Counter[str] = Counter()

    def open(self, sock: Any) -> ClientConnection:
        """Register a connection; it is closed at once if no other one can be."""
        connection = ClientConnection(sock, monotonic())
        self._close(add_connection(self.budgets, connection, connection.idle_since))
        return connection

    def close(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        remove_connection(self.budgets, connection)

    def begin_body(self, connection: ClientConnection, length: int | None) -> IncompleteBody:
        """Register a request whose body is still to arrive."""
        body = connection.body = IncompleteBody(length)
        return body

    def begin_head(self, connection: ClientConnection) -> None:
        """Register a request whose head is still to arrive; it counts like a body."""
        self.begin_body(connection, None).waiting_since = monotonic()

    def end_head(self, connection: ClientConnection) -> None:
        """Note that a head has arrived or was given up."""
        end_body(self.budgets, connection)

    def hold(self, connection: ClientConnection, count: int) -> None:
        """Count bytes of the body that are kept in memory, or given up if negative."""
        self._close(hold_bytes(self.budgets, connection, count, monotonic()))

    def is_crowded(self) -> bool:
        """Return whether each read of a body should let other threads run."""
        return is_crowded(self.budgets)

    def complete_request(self, connection: ClientConnection, body: IncompleteBody | None) -> None:
        """Note that a request has arrived completely, so that its connection is not closed.

        Args:
            connection: The connection.
            body: The body that has arrived, or None if the request has none.
        """
        self._end_body(connection, body)
        connection.complete_requests += 1

    def end_request(
        self, connection: ClientConnection, was_complete: bool, body: IncompleteBody | None
    ) -> None:
        """Note that a request was answered.

        Args:
            connection: The connection.
            was_complete: Whether the whole request had arrived.
            body: Its body, or None if it has none.
        """
        self._end_body(connection, body)
        connection.complete_requests -= was_complete
        connection.served |= was_complete
        connection.idle_since = monotonic()

    def _end_body(self, connection: ClientConnection, body: IncompleteBody | None) -> None:
        """Stop counting a body, unless a later request of the connection has replaced it."""
        if body is not None and connection.body is body:
            end_body(self.budgets, connection)

    def turn_away(self, budget: str) -> None:
        """Count a client that was turned away; one line a second logs how many were."""
        self._count(budget)
        if not self._unreported:
            eventlet.spawn_after(REPORT_INTERVAL_S, self._write_report)
        self._unreported[budget] += 1

    def _close(self, connections: list[ClientConnection]) -> None:
        for connection in connections:
            self.turn_away(connection.closed_for)
            close_socket(connection.sock)

    def _write_report(self) -> None:
        counts, self._unreported = dict(self._unreported), Counter()
        self._report(counts)


def close_socket(sock: Any) -> None:
    """End a connection that another thread uses, which then finds that it has ended."""
    with suppress(OSError):  # the client has closed it already
        sock.shutdown(socket.SHUT_RDWR)
