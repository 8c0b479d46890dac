"""The tables of one node: everything that its systems know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .claim_table import ClaimTable
from .configuration import ConfigurationTable
from .messages import MemberRecord

if TYPE_CHECKING:
    from random import Random


@attrs.define
class Member:
    """A known daemon.

    Attributes:
        record: The latest record of it.
        heard_at: When a newer record was last heard, in seconds of the node's clock.
    """

    record: MemberRecord
    heard_at: float


@attrs.define
class RelayTable:
    """The node's part in reading the platform's store for its data centre.

    Attributes:
        slot: The relay slot that this node holds, or None.
        claiming: The slot that it is trying to claim, or None.
        lease: The lease that keeps the slot.
        lease_until: When the lease is over, counted from before its last request was sent.
        head_revision: The store's revision of the last head that was read.
        busy: Purposes of the requests whose answers are outstanding.
        scan_at: When to look for a vacant slot next.
        renew_at: When to extend the lease next.
        asked_at: When the outstanding lease request was sent.
        watch_at: When the head may be watched next.
    """

    slot: int | None = None
    claiming: int | None = None
    lease: str = ""
    lease_until: float = 0.0
    head_revision: int = 0
    busy: set[str] = attrs.field(factory=set)
    scan_at: float = 0.0
    renew_at: float = 0.0
    asked_at: float = 0.0
    watch_at: float = 0.0


@attrs.define
class Node:
    """One daemon's tables.

    Attributes:
        own: The node's own record.
        random: The seeded generator of every random choice.
        configuration: What is applied and pending.
        members: Other daemons by name.
        relay: The node's duty as a relay.
        claims: Claims of keys whose requests must not be repeated.
        seeds: Peer addresses from the settings.
        gossip_at: When to gossip next, in seconds of the node's clock.
        requested_at: When the last configuration request was sent.
        store_available: Whether the last request to the store was answered.
    """

    own: MemberRecord
    random: Random
    configuration: ConfigurationTable = attrs.field(factory=ConfigurationTable)
    members: dict[str, Member] = attrs.field(factory=dict)
    relay: RelayTable = attrs.field(factory=RelayTable)
    claims: ClaimTable = attrs.field(factory=ClaimTable)
    seeds: tuple[str, ...] = ()
    gossip_at: float = 0.0
    requested_at: float = 0.0
    store_available: bool = True


def list_alive(node: Node, data_centre: str | None = None) -> list[MemberRecord]:
    """Return the records of the other daemons that are taken to be alive, by name.

    Args:
        node: The node's tables.
        data_centre: Only members of this data centre, or None for all.
    """
    return [
        member.record
        for _, member in sorted(node.members.items())
        if member.record.status in ("alive", "suspect")
        and data_centre in (None, member.record.data_centre)
    ]
