"""A node's state of claims: the key ranges that it holds, and the claims of its own requests."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum

import attrs

from ..core.messages import ClaimRequest
from .claim_records import ClaimRecord, SortedRun

MAX_OWN_CLAIMS = 5_000
MAX_CACHE_BYTES = 2_000_000  # of all cached responses
MAX_CACHED_RESPONSE_BYTES = 16_384


class ClaimStatus(StrEnum):
    """The status of a claim's request, as the daemon that made the claim knows it."""

    WAITING = "waiting"  # not granted yet, so the request was not sent
    RUNNING = "running"  # granted; the request may be running
    FINISHED = "finished"  # the request ran; a response arrived, perhaps too long to be cached
    NOT_RUN = "not run"  # the request did not run and never will under this claim
    UNKNOWN = "unknown"  # the request may have run, and no complete response is known


@attrs.frozen
class CachedResponse:
    """A complete response that is cached for retries with the same idempotency key."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define
class OwnClaim:
    """A claim of this daemon for a request that it is about to run, runs or ran."""

    key: bytes
    body: bytes
    claim: bytes
    status: ClaimStatus = ClaimStatus.WAITING
    response: CachedResponse | None = None


class RangePhase(StrEnum):
    """The phase of the acquisition of a range by a node."""

    VACANT = "vacant"
    READING_HOLDER = "look"
    GRANTING_LEASE = "grant"
    LOCKING = "lock"
    READING_HEAD = "head-read"
    ADVANCING_HEAD = "head-write"
    READING_LAST_BUCKET = "last-read"
    CLOSING_LAST_BUCKET = "last-close"
    LOADING = "load"
    GRANTING_RETENTION = "retention"
    HELD = "held"


@attrs.define
class KeyRange:
    """A range that this node holds, acquires or recently failed to acquire.

    Attributes:
        number: The range's number.
        epoch: Number of the acquisition; late store answers to an earlier one are ignored.
        phase: The phase of the acquisition.
        moved_to: The peer address of the other holder that the store last returned.
        lease: The lease of the lock.
        lease_until: When the lease expires, counted from when its last request was sent.
        lease_requested_at: When the last grant or renewal of the lease was requested.
        renew_at: When to renew the lease next.
        renewal_outstanding: Whether a renewal is outstanding.
        retry_at: When this node may try again to acquire the range.
        head_revision: The head's revision when this node last read or wrote it.
        sequence: The number of the bucket that this node writes, the open bucket.
        bucket_revision: The revision of the open bucket; 0 before its first write.
        bucket_records: The stored records of the open bucket.
        retention_lease: The lease whose expiry deletes the buckets that are written under it.
        retention_requested_at: When the retention lease was requested.
        next_load_sequence: The number of the bucket to load next, in descending order.
        loaded_runs: Runs loaded so far during the acquisition, the newest first.
        runs: Records of closed buckets, the newest run last.
        open_records: Records of the open bucket by key, including those not yet stored.
        pending: Requests and releases for the next write.
        writing: Requests and releases in the outstanding write.
        unconfirmed_value: Value of a bucket write that is outstanding or has an unknown outcome.
        write_outstanding: Whether a store request of the held range is outstanding.
        next_write_at: The earliest time of the next write.
        store_failing: Whether the last store request failed.
        waiting: Requests that arrived during the acquisition.
    """

    number: int
    epoch: int = 0
    phase: RangePhase = RangePhase.VACANT
    moved_to: str = ""
    lease: str = ""
    lease_until: float = 0.0
    lease_requested_at: float = 0.0
    renew_at: float = 0.0
    renewal_outstanding: bool = False
    retry_at: float = 0.0
    head_revision: int = 0
    sequence: int = 0
    bucket_revision: int = 0
    bucket_records: list[ClaimRecord] = attrs.field(factory=list)
    retention_lease: str = ""
    retention_requested_at: float = 0.0
    next_load_sequence: int = 0
    loaded_runs: list[SortedRun] = attrs.field(factory=list)
    runs: list[SortedRun] = attrs.field(factory=list)
    open_records: dict[bytes, ClaimRecord] = attrs.field(factory=dict)
    pending: list[ClaimRequest] = attrs.field(factory=list)
    writing: list[ClaimRequest] = attrs.field(factory=list)
    unconfirmed_value: bytes = b""
    write_outstanding: bool = False
    next_write_at: float = 0.0
    store_failing: bool = False
    waiting: list[ClaimRequest] = attrs.field(factory=list)


@attrs.define
class ClaimState:
    """The state of a node's claims and of the key ranges that it knows.

    Attributes:
        ranges: The ranges that the node holds or acquires, by number.
        holders: The last known peer address of each range's holder, by range number.
        own: The node's own claims by identifier, the oldest first.
        own_by_key: The identifier of the node's latest own claim, by key.
        nonce: Distinguishes the writes of this process from those before a restart.
        last_epoch: The epoch of the last acquisition that the node started.
        cached_bytes: The total size of the bodies of the cached responses.
    """

    ranges: dict[int, KeyRange] = attrs.field(factory=dict)
    holders: dict[int, str] = attrs.field(factory=dict)
    own: OrderedDict[bytes, OwnClaim] = attrs.field(factory=OrderedDict)
    own_by_key: dict[bytes, bytes] = attrs.field(factory=dict)
    nonce: str = ""
    last_epoch: int = 0
    cached_bytes: int = 0


def start_claim(state: ClaimState, key: bytes, body: bytes, claim: bytes) -> OwnClaim:
    """Add a claim that this node is about to request, and remove old claims beyond the limit."""
    own_claim = OwnClaim(key, body, claim)
    state.own[claim] = own_claim
    state.own_by_key[key] = claim
    while len(state.own) > MAX_OWN_CLAIMS:
        _remove_oldest_ended(state)
    return own_claim


def find_own_claim(state: ClaimState, key: bytes) -> OwnClaim | None:
    """Return the node's latest own claim for a key, or None."""
    claim = state.own_by_key.get(key)
    return state.own.get(claim) if claim is not None else None


def finish_claim(state: ClaimState, own_claim: OwnClaim, response: CachedResponse | None) -> None:
    """Mark a claim as finished, and cache a short response for retries with the same key.

    Args:
        state: The node's state of claims.
        own_claim: The claim.
        response: The complete response, or None if it is too long to be cached.
    """
    own_claim.status = ClaimStatus.FINISHED
    if response is None or len(response.body) > MAX_CACHED_RESPONSE_BYTES:
        return
    own_claim.response = response
    state.cached_bytes += len(response.body)
    for other in list(state.own.values()):
        if state.cached_bytes <= MAX_CACHE_BYTES:
            break
        _drop_cached_response(state, other)


def _remove_oldest_ended(state: ClaimState) -> None:
    open_statuses = (ClaimStatus.WAITING, ClaimStatus.RUNNING)
    own_claim = next(
        (own_claim for own_claim in state.own.values() if own_claim.status not in open_statuses),
        None,
    )
    if own_claim is None:
        return
    _drop_cached_response(state, own_claim)
    del state.own[own_claim.claim]
    if state.own_by_key.get(own_claim.key) == own_claim.claim:
        del state.own_by_key[own_claim.key]


def _drop_cached_response(state: ClaimState, own_claim: OwnClaim) -> None:
    if own_claim.response is not None:
        state.cached_bytes -= len(own_claim.response.body)
        own_claim.response = None
