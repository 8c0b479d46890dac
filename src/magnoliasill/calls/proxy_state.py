"""The state of a daemon's proxy, which handles calls: connections, dispatcher and metrics."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

import attrs

from ..claims.idempotency import PeerMessaging
from ..takeovers.call_counts import count_attempt
from .client_connections import ClientConnections
from .connections import ConnectionPool
from .dispatch import Dispatcher
from .exchange import exchange_call

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.actions import Log
    from ..core.node import Node
    from ..core.outcomes import Outcome
    from ..process.metrics import Metrics
    from ..store import StoreFunction
    from .cancellation import WatchedCall
    from .exchange import ExchangeFunction


@attrs.define
class Proxy:
    """The state and the dependencies that handling calls needs.

    Attributes:
        node: The node's state.
        store: Performs requests to the platform's store.
        metrics: The daemon's metrics.
        clock_offset: The node's clock minus the monotonic clock, in seconds.
        connections: The pool of connections to backend servers.
        dispatcher: State for selecting backend servers with free capacity.
        log_event: Writes a log event.
        exchange: Sends a call to one backend server.
        clock: The monotonic clock, in seconds.
        peers: Communicates with other daemons for calls that must run at most once.
        clients: The connections of clients, with the budgets for them.
        watched: Calls that are cancelled when their callers disconnect.
        open_calls: Number of calls in progress.
        stopping: Whether the daemon is shutting down and accepts no more calls.
    """

    node: Node
    store: StoreFunction
    metrics: Metrics
    clock_offset: float = 0.0
    connections: ConnectionPool = attrs.field(factory=ConnectionPool)
    dispatcher: Dispatcher = attrs.field(factory=Dispatcher)
    log_event: Callable[[Log], None] = lambda entry: None
    exchange: ExchangeFunction = exchange_call
    clock: Callable[[], float] = monotonic
    peers: PeerMessaging = attrs.field(factory=lambda: PeerMessaging(lambda address, message: None))
    clients: ClientConnections = attrs.field(factory=ClientConnections)
    watched: set[WatchedCall] = attrs.field(factory=set)
    open_calls: int = 0
    stopping: bool = False

    def record_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of one attempt in the metrics and in the counts of a takeover."""
        self.metrics.count("attempts", outcome.kind.value)
        self.metrics.observe("attempt_seconds", outcome.seconds)
        takeover = self.node.takeovers.active.get(outcome.service)
        if takeover is not None:
            count_attempt(takeover.tally, outcome)
