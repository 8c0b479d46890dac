"""Event dispatch: passes each event of a daemon to the functions that handle it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..calls.crashes import receive_crash_notice
from ..claims.claim_ranges import (
    receive_claim_answer,
    receive_claim_failure,
    receive_claim_query,
    receive_claim_reply,
    receive_claim_report,
    receive_claim_request,
    tick_claims,
)
from ..claims.claim_recording import PURPOSE as CLAIM_PURPOSE
from ..codes import LogEvent
from ..membership.failure_detection import (
    receive_ack,
    receive_probe,
    receive_probe_request,
    tick_probes,
)
from ..membership.membership import announce_server, expire_silent_server, merge_records
from ..membership.syncing import continue_sync, receive_summary
from ..spreading.distribution import (
    receive_digest,
    receive_reply,
    receive_request,
    tick_distribution,
)
from ..spreading.gossip import send_news
from ..spreading.joining import tick_joining
from ..spreading.relays import receive_store_answer, receive_store_failure, tick_relay
from ..takeovers.collecting import receive_evidence, receive_report
from ..takeovers.controller import receive_control_answer, receive_control_failure, tick_takeovers
from ..takeovers.progress_gossip import receive_news
from .actions import Log
from .events import Event, MessageReceived, ServerAnnounced, StoreAnswered, StoreFailed, Tick
from .messages import (
    ClaimQuery,
    ClaimReply,
    ClaimReport,
    ClaimRequest,
    ConfigurationReply,
    ConfigurationRequest,
    CrashNotice,
    Digest,
    EvidenceReport,
    EvidenceSummary,
    MemberNews,
    MemberPage,
    MemberSummary,
    Message,
    Probe,
    ProbeAck,
    ProbeRequest,
    TakeoverNews,
)
from .validation import find_problem

if TYPE_CHECKING:
    from .actions import Action
    from .node import Node


def step(node: Node, now: float, event: Event) -> list[Action]:
    """Handle one event and return the actions that follow from it.

    Args:
        node: The node's state, changed in place.
        now: Seconds since the epoch by the node's clock.
        event: The event to handle.

    Returns:
        The actions that the daemon must carry out, in order.
    """
    match event:
        case Tick():
            return _tick(node, now)
        case MessageReceived(message=message):
            problem = find_problem(message)
            if problem:
                return [Log(LogEvent.MESSAGE_REFUSED, {"reason": problem})]
            return _receive(node, now, message)
        case StoreAnswered(purpose=purpose) if purpose.startswith(CLAIM_PURPOSE):
            return receive_claim_answer(node, now, event)
        case StoreFailed(purpose=purpose) if purpose.startswith(CLAIM_PURPOSE):
            return receive_claim_failure(node, now, event)
        case StoreAnswered():
            actions = receive_store_answer(node, now, event)
            return actions + receive_control_answer(node, now, event)
        case StoreFailed():
            actions = receive_store_failure(node, now, event)
            return actions + receive_control_failure(node, now, event)
        case ServerAnnounced():
            announce_server(node, now, event)
            return []
    raise TypeError(f"no handler for event {type(event).__name__}")


def _tick(node: Node, now: float) -> list[Action]:
    actions = tick_relay(node, now)
    actions += tick_joining(node, now)
    actions += tick_probes(node, now)
    actions += tick_distribution(node, now)
    actions += expire_silent_server(node, now)
    actions += tick_takeovers(node, now)
    actions += tick_claims(node, now)
    return actions + send_news(node, now)


def _receive(node: Node, now: float, message: Message) -> list[Action]:
    match message:
        case Digest():
            return receive_digest(node, now, message)
        case Probe():
            return receive_probe(node, now, message)
        case ProbeAck():
            return receive_ack(node, now, message)
        case ProbeRequest():
            return receive_probe_request(node, now, message)
        case MemberNews():
            return merge_records(node, now, [message.sender, *message.members])
        case MemberSummary():
            return receive_summary(node, now, message)
        case MemberPage():
            actions = merge_records(node, now, [message.sender, *message.members], spread=False)
            return actions + continue_sync(node, now, message)
        case ConfigurationRequest():
            return receive_request(node, now, message)
        case ConfigurationReply():
            return receive_reply(node, now, message)
        case EvidenceReport():
            return receive_report(node, now, message)
        case EvidenceSummary():
            return receive_evidence(node, now, message)
        case TakeoverNews():
            return receive_news(node, now, message)
        case ClaimRequest():
            return receive_claim_request(node, now, message)
        case ClaimReply():
            return receive_claim_reply(node, now, message)
        case ClaimQuery():
            return receive_claim_query(node, now, message)
        case ClaimReport():
            return receive_claim_report(node, now, message)
        case CrashNotice():
            return receive_crash_notice(node, now, message)
    raise TypeError(f"no handler for message {type(message).__name__}")
