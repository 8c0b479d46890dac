"""The node's claims: the key ranges that it holds, and the requests that it runs itself."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum

import attrs

from ..core.messages import ClaimRequest
from .claim_records import ClaimRecord, Run

MAX_OWN_CLAIMS = 5_000
MAX_KEPT_ANSWERS_BYTES = 2_000_000
MAX_KEPT_ANSWER_BYTES = 16_384


class ClaimStatus(StrEnum):
    """What the daemon that made a claim knows of its request."""

    WAITING = "waiting"  # not granted so far, so not sent
    RUNNING = "running"  # granted; it may be running
    FINISHED = "finished"  # a whole answer arrived
    NOT_RUN = "not run"  # certainly did not run and will not under this claim
    UNKNOWN = "unknown"  # it may have run, and no answer is known


@attrs.frozen
class KeptAnswer:
    """A whole answer that is given again to the same key."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes


@attrs.define
class OwnClaim:
    """A request that this daemon wants to run, runs or ran."""

    key: bytes
    body: bytes
    claim: bytes
    status: ClaimStatus = ClaimStatus.WAITING
    answer: KeptAnswer | None = None


class RangePhase(StrEnum):
    """How far a node is in taking over a range."""

    VACANT = "vacant"
    LOOKING = "look"
    GRANTING = "grant"
    LOCKING = "lock"
    READING_HEAD = "head-read"
    MOVING_HEAD = "head-write"
    READING_LAST = "last-read"
    CLOSING_LAST = "last-close"
    LOADING = "load"
    GRANTING_RETENTION = "retention"
    HELD = "held"


@attrs.define
class HeldRange:
    """A range that this node holds or is taking over.

    Attributes:
        number: The range's number.
        epoch: Tells the answers to its requests from those of an earlier time.
        phase: How far the node is.
        moved_to: The peer address of another holder, as the store last named it.
        lease: The lease of the lock.
        lease_until: When it is over, counted from before its last request was sent.
        asked_at: When the outstanding request for the lease was sent.
        renew_at: When to extend the lease next.
        renewing: Whether a renewal is outstanding.
        retry_at: When to try to take the range over again.
        head_revision: The revision of the head, as this node wrote it.
        sequence: The bucket that this node writes.
        bucket_revision: The revision of that bucket, 0 before its first write.
        bucket: The records of that bucket, stored ones first.
        retention: The lease that keeps the buckets.
        retention_at: When that lease was asked for.
        load_next: The bucket to load next, downwards.
        loaded: Runs loaded so far, newest first.
        runs: Records of full buckets, the newest run last.
        fresh: Records of the open bucket, among them those not yet stored.
        pending: Requests and releases for the next write.
        writing: Requests and releases in the outstanding write.
        written: The value of the outstanding or unanswered write.
        write_busy: Whether the write's answer is outstanding.
        write_at: When the next write may go.
        failing: Whether the last request to the store was not answered.
        waiting: Requests that arrived before the range was held.
    """

    number: int
    epoch: int = 0
    phase: RangePhase = RangePhase.VACANT
    moved_to: str = ""
    lease: str = ""
    lease_until: float = 0.0
    asked_at: float = 0.0
    renew_at: float = 0.0
    renewing: bool = False
    retry_at: float = 0.0
    head_revision: int = 0
    sequence: int = 0
    bucket_revision: int = 0
    bucket: list[ClaimRecord] = attrs.field(factory=list)
    retention: str = ""
    retention_at: float = 0.0
    load_next: int = 0
    loaded: list[Run] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    fresh: dict[bytes, ClaimRecord] = attrs.field(factory=dict)
    pending: list[ClaimRequest] = attrs.field(factory=list)
    writing: list[ClaimRequest] = attrs.field(factory=list)
    written: bytes = b""
    write_busy: bool = False
    write_at: float = 0.0
    failing: bool = False
    waiting: list[ClaimRequest] = attrs.field(factory=list)


@attrs.define
class ClaimTable:
    """Everything that a node knows of claims.

    Attributes:
        ranges: The ranges that it holds or is taking over, by number.
        holders: The peer address of each range's holder, as last heard.
        own: The node's own claims by identifier, the oldest first.
        own_keys: The identifier of the node's latest claim by key.
        nonce: Tells the writes of this process from those of an earlier one.
        epochs: Counts the times that the node began to take over a range.
        kept_bytes: The bodies of the kept answers together.
    """

    ranges: dict[int, HeldRange] = attrs.field(factory=dict)
    holders: dict[int, str] = attrs.field(factory=dict)
    own: OrderedDict[bytes, OwnClaim] = attrs.field(factory=OrderedDict)
    own_keys: dict[bytes, bytes] = attrs.field(factory=dict)
    nonce: str = ""
    epochs: int = 0
    kept_bytes: int = 0


def start_claim(table: ClaimTable, key: bytes, body: bytes, claim: bytes) -> OwnClaim:
    """Note a claim that this node is about to ask for, and forget the oldest ended ones."""
    own = OwnClaim(key, body, claim)
    table.own[claim] = own
    table.own_keys[key] = claim
    while len(table.own) > MAX_OWN_CLAIMS:
        _forget_oldest(table)
    return own


def find_own_claim(table: ClaimTable, key: bytes) -> OwnClaim | None:
    """Return the node's latest claim of a key, or None."""
    claim = table.own_keys.get(key)
    return table.own.get(claim) if claim is not None else None


def finish_claim(table: ClaimTable, own: OwnClaim, answer: KeptAnswer | None) -> None:
    """Note the whole answer of a claim's request; a short one is kept for the same key.

    Args:
        table: The node's claims.
        own: The claim.
        answer: The answer, or None where it is too long to be kept.
    """
    own.status = ClaimStatus.FINISHED
    if answer is None or len(answer.body) > MAX_KEPT_ANSWER_BYTES:
        return
    own.answer = answer
    table.kept_bytes += len(answer.body)
    for other in list(table.own.values()):
        if table.kept_bytes <= MAX_KEPT_ANSWERS_BYTES:
            break
        _drop_answer(table, other)


def _forget_oldest(table: ClaimTable) -> None:
    open_statuses = (ClaimStatus.WAITING, ClaimStatus.RUNNING)
    own = next((own for own in table.own.values() if own.status not in open_statuses), None)
    if own is None:
        return
    _drop_answer(table, own)
    del table.own[own.claim]
    if table.own_keys.get(own.key) == own.claim:
        del table.own_keys[own.key]


def _drop_answer(table: ClaimTable, own: OwnClaim) -> None:
    if own.answer is not None:
        table.kept_bytes -= len(own.answer.body)
        own.answer = None
