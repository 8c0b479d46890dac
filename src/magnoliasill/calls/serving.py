"""What serving calls needs: the tables, the links and the counters of one daemon."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

import attrs

from ..claims.idempotency import PeerMessaging
from ..takeovers.tally import count_attempt
from .connections import ConnectionTable
from .dispatch import Dispatcher
from .exchange import exchange_call

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.actions import Log
    from ..core.node import Node
    from ..core.outcomes import Outcome
    from ..process.metrics import Metrics
    from ..store import StoreFunction
    from .disconnects import OpenCall
    from .exchange import ExchangeFunction


@attrs.define
class Proxy:
    """What serving calls needs.

    Attributes:
        node: The node's tables.
        store: Performs requests to the platform's store.
        metrics: The daemon's metrics.
        clock_offset: Added to the monotonic clock, it gives the node's clock.
        connections: Idle connections to backend servers.
        dispatcher: Finds room at backend servers.
        notify: Writes a log event.
        exchange: Sends a call to one backend server.
        clock: The monotonic clock, in seconds.
        peers: Reaches other daemons for calls that must not be repeated.
        watched: Calls that end when their callers go away.
        open_calls: Calls that are being served.
        stopping: Whether the daemon takes no more calls.
    """

    node: Node
    store: StoreFunction
    metrics: Metrics
    clock_offset: float = 0.0
    connections: ConnectionTable = attrs.field(factory=ConnectionTable)
    dispatcher: Dispatcher = attrs.field(factory=Dispatcher)
    notify: Callable[[Log], None] = lambda entry: None
    exchange: ExchangeFunction = exchange_call
    clock: Callable[[], float] = monotonic
    peers: PeerMessaging = attrs.field(factory=lambda: PeerMessaging(lambda address, message: None))
    watched: set[OpenCall] = attrs.field(factory=set)
    open_calls: int = 0
    stopping: bool = False

    def record(self, outcome: Outcome) -> None:
        """Count the end of one attempt, for balancing and for the evidence on releases."""
        self.metrics.count("attempts", outcome.kind.value)
        self.metrics.observe("attempt_seconds", outcome.seconds)
        takeover = self.node.takeovers.active.get(outcome.service)
        if takeover is not None:
            count_attempt(takeover.tally, outcome)
