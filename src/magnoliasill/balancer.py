"""The balancer: which backend server a call goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from .messages import MemberRecord
    from .servers import ServerGroup


@attrs.define
class LoadTable:
    """Requests in flight from this daemon to each backend server, by its address."""

    in_flight: dict[str, int] = attrs.field(factory=dict)


def pick_server(
    group: ServerGroup,
    load: LoadTable,
    random: Random,
    tried: Collection[str] = (),
) -> MemberRecord | None:
    """Pick the less loaded of two random backend servers, the own data centre first.

    Args:
        group: The candidates.
        load: Requests in flight.
        random: The generator of the choice.
        tried: Addresses that this call has already been sent to.

    Returns:
        The backend server, or None if there is none left.
    """
    candidates = _list_fresh(group.local, tried) or _list_fresh(group.remote, tried)
    if not candidates:
        return None
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda record: load.in_flight.get(record.server_address, 0))


def _list_fresh(records: list[MemberRecord], tried: Collection[str]) -> list[MemberRecord]:
    if not tried:
        return records
    return [record for record in records if record.server_address not in tried]
