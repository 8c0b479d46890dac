"""At-most-once execution of requests with an idempotency key.

The key is claimed from the node that holds its range, before the request is sent to a backend
server.
"""

from __future__ import annotations

import uuid
from time import monotonic, time
from typing import TYPE_CHECKING

import attrs
import eventlet

from ..calls.error_responses import is_not_run
from ..calls.exchange import CallResponse
from ..calls.uploads import sample_body
from ..codes import ErrorCode
from ..core.messages import ClaimQuery, ClaimReply, ClaimReport, ClaimRequest
from ..core.node import list_alive
from ..errors import CallError
from .claim_ranges import list_candidates
from .claim_recording import RETENTION_S
from .claim_records import digest_address, digest_key, digest_request, find_range
from .claim_state import (
    CachedResponse,
    ClaimStatus,
    find_own_claim,
    finish_claim,
    start_claim,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..calls.call import Call
    from ..core.messages import Message
    from ..core.node import Node
    from .claim_state import OwnClaim

CLAIM_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 0.3
REPORT_TIMEOUT_S = 0.3
MOVED_RETRY_DELAY_S = 0.05  # while no new holder of the range is known
IDENTIFIER_BITS = 64  # of a claim or of the token of a query
CLOCK_SKEW_MARGIN_S = 300  # between the clock that made a time-ordered key and this one
TIMESTAMP_UUID_VERSION = 7  # begins with 48 bits of Unix time in milliseconds


@attrs.define
class PeerMessaging:
    """Sends messages to other daemons and passes their replies to the waiting calls.

    Attributes:
        send: Sends a message to a peer address, also to this daemon's own.
        waiters: The events on which calls wait for a message, by token.
    """

    send: Callable[[str, Message], None]
    waiters: dict[bytes, eventlet.Event] = attrs.field(factory=dict)


def run_once(
    node: Node, peers: PeerMessaging, service: str, call: Call, run: Callable[[], CallResponse]
) -> CallResponse:
    """Run a call if its key was not used before, else return the cached response.

    Args:
        node: The node's state.
        peers: Sends messages to other daemons.
        service: The service that the key belongs to.
        call: The call.
        run: Runs the call at a backend server.

    Returns:
        The response.

    Raises:
        CallError: If there is no response; its code says whether the call may have run.
    """
    claimed = claim_key(node, peers, service, call)
    if isinstance(claimed, CachedResponse):
        return CallResponse(claimed.status, claimed.reason, claimed.headers, claimed.body)
    try:
        response = run()
    except CallError as error:
        if is_not_run(error.code):
            _release_claim(node, peers, claimed)
        raise
    finally:
        if claimed.status is ClaimStatus.RUNNING:
            claimed.status = ClaimStatus.UNKNOWN
    cached = None
    if response.remaining_chunks is None:
        cached = CachedResponse(response.status, response.reason, response.headers, response.body)
    finish_claim(node.claims, claimed, cached)
    return response


def claim_key(
    node: Node, peers: PeerMessaging, service: str, call: Call
) -> OwnClaim | CachedResponse:
    """Claim a call's key, so that no other request with this key runs at any daemon.

    Args:
        node: The node's state.
        peers: Sends messages to other daemons.
        service: The service that the key belongs to.
        call: The call.

    Returns:
        The granted claim, or the cached response of the same request.

    Raises:
        CallError: If the call must not run now; its code says whether it may have run before.
    """
    _check_key_age(call.key, time())
    key = digest_key(service, call.key)
    body = digest_request(call.method, call.target, sample_body(call.body))
    instead_of = b""
    previous = find_own_claim(node.claims, key)
    if previous is not None:
        if previous.body != body:
            raise CallError(
                ErrorCode.KEY_REUSED, "the idempotency key was used for a different request"
            )
        response = _resolve_earlier_claim(previous.status, previous.response)
        if response is not None:
            return response
        instead_of = previous.claim
    claim = node.random.getrandbits(IDENTIFIER_BITS).to_bytes(IDENTIFIER_BITS // 8)
    own_claim = start_claim(node.claims, key, body, claim)
    try:
        response = _acquire_claim(node, peers, own_claim, instead_of, call.deadline)
    except BaseException:
        _release_claim(node, peers, own_claim)
        raise
    if response is not None:
        _release_claim(node, peers, own_claim)
        return response
    own_claim.status = ClaimStatus.RUNNING
    return own_claim


def _acquire_claim(
    node: Node, peers: PeerMessaging, own_claim: OwnClaim, instead_of: bytes, deadline: float
) -> CachedResponse | None:
    give_up_at = min(monotonic() + CLAIM_TIMEOUT_S, deadline)
    reply = _request_claim(node, peers, own_claim, instead_of, give_up_at)
    if reply.verdict == "granted":
        return None
    _check_same_request(reply)
    report = _query_claim(node, peers, reply)
    if report.status == ClaimStatus.NOT_RUN:
        reply = _request_claim(node, peers, own_claim, reply.used_by, give_up_at)
        if reply.verdict == "granted":
            return None
        raise CallError(
            ErrorCode.KEY_IN_PROGRESS, "another request with this idempotency key was claimed first"
        )
    response = None
    if report.answer_status:
        response = CachedResponse(report.answer_status, report.reason, report.headers, report.body)
    return _resolve_earlier_claim(ClaimStatus(report.status), response)


def _request_claim(
    node: Node, peers: PeerMessaging, own_claim: OwnClaim, instead_of: bytes, give_up_at: float
) -> ClaimReply:
    number = find_range(own_claim.key)
    address = node.claims.holders.get(number) or _choose_candidate(node, number, 0)
    request = ClaimRequest(
        node.own.peer_address, number, own_claim.key, own_claim.body, own_claim.claim, instead_of
    )
    attempt = 0
    while monotonic() < give_up_at:
        reply = _send_and_wait(
            peers, own_claim.claim, address, request, min(REPLY_TIMEOUT_S, give_up_at - monotonic())
        )
        if reply is None:
            attempt += 1
            node.claims.holders.pop(number, None)
            address = _choose_candidate(node, number, attempt)
        elif reply.verdict == "moved":
            if not reply.holder or reply.holder == address:
                eventlet.sleep(MOVED_RETRY_DELAY_S)
            address = reply.holder or _choose_candidate(node, number, attempt)
        elif reply.verdict == "unavailable":
            break
        else:
            node.claims.holders[number] = reply.holder
            return reply
    raise CallError(
        ErrorCode.CLAIM_UNAVAILABLE,
        "no daemon can record a claim for the idempotency key at present",
    )


def _choose_candidate(node: Node, number: int, attempt: int) -> str:
    candidates = list_candidates(node, number)
    if not candidates:
        raise CallError(ErrorCode.CLAIM_UNAVAILABLE, "no daemon is available to record claims")
    return candidates[attempt % len(candidates)]


def _send_and_wait(
    peers: PeerMessaging, token: bytes, address: str, message: Message, timeout_s: float
) -> Message | None:
    event = peers.waiters[token] = eventlet.Event()
    peers.send(address, message)
    try:
        return event.wait(max(timeout_s, 0.001))
    finally:
        peers.waiters.pop(token, None)


def resolve_wait(peers: PeerMessaging, token: bytes, message: Message) -> None:
    """Pass a message to the call that waits for it, if there is one."""
    event = peers.waiters.pop(token, None)
    if event is not None:
        event.send(message)


def _query_claim(node: Node, peers: PeerMessaging, reply: ClaimReply) -> ClaimReport:
    token = node.random.getrandbits(IDENTIFIER_BITS).to_bytes(IDENTIFIER_BITS // 8)
    unknown = ClaimReport(token, ClaimStatus.UNKNOWN)
    records = [node.own, *list_alive(node)]
    for record in records:
        if digest_address(record.peer_address) == reply.asker:
            query = ClaimQuery(node.own.peer_address, token, reply.used_by)
            report = _send_and_wait(peers, token, record.peer_address, query, REPORT_TIMEOUT_S)
            return report if isinstance(report, ClaimReport) else unknown
    return unknown


def _check_same_request(reply: ClaimReply) -> None:
    if reply.verdict == "reused":
        raise CallError(
            ErrorCode.KEY_REUSED, "the idempotency key was used for a different request"
        )


def _resolve_earlier_claim(
    status: ClaimStatus, response: CachedResponse | None
) -> CachedResponse | None:
    if response is not None:
        return response
    if status is ClaimStatus.NOT_RUN:
        return None
    if status in (ClaimStatus.WAITING, ClaimStatus.RUNNING):
        raise CallError(ErrorCode.KEY_IN_PROGRESS, "a request with this idempotency key is running")
    if status is ClaimStatus.FINISHED:
        raise CallError(ErrorCode.KEY_USED, "the request ran, but its response is not cached")
    raise CallError(ErrorCode.KEY_USED, "a request with this idempotency key may have run")


def _release_claim(node: Node, peers: PeerMessaging, own_claim: OwnClaim) -> None:
    own_claim.status = ClaimStatus.NOT_RUN
    number = find_range(own_claim.key)
    holder = node.claims.holders.get(number)
    if holder is None:
        return
    request = ClaimRequest(
        node.own.peer_address, number, own_claim.key, own_claim.body, own_claim.claim, release=True
    )
    peers.send(holder, request)


def _check_key_age(key: str, now: float) -> None:
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return
    if parsed.version != TIMESTAMP_UUID_VERSION:
        return
    created_at = (parsed.int >> 80) / 1000
    if now - created_at > RETENTION_S - CLOCK_SKEW_MARGIN_S:
        raise CallError(
            ErrorCode.KEY_EXPIRED, "the idempotency key is older than the retention time of claims"
        )
