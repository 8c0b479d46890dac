"""A stand-in of the platform's store: compare-and-swap, leases, watches and its faults."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from magnoliasill.actions import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    StoreAction,
    StoreDelete,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from magnoliasill.codes import ErrorCode
from magnoliasill.errors import StoreError, StoreOutcomeUnknownError
from magnoliasill.events import StoreAnswered, StoreEntry

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_VALUE_BYTES = 1_000_000
_WRITES = (StoreWrite, StoreDelete, LeaseGrant, LeaseKeepAlive, LeaseRevoke)


@attrs.define
class StoreFaults:
    """What is wrong with the store at present.

    Attributes:
        outage: Every request fails without effect.
        delay_ms: Every answer comes this much later.
        lose_answers: The answers of this many further writes are lost after their effect.
        writes_per_second: Writes above this rate are refused; 0 for no limit.
        reads_per_second: Reads above this rate are refused; 0 for no limit.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    writes_per_second: int = 0
    reads_per_second: int = 0


@attrs.define
class Lease:
    """A lease: its end, its length and the keys that go with it."""

    until: float
    ttl_ms: int
    keys: set[str] = attrs.field(factory=set)


@attrs.define
class StoreTables:
    """Everything that the store holds.

    Attributes:
        entries: Present keys.
        leases: Present leases.
        revision: Counts changes.
        leases_granted: Counts leases, for their names.
        faults: What is wrong at present.
        counts: Requests by kind, refused ones included.
        window: The second whose requests are counted for the rate limits.
        window_counts: Requests of that second.
        peak: The greatest number of requests in one second, by `reads` and `writes`.
    """

    entries: dict[str, StoreEntry] = attrs.field(factory=dict)
    leases: dict[str, Lease] = attrs.field(factory=dict)
    revision: int = 0
    leases_granted: int = 0
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    counts: Counter[str] = attrs.field(factory=Counter)
    window: int = 0
    window_counts: Counter[str] = attrs.field(factory=Counter)
    peak: dict[str, int] = attrs.field(factory=lambda: {"reads": 0, "writes": 0})


def build_local_store(
    tables: StoreTables, clock: Callable[[], float]
) -> Callable[[StoreAction], StoreAnswered]:
    """Return a store function that works on tables in this process; a watch never waits."""

    def perform(action: StoreAction) -> StoreAnswered:
        return apply_request(tables, clock(), action)

    return perform


def apply_request(tables: StoreTables, now: float, action: StoreAction) -> StoreAnswered:
    """Perform one request with the present faults.

    Args:
        tables: The store's tables.
        now: Seconds of the store's clock.
        action: The request.

    Returns:
        The answer; for a watch, the present entry.

    Raises:
        StoreError: During an outage or above a rate limit.
        StoreOutcomeUnknownError: If the answer was lost after the write took effect.
    """
    _count(tables, now, action)
    if tables.faults.outage:
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, "outage")
    expire_leases(tables, now)
    answer = _perform(tables, now, action)
    if isinstance(action, _WRITES) and tables.faults.lose_answers > 0:
        tables.faults.lose_answers -= 1
        raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, "answer lost")
    return answer


def expire_leases(tables: StoreTables, now: float) -> None:
    """Delete the keys of every lease that is over."""
    for name, lease in list(tables.leases.items()):
        if now >= lease.until:
            _end_lease(tables, name)


def read_entry(tables: StoreTables, key: str) -> StoreEntry:
    """Return the entry of a key, with revision 0 where it is absent."""
    return tables.entries.get(key, StoreEntry(key, b"", 0))


def _count(tables: StoreTables, now: float, action: StoreAction) -> None:
    tables.counts[type(action).__name__] += 1
    if int(now) != tables.window:
        tables.window = int(now)
        tables.window_counts.clear()
    kind = "writes" if isinstance(action, _WRITES) else "reads"
    tables.window_counts[kind] += 1
    tables.peak[kind] = max(tables.peak[kind], tables.window_counts[kind])
    faults = tables.faults
    limit = faults.writes_per_second if kind == "writes" else faults.reads_per_second
    if limit and tables.window_counts[kind] > limit:
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, "rate limit")


def _perform(tables: StoreTables, now: float, action: StoreAction) -> StoreAnswered:
    match action:
        case StoreRead(purpose=purpose, keys=keys, prefix=prefix):
            found = [read_entry(tables, key) for key in keys]
            if prefix:
                found += [
                    tables.entries[key] for key in sorted(tables.entries) if key.startswith(prefix)
                ]
            return StoreAnswered(purpose, entries=tuple(found), revision=tables.revision)
        case StoreWatch(purpose=purpose, key=key):
            entry = read_entry(tables, key)
            return StoreAnswered(purpose, entries=(entry,), revision=tables.revision)
        case StoreWrite():
            return _write(tables, action)
        case StoreDelete(purpose=purpose, key=key, expected_revision=expected):
            present = read_entry(tables, key)
            succeeded = present.revision == expected and expected > 0
            if succeeded:
                _delete(tables, key)
            return StoreAnswered(purpose, succeeded, (present,), revision=tables.revision)
        case LeaseGrant(purpose=purpose, ttl_ms=ttl_ms):
            tables.leases_granted += 1
            name = f"lease-{tables.leases_granted}"
            tables.leases[name] = Lease(now + ttl_ms / 1000, ttl_ms)
            return StoreAnswered(purpose, lease=name, revision=tables.revision)
        case LeaseKeepAlive(purpose=purpose, lease=name):
            lease = tables.leases.get(name)
            if lease is not None:
                lease.until = now + lease.ttl_ms / 1000
            return StoreAnswered(purpose, lease is not None, lease=name, revision=tables.revision)
        case LeaseRevoke(purpose=purpose, lease=name):
            _end_lease(tables, name)
            return StoreAnswered(purpose, lease=name, revision=tables.revision)
    raise TypeError(type(action).__name__)


def _write(tables: StoreTables, action: StoreWrite) -> StoreAnswered:
    present = read_entry(tables, action.key)
    lease = tables.leases.get(action.lease)
    refused = present.revision != action.expected_revision or (action.lease and lease is None)
    if refused or len(action.value) > MAX_VALUE_BYTES:
        return StoreAnswered(action.purpose, False, (present,), revision=tables.revision)
    tables.revision += 1
    entry = StoreEntry(action.key, action.value, tables.revision)
    tables.entries[action.key] = entry
    if lease is not None:
        lease.keys.add(action.key)
    return StoreAnswered(action.purpose, True, (entry,), revision=tables.revision)


def _delete(tables: StoreTables, key: str) -> None:
    tables.revision += 1
    tables.entries.pop(key, None)


def _end_lease(tables: StoreTables, name: str) -> None:
    lease = tables.leases.pop(name, None)
    for key in sorted(lease.keys if lease is not None else ()):
        _delete(tables, key)
