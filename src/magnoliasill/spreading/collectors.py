"""Choice of the daemons that collect evidence on a service's takeover and may control it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..core.node import list_alive

if TYPE_CHECKING:
    from ..core.messages import MemberRecord
    from ..core.node import Node

MAX_COLLECTORS = 2


def rank_collectors(node: Node, service: str, data_centre: str) -> list[MemberRecord]:
    """Return the daemons of a data centre that collect evidence for a service, highest rank first.

    Rendezvous hashing: daemons with the same member table return the same list.
    """
    records = list_alive(node, data_centre)
    if data_centre == node.own.data_centre:
        records = [*records, node.own]
    return sorted(records, key=lambda record: _hash_rank(service, record.name))[:MAX_COLLECTORS]


def _hash_rank(service: str, name: str) -> bytes:
    return hashlib.blake2b(f"{service}/{name}".encode(), digest_size=8).digest()
