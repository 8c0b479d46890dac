"""Limits on the idle connections that a daemon keeps to a backend server, and for how long.

A backend server may accept fewer connections than its data centre has daemons. If every daemon can
keep at least one connection, each keeps an equal share. Otherwise a window of the daemons, sorted
by name, keeps one connection each, and the others keep theirs only briefly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

import attrs

if TYPE_CHECKING:
    from ..membership.server_index import Position, ServerGroup
    from ..versions.service_file import Limits

IDLE_TIMEOUT_S = 5.0
SHORT_IDLE_TIMEOUT_S = 0.2
RESERVED_SHARE = 0.3


@attrs.frozen
class IdleBound:
    """Limits on the idle connections to one backend server.

    Attributes:
        connections: The maximum number of idle connections.
        seconds: How long a connection may be idle.
    """

    connections: int
    seconds: float


SHORT_IDLE_BOUND = IdleBound(1, SHORT_IDLE_TIMEOUT_S)


def compute_idle_capacity(limits: Limits) -> int:
    """Return how many idle connections all daemons together may keep to a backend server.

    The remaining connections are left for requests in progress, one per slot, and as a reserve for
    connections that are kept briefly and for daemons with a different view of the membership.
    """
    return max(int(limits.connections * (1 - RESERVED_SHARE)) - limits.slots, 1)


def compute_idle_bound(
    position: Position, group: ServerGroup, server: str, service: str, limits: Limits
) -> IdleBound:
    """Return this daemon's limits on idle connections to a backend server.

    Args:
        position: This daemon's position in its data centre.
        group: The backend servers of the release.
        server: The name of the backend server's daemon.
        service: The service's name, whose hash shifts the windows.
        limits: The service's limits.
    """
    names = [record.name for record in group.local]
    if server not in names:
        return SHORT_IDLE_BOUND
    idle_capacity = compute_idle_capacity(limits)
    if idle_capacity >= position.count:
        return IdleBound(min(idle_capacity // position.count, limits.slots), IDLE_TIMEOUT_S)
    window_start = crc32(service.encode()) + names.index(server) * position.count // len(names)
    in_window = (position.number - window_start) % position.count < idle_capacity
    return IdleBound(1, IDLE_TIMEOUT_S) if in_window else SHORT_IDLE_BOUND
