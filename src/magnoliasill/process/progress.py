"""How far a daemon has come with the configuration, as it tells the tool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..core.node import Node


@attrs.frozen
class VersionReport:
    """How far one daemon has come.

    Attributes:
        name: The daemon's name.
        data_centre: Its data centre.
        version: The configuration version in force, 0 before the first.
        applied_at: When it was put in force, in seconds since the epoch.
        held_version: The greatest version held whole, in force or about to be.
        joined: Whether the daemon has heard enough after its start to put one in force.
        pending_version: A newer version whose blobs are still missing, or 0.
        refused_version: The greatest version that was refused whole, or 0.
        refused_reason: Why it was refused.
        store_available: Whether the last request to the platform's store was answered.
    """

    name: str
    data_centre: str
    version: int
    applied_at: float
    held_version: int = 0
    joined: bool = True
    pending_version: int = 0
    refused_version: int = 0
    refused_reason: str = ""
    store_available: bool = True


def report_version(node: Node) -> VersionReport:
    """Return how far a daemon has come."""
    table = node.configuration
    return VersionReport(
        node.own.name,
        node.own.data_centre,
        table.version,
        table.applied_at,
        table.held_version,
        node.join.done,
        table.pending.version if table.pending is not None else 0,
        table.refused_version if table.refused_version > table.version else 0,
        table.refused_reason,
        node.store_available,
    )
