"""Requests that were running on backend servers when these ended, and when they are blocked.

A request that ends each server that runs it is blocked once it has ended several. One that only
ran beside it is answered sooner or later, and an answer clears it of all ends known until then.
Ends and clearances are only ever added, so that reports of them can be merged in any order.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_SUSPECTS = 1_000
MAX_SERVERS = 64  # remembered for one request
RETENTION_S = 600.0
FINGERPRINT_BYTES = 12


@attrs.frozen
class BlockRule:
    """When a request is blocked, and for how long.

    Attributes:
        servers: The number of ended servers from which it is blocked.
        first_s: The seconds for which it is blocked the first time. Each later time doubles them.
        max_s: The longest time in seconds.
    """

    servers: int = 2
    first_s: float = 60.0
    max_s: float = 3_600.0


@attrs.define
class SuspectRequest:
    """A request that was running on one or more backend servers when they ended.

    Attributes:
        ended: Hashes of those servers.
        cleared: Hashes of servers whose end it is cleared of.
        seen_at: When the last of them was added, in seconds on the monotonic clock.
        blocks: How often the request has been blocked.
        blocked_until: Until when the request is rejected, in seconds on the monotonic clock.
    """

    ended: set[bytes] = attrs.field(factory=set)
    cleared: set[bytes] = attrs.field(factory=set)
    seen_at: float = 0.0
    blocks: int = 0
    blocked_until: float = 0.0

    @property
    def counted(self) -> set[bytes]:
        """The ends that count against the request."""
        return self.ended - self.cleared


@attrs.define
class CrashTable:
    """Suspect requests by fingerprint; the one updated most recently is last."""

    rule: BlockRule = BlockRule()
    suspects: OrderedDict[bytes, SuspectRequest] = attrs.field(factory=OrderedDict)


def compute_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a hash that identifies equal requests, regardless of their identifiers.

    Args:
        method: The HTTP method.
        target: What determines where the request goes, such as host, path and query.
        body: The body, or the bytes that represent a long one.
    """
    state = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), target.encode(), body):
        state.update(len(part).to_bytes(8))
        state.update(part)
    return state.digest()


def is_blocked(table: CrashTable, now: float, fingerprint: bytes) -> bool:
    """Return whether a request is currently blocked."""
    return find_block_left(table, now, fingerprint) > 0


def find_block_left(table: CrashTable, now: float, fingerprint: bytes) -> float:
    """Return the seconds for which a request remains blocked, or 0."""
    suspect = table.suspects.get(fingerprint)
    if suspect is None or len(suspect.counted) < table.rule.servers:
        return 0.0
    return max(suspect.blocked_until - now, 0.0)


def list_blocked(table: CrashTable, now: float) -> set[bytes]:
    """Return the fingerprints of the requests that are currently blocked."""
    return {
        fingerprint
        for fingerprint, suspect in table.suspects.items()
        if suspect.blocked_until > now and is_blocked(table, now, fingerprint)
    }


def count_ends(table: CrashTable, fingerprint: bytes) -> int:
    """Return the number of ended servers that count against a request."""
    suspect = table.suspects.get(fingerprint)
    return 0 if suspect is None else len(suspect.counted)


def add_ends(
    table: CrashTable, now: float, fingerprint: bytes, servers: Collection[bytes]
) -> SuspectRequest | None:
    """Record that servers ended while they ran a request; block it if it has ended enough.

    Args:
        table: The table.
        now: Seconds on the monotonic clock.
        fingerprint: The request's fingerprint.
        servers: Hashes of the servers.

    Returns:
        The suspect, or None if all of these ends were known.
    """
    suspect = table.suspects.get(fingerprint)
    if suspect is None or now - suspect.seen_at > _find_retention(table, suspect):
        suspect = SuspectRequest()
    if set(servers) <= suspect.ended:
        return None
    suspect.ended |= set(servers)
    _store_suspect(table, now, fingerprint, suspect)
    if len(suspect.counted) >= table.rule.servers and now >= suspect.blocked_until:
        seconds = min(table.rule.first_s * 2**suspect.blocks, table.rule.max_s)
        suspect.blocks += 1
        suspect.blocked_until = now + seconds
    return suspect


def clear_ends(
    table: CrashTable, now: float, fingerprint: bytes, servers: Collection[bytes] | None = None
) -> bool:
    """Clear a request of the ends of servers.

    Args:
        table: The table.
        now: Seconds on the monotonic clock.
        fingerprint: The request's fingerprint.
        servers: Hashes of the servers, known to have ended or not; None for all that are known.

    Returns:
        Whether any of it was new.
    """
    suspect = table.suspects.get(fingerprint)
    cleared = (suspect.ended if suspect is not None else ()) if servers is None else servers
    if not cleared or (suspect is not None and set(cleared) <= suspect.cleared):
        return False
    suspect = suspect or SuspectRequest()
    suspect.cleared |= set(cleared)
    if len(suspect.counted) < table.rule.servers:
        suspect.blocks, suspect.blocked_until = 0, 0.0
    _store_suspect(table, now, fingerprint, suspect)
    return True


def remove_expired(table: CrashTable, now: float) -> None:
    """Remove the oldest suspects whose retention has passed."""
    while table.suspects:
        fingerprint, suspect = next(iter(table.suspects.items()))
        if now - suspect.seen_at <= _find_retention(table, suspect):
            return
        del table.suspects[fingerprint]


def _store_suspect(
    table: CrashTable, now: float, fingerprint: bytes, suspect: SuspectRequest
) -> None:
    suspect.seen_at = now
    if len(suspect.ended | suspect.cleared) > MAX_SERVERS:  # the counted ones decide
        suspect.ended, suspect.cleared = set(sorted(suspect.counted)[:MAX_SERVERS]), set()
    table.suspects[fingerprint] = suspect
    table.suspects.move_to_end(fingerprint)
    if len(table.suspects) > MAX_SUSPECTS:
        found = (key for key, other in table.suspects.items() if len(other.counted) < 2)
        del table.suspects[next(found, next(iter(table.suspects)))]


def _find_retention(table: CrashTable, suspect: SuspectRequest) -> float:
    return RETENTION_S + table.rule.max_s if suspect.blocks else RETENTION_S
