"""Counters and latency histograms of a sidecar, exported in the Prometheus text format."""

from __future__ import annotations

from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
COUNTERS = {
    "requests": ("outcome", "Requests of callers, by how they ended"),
    "access": ("reason", "Requests of callers refused by their team's key"),
    "shed": ("reason", "Requests of callers refused since the event loop was late"),
    "pipelined": (
        "outcome",
        "Requests read while earlier ones of their connection ran, by what became of them",
    ),
    "attempts": ("outcome", "Requests sent to gates, by how that ended"),
    "gate": ("outcome", "Requests at the own gate, by how that ended"),
    "store": ("outcome", "Requests to the platform's store, by outcome"),
    "configuration": ("source", "Versions received, by how; superseded: with a newer one"),
    "relay": ("outcome", "Requests for changes at a relay, there and here"),
    "member_requests": ("outcome", "Requests to other sidecars, by how they ended"),
    "link": ("kind", "Bytes over the network link of the VM, by direction and kind"),
    "crashes": ("outcome", "Findings of servers that ended under requests, by what became of them"),
    "quotas": ("outcome", "Requests of teams with a quota, and reports on them"),
    "cold": ("source", "Times at which the own server became cold, by sign, and what it said"),
    "evacuations": ("outcome", "Refusals and reports because of evacuated data centres"),
    "clients_closed": ("budget", "Clients that were turned away, by the limit they exceeded"),
    "events": ("event", "Log events, by name"),
    "logs_left_out": ("event", "Log lines that were left out to bound their volume"),
}
HISTOGRAMS = {
    "request": "From a request's arrival to its answer",
    "loop_lag": "How late the event loop resumed what was due",
    "queue": "From a request's arrival at the gate to its start",
    "server": "From the start of a request at the backend server to its answer",
    "hop": "From sending a request to a gate to its answer",
    "store": "From a request to the platform's store to its answer; watches left out",
    "copy_age": "Age of the local copy of the store when a configuration arrived",
    "configuration_delay": "At most from a configuration's acceptance to its being in force",
    "convergence": "From hearing of a configuration to its being in force",
}


@attrs.define
class Meters:
    """Metrics of one sidecar: counters by name and label, latency histograms in microseconds."""

    counters: dict[str, Counter[str]] = attrs.field(
        factory=lambda: {name: Counter() for name in COUNTERS}
    )
    histograms: dict[str, HdrHistogram] = attrs.field(factory=dict)

    def count(self, name: str, label: str, amount: int = 1) -> None:
        """Increment the counter of a metric's label value."""
        self.counters[name][label] += amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram, clamped to the range that it covers."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        histogram.record_value(min(max(int(seconds * 1e6), 1), MAX_LATENCY_US))


def format_meters(meters: Meters, gauges: dict[str, float]) -> bytes:
    """Return all metrics in the Prometheus text format.

    Args:
        meters: Counters and histograms.
        gauges: Current gauge values by name.
    """
    lines: list[str] = []
    for name, (label, help_text) in COUNTERS.items():
        metric_name = f"magnoliasill_{name}_total"
        lines += [f"# HELP {metric_name} {help_text}", f"# TYPE {metric_name} counter"]
        samples = sorted(meters.counters[name].items())
        lines += [f'{metric_name}{{{label}="{value}"}} {count}' for value, count in samples]
    for name, histogram in sorted(meters.histograms.items()):
        metric_name = f"magnoliasill_{name}_seconds"
        lines += [f"# HELP {metric_name} {HISTOGRAMS[name]}", f"# TYPE {metric_name} summary"]
        for percentile in PERCENTILES:
            seconds = histogram.get_value_at_percentile(percentile) / 1e6
            lines.append(f'{metric_name}{{quantile="{percentile / 100:g}"}} {seconds}')
        lines.append(f"{metric_name}_count {histogram.get_total_count()}")
    for name, value in gauges.items():
        lines += [f"# TYPE magnoliasill_{name} gauge", f"magnoliasill_{name} {value:g}"]
    return ("\n".join(lines) + "\n").encode()
