"""Idle bounds: how many idle connections a daemon keeps to a backend server, and how long.

A backend server accepts a limited number of connections, fewer than its data centre has
daemons. Where every daemon may keep one, each keeps its share; else a window of the daemons,
in the order of their names, keeps one each, and the others keep theirs only briefly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

import attrs

if TYPE_CHECKING:
    from ..membership.servers import Position, ServerGroup
    from ..versions.service_file import Limits

KEPT_S = 5.0
BRIEF_S = 0.2
RESERVED_SHARE = 0.3


@attrs.frozen
class IdleBound:
    """Bounds on the idle connections to one backend server.

    Attributes:
        connections: The most that are kept.
        seconds: How long one may be idle.
    """

    connections: int
    seconds: float


BRIEF = IdleBound(1, BRIEF_S)


def count_keepable(limits: Limits) -> int:
    """Return the idle connections that all daemons together may keep to a backend server.

    The slots are left for requests in progress, and a reserve for connections kept briefly
    and for daemons that see other members.
    """
    return max(int(limits.connections * (1 - RESERVED_SHARE)) - limits.slots, 1)


def bound_idle(
    position: Position, group: ServerGroup, server: str, service: str, limits: Limits
) -> IdleBound:
    """Return the bound of this daemon for a backend server.

    Args:
        position: This daemon's place in its data centre.
        group: The backend servers of the release.
        server: The name of the backend server's daemon.
        service: The service's name, which shifts the windows.
        limits: The service's limits.
    """
    names = [record.name for record in group.local]
    if server not in names:
        return BRIEF
    keepable = count_keepable(limits)
    if keepable >= position.count:
        return IdleBound(min(keepable // position.count, limits.slots), KEPT_S)
    start = crc32(service.encode()) + names.index(server) * position.count // len(names)
    inside = (position.number - start) % position.count < keepable
    return IdleBound(1, KEPT_S) if inside else BRIEF
