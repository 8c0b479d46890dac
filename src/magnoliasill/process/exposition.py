"""Formats a daemon's metrics in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import generate_latest

from .metrics import HISTOGRAMS, PERCENTILES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..calls.proxy_state import Proxy
    from .metrics import Metrics


def format_metrics(proxy: Proxy) -> bytes:
    """Return all metrics of a daemon in the Prometheus text format."""
    metrics = proxy.metrics
    _set_gauges(proxy)
    lines = [line for name in HISTOGRAMS for line in _format_histogram(metrics, name)]
    return generate_latest(metrics.registry) + ("\n".join(lines) + "\n").encode()


def _format_histogram(metrics: Metrics, short_name: str) -> Iterable[str]:
    name, histogram = f"magnoliasill_{short_name}", metrics.histograms[short_name]
    yield f"# HELP {name} {HISTOGRAMS[short_name]}"
    yield f"# TYPE {name} summary"
    for percentile in PERCENTILES:
        seconds = histogram.get_value_at_percentile(percentile) / 1e6
        yield f'{name}{{quantile="{percentile / 100:g}"}} {seconds}'
    count = histogram.get_total_count()
    yield f"{name}_sum {histogram.get_mean_value() * count / 1e6 if count else 0.0}"
    yield f"{name}_count {count}"


def _set_gauges(proxy: Proxy) -> None:
    node = proxy.node
    configuration_table = node.configuration
    live_members = [
        member for member in node.members.values() if member.record.status in ("alive", "suspect")
    ]
    refused = (
        configuration_table.refused_version
        if configuration_table.refused_version > configuration_table.version
        else 0
    )
    values = {
        "configuration_version": configuration_table.version,
        "refused_version": refused,
        "members": len(live_members) + 1,
        "relay": int(node.relay.slot is not None),
        "store_available": int(node.store_available),
        "open_calls": proxy.open_calls,
        "client_connections": len(proxy.clients.budgets.connections),
        "incomplete_body_bytes": proxy.clients.budgets.held,
    }
    for name, value in values.items():
        proxy.metrics.gauges[name].set(value)
