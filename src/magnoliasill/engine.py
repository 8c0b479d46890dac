"""The engine: runs the systems over a node's tables for each event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .claim_holder import PURPOSE as CLAIMS
from .claim_ranges import (
    receive_claim_answer,
    receive_claim_failure,
    receive_claim_query,
    receive_claim_reply,
    receive_claim_report,
    receive_claim_request,
    tick_claims,
)
from .distribution import gossip, receive_digest, receive_reply, receive_request
from .events import Event, MessageReceived, ServerAnnounced, StoreAnswered, StoreFailed, Tick
from .membership import announce_server
from .messages import (
    ClaimQuery,
    ClaimReply,
    ClaimReport,
    ClaimRequest,
    ConfigurationReply,
    ConfigurationRequest,
    Digest,
)
from .relays import receive_store_answer, receive_store_failure, tick_relay

if TYPE_CHECKING:
    from .actions import Action
    from .node import Node


def step(node: Node, now: float, event: Event) -> list[Action]:
    """Run the systems that an event concerns.

    Args:
        node: The node's tables, changed in place.
        now: Seconds since the epoch, as the node's clock gives them.
        event: What happened.

    Returns:
        What the surroundings are to do, in order.
    """
    match event:
        case Tick():
            return [*tick_relay(node, now), *gossip(node, now), *tick_claims(node, now)]
        case MessageReceived(message=Digest() as digest):
            return receive_digest(node, now, digest)
        case MessageReceived(message=ConfigurationRequest() as request):
            return receive_request(node, now, request)
        case MessageReceived(message=ConfigurationReply() as reply):
            return receive_reply(node, now, reply)
        case MessageReceived(message=ClaimRequest() as request):
            return receive_claim_request(node, now, request)
        case MessageReceived(message=ClaimReply() as reply):
            return receive_claim_reply(node, now, reply)
        case MessageReceived(message=ClaimQuery() as query):
            return receive_claim_query(node, now, query)
        case MessageReceived(message=ClaimReport() as report):
            return receive_claim_report(node, now, report)
        case StoreAnswered(purpose=purpose) if purpose.startswith(CLAIMS):
            return receive_claim_answer(node, now, event)
        case StoreFailed(purpose=purpose) if purpose.startswith(CLAIMS):
            return receive_claim_failure(node, now, event)
        case StoreAnswered():
            return receive_store_answer(node, now, event)
        case StoreFailed():
            return receive_store_failure(node, now, event)
        case ServerAnnounced():
            announce_server(node, now, event)
            return []
    raise TypeError(f"no system for {type(event).__name__}")
