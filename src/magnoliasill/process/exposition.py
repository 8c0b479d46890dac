"""The metrics of a daemon in the Prometheus text form."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import generate_latest

from .metrics import HISTOGRAMS, PERCENTILES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..calls.serving import Proxy
    from .metrics import Metrics


def format_metrics(proxy: Proxy) -> bytes:
    """Return every metric of a daemon in the Prometheus text form."""
    metrics = proxy.metrics
    _set_gauges(proxy)
    lines = [line for name in HISTOGRAMS for line in _format_histogram(metrics, name)]
    return generate_latest(metrics.registry) + ("\n".join(lines) + "\n").encode()


def _format_histogram(metrics: Metrics, short: str) -> Iterable[str]:
    name, histogram = f"magnoliasill_{short}", metrics.histograms[short]
    yield f"# HELP {name} {HISTOGRAMS[short]}"
    yield f"# TYPE {name} summary"
    for percentile in PERCENTILES:
        seconds = histogram.get_value_at_percentile(percentile) / 1e6
        yield f'{name}{{quantile="{percentile / 100:g}"}} {seconds}'
    count = histogram.get_total_count()
    yield f"{name}_sum {histogram.get_mean_value() * count / 1e6 if count else 0.0}"
    yield f"{name}_count {count}"


def _set_gauges(proxy: Proxy) -> None:
    node = proxy.node
    table = node.configuration
    alive = [m for m in node.members.values() if m.record.status in ("alive", "suspect")]
    refused = table.refused_version if table.refused_version > table.version else 0
    values = {
        "configuration_version": table.version,
        "refused_version": refused,
        "members": len(alive) + 1,
        "relay": int(node.relay.slot is not None),
        "store_available": int(node.store_available),
        "open_calls": proxy.open_calls,
    }
    for name, value in values.items():
        proxy.metrics.gauges[name].set(value)
