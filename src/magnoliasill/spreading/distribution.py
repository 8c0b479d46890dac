"""Distribution: how a configuration spreads from daemon to daemon.

A daemon that holds a newer version whole tells a few peers; those that lack it pull it. It puts
the version in force once enough daemons of its data centre hold it, too, so that its restart
can't be the end of the only copy that some caller was served from.
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
from .joining import list_due_questions, may_apply, note_answer
from .spreading import spread_message, take_news

if TYPE_CHECKING:
    from ..core.messages import MemberRecord
    from ..core.node import Node
    from ..versions.manifest import Head

WITNESSES = 2
CONFIRM_TIMEOUT_S = 1.0
REQUEST_RETRY_S = 0.3
MAX_SOURCES = 16
SOURCE_TRIES = 4
MAX_WANTED = 64
REPLY_BYTES = 256_000
MAX_HEARD_TENTHS = 600


def build_digest(
    node: Node, now: float, told: list[MemberRecord] | None = None, answer: bool = False
) -> Digest:
    """Build the node's digest, with some changed members sent along.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        told: Records that the receiver has to hear of.
        answer: Whether it answers a digest, and needs no answer.
    """
    table = node.configuration
    heard = {
        data_centre: math.ceil((now - heard_at) * 10)
        for data_centre, heard_at in node.data_centres_heard_at.items()
        if (now - heard_at) * 10 < MAX_HEARD_TENTHS
    }
    return Digest(
        node.own,
        table.version,
        [*(told or []), *take_news(node)],
        held=table.held_version,
        joining=not node.join.done,
        fingerprint=compute_fingerprint(node),
        heard=heard,
        answer=answer,
    )


def receive_digest(node: Node, now: float, digest: Digest) -> list[Action]:
    """Compare versions with a peer: ask for a newer one, or tell it of ours.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        digest: The peer's digest.
    """
    sender = digest.sender
    actions = merge_records(node, now, [sender, *digest.members])
    _note_heard(node, now, digest)
    note_answer(node, digest)
    actions += compare_fingerprint(node, now, digest)
    held = max(digest.version, digest.held)
    table = node.configuration
    if is_fetch_needed(table, held):
        _note_source(node, sender.peer_address, held)
        actions += request_configuration(node, now, sender.peer_address)
    waits = digest.joining or held < table.held_version or digest.version < held
    if waits and not digest.answer:
        answer = build_digest(node, now, answer=True)
        actions.append(SendMessage(sender.peer_address, answer))
    if table.staged is not None and held >= table.held_version:
        _note_witness(node, sender)
    return actions + put_in_force(node, now)


def tick_distribution(node: Node, now: float) -> list[Action]:
    """Repeat an unanswered request at another peer, and put in force what may be.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
    """
    table = node.configuration
    actions = put_in_force(node, now)
    due = list_due_questions(node, now)
    if due:
        digest = build_digest(node, now)
        actions += [SendMessage(record.peer_address, digest) for record in due]
    _drop_sources(node)
    if node.sources:
        address = node.random.choice(sorted(node.sources))
        actions += request_configuration(node, now, address)
    if table.staged is not None and now >= node.staged_reported_at + REQUEST_RETRY_S:
        actions += _tell_peers(node, now)
    return actions


def request_configuration(node: Node, now: float, address: str) -> list[Action]:
    """Ask a peer for the configuration, or for blobs of the pending one.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        address: The peer's address.

    Returns:
        The request, or nothing while another one is outstanding.
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
    wanted = list_missing_blobs(table, pending)[:MAX_WANTED] if pending is not None else []
    version = pending.version if pending is not None else 0
    request = ConfigurationRequest(node.own, table.held_version, manifest, version, wanted)
    return [SendMessage(address, request)]


def receive_request(node: Node, now: float, request: ConfigurationRequest) -> list[Action]:
    """Answer a peer that asks for the configuration with what it lacks."""
    actions = merge_records(node, now, [request.sender])
    reply = _build_reply(node, request)
    if reply is not None:
        actions.append(SendMessage(request.sender.peer_address, reply))
    return actions


def receive_reply(node: Node, now: float, reply: ConfigurationReply) -> list[Action]:
    """Take a configuration, or a part of it, from a peer."""
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
    actions += offer_configuration(node, now, head, reply.blobs, reply.sender)
    if table.pending is not None and reply.blobs:
        actions += request_configuration(node, now, reply.sender.peer_address)
    return actions


def offer_configuration(
    node: Node,
    now: float,
    head: Head,
    blobs: dict[str, bytes],
    source: MemberRecord | None = None,
) -> list[Action]:
    """Take a head and blobs; once it is whole, keep it ready and tell some peers of it.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        head: The head that arrived.
        blobs: Blobs that arrived with it; those that don't match their hash are dropped.
        source: The daemon that they came from, or None for the platform's store.

    Returns:
        Log events, and messages to a bounded number of peers.
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
    good = {key: blob for key, blob in blobs.items() if key in wanted and hash_blob(blob) == key}
    table.blobs.update(good)
    if list_missing_blobs(table, head):
        return []
    try:
        stage_head(table, now, head)
    except ConfigurationError as error:
        return _refuse(node, head, error)
    actions = _tell_peers(node, now)
    if source is not None:
        _note_witness(node, source)
        digest = build_digest(node, now)
        actions.append(SendMessage(source.peer_address, digest))
    return actions + put_in_force(node, now)


def put_in_force(node: Node, now: float) -> list[Action]:
    """Put the staged configuration in force, if enough daemons hold it.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.

    Returns:
        Log events.
    """
    table = node.configuration
    if table.staged is None or not may_apply(node, table.staged.head.version):
        return []
    neighbours = len(list_alive(node, node.own.data_centre))
    confirmed = len(table.confirming_daemons) >= min(WITNESSES, neighbours)
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
        return ConfigurationReply(node.own, None, _fit(blobs)) if blobs else None
    if head.version <= request.version:
        return None
    base = next((old for old in table.recent_heads if old.version == request.version), None)
    if base is not None and hash_manifest(base.services) == request.manifest:
        delta = build_delta(base, head)
        blobs.update({key: table.blobs[key] for key in delta.changed.values()})
        return ConfigurationReply(node.own, None, _fit(blobs), delta)
    blobs.update(table.blobs)
    return ConfigurationReply(node.own, head, _fit(blobs))


def _fit(blobs: dict[str, bytes]) -> dict[str, bytes]:
    fitting: dict[str, bytes] = {}
    left = REPLY_BYTES
    for key, blob in blobs.items():
        if fitting and len(blob) > left:
            break
        fitting[key] = blob
        left -= len(blob)
    return fitting


def _refuse(node: Node, head: Head, error: ConfigurationError) -> list[Action]:
    table = node.configuration
    record_refused(table, head.version, str(error))
    table.pending = None
    drop_unused_blobs(table)
    fields = {"version": head.version, "code": error.code.value, "reason": error.message}
    return [Log(LogEvent.CONFIGURATION_REFUSED, fields)]


def _note_source(node: Node, address: str, held: int) -> None:
    if address in node.sources or len(node.sources) < MAX_SOURCES:
        node.sources[address] = ConfigurationSource(held)


def _drop_sources(node: Node) -> None:
    table = node.configuration
    node.sources = {
        address: source
        for address, source in node.sources.items()
        if is_fetch_needed(table, source.held) and source.requests < SOURCE_TRIES
    }
    pending = table.pending
    newest = max((source.held for source in node.sources.values()), default=0)
    if pending is not None and pending != node.relay.reading_head and newest < pending.version:
        table.pending = None
        drop_unused_blobs(table)


def _note_witness(node: Node, witness: MemberRecord) -> None:
    if witness.data_centre == node.own.data_centre:
        node.configuration.confirming_daemons.add(witness.name)


def _tell_peers(node: Node, now: float) -> list[Action]:
    node.staged_reported_at = now
    return spread_message(node, build_digest(node, now))


def _note_heard(node: Node, now: float, digest: Digest) -> None:
    own = node.own.data_centre
    ages = {name: tenths / 10 for name, tenths in digest.heard.items() if name != own}
    if digest.sender.data_centre != own:
        ages[digest.sender.data_centre] = 0.0
    for name, age in ages.items():
        node.data_centres_heard_at[name] = max(node.data_centres_heard_at.get(name, 0.0), now - age)
