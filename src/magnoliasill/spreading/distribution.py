"""Distribution of configurations between daemons: peers report versions and pull newer ones.

A daemon that has a complete newer version reports it to a few peers, and those that lack it request
it. The daemon applies the version once enough other daemons of its data centre have it too.
Otherwise its restart could lose the only copy of a version from which callers were served.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..codes import ErrorCode, LogEvent
from ..core.actions import Action, Log, SendMessage
from ..core.messages import ConfigurationReply, ConfigurationRequest, Digest
from ..core.node import ConfigurationSource, list_alive
from ..errors import ConfigurationError
from ..membership.membership import merge_records
from ..membership.syncing import compare_fingerprint, compute_fingerprint
from ..versions.configuration import (
    apply_staged,
    drop_unused_blobs,
    is_fetch_needed,
    list_missing_blobs,
    record_refused,
    stage_head,
)
from ..versions.manifest import apply_delta, build_delta, hash_blob, hash_manifest
from .gossip import dequeue_news, spread_message
from .joining import list_due_queries, may_apply, record_answer

if TYPE_CHECKING:
    from ..core.messages import MemberRecord
    from ..core.node import Node
    from ..versions.manifest import Head

REQUIRED_WITNESSES = 2
CONFIRM_TIMEOUT_S = 1.0
REQUEST_RETRY_S = 0.3
MAX_SOURCES = 16
MAX_SOURCE_REQUESTS = 4
MAX_WANTED_BLOBS = 64
MAX_REPLY_BYTES = 256_000
MAX_HEARD_AGE_TENTHS = 600


def build_digest(
    node: Node, now: float, reported: list[MemberRecord] | None = None, answer: bool = False
) -> Digest:
    """Build the node's digest, including some recently changed member records.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        reported: Member records that the digest must include.
        answer: Whether it answers another digest and needs no answer itself.
    """
    table = node.configuration
    heard = {
        data_centre: math.ceil((now - heard_at) * 10)
        for data_centre, heard_at in node.data_centres_heard_at.items()
        if (now - heard_at) * 10 < MAX_HEARD_AGE_TENTHS
    }
    return Digest(
        node.own,
        table.version,
        [*(reported or []), *dequeue_news(node)],
        held=table.held_version,
        joining=not node.join.done,
        fingerprint=compute_fingerprint(node),
        heard=heard,
        answer=answer,
    )


def receive_digest(node: Node, now: float, digest: Digest) -> list[Action]:
    """Compare versions with a peer: request its version if newer, or report this node's.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        digest: The peer's digest.
    """
    sender = digest.sender
    actions = merge_records(node, now, [sender, *digest.members])
    _record_heard_data_centres(node, now, digest)
    record_answer(node, digest)
    actions += compare_fingerprint(node, now, digest)
    held = max(digest.version, digest.held)
    table = node.configuration
    if is_fetch_needed(table, held):
        _record_source(node, sender.peer_address, held)
        actions += request_configuration(node, now, sender.peer_address)
    needs_answer = digest.joining or held < table.held_version or digest.version < held
    if needs_answer and not digest.answer:
        answer = build_digest(node, now, answer=True)
        actions.append(SendMessage(sender.peer_address, answer))
    if table.staged is not None and held >= table.held_version:
        _record_witness(node, sender)
    return actions + apply_staged_if_ready(node, now)


def tick_distribution(node: Node, now: float) -> list[Action]:
    """Apply the staged configuration if ready, and repeat requests and reports that are due.

    A request for a newer configuration that was not answered goes to a random known source.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
    """
    table = node.configuration
    actions = apply_staged_if_ready(node, now)
    due = list_due_queries(node, now)
    if due:
        digest = build_digest(node, now)
        actions += [SendMessage(record.peer_address, digest) for record in due]
    _remove_stale_sources(node)
    if node.sources:
        address = node.random.choice(sorted(node.sources))
        actions += request_configuration(node, now, address)
    if table.staged is not None and now >= node.staged_reported_at + REQUEST_RETRY_S:
        actions += _report_staged(node, now)
    return actions


def request_configuration(node: Node, now: float, address: str) -> list[Action]:
    """Request the configuration from a peer, or missing blobs of the pending configuration.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        address: The peer's address.

    Returns:
        The request, or an empty list if another request was sent too recently.
    """
    if now < node.requested_at + REQUEST_RETRY_S:
        return []
    jitter = REQUEST_RETRY_S * node.random.uniform(0.0, 0.5)
    node.requested_at = now + jitter
    table = node.configuration
    if address in node.sources:
        node.sources[address].requests += 1
    manifest = hash_manifest(table.held.head.services) if table.held is not None else ""
    pending = table.pending
    wanted = list_missing_blobs(table, pending)[:MAX_WANTED_BLOBS] if pending is not None else []
    version = pending.version if pending is not None else 0
    request = ConfigurationRequest(node.own, table.held_version, manifest, version, wanted)
    return [SendMessage(address, request)]


def receive_request(node: Node, now: float, request: ConfigurationRequest) -> list[Action]:
    """Answer a configuration request with the head, delta or blobs that the peer lacks."""
    actions = merge_records(node, now, [request.sender])
    reply = _build_reply(node, request)
    if reply is not None:
        actions.append(SendMessage(request.sender.peer_address, reply))
    return actions


def receive_reply(node: Node, now: float, reply: ConfigurationReply) -> list[Action]:
    """Process a configuration, or a part of one, from a peer."""
    node.requested_at = 0.0
    actions = merge_records(node, now, [reply.sender])
    table = node.configuration
    head = reply.head
    if reply.delta is not None:
        try:
            if table.held is None:
                raise ConfigurationError(ErrorCode.DELTA_MISMATCH, "no base is held")
            head = apply_delta(table.held.head, reply.delta)
        except ConfigurationError as error:
            fields = {"code": error.code.value, "reason": error.message}
            return [*actions, Log(LogEvent.MESSAGE_REFUSED, fields)]
    head = head if head is not None else table.pending
    if head is None:
        return actions
    actions += receive_configuration(node, now, head, reply.blobs, reply.sender)
    if table.pending is not None and reply.blobs:
        actions += request_configuration(node, now, reply.sender.peer_address)
    return actions


def receive_configuration(
    node: Node,
    now: float,
    head: Head,
    blobs: dict[str, bytes],
    source: MemberRecord | None = None,
) -> list[Action]:
    """Store a head and blobs; once the head is complete, stage it and report it to some peers.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        head: The received head.
        blobs: Blobs received with it; those that don't match their hash are dropped.
        source: The daemon that sent them, or None for the platform's store.

    Returns:
        Log events, and messages to a limited number of peers.
    """
    table = node.configuration
    if not is_fetch_needed(table, head.version):
        return []
    if table.pending is not None and head.version < table.pending.version:
        return []
    if table.pending != head:
        table.pending = head
        drop_unused_blobs(table)
    wanted = set(head.services.values())
    valid_blobs = {
        key: blob for key, blob in blobs.items() if key in wanted and hash_blob(blob) == key
    }
    table.blobs.update(valid_blobs)
    if list_missing_blobs(table, head):
        return []
    try:
        stage_head(table, now, head)
    except ConfigurationError as error:
        return _refuse_head(node, head, error)
    actions = _report_staged(node, now)
    if source is not None:
        _record_witness(node, source)
        digest = build_digest(node, now)
        actions.append(SendMessage(source.peer_address, digest))
    return actions + apply_staged_if_ready(node, now)


def apply_staged_if_ready(node: Node, now: float) -> list[Action]:
    """Apply the staged configuration once joining allows it and enough daemons have it.

    If too few daemons confirm it, it is applied `CONFIRM_TIMEOUT_S` after it was staged.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.

    Returns:
        Log events.
    """
    table = node.configuration
    if table.staged is None or not may_apply(node, table.staged.head.version):
        return []
    local_peer_count = len(list_alive(node, node.own.data_centre))
    confirmed = len(table.confirming_daemons) >= min(REQUIRED_WITNESSES, local_peer_count)
    if not confirmed and now < table.staged_at + CONFIRM_TIMEOUT_S:
        return []
    apply_staged(table, now)
    head = table.applied.head if table.applied is not None else None
    fields = {"version": table.version, "publish_id": head.publish_id if head else ""}
    actions: list[Action] = [Log(LogEvent.CONFIGURATION_APPLIED, fields)]
    if not confirmed:
        missing = {"version": table.version, "witnesses": len(table.confirming_daemons)}
        actions.append(Log(LogEvent.CONFIRMATION_MISSING, missing))
    return actions


def _build_reply(node: Node, request: ConfigurationRequest) -> ConfigurationReply | None:
    table = node.configuration
    if table.held is None:
        return None
    head = table.held.head
    blobs = {key: table.blobs[key] for key in request.wanted if key in table.blobs}
    if head.version <= request.pending:
        return ConfigurationReply(node.own, None, _limit_reply_size(blobs)) if blobs else None
    if head.version <= request.version:
        return None
    base = next((old for old in table.recent_heads if old.version == request.version), None)
    if base is not None and hash_manifest(base.services) == request.manifest:
        delta = build_delta(base, head)
        blobs.update({key: table.blobs[key] for key in delta.changed.values()})
        return ConfigurationReply(node.own, None, _limit_reply_size(blobs), delta)
    blobs.update(table.blobs)
    return ConfigurationReply(node.own, head, _limit_reply_size(blobs))


def _limit_reply_size(blobs: dict[str, bytes]) -> dict[str, bytes]:
    selected: dict[str, bytes] = {}
    remaining_bytes = MAX_REPLY_BYTES
    for key, blob in blobs.items():
        if selected and len(blob) > remaining_bytes:
            break
        selected[key] = blob
        remaining_bytes -= len(blob)
    return selected


def _refuse_head(node: Node, head: Head, error: ConfigurationError) -> list[Action]:
    table = node.configuration
    record_refused(table, head.version, str(error))
    table.pending = None
    drop_unused_blobs(table)
    fields = {"version": head.version, "code": error.code.value, "reason": error.message}
    return [Log(LogEvent.CONFIGURATION_REFUSED, fields)]


def _record_source(node: Node, address: str, held: int) -> None:
    if address in node.sources or len(node.sources) < MAX_SOURCES:
        node.sources[address] = ConfigurationSource(held)


def _remove_stale_sources(node: Node) -> None:
    table = node.configuration
    node.sources = {
        address: source
        for address, source in node.sources.items()
        if is_fetch_needed(table, source.held) and source.requests < MAX_SOURCE_REQUESTS
    }
    pending = table.pending
    newest = max((source.held for source in node.sources.values()), default=0)
    if pending is not None and pending != node.relay.reading_head and newest < pending.version:
        table.pending = None
        drop_unused_blobs(table)


def _record_witness(node: Node, witness: MemberRecord) -> None:
    if witness.data_centre == node.own.data_centre:
        node.configuration.confirming_daemons.add(witness.name)


def _report_staged(node: Node, now: float) -> list[Action]:
    node.staged_reported_at = now
    return spread_message(node, build_digest(node, now))


def _record_heard_data_centres(node: Node, now: float, digest: Digest) -> None:
    own = node.own.data_centre
    ages = {name: tenths / 10 for name, tenths in digest.heard.items() if name != own}
    if digest.sender.data_centre != own:
        ages[digest.sender.data_centre] = 0.0
    for name, age in ages.items():
        node.data_centres_heard_at[name] = max(node.data_centres_heard_at.get(name, 0.0), now - age)
