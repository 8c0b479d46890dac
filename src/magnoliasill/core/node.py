"""The complete in-memory state of one daemon, grouped into tables by function."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..calls.crash_table import CrashTable
from ..claims.claim_state import ClaimState
from ..takeovers.takeovers import TakeoverTable
from ..versions.configuration import ConfigurationState
from .messages import MemberRecord

if TYPE_CHECKING:
    from random import Random

    from ..versions.manifest import Head


MEMBER_BUCKETS = 64


@attrs.define
class Member:
    """An entry of the member table: another daemon.

    Attributes:
        record: The daemon's latest record.
        updated_at: When the record was last replaced or its suspicion timeout restarted, in
            seconds of the node's clock.
    """

    record: MemberRecord
    updated_at: float


@attrs.define
class RelayTable:
    """State of this node as a relay, a daemon that reads the store on behalf of its data centre.

    Attributes:
        slot: The relay slot that this node holds; None if it is no relay.
        claiming_slot: The slot that it is trying to claim, or None.
        slot_revision: The revision that the key of `claiming_slot` must have; 0 if it is absent.
        lease: The lease to which the slot's key is attached.
        lease_until: When the lease expires, counted from the sending of its last request.
        head_revision: The store revision of the head that was read last.
        reading_head: The head whose blobs are being read, or None.
        outstanding: Purposes of the requests whose answers are outstanding.
        scans: Number of scans for a vacant slot since the start.
        scan_at: When to scan for a vacant slot next.
        renew_at: When to renew the lease next.
        lease_requested_at: When the outstanding lease request was sent.
        watch_at: The earliest time to watch the head again.
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
    """A probe that has not been answered yet.

    Attributes:
        name: The name of the probed daemon.
        sent_at: When the probe was sent, in seconds of the node's clock.
        indirect: Whether other daemons have been asked to probe the same daemon.
    """

    name: str
    sent_at: float
    indirect: bool = False


@attrs.frozen
class ForwardedProbe:
    """A probe that was sent on request of another daemon.

    Attributes:
        address: The peer address to which the answer is forwarded.
        sequence: The sequence number of the forwarded answer.
        until: When to discard the entry, in seconds of the node's clock.
    """

    address: str
    sequence: int
    until: float


@attrs.define
class ProbeTable:
    """State of the failure detector, which probes other daemons.

    Attributes:
        round: Names of the daemons that are still to be probed in this round.
        sequence: The last sequence number used.
        pending: Outstanding probes by sequence number.
        forwarded: Probes sent on request of other daemons, by sequence number.
        probe_at: When to probe next.
        ticked_at: When the last tick ran, to detect that the process was paused.
        cleanup_at: When to remove members that failed or left long ago next.
    """

    round: list[str] = attrs.field(factory=list)
    sequence: int = 0
    pending: dict[int, PendingProbe] = attrs.field(factory=dict)
    forwarded: dict[int, ForwardedProbe] = attrs.field(factory=dict)
    probe_at: float = 0.0
    ticked_at: float = 0.0
    cleanup_at: float = 0.0


@attrs.define
class JoinTable:
    """What a node has learned from its peers since its start, before it activates a configuration.

    Attributes:
        done: Whether joining is complete.
        started_at: When the node's first tick ran, or None before it.
        synced: Whether the node has the complete member table of a daemon that had joined.
        asked_at: When each daemon of this data centre was last asked for its version, by name.
        answered: Names of the daemons that answered.
        minimum_version: The highest version that any of them has, or that the platform's store had
            when it was read. An older version is activated only if this one was refused.
    """

    done: bool = False
    started_at: float | None = None
    synced: bool = False
    asked_at: dict[str, float] = attrs.field(factory=dict)
    answered: set[str] = attrs.field(factory=set)
    minimum_version: int = 0


@attrs.define
class ConfigurationSource:
    """A daemon from which a newer configuration can be requested.

    Attributes:
        held: The version that the daemon reported to have.
        requests: Number of requests sent to it since that report.
    """

    held: int
    requests: int = 0


@attrs.define
class Node:
    """The state of one daemon.

    Attributes:
        own: The node's own record.
        random: The seeded generator for every random choice.
        configuration: The active, staged and pending configurations.
        members: Other daemons by name.
        members_revision: Incremented with each change of `own`, `members` or `silent`.
        relay: State of this node as a relay.
        claims: Claims of idempotency keys, whose requests must not run twice.
        crashes: Requests that were running when their backend servers crashed.
        seeds: Peer addresses from the settings.
        probes: State of the failure detector.
        suspects: Names of the members that are suspected.
        join: State of joining after the start.
        buckets: Fingerprints of the buckets of the member table.
        news: For each changed member, how many more times to send its record.
        news_at: When to send changed member records next.
        sync_at: The earliest time to compare member tables again.
        data_centres_heard_at: When anything was last heard from each other data centre, in seconds
            of the node's clock.
        silent: Data centres from which nothing has been heard for too long; no calls go there.
        server_announced_at: When the backend server on this VM last announced itself.
        sources: Daemons that have a newer configuration version, by peer address.
        requested_at: When the last `ConfigurationRequest` was sent, plus jitter.
        staged_reported_at: When the staged configuration was last reported to peers.
        store_available: Whether the platform's store answered the last request.
        takeovers: The takeovers in which the node takes part.
    """

    own: MemberRecord
    random: Random
    configuration: ConfigurationState = attrs.field(factory=ConfigurationState)
    members: dict[str, Member] = attrs.field(factory=dict)
    members_revision: int = 0
    relay: RelayTable = attrs.field(factory=RelayTable)
    claims: ClaimState = attrs.field(factory=ClaimState)
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
    """Return the records of the other daemons that are alive or only suspected, sorted by name.

    Args:
        node: The node's state.
        data_centre: The data centre to list, or None for all.
    """
    return [
        member.record
        for _, member in sorted(node.members.items())
        if member.record.status in ("alive", "suspect")
        and data_centre in (None, member.record.data_centre)
    ]
