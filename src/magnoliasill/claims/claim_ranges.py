"""Acquisition of key ranges by one node at a time, without losing a claim when the holder changes.

A node locks a range by writing its address under a lease. It then rewrites the last bucket and the
head, so that conditional writes of an earlier holder, such as one that was paused past its lease,
fail. Only then it loads the records of the earlier buckets and grants claims.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..core.actions import (
    Action,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Log,
    ResolveWait,
    SendMessage,
    StoreRead,
    StoreWrite,
)
from ..core.messages import ClaimReply, ClaimReport, ClaimRequest
from ..core.node import list_alive
from ..errors import ConfigurationError
from .claim_recording import (
    RETENTION_LEASE_S,
    RETENTION_S,
    RETRY_INTERVAL_S,
    encode_bucket,
    encode_head,
    expire_runs,
    format_bucket_key,
    format_purpose,
    format_store_key,
    process_request,
    read_bucket,
    read_head_sequence,
    receive_write_answer,
    receive_write_failure,
    refuse_all,
    stop_holding,
    write_pending,
)
from .claim_records import add_run, build_run, find_range, is_well_formed
from .claim_state import ClaimStatus, KeyRange, RangePhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.events import StoreAnswered, StoreFailed
    from ..core.messages import ClaimQuery
    from ..core.node import Node

LEASE_TTL_MS = 3_000  # of the lock of a range
RENEW_INTERVAL_S = 1.0
LEASE_MARGIN_S = 0.3  # a holder stops granting claims this long before its lease expires
LOAD_BATCH_BUCKETS = 32  # buckets read by one store request
MAX_WAITING_REQUESTS = 500  # of a range that is being acquired
RENEW = "renew"
RELEASE = "release"


def list_candidates(node: Node, number: int) -> list[str]:
    """Return the peer addresses of the nodes that may hold a range, the preferred one first.

    The order is a rendezvous hash: nodes with the same members return the same list.
    """
    records = [node.own, *list_alive(node)]
    addresses = [record.peer_address for record in records if record.status == "alive"]
    return sorted(addresses, key=lambda address: _rank(number, address))


def receive_claim_request(node: Node, now: float, request: ClaimRequest) -> list[Action]:
    """Process a request for a range, and first acquire the range if no node holds it."""
    if not is_well_formed(request):
        return []
    key_range = node.claims.ranges.get(request.number)
    if key_range is not None and key_range.phase is RangePhase.HELD:
        if now >= key_range.lease_until - LEASE_MARGIN_S:
            return stop_holding(node, now, key_range, "the lease is over") + _reply_moved(
                request, ""
            )
        return process_request(node, now, key_range, request)
    if request.release:
        return []
    if node.own.status != "alive":
        return _reply_moved(request, "")
    if key_range is None:
        key_range = node.claims.ranges[request.number] = KeyRange(request.number)
    if key_range.phase is RangePhase.VACANT and now < key_range.retry_at:
        if key_range.moved_to:
            return _reply_moved(request, key_range.moved_to)
        reply = ClaimReply(request.claim, "unavailable", node.own.peer_address)
        return [SendMessage(request.asker, reply)]
    if len(key_range.waiting) >= MAX_WAITING_REQUESTS:
        return _reply_moved(request, "")
    key_range.waiting.append(request)
    return _start_acquisition(node, now, key_range) if key_range.phase is RangePhase.VACANT else []


def receive_claim_reply(node: Node, now: float, reply: ClaimReply) -> list[Action]:
    """Pass a reply to the waiting call, or release a grant that no call waits for any more."""
    own_claim = node.claims.own.get(reply.claim)
    if own_claim is None:
        return []
    if reply.verdict == "granted" and own_claim.status is ClaimStatus.NOT_RUN:
        number = find_range(own_claim.key)
        request = ClaimRequest(
            node.own.peer_address,
            number,
            own_claim.key,
            own_claim.body,
            own_claim.claim,
            release=True,
        )
        return [SendMessage(reply.holder, request)]
    return [ResolveWait(reply.claim, reply)]


def receive_claim_query(node: Node, now: float, query: ClaimQuery) -> list[Action]:
    """Report the status and the cached response of one of the node's own claims to a peer."""
    own_claim = node.claims.own.get(query.claim)
    if own_claim is None:
        report = ClaimReport(query.token, ClaimStatus.UNKNOWN)
    elif own_claim.response is None:
        report = ClaimReport(query.token, own_claim.status)
    else:
        cached = own_claim.response
        report = ClaimReport(
            query.token, own_claim.status, cached.status, cached.reason, cached.headers, cached.body
        )
    return [SendMessage(query.asker, report)]


def receive_claim_report(node: Node, now: float, report: ClaimReport) -> list[Action]:
    """Pass a peer's report on its claim to the waiting call."""
    return [ResolveWait(report.token, report)]


def tick_claims(node: Node, now: float) -> list[Action]:
    """Renew leases, start writes that are due and stop holding ranges whose lease expires."""
    actions: list[Action] = []
    for key_range in list(node.claims.ranges.values()):
        if key_range.phase is not RangePhase.HELD:
            continue
        if now >= key_range.lease_until - LEASE_MARGIN_S:
            actions += stop_holding(node, now, key_range, "the lease is over")
            continue
        expire_runs(now, key_range)
        if now >= key_range.renew_at and not key_range.renewal_outstanding:
            actions.append(_renew_lease(now, key_range))
        actions += write_pending(node, now, key_range)
    return actions


def receive_claim_answer(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    """Process the store's answer to a request for a range."""
    key_range, step = _find_key_range(node, answer.purpose)
    if key_range is None:
        return []
    if step == RENEW:
        key_range.renewal_outstanding = False
        if not answer.succeeded:
            return stop_holding(node, now, key_range, "the lease is over")
        key_range.lease_until = key_range.lease_requested_at + LEASE_TTL_MS / 1000
        return []
    try:
        if key_range.phase is RangePhase.HELD:
            return receive_write_answer(node, now, key_range, step, answer)
        if step != key_range.phase.value:
            return []
        return _PHASE_HANDLERS[key_range.phase](node, now, key_range, answer)
    except ConfigurationError as error:
        fields = {"key": answer.purpose, "revision": 0, "reason": error.message}
        return [
            Log(LogEvent.ENTRY_REFUSED, fields),
            *_give_up_unreadable(node, now, key_range),
        ]


def _give_up_unreadable(node: Node, now: float, key_range: KeyRange) -> list[Action]:
    """Give up a range whose claims can't be read: they may be those of requests that have run."""
    if key_range.phase is RangePhase.HELD:
        return stop_holding(node, now, key_range, "its claims can't be read")
    return _abort_acquisition(node, now, key_range, "unavailable")


def receive_claim_failure(node: Node, now: float, failure: StoreFailed) -> list[Action]:
    """Refuse the requests that wait for a failed store request; the node retries later."""
    key_range, step = _find_key_range(node, failure.purpose)
    if key_range is None:
        return []
    if step == RENEW:
        key_range.renewal_outstanding = False
        key_range.renew_at = now + RETRY_INTERVAL_S
        return []
    if key_range.phase is RangePhase.HELD:
        return receive_write_failure(node, now, key_range, step)
    return _abort_acquisition(node, now, key_range, "unavailable")


def release_ranges(node: Node, now: float) -> list[Action]:
    """Release every range before the daemon stops, so that other nodes can acquire them at once."""
    actions: list[Action] = []
    for key_range in list(node.claims.ranges.values()):
        lease = key_range.lease
        actions += stop_holding(node, now, key_range, "the daemon stops")
        if lease:
            actions.append(LeaseRevoke(format_purpose(key_range, RELEASE), lease))
    return actions


def _find_key_range(node: Node, purpose: str) -> tuple[KeyRange | None, str]:
    _, number, epoch, step = purpose.split(":")
    key_range = node.claims.ranges.get(int(number))
    if key_range is None or key_range.epoch != int(epoch) or step == RELEASE:
        return None, step
    return key_range, step


def _rank(number: int, address: str) -> bytes:
    return hashlib.blake2b(f"{number} {address}".encode(), digest_size=8).digest()


def _reply_moved(request: ClaimRequest, holder: str) -> list[Action]:
    return [SendMessage(request.asker, ClaimReply(request.claim, "moved", holder))]


def _renew_lease(now: float, key_range: KeyRange) -> Action:
    key_range.renewal_outstanding = True
    key_range.renew_at = now + RENEW_INTERVAL_S
    key_range.lease_requested_at = now
    return LeaseKeepAlive(format_purpose(key_range, RENEW), key_range.lease)


def _enter_phase(key_range: KeyRange, phase: RangePhase) -> str:
    key_range.phase = phase
    return format_purpose(key_range, phase.value)


def _start_acquisition(node: Node, now: float, key_range: KeyRange) -> list[Action]:
    node.claims.last_epoch += 1
    key_range.epoch = node.claims.last_epoch
    key_range.moved_to = ""
    return [
        StoreRead(
            _enter_phase(key_range, RangePhase.READING_HOLDER),
            (format_store_key(key_range, "holder"),),
        )
    ]


def _abort_acquisition(
    node: Node, now: float, key_range: KeyRange, verdict: str, holder: str = ""
) -> list[Action]:
    waiting, key_range.waiting = key_range.waiting, []
    if verdict == "moved":
        actions = [action for request in waiting for action in _reply_moved(request, holder)]
    else:
        key_range.waiting = waiting
        actions = refuse_all(node, key_range, verdict)
    lease = key_range.lease
    retry_at = now + RETRY_INTERVAL_S
    node.claims.ranges[key_range.number] = KeyRange(
        key_range.number, moved_to=holder, retry_at=retry_at
    )
    if lease:
        actions.append(LeaseRevoke(format_purpose(key_range, RELEASE), lease))
    return actions


def _receive_holder(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    entry = answer.entries[0]
    if entry.revision:
        return _abort_acquisition(node, now, key_range, "moved", _decode_holder(node, entry.value))
    key_range.lease_requested_at = now
    return [LeaseGrant(_enter_phase(key_range, RangePhase.GRANTING_LEASE), LEASE_TTL_MS)]


def _decode_holder(node: Node, value: bytes) -> str:
    holder = value.decode()
    return holder if holder != node.own.peer_address else ""


def _receive_lease(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    key_range.lease = answer.lease
    key_range.lease_until = key_range.lease_requested_at + LEASE_TTL_MS / 1000
    value = node.own.peer_address.encode()
    purpose = _enter_phase(key_range, RangePhase.LOCKING)
    return [StoreWrite(purpose, format_store_key(key_range, "holder"), value, 0, key_range.lease)]


def _receive_lock(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    if not answer.succeeded:
        holder = _decode_holder(node, answer.entries[0].value)
        return _abort_acquisition(node, now, key_range, "moved", holder)
    key_range.retention_requested_at = now
    ttl_ms = (RETENTION_S + RETENTION_LEASE_S) * 1000
    return [LeaseGrant(_enter_phase(key_range, RangePhase.GRANTING_RETENTION), ttl_ms)]


def _receive_retention(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    key_range.retention_lease = answer.lease
    purpose = _enter_phase(key_range, RangePhase.READING_HEAD)
    return [StoreRead(purpose, (format_store_key(key_range, "head"),))]


def _receive_head(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    entry = answer.entries[0]
    key_range.head_revision = entry.revision
    if not entry.revision:
        key_range.sequence = 0
        return _advance_head(node, key_range)
    key_range.sequence = read_head_sequence(entry.value)
    purpose = _enter_phase(key_range, RangePhase.READING_LAST_BUCKET)
    return [StoreRead(purpose, (format_bucket_key(key_range, key_range.sequence),))]


def _receive_last_bucket(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    entry = answer.entries[0]
    records = read_bucket(entry.value) if entry.revision else []
    key_range.loaded_runs = [build_run(now, records)]
    purpose = _enter_phase(key_range, RangePhase.CLOSING_LAST_BUCKET)
    value = encode_bucket(node, records)
    key = format_bucket_key(key_range, key_range.sequence)
    return [StoreWrite(purpose, key, value, entry.revision, key_range.retention_lease)]


def _receive_closed_bucket(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    if not answer.succeeded:
        return _abort_acquisition(node, now, key_range, "moved")
    return _advance_head(node, key_range)


def _advance_head(node: Node, key_range: KeyRange) -> list[Action]:
    purpose = _enter_phase(key_range, RangePhase.ADVANCING_HEAD)
    value = encode_head(node, key_range.sequence + 1)
    return [
        StoreWrite(purpose, format_store_key(key_range, "head"), value, key_range.head_revision)
    ]


def _receive_advanced_head(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    if not answer.succeeded:
        return _abort_acquisition(node, now, key_range, "moved")
    key_range.head_revision = answer.entries[0].revision
    key_range.next_load_sequence = key_range.sequence - 1
    key_range.sequence += 1
    return _load_buckets(node, now, key_range)


def _load_buckets(node: Node, now: float, key_range: KeyRange) -> list[Action]:
    first = max(key_range.next_load_sequence - LOAD_BATCH_BUCKETS + 1, 1)
    keys = [
        format_bucket_key(key_range, number)
        for number in range(key_range.next_load_sequence, first - 1, -1)
    ]
    if not keys:
        return _complete_acquisition(node, now, key_range)
    key_range.next_load_sequence = first - 1
    return [StoreRead(_enter_phase(key_range, RangePhase.LOADING), tuple(keys))]


def _receive_loaded_buckets(
    node: Node, now: float, key_range: KeyRange, answer: StoreAnswered
) -> list[Action]:
    present = [entry for entry in reversed(answer.entries) if entry.revision]
    if not present:
        return _complete_acquisition(node, now, key_range)
    records = [record for entry in present for record in read_bucket(entry.value)]
    key_range.loaded_runs.append(build_run(now, records))
    return _load_buckets(node, now, key_range)


def _complete_acquisition(node: Node, now: float, key_range: KeyRange) -> list[Action]:
    for run in reversed(key_range.loaded_runs):
        add_run(key_range.runs, run)
    key_range.loaded_runs = []
    key_range.phase = RangePhase.HELD
    key_range.renew_at = now
    node.claims.holders[key_range.number] = node.own.peer_address
    waiting, key_range.waiting = key_range.waiting, []
    actions: list[Action] = [Log(LogEvent.RANGE_ACQUIRED, {"range": key_range.number})]
    for request in waiting:
        actions += process_request(node, now, key_range, request)
    return actions


_PHASE_HANDLERS: dict[
    RangePhase, Callable[[Node, float, KeyRange, StoreAnswered], list[Action]]
] = {
    RangePhase.READING_HOLDER: _receive_holder,
    RangePhase.GRANTING_LEASE: _receive_lease,
    RangePhase.LOCKING: _receive_lock,
    RangePhase.GRANTING_RETENTION: _receive_retention,
    RangePhase.READING_HEAD: _receive_head,
    RangePhase.READING_LAST_BUCKET: _receive_last_bucket,
    RangePhase.CLOSING_LAST_BUCKET: _receive_closed_bucket,
    RangePhase.ADVANCING_HEAD: _receive_advanced_head,
    RangePhase.LOADING: _receive_loaded_buckets,
}
