"""The holder of a key range: records each claim in the platform's store before it grants it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import LogEvent
from ..core.actions import Action, LeaseGrant, Log, SendMessage, StoreWrite
from ..core.messages import ClaimReply, ClaimRequest
from .claim_records import (
    RELEASED,
    ClaimRecord,
    add_run,
    build_run,
    digest_address,
    find_in_run,
    pack_records,
    unpack_records,
)
from .claim_table import RangePhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.events import StoreAnswered
    from ..core.node import Node
    from .claim_table import HeldRange

PURPOSE = "claims"
RETENTION_S = 5_400
RETENTION_LEASE_S = 600  # records are written under one retention lease for this long
WRITE_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.5
BUCKET_RECORDS = 64
MAX_HELD_RECORDS = 300_000
MAX_PENDING = 1_000

BUCKET = "bucket"
ROLL = "roll"
RETAIN = "retain"


@attrs.frozen
class StoredBucket:
    """The value of a bucket: who wrote it last, and its packed records."""

    writer: str
    records: bytes


@attrs.frozen
class StoredHead:
    """The value of a range's head: the only bucket that may be written, and by whom."""

    writer: str
    sequence: int


def name_purpose(held: HeldRange, step: str) -> str:
    """Return the purpose of a store request for a range."""
    return f"{PURPOSE}:{held.number}:{held.epoch}:{step}"


def name_key(held: HeldRange, part: str) -> str:
    """Return the store's key of a part of a range."""
    return f"{PURPOSE}/{held.number:02d}/{part}"


def name_bucket(held: HeldRange, sequence: int) -> str:
    """Return the store's key of a bucket."""
    return name_key(held, f"bucket/{sequence:012d}")


def encode_head(node: Node, sequence: int) -> bytes:
    """Return the value of a head that this node writes."""
    return msgspec.msgpack.encode(StoredHead(name_writer(node), sequence))


def encode_bucket(node: Node, records: Iterable[ClaimRecord]) -> bytes:
    """Return the value of a bucket that this node writes."""
    return msgspec.msgpack.encode(StoredBucket(name_writer(node), pack_records(records)))


def read_bucket(value: bytes) -> list[ClaimRecord]:
    """Return the records of a stored bucket."""
    stored = msgspec.msgpack.decode(value, type=StoredBucket)
    return list(unpack_records(stored.records))


def name_writer(node: Node) -> str:
    """Return what tells this node's writes from those of every other node and restart."""
    if not node.claims.nonce:
        node.claims.nonce = f"{node.random.getrandbits(64):x}"
    return f"{node.own.name}@{node.claims.nonce}"


def judge_request(node: Node, now: float, held: HeldRange, request: ClaimRequest) -> list[Action]:
    """Take a claim or a release into the next write, or refuse the claim.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        held: The range, held by this node.
        request: What a daemon asks for.
    """
    found = _find(held, request.key)
    if request.release:
        if found is None or found.claim != request.claim:
            return []
        return _accept(node, now, held, request)
    if found is None or found.claim in (RELEASED, request.instead_of):
        if not _has_room(node, now, held):
            return [_reply(node, request, "unavailable")]
        return _accept(node, now, held, request)
    if found.claim != request.claim:
        verdict = "used" if found.body == request.body else "reused"
        reply = ClaimReply(request.claim, verdict, node.own.peer_address, found.claim, found.asker)
        return [SendMessage(request.asker, reply)]
    stored = all(other.claim != request.claim for other in (*held.pending, *held.writing))
    return [_reply(node, request, "granted")] if stored and not held.written else []


def write_pending(node: Node, now: float, held: HeldRange) -> list[Action]:
    """Send the next write of a held range, where one is due."""
    if held.write_busy or now < held.write_at:
        return []
    if held.written:
        return [_send_bucket(held)]
    if not held.pending:
        return []
    stale = now - held.retention_at >= RETENTION_LEASE_S
    if held.bucket and (stale or len(held.bucket) >= BUCKET_RECORDS):
        return _roll(node, held)
    if stale:
        return request_retention(now, held)
    held.writing, held.pending = held.pending, []
    records = [*held.bucket, *(_build_record(request) for request in held.writing)]
    held.written = encode_bucket(node, records)
    held.write_at = now + WRITE_INTERVAL_S
    return [_send_bucket(held)]


def request_retention(now: float, held: HeldRange) -> list[Action]:
    """Ask for the lease under which the next buckets are kept."""
    held.write_busy = True
    held.retention_at = now
    ttl_ms = (RETENTION_S + RETENTION_LEASE_S) * 1000
    return [LeaseGrant(name_purpose(held, RETAIN), ttl_ms)]


def receive_write(
    node: Node, now: float, held: HeldRange, step: str, answer: StoreAnswered
) -> list[Action]:
    """Go on after the store answered a request of a held range.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        held: The range.
        step: `BUCKET`, `ROLL` or `RETAIN`.
        answer: The store's answer.
    """
    held.write_busy = False
    held.failing = False
    if step == RETAIN:
        held.retention = answer.lease
        return write_pending(node, now, held)
    entry = answer.entries[0]
    wanted = held.written if step == BUCKET else encode_head(node, held.sequence + 1)
    if not answer.succeeded and entry.value != wanted:
        if step == BUCKET and entry.revision == held.bucket_revision:
            return _replace_retention(node, now, held)
        return drop_range(node, now, held, "another daemon took the range over")
    if step == ROLL:
        _open_next_bucket(now, held, entry.revision)
        return write_pending(node, now, held)
    granted, held.writing, held.written = held.writing, [], b""
    held.bucket_revision = entry.revision
    held.bucket = read_bucket(entry.value)
    actions: list[Action] = [
        _reply(node, request, "granted") for request in granted if not request.release
    ]
    return actions + write_pending(node, now, held)


def receive_write_failure(node: Node, now: float, held: HeldRange, step: str) -> list[Action]:
    """Refuse what waits for the store; a bucket whose fate is unknown is written again."""
    held.write_busy = False
    held.failing = True
    held.write_at = now + RETRY_INTERVAL_S
    if step == RETAIN:
        held.retention_at = 0.0
    return refuse_all(node, held, "unavailable")


def drop_range(node: Node, now: float, held: HeldRange, reason: str) -> list[Action]:
    """Stop holding a range; nothing is granted for it until it is taken over anew."""
    actions = refuse_all(node, held, "moved")
    was_held = held.phase is RangePhase.HELD
    del node.claims.ranges[held.number]
    node.claims.holders.pop(held.number, None)
    if was_held:
        actions.append(Log(LogEvent.RANGE_LOST, {"range": held.number, "reason": reason}))
    return actions


def refuse_all(node: Node, held: HeldRange, verdict: str) -> list[Action]:
    """Answer every request that waits for a range."""
    requests = [*held.writing, *held.pending, *held.waiting]
    held.writing, held.pending, held.waiting = [], [], []
    unsure = read_bucket(held.written) if held.written else ()
    held.fresh = {record.key: record for record in (*held.bucket, *unsure)}
    return [_reply(node, request, verdict) for request in requests if not request.release]


def count_records(node: Node) -> int:
    """Return the number of records that a node keeps for the ranges that it holds."""
    ranges = node.claims.ranges.values()
    return sum(len(held.fresh) + sum(map(len, held.runs)) for held in ranges)


def expire_runs(now: float, held: HeldRange) -> None:
    """Forget runs whose newest record is older than the retention."""
    while held.runs and now - held.runs[0].newest_at > RETENTION_S:
        del held.runs[0]


def _has_room(node: Node, now: float, held: HeldRange) -> bool:
    if held.failing and (held.written or now < held.write_at):
        return False
    return len(held.pending) < MAX_PENDING and count_records(node) < MAX_HELD_RECORDS


def _accept(node: Node, now: float, held: HeldRange, request: ClaimRequest) -> list[Action]:
    held.fresh[request.key] = _build_record(request)
    held.pending.append(request)
    return write_pending(node, now, held)


def _build_record(request: ClaimRequest) -> ClaimRecord:
    claim = RELEASED if request.release else request.claim
    return ClaimRecord(request.key, request.body, claim, digest_address(request.asker))


def _find(held: HeldRange, key: bytes) -> ClaimRecord | None:
    found = held.fresh.get(key)
    if found is not None:
        return found
    for run in reversed(held.runs):
        found = find_in_run(run, key)
        if found is not None:
            return found
    return None


def _send_bucket(held: HeldRange) -> Action:
    held.write_busy = True
    return StoreWrite(
        name_purpose(held, BUCKET),
        name_bucket(held, held.sequence),
        held.written,
        held.bucket_revision,
        held.retention,
    )


def _roll(node: Node, held: HeldRange) -> list[Action]:
    held.write_busy = True
    value = encode_head(node, held.sequence + 1)
    key = name_key(held, "head")
    return [StoreWrite(name_purpose(held, ROLL), key, value, held.head_revision)]


def _open_next_bucket(now: float, held: HeldRange, head_revision: int) -> None:
    add_run(held.runs, build_run(now, held.bucket))
    stored = {(record.key, record.claim) for record in held.bucket}
    held.fresh = {
        key: record for key, record in held.fresh.items() if (key, record.claim) not in stored
    }
    held.head_revision = head_revision
    held.sequence += 1
    held.bucket = []
    held.bucket_revision = 0


def _replace_retention(node: Node, now: float, held: HeldRange) -> list[Action]:
    held.retention_at = now
    return request_retention(now, held)


def _reply(node: Node, request: ClaimRequest, verdict: str) -> Action:
    holder = "" if verdict == "moved" else node.own.peer_address
    return SendMessage(request.asker, ClaimReply(request.claim, verdict, holder))
