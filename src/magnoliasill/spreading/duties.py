"""Duties: which daemons of a data centre collect evidence for a service and may control it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..core.node import list_alive

if TYPE_CHECKING:
    from ..core.messages import MemberRecord
    from ..core.node import Node

COLLECTORS = 2


def rank_daemons(node: Node, service: str, data_centre: str) -> list[MemberRecord]:
    """Return the daemons of a data centre in the order of their duty for a service."""
    records = list_alive(node, data_centre)
    if data_centre == node.own.data_centre:
        records = [*records, node.own]
    return sorted(records, key=lambda record: _hash_duty(service, record.name))[:COLLECTORS]


def _hash_duty(service: str, name: str) -> bytes:
    return hashlib.blake2b(f"{service}/{name}".encode(), digest_size=8).digest()
