"""The daemon's metrics, in the Prometheus text form."""

from __future__ import annotations

from typing import Any

import attrs
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.define
class Metrics:
    """Counters, gauges and histograms of one daemon.

    Attributes:
        registry: Holds the counters and gauges.
        counters: Counters by short name.
        version: The configuration version in force.
        latency: Microseconds from a call's arrival to its answer.
    """

    registry: CollectorRegistry
    counters: dict[str, Any]
    version: Gauge
    latency: HdrHistogram = attrs.field(factory=_build_histogram)


_COUNTERS = {
    "calls": "Calls answered by a backend server",
    "refusals": "Calls answered by the daemon itself",
    "cancelled": "Calls whose callers went away first",
    "messages_sent": "Messages sent to peers",
    "message_bytes_sent": "Bytes of messages sent to peers",
    "messages_received": "Messages received from peers",
    "message_bytes_received": "Bytes of messages received from peers",
    "store_requests": "Requests to the platform's store",
}


def build_metrics() -> Metrics:
    """Create the metrics of one daemon, all at zero."""
    registry = CollectorRegistry()
    counters = {
        name: Counter(f"magnoliasill_{name}", meaning, registry=registry)
        for name, meaning in _COUNTERS.items()
    }
    counters["attempts"] = Counter(
        "magnoliasill_attempts",
        "Attempts to run a call on a backend server, by their end",
        ["kind"],
        registry=registry,
    )
    version = Gauge(
        "magnoliasill_configuration_version", "Configuration in force", registry=registry
    )
    return Metrics(registry, counters, version)


def format_metrics(metrics: Metrics) -> bytes:
    """Return every metric in the Prometheus text form."""
    lines = ["# TYPE magnoliasill_call_seconds summary"]
    for percentile in PERCENTILES:
        seconds = metrics.latency.get_value_at_percentile(percentile) / 1e6
        lines.append(f'magnoliasill_call_seconds{{quantile="{percentile / 100}"}} {seconds}')
    lines.append(f"magnoliasill_call_seconds_count {metrics.latency.get_total_count()}")
    return generate_latest(metrics.registry) + ("\n".join(lines) + "\n").encode()
