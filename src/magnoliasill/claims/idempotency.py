"""At most once: a key is claimed before its request is sent to a backend server."""

from __future__ import annotations

import uuid
from time import monotonic, time
from typing import TYPE_CHECKING

import attrs
import eventlet

from ..calls.answers import is_not_run
from ..calls.exchange import CallResponse
from ..calls.uploads import sample_body
from ..codes import ErrorCode
from ..core.messages import ClaimQuery, ClaimReply, ClaimReport, ClaimRequest
from ..core.node import list_alive
from ..errors import CallError
from .claim_holder import RETENTION_S
from .claim_ranges import list_candidates
from .claim_records import digest_address, digest_key, digest_request, find_range
from .claim_table import (
    ClaimStatus,
    KeptAnswer,
    find_own_claim,
    finish_claim,
    start_claim,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..calls.call import Call
    from ..core.messages import Message
    from ..core.node import Node
    from .claim_table import OwnClaim

CLAIM_WAIT_S = 1.0
REPLY_WAIT_S = 0.3
REPORT_WAIT_S = 0.3
MOVE_PAUSE_S = 0.05
CLAIM_BITS = 64
CLOCK_MARGIN_S = 300
UUID_WITH_TIME = 7


@attrs.define
class Peers:
    """How a waiting call talks to other daemons.

    Attributes:
        send: Sends a message to a peer address, the own one included.
        waits: Calls that wait for a message, by token.
    """

    send: Callable[[str, Message], None]
    waits: dict[bytes, eventlet.Event] = attrs.field(factory=dict)


def run_once(
    node: Node, peers: Peers, service: str, call: Call, run: Callable[[], CallResponse]
) -> CallResponse:
    """Run a call whose key was not used before, or repeat the answer that it got.

    Args:
        node: The node's tables.
        peers: How to ask other daemons.
        service: The service that the key belongs to.
        call: The call.
        run: Runs the call on a backend server.

    Returns:
        The answer.

    Raises:
        CallError: If there is no answer; its code says whether the call ran.
    """
    claimed = claim_call(node, peers, service, call)
    if isinstance(claimed, KeptAnswer):
        return CallResponse(claimed.status, claimed.reason, claimed.headers, claimed.body)
    try:
        answer = run()
    except CallError as error:
        if is_not_run(error.code):
            _abandon(node, peers, claimed)
        raise
    finally:
        if claimed.status is ClaimStatus.RUNNING:
            claimed.status = ClaimStatus.UNKNOWN
    kept = None
    if answer.remaining_chunks is None:
        kept = KeptAnswer(answer.status, answer.reason, answer.headers, answer.body)
    finish_claim(node.claims, claimed, kept)
    return answer


def claim_call(node: Node, peers: Peers, service: str, call: Call) -> OwnClaim | KeptAnswer:
    """Claim a call's key, so that no other request with it runs anywhere.

    Args:
        node: The node's tables.
        peers: How to ask other daemons.
        service: The service that the key belongs to.
        call: The call.

    Returns:
        The granted claim, or the answer that the same request got before.

    Raises:
        CallError: If the call must not run now; its code says whether it ran before.
    """
    _check_age(call.key, time())
    key = digest_key(service, call.key)
    body = digest_request(call.method, call.target, sample_body(call.body))
    instead_of = b""
    known = find_own_claim(node.claims, key)
    if known is not None:
        if known.body != body:
            raise CallError(ErrorCode.KEY_REUSED, "the key belongs to another request")
        answer = _settle(known.status, known.answer)
        if answer is not None:
            return answer
        instead_of = known.claim
    claim = node.random.getrandbits(CLAIM_BITS).to_bytes(CLAIM_BITS // 8)
    own = start_claim(node.claims, key, body, claim)
    try:
        answer = _acquire(node, peers, own, instead_of, call.deadline)
    except BaseException:
        _abandon(node, peers, own)
        raise
    if answer is not None:
        _abandon(node, peers, own)
        return answer
    own.status = ClaimStatus.RUNNING
    return own


def _acquire(
    node: Node, peers: Peers, own: OwnClaim, instead_of: bytes, deadline: float
) -> KeptAnswer | None:
    until = min(monotonic() + CLAIM_WAIT_S, deadline)
    reply = _ask(node, peers, own, instead_of, until)
    if reply.verdict == "granted":
        return None
    _refuse_other_request(reply)
    report = _query(node, peers, reply)
    if report.status == ClaimStatus.NOT_RUN:
        reply = _ask(node, peers, own, reply.used_by, until)
        if reply.verdict == "granted":
            return None
        raise CallError(ErrorCode.KEY_IN_PROGRESS, "another request with this key was first")
    answer = None
    if report.answer_status:
        answer = KeptAnswer(report.answer_status, report.reason, report.headers, report.body)
    return _settle(ClaimStatus(report.status), answer)


def _ask(node: Node, peers: Peers, own: OwnClaim, instead_of: bytes, until: float) -> ClaimReply:
    number = find_range(own.key)
    address = node.claims.holders.get(number) or _choose_candidate(node, number, 0)
    request = ClaimRequest(node.own.peer_address, number, own.key, own.body, own.claim, instead_of)
    turn = 0
    while monotonic() < until:
        reply = _wait(peers, own.claim, address, request, min(REPLY_WAIT_S, until - monotonic()))
        if reply is None:
            turn += 1
            node.claims.holders.pop(number, None)
            address = _choose_candidate(node, number, turn)
        elif reply.verdict == "moved":
            if not reply.holder or reply.holder == address:
                eventlet.sleep(MOVE_PAUSE_S)
            address = reply.holder or _choose_candidate(node, number, turn)
        elif reply.verdict == "unavailable":
            break
        else:
            node.claims.holders[number] = reply.holder
            return reply
    raise CallError(ErrorCode.CLAIM_UNAVAILABLE, "the key can't be claimed at present")


def _choose_candidate(node: Node, number: int, turn: int) -> str:
    candidates = list_candidates(node, number)
    if not candidates:
        raise CallError(ErrorCode.CLAIM_UNAVAILABLE, "no daemon is there to claim the key")
    return candidates[turn % len(candidates)]


def _wait(
    peers: Peers, token: bytes, address: str, message: Message, timeout_s: float
) -> Message | None:
    event = peers.waits[token] = eventlet.Event()
    peers.send(address, message)
    try:
        return event.wait(max(timeout_s, 0.001))
    finally:
        peers.waits.pop(token, None)


def resolve_wait(peers: Peers, token: bytes, message: Message) -> None:
    """Hand a message to the call that waits for it, if one does."""
    event = peers.waits.pop(token, None)
    if event is not None:
        event.send(message)


def _query(node: Node, peers: Peers, reply: ClaimReply) -> ClaimReport:
    token = node.random.getrandbits(CLAIM_BITS).to_bytes(CLAIM_BITS // 8)
    unknown = ClaimReport(token, ClaimStatus.UNKNOWN)
    records = [node.own, *list_alive(node)]
    for record in records:
        if digest_address(record.peer_address) == reply.asker:
            query = ClaimQuery(node.own.peer_address, token, reply.used_by)
            report = _wait(peers, token, record.peer_address, query, REPORT_WAIT_S)
            return report if isinstance(report, ClaimReport) else unknown
    return unknown


def _refuse_other_request(reply: ClaimReply) -> None:
    if reply.verdict == "reused":
        raise CallError(ErrorCode.KEY_REUSED, "the key belongs to another request")


def _settle(status: ClaimStatus, answer: KeptAnswer | None) -> KeptAnswer | None:
    if answer is not None:
        return answer
    if status is ClaimStatus.NOT_RUN:
        return None
    if status in (ClaimStatus.WAITING, ClaimStatus.RUNNING):
        raise CallError(ErrorCode.KEY_IN_PROGRESS, "a request with this key is running")
    if status is ClaimStatus.FINISHED:
        raise CallError(ErrorCode.KEY_USED, "the request ran; its answer is not kept")
    raise CallError(ErrorCode.KEY_USED, "a request with this key may have run")


def _abandon(node: Node, peers: Peers, own: OwnClaim) -> None:
    own.status = ClaimStatus.NOT_RUN
    number = find_range(own.key)
    holder = node.claims.holders.get(number)
    if holder is None:
        return
    request = ClaimRequest(
        node.own.peer_address, number, own.key, own.body, own.claim, release=True
    )
    peers.send(holder, request)


def _check_age(key: str, now: float) -> None:
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return
    if parsed.version != UUID_WITH_TIME:
        return
    made_at = (parsed.int >> 80) / 1000
    if now - made_at > RETENTION_S - CLOCK_MARGIN_S:
        raise CallError(ErrorCode.KEY_EXPIRED, "the key is older than claims are kept")
