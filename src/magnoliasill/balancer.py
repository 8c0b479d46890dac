"""The balancer: which backend server a call goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from .messages import MemberRecord
    from .node import Node


@attrs.define
class LoadTable:
    """Requests in flight from this daemon to each backend server, by its address."""

    in_flight: dict[str, int] = attrs.field(factory=dict)


def list_servers(node: Node, service: str, release: str) -> list[MemberRecord]:
    """Return the backend servers of a release that take new work, those of the own VM included.

    Args:
        node: The node's tables.
        service: The service's name.
        release: The release's name.
    """
    records = [node.own, *(member.record for member in node.members.values())]
    return [
        record
        for record in records
        if record.service == service
        and record.release == release
        and record.serving
        and record.status == "alive"
        and record.data_centre not in node.silent
    ]


def pick_server(
    servers: Collection[MemberRecord],
    data_centre: str,
    load: LoadTable,
    random: Random,
    tried: Collection[str] = (),
) -> MemberRecord | None:
    """Pick the less loaded of two random backend servers, the own data centre first.

    Args:
        servers: The candidates.
        data_centre: The data centre of the caller's daemon.
        load: Requests in flight.
        random: The generator of the choice.
        tried: Addresses that this call has already been sent to.

    Returns:
        The backend server, or None if there is none left.
    """
    fresh = [record for record in servers if record.server_address not in tried]
    local = [record for record in fresh if record.data_centre == data_centre]
    candidates = local or fresh
    if not candidates:
        return None
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda record: load.in_flight.get(record.server_address, 0))
