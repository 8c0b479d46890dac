"""The report of a daemon's configuration versions, which the command-line tool reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..core.node import Node


@attrs.frozen
class VersionReport:
    """The configuration versions of one daemon, and the state behind them.

    Attributes:
        name: The daemon's name.
        data_centre: Its data centre.
        version: The active configuration version, or 0 before the first one.
        applied_at: When the active version was applied, in seconds since the epoch.
        held_version: The greatest complete version, whether active or still to be applied.
        joined: Whether the daemon has learned enough since its start, from the daemons of its data
            centre or from the store, to apply a version without going back to an older one.
        pending_version: A newer version whose blobs are still missing, or 0.
        refused_version: The greatest version that was refused, if it is newer than the active one,
            or 0.
        refused_reason: Why the last refused version was refused.
        store_available: Whether the platform's store answered the last request.
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
    """Return the version report of a daemon."""
    configuration_table = node.configuration
    return VersionReport(
        node.own.name,
        node.own.data_centre,
        configuration_table.version,
        configuration_table.applied_at,
        configuration_table.held_version,
        node.join.done,
        configuration_table.pending.version if configuration_table.pending is not None else 0,
        (
            configuration_table.refused_version
            if configuration_table.refused_version > configuration_table.version
            else 0
        ),
        configuration_table.refused_reason,
        node.store_available,
    )
