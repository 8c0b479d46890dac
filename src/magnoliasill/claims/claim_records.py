"""Records of claimed idempotency keys, packed into sorted byte strings to save memory."""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..core.messages import ClaimRequest

KEY_BYTES = 12
BODY_BYTES = 4
CLAIM_BYTES = 8
ASKER_BYTES = 4
RECORD_BYTES = KEY_BYTES + BODY_BYTES + CLAIM_BYTES + ASKER_BYTES
RELEASED = bytes(CLAIM_BYTES)  # in place of a claim identifier
RANGE_COUNT = 24
MAX_RUN_RECORDS = 8_192


@attrs.frozen
class ClaimRecord:
    """An idempotency key and the claim that reserves it.

    Attributes:
        key: Digest of the service and the caller's idempotency key.
        body: Digest of the request that the key belongs to.
        claim: The claim's identifier, or `RELEASED` if its request certainly did not run.
        asker: Digest of the peer address of the daemon that runs the request.
    """

    key: bytes
    body: bytes
    claim: bytes
    asker: bytes


@attrs.define
class SortedRun:
    """Records sorted by key, packed into one byte string.

    Attributes:
        newest_at: When the newest record was added, in seconds of the node's clock.
        packed: The packed records.
    """

    newest_at: float
    packed: bytes

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self.packed) // RECORD_BYTES


def digest_key(service: str, key: str) -> bytes:
    """Return the digest under which a caller's idempotency key is recorded."""
    return _digest(KEY_BYTES, service.encode(), key.encode())


def digest_request(method: str, target: str, body: bytes) -> bytes:
    """Return the digest that detects the use of one key for different requests."""
    return _digest(BODY_BYTES, method.encode(), target.encode(), body)


def digest_address(address: str) -> bytes:
    """Return the digest under which a daemon's peer address is recorded."""
    return _digest(ASKER_BYTES, address.encode())


def find_range(key: bytes) -> int:
    """Return the number of the range that contains a key's digest."""
    return int.from_bytes(key[:4]) % RANGE_COUNT


def is_well_formed(request: ClaimRequest) -> bool:
    """Return whether a peer's request has fields of the right sizes and its key's range."""
    sizes = (len(request.key), len(request.body), len(request.claim))
    if sizes != (KEY_BYTES, BODY_BYTES, CLAIM_BYTES) or request.claim == RELEASED:
        return False
    return request.number == find_range(request.key)


def pack_records(records: Iterable[ClaimRecord]) -> bytes:
    """Pack records into one byte string."""
    return b"".join(r.key + r.body + r.claim + r.asker for r in records)


def unpack_records(packed: bytes) -> Iterator[ClaimRecord]:
    """Yield the records of a packed byte string."""
    for start in range(0, len(packed) - RECORD_BYTES + 1, RECORD_BYTES):
        yield _unpack(packed[start : start + RECORD_BYTES])


def build_run(newest_at: float, records: Iterable[ClaimRecord]) -> SortedRun:
    """Sort and pack records; the last record of each key replaces the earlier ones."""
    latest = {record.key: record for record in records}
    return SortedRun(newest_at, pack_records(latest[key] for key in sorted(latest)))


def find_in_run(run: SortedRun, key: bytes) -> ClaimRecord | None:
    """Find the record of a key by binary search, or return None."""
    packed = run.packed

    def read_key(index: int) -> bytes:
        return packed[index * RECORD_BYTES : index * RECORD_BYTES + KEY_BYTES]

    index = bisect_left(range(len(run)), key, key=read_key)
    if index == len(run) or read_key(index) != key:
        return None
    return _unpack(packed[index * RECORD_BYTES : (index + 1) * RECORD_BYTES])


def add_run(runs: list[SortedRun], run: SortedRun) -> None:
    """Append a new run, and merge it with older runs that are no larger.

    Merging keeps the number of runs logarithmic; no merged run exceeds `MAX_RUN_RECORDS`.
    """
    runs.append(run)
    while len(runs) > 1 and len(runs[-2]) <= len(runs[-1]):
        older, newer = runs[-2:]
        if len(older) + len(newer) > MAX_RUN_RECORDS:
            return
        records = [*unpack_records(older.packed), *unpack_records(newer.packed)]
        runs[-2:] = [build_run(newer.newest_at, records)]


def _unpack(packed: bytes) -> ClaimRecord:
    body = KEY_BYTES + BODY_BYTES
    claim = body + CLAIM_BYTES
    return ClaimRecord(
        packed[:KEY_BYTES], packed[KEY_BYTES:body], packed[body:claim], packed[claim:]
    )


def _digest(size: int, *parts: bytes) -> bytes:
    hasher = hashlib.blake2b(digest_size=size)
    for part in parts:
        hasher.update(len(part).to_bytes(8))
        hasher.update(part)
    return hasher.digest()
