"""Recording of claims by the node that holds a key range.

A claim reserves an idempotency key for one request. The holder writes it to the platform's store
before it grants it, so that a later holder of the range finds it there. Claims are written in
buckets of several records; the range's head names the only bucket that may be written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from ..codes import ErrorCode, LogEvent
from ..core.actions import Action, LeaseGrant, Log, SendMessage, StoreWrite
from ..core.messages import ClaimReply, ClaimRequest
from ..decoding import DecodingError, decode_msgpack
from ..errors import ConfigurationError
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
from .claim_state import RangePhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.events import StoreAnswered
    from ..core.node import Node
    from .claim_state import KeyRange

PURPOSE = "claims"
RETENTION_S = 5_400  # how long a claim is kept at least
RETENTION_LEASE_S = 600  # records are written under one retention lease for this long
WRITE_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.5
BUCKET_ROLL_RECORDS = 64  # a bucket with this many records is closed before the next write
MAX_HELD_RECORDS = 300_000  # of all ranges that a node holds
MAX_PENDING_REQUESTS = 1_000  # of one range

# The steps of a held range, as they stand in the purposes of store requests:
BUCKET = "bucket"
ROLL = "roll"
RETAIN = "retain"


@attrs.frozen
class StoredBucket:
    """The stored value of a bucket: its last writer, and its packed records."""

    writer: str
    records: bytes


@attrs.frozen
class StoredHead:
    """The stored value of a range's head: the only writable bucket, and its writer."""

    writer: str
    sequence: int


def format_purpose(key_range: KeyRange, step: str) -> str:
    """Return the purpose that identifies a store request for a range."""
    return f"{PURPOSE}:{key_range.number}:{key_range.epoch}:{step}"


def format_store_key(key_range: KeyRange, part: str) -> str:
    """Return the store key of a part of a range: its holder, its head or a bucket."""
    return f"{PURPOSE}/{key_range.number:02d}/{part}"


def format_bucket_key(key_range: KeyRange, sequence: int) -> str:
    """Return the store key of a bucket."""
    return format_store_key(key_range, f"bucket/{sequence:012d}")


def encode_head(node: Node, sequence: int) -> bytes:
    """Return the value with which this node writes the head of a range."""
    return msgspec.msgpack.encode(StoredHead(get_writer_id(node), sequence))


def encode_bucket(node: Node, records: Iterable[ClaimRecord]) -> bytes:
    """Return the value with which this node writes a bucket."""
    return msgspec.msgpack.encode(StoredBucket(get_writer_id(node), pack_records(records)))


def read_bucket(value: bytes) -> list[ClaimRecord]:
    """Decode the records of a stored bucket.

    Raises:
        ConfigurationError: If the value is malformed.
    """
    return list(unpack_records(_decode_stored(value, StoredBucket).records))


def read_head_sequence(value: bytes) -> int:
    """Decode the number of the last bucket from the stored head of a range.

    Raises:
        ConfigurationError: If the value is malformed.
    """
    return _decode_stored(value, StoredHead).sequence


def _decode_stored(value: bytes, kind: Any) -> Any:
    try:
        return decode_msgpack(value, kind)
    except DecodingError as error:
        message = f"malformed claims: {error}"
        raise ConfigurationError(ErrorCode.BLOB_CORRUPT, message) from error


def get_writer_id(node: Node) -> str:
    """Return the identifier of this process as a writer, unique to the node and its restart."""
    if not node.claims.nonce:
        node.claims.nonce = f"{node.random.getrandbits(64):x}"
    return f"{node.own.name}@{node.claims.nonce}"


def process_request(
    node: Node, now: float, key_range: KeyRange, request: ClaimRequest
) -> list[Action]:
    """Queue a claim or a release for the next write, or refuse the claim.

    Args:
        node: The node's state.
        now: The node's clock, in seconds.
        key_range: The range, which this node holds.
        request: The request of the daemon that runs the call.
    """
    found = _find_record(key_range, request.key)
    if request.release:
        if found is None or found.claim != request.claim:
            return []
        return _accept(node, now, key_range, request)
    if found is None or found.claim in (RELEASED, request.instead_of):
        if not _has_capacity(node, now, key_range):
            return [_reply(node, request, "unavailable")]
        return _accept(node, now, key_range, request)
    if found.claim != request.claim:
        verdict = "used" if found.body == request.body else "reused"
        reply = ClaimReply(request.claim, verdict, node.own.peer_address, found.claim, found.asker)
        return [SendMessage(request.asker, reply)]
    stored = all(other.claim != request.claim for other in (*key_range.pending, *key_range.writing))
    return [_reply(node, request, "granted")] if stored and not key_range.unconfirmed_value else []


def write_pending(node: Node, now: float, key_range: KeyRange) -> list[Action]:
    """Start the next write of a held range if one is due."""
    if key_range.write_outstanding or now < key_range.next_write_at:
        return []
    if key_range.unconfirmed_value:
        return [_send_bucket(key_range)]
    if not key_range.pending:
        return []
    lease_due = now - key_range.retention_requested_at >= RETENTION_LEASE_S
    if key_range.bucket_records and (
        lease_due or len(key_range.bucket_records) >= BUCKET_ROLL_RECORDS
    ):
        return _roll_bucket(node, key_range)
    if lease_due:
        return request_retention(now, key_range)
    key_range.writing, key_range.pending = key_range.pending, []
    records = [
        *key_range.bucket_records,
        *(_build_record(request) for request in key_range.writing),
    ]
    key_range.unconfirmed_value = encode_bucket(node, records)
    key_range.next_write_at = now + WRITE_INTERVAL_S
    return [_send_bucket(key_range)]


def request_retention(now: float, key_range: KeyRange) -> list[Action]:
    """Request the lease whose expiry deletes the next buckets."""
    key_range.write_outstanding = True
    key_range.retention_requested_at = now
    ttl_ms = (RETENTION_S + RETENTION_LEASE_S) * 1000
    return [LeaseGrant(format_purpose(key_range, RETAIN), ttl_ms)]


def receive_write_answer(
    node: Node, now: float, key_range: KeyRange, step: str, answer: StoreAnswered
) -> list[Action]:
    """Process the store's answer to a request of a held range.

    Args:
        node: The node's state.
        now: The node's clock, in seconds.
        key_range: The range.
        step: `BUCKET`, `ROLL` or `RETAIN`.
        answer: The store's answer.
    """
    key_range.write_outstanding = False
    key_range.store_failing = False
    if step == RETAIN:
        key_range.retention_lease = answer.lease
        return write_pending(node, now, key_range)
    entry = answer.entries[0]
    expected_value = (
        key_range.unconfirmed_value if step == BUCKET else encode_head(node, key_range.sequence + 1)
    )
    if not answer.succeeded and entry.value != expected_value:
        if step == BUCKET and entry.revision == key_range.bucket_revision:
            return _renew_retention(node, now, key_range)
        return stop_holding(node, now, key_range, "another daemon took the range over")
    if step == ROLL:
        _open_next_bucket(now, key_range, entry.revision)
        return write_pending(node, now, key_range)
    records = read_bucket(entry.value)
    granted, key_range.writing, key_range.unconfirmed_value = key_range.writing, [], b""
    key_range.bucket_revision = entry.revision
    key_range.bucket_records = records
    actions: list[Action] = [
        _reply(node, request, "granted") for request in granted if not request.release
    ]
    return actions + write_pending(node, now, key_range)


def receive_write_failure(node: Node, now: float, key_range: KeyRange, step: str) -> list[Action]:
    """Refuse all waiting requests after a failed store request.

    A bucket write whose outcome is unknown is retried with the same value.
    """
    key_range.write_outstanding = False
    key_range.store_failing = True
    key_range.next_write_at = now + RETRY_INTERVAL_S
    if step == RETAIN:
        key_range.retention_requested_at = 0.0
    return refuse_all(node, key_range, "unavailable")


def stop_holding(node: Node, now: float, key_range: KeyRange, reason: str) -> list[Action]:
    """Stop holding or acquiring a range; no claim is granted until it is acquired again."""
    actions = refuse_all(node, key_range, "moved")
    was_held = key_range.phase is RangePhase.HELD
    del node.claims.ranges[key_range.number]
    node.claims.holders.pop(key_range.number, None)
    if was_held:
        actions.append(Log(LogEvent.RANGE_LOST, {"range": key_range.number, "reason": reason}))
    return actions


def refuse_all(node: Node, key_range: KeyRange, verdict: str) -> list[Action]:
    """Send a verdict to every request that waits for a range."""
    requests = [*key_range.writing, *key_range.pending, *key_range.waiting]
    key_range.writing, key_range.pending, key_range.waiting = [], [], []
    unconfirmed = read_bucket(key_range.unconfirmed_value) if key_range.unconfirmed_value else ()
    key_range.open_records = {
        record.key: record for record in (*key_range.bucket_records, *unconfirmed)
    }
    return [_reply(node, request, verdict) for request in requests if not request.release]


def count_records(node: Node) -> int:
    """Count the records in memory of all ranges that a node holds."""
    ranges = node.claims.ranges.values()
    return sum(len(key_range.open_records) + sum(map(len, key_range.runs)) for key_range in ranges)


def expire_runs(now: float, key_range: KeyRange) -> None:
    """Remove the runs whose newest record is older than `RETENTION_S`."""
    while key_range.runs and now - key_range.runs[0].newest_at > RETENTION_S:
        del key_range.runs[0]


def _has_capacity(node: Node, now: float, key_range: KeyRange) -> bool:
    if key_range.store_failing and (key_range.unconfirmed_value or now < key_range.next_write_at):
        return False
    return len(key_range.pending) < MAX_PENDING_REQUESTS and count_records(node) < MAX_HELD_RECORDS


def _accept(node: Node, now: float, key_range: KeyRange, request: ClaimRequest) -> list[Action]:
    key_range.open_records[request.key] = _build_record(request)
    key_range.pending.append(request)
    return write_pending(node, now, key_range)


def _build_record(request: ClaimRequest) -> ClaimRecord:
    claim = RELEASED if request.release else request.claim
    return ClaimRecord(request.key, request.body, claim, digest_address(request.asker))


def _find_record(key_range: KeyRange, key: bytes) -> ClaimRecord | None:
    found = key_range.open_records.get(key)
    if found is not None:
        return found
    for run in reversed(key_range.runs):
        found = find_in_run(run, key)
        if found is not None:
            return found
    return None


def _send_bucket(key_range: KeyRange) -> Action:
    key_range.write_outstanding = True
    return StoreWrite(
        format_purpose(key_range, BUCKET),
        format_bucket_key(key_range, key_range.sequence),
        key_range.unconfirmed_value,
        key_range.bucket_revision,
        key_range.retention_lease,
    )


def _roll_bucket(node: Node, key_range: KeyRange) -> list[Action]:
    key_range.write_outstanding = True
    value = encode_head(node, key_range.sequence + 1)
    key = format_store_key(key_range, "head")
    return [StoreWrite(format_purpose(key_range, ROLL), key, value, key_range.head_revision)]


def _open_next_bucket(now: float, key_range: KeyRange, head_revision: int) -> None:
    add_run(key_range.runs, build_run(now, key_range.bucket_records))
    stored = {(record.key, record.claim) for record in key_range.bucket_records}
    key_range.open_records = {
        key: record
        for key, record in key_range.open_records.items()
        if (key, record.claim) not in stored
    }
    key_range.head_revision = head_revision
    key_range.sequence += 1
    key_range.bucket_records = []
    key_range.bucket_revision = 0


def _renew_retention(node: Node, now: float, key_range: KeyRange) -> list[Action]:
    key_range.retention_requested_at = now
    return request_retention(now, key_range)


def _reply(node: Node, request: ClaimRequest, verdict: str) -> Action:
    holder = "" if verdict == "moved" else node.own.peer_address
    return SendMessage(request.asker, ClaimReply(request.claim, verdict, holder))
