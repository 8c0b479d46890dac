"""Relays: the few daemons of a data centre that read the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .actions import (
    Action,
    LeaseGrant,
    LeaseKeepAlive,
    Log,
    SendMessage,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from .codes import LogEvent
from .configuration import list_missing_blobs
from .distribution import build_digest, offer_configuration
from .errors import ConfigurationError
from .manifest import BLOB_PREFIX, HEAD_KEY, decode_head, strip_head
from .node import list_alive

if TYPE_CHECKING:
    from .events import StoreAnswered, StoreFailed
    from .node import Node

RELAYS_PER_DATA_CENTRE = 2
RELAY_PREFIX = "relay/"
LEASE_TTL_MS = 3_000
RENEW_INTERVAL_S = 1.0
WATCH_WAIT_MS = 10_000
RETRY_INTERVAL_S = 0.5
SCANS_PER_SECOND = 1.0  # in each data centre, whatever the number of its daemons

SCAN = "relay-scan"
GRANT = "relay-grant"
CLAIM = "relay-claim"
RENEW = "relay-renew"
WATCH = "head-watch"
BLOBS = "blob-read"


def tick_relay(node: Node, now: float) -> list[Action]:
    """Look for a vacant slot, extend the lease, or watch the head, as it is due.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
    """
    relay = node.relay
    if relay.slot is not None and now >= relay.lease_until:
        return _give_up(node, now)
    if relay.slot is None:
        return _scan(node, now)
    actions: list[Action] = []
    if now >= relay.renew_at and RENEW not in relay.busy:
        relay.renew_at = now + RENEW_INTERVAL_S
        relay.asked_at = now
        relay.busy.add(RENEW)
        actions.append(LeaseKeepAlive(RENEW, relay.lease))
    if now >= relay.watch_at and not relay.busy & {WATCH, BLOBS}:
        relay.busy.add(WATCH)
        actions.append(StoreWatch(WATCH, HEAD_KEY, relay.head_revision, WATCH_WAIT_MS))
    return actions


def receive_store_answer(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    """Continue the duty whose request was answered."""
    node.relay.busy.discard(answer.purpose)
    actions = _note_available(node, True)
    step = _STEPS.get(answer.purpose)
    return actions + (step(node, now, answer) if step is not None else [])


def receive_store_failure(node: Node, now: float, failure: StoreFailed) -> list[Action]:
    """Try again later; a claim whose outcome is unknown is dropped with its lease."""
    relay = node.relay
    relay.busy.discard(failure.purpose)
    relay.watch_at = now + RETRY_INTERVAL_S
    if failure.purpose in (GRANT, CLAIM):
        relay.claiming = None
    return _note_available(node, False)


def _scan(node: Node, now: float) -> list[Action]:
    relay = node.relay
    if now < relay.scan_at or relay.busy & {SCAN, GRANT, CLAIM}:
        return []
    members = len(list_alive(node, node.own.data_centre)) + 1
    relay.scan_at = now + node.random.uniform(0.5, 1.5) * members / SCANS_PER_SECOND
    relay.busy.add(SCAN)
    return [StoreRead(SCAN, prefix=RELAY_PREFIX)]


def _receive_scan(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    actions: list[Action] = []
    taken: set[int] = set()
    for entry in answer.entries:
        _, data_centre, slot = entry.key.split("/")
        address = msgspec.json.decode(entry.value).get("peer_address", "")
        if address and address != node.own.peer_address:
            actions.append(SendMessage(address, build_digest(node)))
        if data_centre == node.own.data_centre:
            taken.add(int(slot))
    vacant = sorted(set(range(RELAYS_PER_DATA_CENTRE)) - taken)
    if vacant and GRANT not in node.relay.busy:
        node.relay.claiming = vacant[0]
        node.relay.asked_at = now
        node.relay.busy.add(GRANT)
        actions.append(LeaseGrant(GRANT, LEASE_TTL_MS))
    return actions


def _receive_grant(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    relay.lease = answer.lease
    relay.lease_until = relay.asked_at + LEASE_TTL_MS / 1000
    relay.busy.add(CLAIM)
    value = msgspec.json.encode({"name": node.own.name, "peer_address": node.own.peer_address})
    key = f"{RELAY_PREFIX}{node.own.data_centre}/{relay.claiming}"
    return [StoreWrite(CLAIM, key, value, 0, relay.lease)]


def _receive_claim(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    slot, relay.claiming = relay.claiming, None
    if not answer.succeeded or slot is None:
        return []
    relay.slot = slot
    relay.renew_at = now
    relay.watch_at = now
    return [Log(LogEvent.RELAY_ACQUIRED, {"slot": slot})]


def _receive_renewal(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    if not answer.succeeded:
        return _give_up(node, now)
    node.relay.lease_until = node.relay.asked_at + LEASE_TTL_MS / 1000
    return []


def _receive_head(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    if not answer.entries or not answer.entries[0].revision:
        relay.watch_at = now + RETRY_INTERVAL_S
        return []
    entry = answer.entries[0]
    relay.head_revision = entry.revision
    try:
        head = strip_head(decode_head(entry.value))
    except ConfigurationError as error:
        fields = {"version": 0, "code": error.code.value, "reason": error.message}
        return [Log(LogEvent.CONFIGURATION_REFUSED, fields)]
    missing = list_missing_blobs(node.configuration, head)
    if not missing:
        return offer_configuration(node, now, head, {})
    node.configuration.pending = head
    relay.busy.add(BLOBS)
    return [StoreRead(BLOBS, keys=tuple(BLOB_PREFIX + digest for digest in missing))]


def _receive_blobs(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    head = node.configuration.pending
    node.configuration.pending = None
    if head is None:
        return []
    blobs = {
        entry.key.removeprefix(BLOB_PREFIX): entry.value
        for entry in answer.entries
        if entry.revision
    }
    actions = offer_configuration(node, now, head, blobs)
    if node.configuration.version < head.version > node.configuration.refused_version:
        node.relay.head_revision = 0
        node.relay.watch_at = now + RETRY_INTERVAL_S
    return actions


def _give_up(node: Node, now: float) -> list[Action]:
    relay = node.relay
    slot, relay.slot, relay.lease = relay.slot, None, ""
    relay.scan_at = now + RETRY_INTERVAL_S
    return [Log(LogEvent.RELAY_LOST, {"slot": slot})]


def _note_available(node: Node, available: bool) -> list[Action]:
    if node.store_available == available:
        return []
    node.store_available = available
    event = LogEvent.STORE_AVAILABLE if available else LogEvent.STORE_UNAVAILABLE
    return [Log(event)]


_STEPS = {
    SCAN: _receive_scan,
    GRANT: _receive_grant,
    CLAIM: _receive_claim,
    RENEW: _receive_renewal,
    WATCH: _receive_head,
    BLOBS: _receive_blobs,
}
