"""The daemon's metrics: counters, gauges and latency histograms."""

from __future__ import annotations

from time import perf_counter
from typing import TYPE_CHECKING, Any, get_args

import attrs
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, ProcessCollector

from ..calls.client_connections import BUDGETS
from ..codes import ErrorCode, LogEvent
from ..core.messages import Message
from ..core.outcomes import OutcomeKind
from ..errors import StoreError, StoreOutcomeUnknownError

if TYPE_CHECKING:

    from ..core.actions import StoreAction
    from ..core.events import StoreAnswered
    from ..store import StoreFunction

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

COUNTERS = {
    "calls": "Calls answered by a backend server",
    "cancelled": "Calls whose callers went away first",
    "retries": "Attempts after the first one of a call",
}
LABELLED_COUNTERS = {
    "refusals": ("code", "Calls answered by the daemon itself, by error code"),
    "attempts": ("kind", "Attempts to run a call on a backend server, by their end"),
    "messages_sent": ("kind", "Messages sent to peers, by kind"),
    "message_bytes_sent": ("kind", "Bytes of messages sent to peers, by kind"),
    "messages_received": ("kind", "Messages received from peers, by kind"),
    "message_bytes_received": ("kind", "Bytes of messages received from peers, by kind"),
    "store_reads": ("outcome", "Reads and watches of the platform's store, by outcome"),
    "store_writes": ("outcome", "Other requests to the platform's store, by outcome"),
    "clients_closed": ("budget", "Clients turned away, by the limit they exceeded"),
    "events": ("event", "Log events, by name"),
}
HISTOGRAMS = {
    "call_seconds": "From a call's arrival to its answer",
    "attempt_seconds": "From sending a call to a backend server to the end of the attempt",
    "store_seconds": "From a request to the platform's store to its answer; watches left out",
    "convergence_seconds": "From a publish to its configuration being in force here",
}
GAUGES = {
    "configuration_version": "Configuration version in force",
    "refused_version": "Newer version that was refused whole, or 0",
    "members": "Daemons known as alive or suspect, this one included",
    "relay": "1 while this daemon reads the platform's store for its data centre",
    "store_available": "1 while the platform's store answers this daemon",
    "open_calls": "Calls being served",
    "client_connections": "Connections of clients on the caller and the administration port",
    "incomplete_body_bytes": "Bytes in memory of request bodies that have not arrived completely",
}
READ_ACTIONS = frozenset({"StoreRead", "StoreWatch"})
STORE_OUTCOMES = ("answered", "refused", "failed", "unknown")


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.define
class Metrics:
    """Counters, gauges and histograms of one daemon.

    Attributes:
        registry: The Prometheus registry of the counters and gauges.
        counters: Counters without labels, by short name.
        labelled: The children of each labelled counter, by short name and label value.
        gauges: Gauges by short name; their values are set when the metrics are read.
        histograms: Latency histograms in microseconds, by short name.
    """

    registry: CollectorRegistry
    counters: dict[str, Any]
    labelled: dict[str, dict[str, Any]]
    gauges: dict[str, Gauge]
    histograms: dict[str, HdrHistogram]

    def count(self, name: str, label: str, amount: int = 1) -> None:
        """Increase a labelled counter for one label value."""
        self.labelled[name][label].inc(amount)

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram, limited to the range that the histogram covers."""
        self.histograms[name].record_value(min(max(int(seconds * 1e6), 1), MAX_LATENCY_US))


def build_metrics() -> Metrics:
    """Create the metrics of one daemon, with all counters at zero."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    counters = {
        name: Counter(f"magnoliasill_{name}", meaning, registry=registry)
        for name, meaning in COUNTERS.items()
    }
    labelled = {name: _build_labelled_counter(registry, name) for name in LABELLED_COUNTERS}
    gauges = {
        name: Gauge(f"magnoliasill_{name}", meaning, registry=registry)
        for name, meaning in GAUGES.items()
    }
    histograms = {name: _build_histogram() for name in HISTOGRAMS}
    return Metrics(registry, counters, labelled, gauges, histograms)


def count_store_requests(store: StoreFunction, metrics: Metrics) -> StoreFunction:
    """Wrap a store function so that each request is counted and timed.

    Args:
        store: The function that performs requests to the platform's store.
        metrics: The daemon's metrics.
    """

    def perform(action: StoreAction) -> StoreAnswered:
        kind = type(action).__name__
        name = "store_reads" if kind in READ_ACTIONS else "store_writes"
        started = perf_counter()
        try:
            answer = store(action)
        except StoreOutcomeUnknownError:
            metrics.count(name, "unknown")
            raise
        except StoreError:
            metrics.count(name, "failed")
            raise
        metrics.count(name, "answered" if answer.succeeded else "refused")
        if kind != "StoreWatch":
            metrics.observe("store_seconds", perf_counter() - started)
        return answer

    return perform


def _build_labelled_counter(registry: CollectorRegistry, name: str) -> dict[str, Any]:
    label, meaning = LABELLED_COUNTERS[name]
    counter = Counter(f"magnoliasill_{name}", meaning, [label], registry=registry)
    return {value: counter.labels(value) for value in _list_label_values(name)}


def _list_label_values(name: str) -> list[str]:
    match name:
        case "refusals":
            return [code.value for code in ErrorCode if code.value.startswith("MS-5")]
        case "attempts":
            return [kind.value for kind in OutcomeKind]
        case "clients_closed":
            return list(BUDGETS)
        case "events":
            return [event.name.lower() for event in LogEvent]
        case "store_reads" | "store_writes":
            return list(STORE_OUTCOMES)
    return [kind.__name__ for kind in get_args(Message)]
