"""Distribution: how a configuration spreads from daemon to daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import Action, Log, SendMessage
from .codes import LogEvent
from .configuration import apply_head, list_missing_blobs
from .errors import ConfigurationError
from .membership import merge_records
from .messages import ConfigurationReply, ConfigurationRequest, Digest
from .node import list_alive

if TYPE_CHECKING:
    from .manifest import Head
    from .messages import MemberRecord
    from .node import Node

GOSSIP_INTERVAL_S = 1.0
FANOUT = 4
MEMBERS_PER_DIGEST = 8
REQUEST_RETRY_S = 1.0


def gossip(node: Node, now: float) -> list[Action]:
    """Send a digest to a random peer when the gossip interval has passed.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
    """
    if now < node.gossip_at:
        return []
    node.gossip_at = now + GOSSIP_INTERVAL_S * node.random.uniform(0.8, 1.2)
    local = [record.peer_address for record in list_alive(node, node.own.data_centre)]
    everywhere = [record.peer_address for record in list_alive(node)]
    known = {record.peer_address for record in list_alive(node)} | {node.own.peer_address}
    seeds = [seed for seed in node.seeds if seed not in known]
    chosen = {node.random.choice(group) for group in (local, everywhere, seeds) if group}
    return [SendMessage(address, build_digest(node)) for address in sorted(chosen)]


def build_digest(node: Node) -> Digest:
    """Build the node's digest with some of the members that changed last."""
    latest = sorted(node.members.values(), key=lambda member: -member.heard_at)
    picked = latest[: MEMBERS_PER_DIGEST // 2]
    rest = latest[MEMBERS_PER_DIGEST // 2 :]
    picked += node.random.sample(rest, min(len(rest), MEMBERS_PER_DIGEST // 2))
    records = [member.record for member in picked]
    return Digest(node.own, node.configuration.version, records, not node.members)


def receive_digest(node: Node, now: float, digest: Digest) -> list[Action]:
    """Compare versions with a peer: ask for a newer one, or tell it of ours."""
    actions = merge_records(node, now, [digest.sender, *digest.members])
    if digest.version > node.configuration.version:
        actions += request_configuration(node, now, digest.sender)
    elif digest.version < node.configuration.version or digest.wants_members:
        actions.append(SendMessage(digest.sender.peer_address, build_digest(node)))
    return actions


def request_configuration(node: Node, now: float, peer: MemberRecord) -> list[Action]:
    """Ask a peer for the configuration, at most once in each retry interval."""
    if now < node.requested_at + REQUEST_RETRY_S:
        return []
    node.requested_at = now
    table = node.configuration
    request = ConfigurationRequest(node.own, table.version, sorted(table.blobs))
    return [SendMessage(peer.peer_address, request)]


def receive_request(node: Node, now: float, request: ConfigurationRequest) -> list[Action]:
    """Answer a peer that asks for the configuration with what it lacks."""
    actions = merge_records(node, now, [request.sender])
    table = node.configuration
    if table.applied is None or table.version <= request.version:
        return actions
    held = set(request.held)
    blobs = {digest: blob for digest, blob in table.blobs.items() if digest not in held}
    reply = ConfigurationReply(node.own, table.applied.head, blobs)
    actions.append(SendMessage(request.sender.peer_address, reply))
    return actions


def receive_reply(node: Node, now: float, reply: ConfigurationReply) -> list[Action]:
    """Take a configuration from a peer."""
    node.requested_at = 0.0
    actions = merge_records(node, now, [reply.sender])
    return actions + offer_configuration(node, now, reply.head, reply.blobs)


def offer_configuration(
    node: Node, now: float, head: Head, blobs: dict[str, bytes]
) -> list[Action]:
    """Apply a head that arrived with its missing blobs, and tell some peers of it.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        head: The head that arrived.
        blobs: Blobs that arrived with it.

    Returns:
        Log events, and digests to a bounded number of peers once it is in force.
    """
    table = node.configuration
    if head.version <= max(table.version, table.refused_version):
        return []
    wanted = set(head.services.values())
    table.blobs.update({digest: blob for digest, blob in blobs.items() if digest in wanted})
    if list_missing_blobs(table, head):
        return []
    try:
        apply_head(table, now, head)
    except ConfigurationError as error:
        return _refuse(node, head, error)
    fields = {"version": head.version, "publish_id": head.publish_id}
    return [Log(LogEvent.CONFIGURATION_APPLIED, fields), *_tell_peers(node)]


def _refuse(node: Node, head: Head, error: ConfigurationError) -> list[Action]:
    table = node.configuration
    table.refused_version = head.version
    table.refused_reason = str(error)
    kept = set(table.applied.head.services.values()) if table.applied is not None else set()
    table.blobs = {digest: blob for digest, blob in table.blobs.items() if digest in kept}
    fields = {"version": head.version, "code": error.code.value, "reason": error.message}
    return [Log(LogEvent.CONFIGURATION_REFUSED, fields)]


def _tell_peers(node: Node) -> list[Action]:
    local = list_alive(node, node.own.data_centre)
    chosen = node.random.sample(local, min(FANOUT, len(local)))
    remote = [record for record in list_alive(node) if record not in local]
    chosen += node.random.sample(remote, min(1, len(remote)))
    return [SendMessage(record.peer_address, build_digest(node)) for record in chosen]
