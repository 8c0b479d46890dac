"""Claim records: which claim holds a key, in a packed and searchable form."""

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
RELEASED = bytes(CLAIM_BYTES)
RANGES = 24
MAX_RUN_RECORDS = 8_192


@attrs.frozen
class ClaimRecord:
    """One key and the claim that holds it.

    Attributes:
        key: Digest of the service and the caller's key.
        body: Digest of the request that the key belongs to.
        claim: The claim's identifier, or `RELEASED` where its request certainly did not run.
        asker: Digest of the peer address of the daemon that runs the request.
    """

    key: bytes
    body: bytes
    claim: bytes
    asker: bytes


@attrs.define
class Run:
    """Records sorted by key, packed into one byte string.

    Attributes:
        newest_at: When the last of them was recorded, in seconds of the node's clock.
        packed: The records.
    """

    newest_at: float
    packed: bytes

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self.packed) // RECORD_BYTES


def digest_key(service: str, key: str) -> bytes:
    """Return the digest that stands for a caller's key."""
    return _digest(KEY_BYTES, service.encode(), key.encode())


def digest_request(method: str, target: str, body: bytes) -> bytes:
    """Return the digest of what a key belongs to."""
    return _digest(BODY_BYTES, method.encode(), target.encode(), body)


def digest_address(address: str) -> bytes:
    """Return the digest that stands for a daemon's peer address."""
    return _digest(ASKER_BYTES, address.encode())


def find_range(key: bytes) -> int:
    """Return the number of the range that a key's digest falls into."""
    return int.from_bytes(key[:4]) % RANGES


def is_well_formed(request: ClaimRequest) -> bool:
    """Return whether a peer's request can be kept as a record of its range."""
    sizes = (len(request.key), len(request.body), len(request.claim))
    if sizes != (KEY_BYTES, BODY_BYTES, CLAIM_BYTES) or request.claim == RELEASED:
        return False
    return request.number == find_range(request.key)


def pack_records(records: Iterable[ClaimRecord]) -> bytes:
    """Return the stored form of some records."""
    return b"".join(r.key + r.body + r.claim + r.asker for r in records)


def unpack_records(packed: bytes) -> Iterator[ClaimRecord]:
    """Yield the records of a stored form."""
    for start in range(0, len(packed) - RECORD_BYTES + 1, RECORD_BYTES):
        yield _unpack(packed[start : start + RECORD_BYTES])


def build_run(newest_at: float, records: Iterable[ClaimRecord]) -> Run:
    """Sort and pack records; of those with one key the last one counts."""
    latest = {record.key: record for record in records}
    return Run(newest_at, pack_records(latest[key] for key in sorted(latest)))


def find_in_run(run: Run, key: bytes) -> ClaimRecord | None:
    """Return the record of a key, or None."""
    packed = run.packed

    def read_key(place: int) -> bytes:
        return packed[place * RECORD_BYTES : place * RECORD_BYTES + KEY_BYTES]

    place = bisect_left(range(len(run)), key, key=read_key)
    if place == len(run) or read_key(place) != key:
        return None
    return _unpack(packed[place * RECORD_BYTES : (place + 1) * RECORD_BYTES])


def add_run(runs: list[Run], run: Run) -> None:
    """Append the newest run, joined with its neighbours while these are no larger."""
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
    state = hashlib.blake2b(digest_size=size)
    for part in parts:
        state.update(len(part).to_bytes(8))
        state.update(part)
    return state.digest()
