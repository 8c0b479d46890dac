"""The tables of one node: everything that its systems know."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..calls.crash_table import CrashTable
from ..claims.claim_table import ClaimTable
from ..takeovers.takeovers import TakeoverTable
from ..versions.configuration import ConfigurationTable
from .messages import MemberRecord

if TYPE_CHECKING:
    from random import Random

    from ..versions.manifest import Head


MEMBER_BUCKETS = 64


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
        claiming_slot: The slot that it is trying to claim, or None.
        slot_revision: The revision that the claimed slot's key must have, 0 if it is vacant.
        lease: The lease that keeps the slot.
        lease_until: When the lease is over, counted from before its last request was sent.
        head_revision: The store's revision of the last head that was read.
        reading_head: The head whose blobs are being read, or None.
        outstanding: Purposes of the requests whose answers are outstanding.
        scans: Looks for a vacant slot since the start.
        scan_at: When to look for a vacant slot next.
        renew_at: When to extend the lease next.
        lease_requested_at: When the outstanding lease request was sent.
        watch_at: When the head may be watched next.
    """

    slot: int | None = None
    claiming_slot: int | None = None
    slot_revision: int = 0
    lease: str = ""
    lease_until: float = 0.0
    head_revision: int = 0
    reading_head: Head | None = None
    outstanding: set[str] = attrs.field(factory=set)
    scans: int = 0
    scan_at: float = 0.0
    renew_at: float = 0.0
    lease_requested_at: float = 0.0
    watch_at: float = 0.0


@attrs.define
class PendingProbe:
    """A probe whose answer is outstanding.

    Attributes:
        name: The daemon that was probed.
        sent_at: When, in seconds of the node's clock.
        indirect: Whether other daemons were asked to probe it, too.
    """

    name: str
    sent_at: float
    indirect: bool = False


@attrs.frozen
class ForwardedProbe:
    """A probe that was sent for another daemon.

    Attributes:
        address: Where the answer goes.
        sequence: The sequence number that it gets there.
        until: When to forget it, in seconds of the node's clock.
    """

    address: str
    sequence: int
    until: float


@attrs.define
class ProbeTable:
    """The node's part in finding daemons that failed.

    Attributes:
        round: Names of the daemons still to be probed in this round.
        sequence: The last sequence number that was used.
        pending: Outstanding probes by sequence number.
        forwarded: Probes sent for others, by the sequence number used.
        probe_at: When to probe next.
        ticked_at: When the node last ran its tick.
        clean_at: When to forget old failures next.
    """

    round: list[str] = attrs.field(factory=list)
    sequence: int = 0
    pending: dict[int, PendingProbe] = attrs.field(factory=dict)
    forwarded: dict[int, ForwardedProbe] = attrs.field(factory=dict)
    probe_at: float = 0.0
    ticked_at: float = 0.0
    clean_at: float = 0.0


@attrs.define
class JoinTable:
    """What a node has to hear after its start, before a configuration is in force on it.

    Attributes:
        done: Whether it heard enough.
        started_at: When it ran first, or None before.
        synced: Whether it has the whole member table of a daemon that had joined.
        asked_at: When each daemon of the own data centre was asked, by name.
        answered: Names of those that answered.
        minimum_version: The greatest version that any of them held.
    """

    done: bool = False
    started_at: float | None = None
    synced: bool = False
    asked_at: dict[str, float] = attrs.field(factory=dict)
    answered: set[str] = attrs.field(factory=set)
    minimum_version: int = 0


@attrs.define
class ConfigurationSource:
    """A daemon that holds a newer configuration.

    Attributes:
        held: The version that it said it holds.
        requests: Requests that were sent to it since.
    """

    held: int
    requests: int = 0


@attrs.define
class Node:
    """One daemon's tables.

    Attributes:
        own: The node's own record.
        random: The seeded generator of every random choice.
        configuration: What is applied and pending.
        members: Other daemons by name.
        members_revision: Counts the changes of the own record and of the members.
        relay: The node's duty as a relay.
        claims: Claims of keys whose requests must not be repeated.
        crashes: Requests that were running when their backend servers broke.
        seeds: Peer addresses from the settings.
        probes: The search for daemons that failed.
        suspects: Names of the members that are suspected.
        join: What is still to be heard after the start.
        buckets: Fingerprints of the buckets of the member table.
        news: For each changed member, how often its record is still to be sent.
        news_at: When to send news next.
        sync_at: When member tables may be compared next.
        data_centres_heard_at: When anything was last heard from each other data centre.
        silent: Data centres from which nothing was heard for long.
        server_announced_at: When the backend server on this VM announced itself last.
        sources: Daemons that hold a newer version, by peer address.
        requested_at: When the last configuration request was sent.
        staged_reported_at: When peers were last told of the staged configuration.
        store_available: Whether the last request to the store was answered.
        takeovers: The takeovers that the node takes part in.
    """

    own: MemberRecord
    random: Random
    configuration: ConfigurationTable = attrs.field(factory=ConfigurationTable)
    members: dict[str, Member] = attrs.field(factory=dict)
    members_revision: int = 0
    relay: RelayTable = attrs.field(factory=RelayTable)
    claims: ClaimTable = attrs.field(factory=ClaimTable)
    crashes: CrashTable = attrs.field(factory=CrashTable)
    seeds: tuple[str, ...] = ()
    probes: ProbeTable = attrs.field(factory=ProbeTable)
    suspects: set[str] = attrs.field(factory=set)
    join: JoinTable = attrs.field(factory=JoinTable)
    buckets: list[int] = attrs.field(factory=lambda: [0] * MEMBER_BUCKETS)
    news: dict[str, int] = attrs.field(factory=dict)
    news_at: float = 0.0
    sync_at: float = 0.0
    data_centres_heard_at: dict[str, float] = attrs.field(factory=dict)
    silent: set[str] = attrs.field(factory=set)
    server_announced_at: float = 0.0
    sources: dict[str, ConfigurationSource] = attrs.field(factory=dict)
    requested_at: float = 0.0
    staged_reported_at: float = 0.0
    store_available: bool = True
    takeovers: TakeoverTable = attrs.field(factory=TakeoverTable)


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
