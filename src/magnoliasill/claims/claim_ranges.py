"""Key ranges: which node holds one, and how another takes it over without losing a claim."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

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
from .claim_holder import (
    RETENTION_LEASE_S,
    RETENTION_S,
    RETRY_INTERVAL_S,
    StoredHead,
    drop_range,
    encode_bucket,
    encode_head,
    expire_runs,
    judge_request,
    name_bucket,
    name_key,
    name_purpose,
    read_bucket,
    receive_write,
    receive_write_failure,
    refuse_all,
    write_pending,
)
from .claim_records import add_run, build_run, find_range, is_well_formed
from .claim_table import ClaimStatus, HeldRange, RangePhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.events import StoreAnswered, StoreFailed
    from ..core.messages import ClaimQuery
    from ..core.node import Node

LEASE_TTL_MS = 3_000
RENEW_INTERVAL_S = 1.0
LEASE_MARGIN_S = 0.3  # a holder stops this long before its lease is over
LOAD_BATCH = 32
MAX_WAITING = 500
RENEW = "renew"
RELEASE = "release"


def list_candidates(node: Node, number: int) -> list[str]:
    """Return the peer addresses that may hold a range, the preferred one first.

    Every node with the same members returns the same list.
    """
    records = [node.own, *list_alive(node)]
    addresses = [record.peer_address for record in records if record.status == "alive"]
    return sorted(addresses, key=lambda address: _rank(number, address))


def receive_claim_request(node: Node, now: float, request: ClaimRequest) -> list[Action]:
    """Serve a request for a range, after taking it over where nobody holds it."""
    if not is_well_formed(request):
        return []
    held = node.claims.ranges.get(request.number)
    if held is not None and held.phase is RangePhase.HELD:
        if now >= held.lease_until - LEASE_MARGIN_S:
            return drop_range(node, now, held, "the lease is over") + _move(request, "")
        return judge_request(node, now, held, request)
    if request.release:
        return []
    if node.own.status != "alive":
        return _move(request, "")
    if held is None:
        held = node.claims.ranges[request.number] = HeldRange(request.number)
    if held.phase is RangePhase.VACANT and now < held.retry_at:
        if held.moved_to:
            return _move(request, held.moved_to)
        reply = ClaimReply(request.claim, "unavailable", node.own.peer_address)
        return [SendMessage(request.asker, reply)]
    if len(held.waiting) >= MAX_WAITING:
        return _move(request, "")
    held.waiting.append(request)
    return _start(node, now, held) if held.phase is RangePhase.VACANT else []


def receive_claim_reply(node: Node, now: float, reply: ClaimReply) -> list[Action]:
    """Hand a reply to the waiting call; a grant that nobody waits for is released."""
    own = node.claims.own.get(reply.claim)
    if own is None:
        return []
    if reply.verdict == "granted" and own.status is ClaimStatus.NOT_RUN:
        number = find_range(own.key)
        request = ClaimRequest(
            node.own.peer_address, number, own.key, own.body, own.claim, release=True
        )
        return [SendMessage(reply.holder, request)]
    return [ResolveWait(reply.claim, reply)]


def receive_claim_query(node: Node, now: float, query: ClaimQuery) -> list[Action]:
    """Tell a peer what became of one of the node's own claims."""
    own = node.claims.own.get(query.claim)
    if own is None:
        report = ClaimReport(query.token, ClaimStatus.UNKNOWN)
    elif own.answer is None:
        report = ClaimReport(query.token, own.status)
    else:
        kept = own.answer
        report = ClaimReport(
            query.token, own.status, kept.status, kept.reason, kept.headers, kept.body
        )
    return [SendMessage(query.asker, report)]


def receive_claim_report(node: Node, now: float, report: ClaimReport) -> list[Action]:
    """Hand what a peer says of its claim to the waiting call."""
    return [ResolveWait(report.token, report)]


def tick_claims(node: Node, now: float) -> list[Action]:
    """Extend leases, send writes that are due and drop ranges whose lease is over."""
    actions: list[Action] = []
    for held in list(node.claims.ranges.values()):
        if held.phase is not RangePhase.HELD:
            continue
        if now >= held.lease_until - LEASE_MARGIN_S:
            actions += drop_range(node, now, held, "the lease is over")
            continue
        expire_runs(now, held)
        if now >= held.renew_at and not held.renewing:
            actions.append(_renew(now, held))
        actions += write_pending(node, now, held)
    return actions


def receive_claim_answer(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    """Go on with the range whose store request was answered."""
    held, step = _find_range(node, answer.purpose)
    if held is None:
        return []
    if step == RENEW:
        held.renewing = False
        if not answer.succeeded:
            return drop_range(node, now, held, "the lease is over")
        held.lease_until = held.asked_at + LEASE_TTL_MS / 1000
        return []
    if held.phase is RangePhase.HELD:
        return receive_write(node, now, held, step, answer)
    if step != held.phase.value:
        return []
    return _STEPS[held.phase](node, now, held, answer)


def receive_claim_failure(node: Node, now: float, failure: StoreFailed) -> list[Action]:
    """Refuse the requests that wait for the store, and try again later."""
    held, step = _find_range(node, failure.purpose)
    if held is None:
        return []
    if step == RENEW:
        held.renewing = False
        held.renew_at = now + RETRY_INTERVAL_S
        return []
    if held.phase is RangePhase.HELD:
        return receive_write_failure(node, now, held, step)
    return _retreat(node, now, held, "unavailable")


def release_ranges(node: Node, now: float) -> list[Action]:
    """Give up every range before the daemon stops, so that others take over at once."""
    actions: list[Action] = []
    for held in list(node.claims.ranges.values()):
        lease = held.lease
        actions += drop_range(node, now, held, "the daemon stops")
        if lease:
            actions.append(LeaseRevoke(name_purpose(held, RELEASE), lease))
    return actions


def _find_range(node: Node, purpose: str) -> tuple[HeldRange | None, str]:
    _, number, epoch, step = purpose.split(":")
    held = node.claims.ranges.get(int(number))
    if held is None or held.epoch != int(epoch) or step == RELEASE:
        return None, step
    return held, step


def _rank(number: int, address: str) -> bytes:
    return hashlib.blake2b(f"{number} {address}".encode(), digest_size=8).digest()


def _move(request: ClaimRequest, holder: str) -> list[Action]:
    return [SendMessage(request.asker, ClaimReply(request.claim, "moved", holder))]


def _renew(now: float, held: HeldRange) -> Action:
    held.renewing = True
    held.renew_at = now + RENEW_INTERVAL_S
    held.asked_at = now
    return LeaseKeepAlive(name_purpose(held, RENEW), held.lease)


def _advance(held: HeldRange, phase: RangePhase) -> str:
    held.phase = phase
    return name_purpose(held, phase.value)


def _start(node: Node, now: float, held: HeldRange) -> list[Action]:
    node.claims.epochs += 1
    held.epoch = node.claims.epochs
    held.moved_to = ""
    return [StoreRead(_advance(held, RangePhase.LOOKING), (name_key(held, "holder"),))]


def _retreat(
    node: Node, now: float, held: HeldRange, verdict: str, holder: str = ""
) -> list[Action]:
    waiting, held.waiting = held.waiting, []
    if verdict == "moved":
        actions = [action for request in waiting for action in _move(request, holder)]
    else:
        held.waiting = waiting
        actions = refuse_all(node, held, verdict)
    lease = held.lease
    retry_at = now + RETRY_INTERVAL_S
    node.claims.ranges[held.number] = HeldRange(held.number, moved_to=holder, retry_at=retry_at)
    if lease:
        actions.append(LeaseRevoke(name_purpose(held, RELEASE), lease))
    return actions


def _receive_look(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    entry = answer.entries[0]
    if entry.revision:
        return _retreat(node, now, held, "moved", _read_holder(node, entry.value))
    held.asked_at = now
    return [LeaseGrant(_advance(held, RangePhase.GRANTING), LEASE_TTL_MS)]


def _read_holder(node: Node, value: bytes) -> str:
    holder = value.decode()
    return holder if holder != node.own.peer_address else ""


def _receive_lease(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    held.lease = answer.lease
    held.lease_until = held.asked_at + LEASE_TTL_MS / 1000
    value = node.own.peer_address.encode()
    purpose = _advance(held, RangePhase.LOCKING)
    return [StoreWrite(purpose, name_key(held, "holder"), value, 0, held.lease)]


def _receive_lock(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    if not answer.succeeded:
        holder = _read_holder(node, answer.entries[0].value)
        return _retreat(node, now, held, "moved", holder)
    held.retention_at = now
    ttl_ms = (RETENTION_S + RETENTION_LEASE_S) * 1000
    return [LeaseGrant(_advance(held, RangePhase.GRANTING_RETENTION), ttl_ms)]


def _receive_retention(
    node: Node, now: float, held: HeldRange, answer: StoreAnswered
) -> list[Action]:
    held.retention = answer.lease
    purpose = _advance(held, RangePhase.READING_HEAD)
    return [StoreRead(purpose, (name_key(held, "head"),))]


def _receive_head(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    entry = answer.entries[0]
    held.head_revision = entry.revision
    if not entry.revision:
        held.sequence = 0
        return _move_head(node, held)
    held.sequence = msgspec.msgpack.decode(entry.value, type=StoredHead).sequence
    purpose = _advance(held, RangePhase.READING_LAST)
    return [StoreRead(purpose, (name_bucket(held, held.sequence),))]


def _receive_last(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    entry = answer.entries[0]
    records = read_bucket(entry.value) if entry.revision else []
    held.loaded = [build_run(now, records)]
    purpose = _advance(held, RangePhase.CLOSING_LAST)
    value = encode_bucket(node, records)
    key = name_bucket(held, held.sequence)
    return [StoreWrite(purpose, key, value, entry.revision, held.retention)]


def _receive_close(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    if not answer.succeeded:
        return _retreat(node, now, held, "moved")
    return _move_head(node, held)


def _move_head(node: Node, held: HeldRange) -> list[Action]:
    purpose = _advance(held, RangePhase.MOVING_HEAD)
    value = encode_head(node, held.sequence + 1)
    return [StoreWrite(purpose, name_key(held, "head"), value, held.head_revision)]


def _receive_move(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    if not answer.succeeded:
        return _retreat(node, now, held, "moved")
    held.head_revision = answer.entries[0].revision
    held.load_next = held.sequence - 1
    held.sequence += 1
    return _load(node, now, held)


def _load(node: Node, now: float, held: HeldRange) -> list[Action]:
    first = max(held.load_next - LOAD_BATCH + 1, 1)
    names = [name_bucket(held, number) for number in range(held.load_next, first - 1, -1)]
    if not names:
        return _hold(node, now, held)
    held.load_next = first - 1
    return [StoreRead(_advance(held, RangePhase.LOADING), tuple(names))]


def _receive_load(node: Node, now: float, held: HeldRange, answer: StoreAnswered) -> list[Action]:
    present = [entry for entry in reversed(answer.entries) if entry.revision]
    if not present:
        return _hold(node, now, held)
    records = [record for entry in present for record in read_bucket(entry.value)]
    held.loaded.append(build_run(now, records))
    return _load(node, now, held)


def _hold(node: Node, now: float, held: HeldRange) -> list[Action]:
    for run in reversed(held.loaded):
        add_run(held.runs, run)
    held.loaded = []
    held.phase = RangePhase.HELD
    held.renew_at = now
    node.claims.holders[held.number] = node.own.peer_address
    waiting, held.waiting = held.waiting, []
    actions: list[Action] = [Log(LogEvent.RANGE_ACQUIRED, {"range": held.number})]
    for request in waiting:
        actions += judge_request(node, now, held, request)
    return actions


_STEPS: dict[RangePhase, Callable[[Node, float, HeldRange, StoreAnswered], list[Action]]] = {
    RangePhase.LOOKING: _receive_look,
    RangePhase.GRANTING: _receive_lease,
    RangePhase.LOCKING: _receive_lock,
    RangePhase.GRANTING_RETENTION: _receive_retention,
    RangePhase.READING_HEAD: _receive_head,
    RangePhase.READING_LAST: _receive_last,
    RangePhase.CLOSING_LAST: _receive_close,
    RangePhase.MOVING_HEAD: _receive_move,
    RangePhase.LOADING: _receive_load,
}
