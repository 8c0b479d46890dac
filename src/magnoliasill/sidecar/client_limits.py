"""Creates the budgets for clients of a sidecar, with its counters and log events."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from ..calls.client_connections import ClientConnections
from ..calls.request_protocol import HEAD_TIMEOUT_S
from ..codes import LogEvent
from ..mesh.client_budgets import size_connection_budget, size_memory_budget

if TYPE_CHECKING:
    from .state import Sidecar


def build_client_connections(sidecar: Sidecar) -> ClientConnections:
    """Return the state of the budgets, sized by the sidecar's settings."""
    settings = sidecar.settings
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ClientConnections(
        size_memory_budget(settings.memory_mb),
        size_connection_budget(settings.memory_mb, settings.max_descriptors, process_limit),
        lambda budget: sidecar.meters.count("clients_closed", budget),
        lambda counts: sidecar.log(LogEvent.CLIENTS_CLOSED, **counts),
    )


def find_head_timeout(sidecar: Sidecar) -> float:
    """Return how many seconds the head of a caller's request may take."""
    return sidecar.table.limits.header_timeout_s if sidecar.table else HEAD_TIMEOUT_S
