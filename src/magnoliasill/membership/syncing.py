"""Synchronization of complete member tables with a peer, in pages of bounded size."""

from __future__ import annotations

import hashlib
import zlib
from functools import reduce
from operator import xor
from typing import TYPE_CHECKING

from ..core.actions import SendMessage
from ..core.messages import MemberPage, MemberSummary
from ..core.node import MEMBER_BUCKETS
from ..spreading.gossip import choose_peers

if TYPE_CHECKING:
    from ..core.actions import Action
    from ..core.messages import Digest, MemberRecord
    from ..core.node import Member, Node

PAGE_RECORDS = 40
SYNC_INTERVAL_S = 5.0
JOIN_SYNC_INTERVAL_S = 0.3
_LIVE_STATUSES = ("alive", "suspect")


def replace_member(node: Node, member: Member) -> None:
    """Add a member to the table, or replace it, and update the fingerprint of its bucket."""
    remove_member(node, member.record.name)
    node.members[member.record.name] = member
    if member.record.status == "suspect":
        node.suspects.add(member.record.name)
    node.buckets[_find_bucket(member.record.name)] ^= _hash_record(member.record)


def remove_member(node: Node, name: str) -> None:
    """Remove a member from the table, and update the fingerprint of its bucket."""
    node.members_revision += 1
    known = node.members.pop(name, None)
    node.suspects.discard(name)
    if known is not None:
        node.buckets[_find_bucket(name)] ^= _hash_record(known.record)


def list_buckets(node: Node) -> list[int]:
    """Return the fingerprints of the buckets, including the node's own record."""
    buckets = list(node.buckets)
    buckets[_find_bucket(node.own.name)] ^= _hash_record(node.own)
    return buckets


def compute_fingerprint(node: Node) -> int:
    """Return a hash of the member table, equal on all daemons that have the same table."""
    return reduce(xor, node.buckets, _hash_record(node.own))


def compare_fingerprint(node: Node, now: float, digest: Digest) -> list[Action]:
    """Request differing member records from a peer if its table differs from this node's.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        digest: The peer's digest.
    """
    if digest.fingerprint == compute_fingerprint(node):
        node.join.synced = node.join.synced or not digest.joining
        return []
    if now < node.sync_at or (digest.joining and not node.join.done):
        return []
    return _request_page(node, now, digest.sender)


def receive_summary(node: Node, now: float, summary: MemberSummary) -> list[Action]:
    """Answer a summary with a page of records of the differing buckets, from a random bucket on."""
    peer_buckets = summary.buckets or [0] * MEMBER_BUCKETS
    differing = [i for i, own in enumerate(list_buckets(node)) if own != peer_buckets[i]]
    start = node.random.randrange(MEMBER_BUCKETS)
    order = sorted(differing, key=lambda i: (i - start) % MEMBER_BUCKETS)
    by_bucket: dict[int, list[MemberRecord]] = {i: [] for i in order}
    for name, member in node.members.items():
        bucket = _find_bucket(name)
        if bucket in by_bucket:
            by_bucket[bucket].append(member.record)
    records = [record for i in order for record in by_bucket[i]]
    page = records[:PAGE_RECORDS]
    complete = len(page) == len(records)
    reply = MemberPage(node.own, page, complete, not node.join.done)
    return [SendMessage(summary.sender.peer_address, reply)]


def continue_sync(node: Node, now: float, page: MemberPage) -> list[Action]:
    """Record that the table is complete, or request the next page from a random peer."""
    if page.complete:
        node.join.synced = node.join.synced or not page.joining
        return []
    if node.join.synced:
        return []
    peers = choose_peers(node, 1, 0) or [page.sender]
    return _request_page(node, now, peers[0])


def _request_page(node: Node, now: float, peer: MemberRecord) -> list[Action]:
    interval = SYNC_INTERVAL_S if node.join.done else JOIN_SYNC_INTERVAL_S
    node.sync_at = now + interval * node.random.uniform(0.8, 1.2)
    buckets = list_buckets(node) if node.members else []
    return [SendMessage(peer.peer_address, MemberSummary(node.own, buckets))]


def _find_bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % MEMBER_BUCKETS


def _hash_record(record: MemberRecord) -> int:
    if record.status not in _LIVE_STATUSES:
        return 0
    text = f"{record.name}:{record.incarnation}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
