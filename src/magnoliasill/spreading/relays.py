"""Relays: the few daemons that read the platform's store on behalf of their data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import LogEvent
from ..core.actions import (
    Action,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Log,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from ..core.node import list_alive
from ..decoding import DecodingError, decode_json
from ..errors import ConfigurationError
from ..membership.failure_detection import probe_address
from ..versions.configuration import list_missing_blobs
from ..versions.manifest import BLOB_PREFIX, HEAD_KEY, decode_head, strip_publisher_fields
from .distribution import apply_staged_if_ready, receive_configuration
from .joining import record_platform_read

if TYPE_CHECKING:
    from ..core.events import StoreAnswered, StoreEntry, StoreFailed
    from ..core.node import Node

RELAYS_PER_DATA_CENTRE = 2
MAX_SCAN_DOUBLINGS = 8
START_JITTER_S = 1.5
MAX_BLOBS_PER_READ = 16
RELAY_PREFIX = "relay/"
LEASE_TTL_MS = 3_000
RENEW_INTERVAL_S = 1.0
WATCH_TIMEOUT_MS = 2_500
RETRY_INTERVAL_S = 0.5
SCANS_PER_SECOND = 4.0  # per data centre, independent of its number of daemons

SCAN = "relay-scan"
GRANT = "relay-grant"
CLAIM = "relay-claim"
VERIFY = "relay-verify"
REVOKE = "relay-revoke"
RENEW = "relay-renew"
WATCH = "head-watch"
BLOBS = "blob-read"


@attrs.frozen
class RelayClaim:
    """The value of a relay slot's key in the platform's store.

    Attributes:
        name: The daemon that holds the slot.
        peer_address: Its peer address.
        lease: The lease to which the key is attached.
    """

    name: str
    peer_address: str
    lease: str = ""


@attrs.frozen
class RelaySlot:
    """A relay slot that a daemon holds.

    Attributes:
        data_centre: The data centre.
        number: The slot's number within the data centre.
        name: The daemon that holds it.
        peer_address: The peer address of that daemon.
        revision: The store revision of the slot's key.
    """

    data_centre: str
    number: int
    name: str
    peer_address: str
    revision: int


def tick_relay(node: Node, now: float) -> list[Action]:
    """Scan for a vacant slot, renew the lease or watch the head, whichever is due.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
    """
    relay = node.relay
    if relay.slot is not None and now >= relay.lease_until:
        return _lose_slot(node, now)
    if relay.slot is None:
        return _scan(node, now)
    actions: list[Action] = []
    if now >= relay.renew_at and RENEW not in relay.outstanding:
        relay.renew_at = now + RENEW_INTERVAL_S
        relay.lease_requested_at = now
        relay.outstanding.add(RENEW)
        actions.append(LeaseKeepAlive(RENEW, relay.lease))
    if now >= relay.watch_at and not relay.outstanding & {WATCH, BLOBS}:
        relay.outstanding.add(WATCH)
        actions.append(StoreWatch(WATCH, HEAD_KEY, relay.head_revision, WATCH_TIMEOUT_MS))
    return actions


def release_relay_slot(node: Node) -> list[Action]:
    """Release the slot at once because this daemon is leaving, so that another can claim it."""
    relay = node.relay
    if relay.slot is None:
        return []
    slot, relay.slot = relay.slot, None
    return [LeaseRevoke(REVOKE, relay.lease), Log(LogEvent.RELAY_LOST, {"slot": slot})]


def receive_store_answer(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    """Dispatch an answer of the platform's store by the purpose of its request."""
    node.relay.outstanding.discard(answer.purpose)
    actions = _set_store_available(node, True)
    handler = _ANSWER_HANDLERS.get(answer.purpose)
    return actions + (handler(node, now, answer) if handler is not None else [])


def receive_store_failure(node: Node, now: float, failure: StoreFailed) -> list[Action]:
    """Schedule a retry of a failed request, or look up a claim whose outcome is unknown."""
    relay = node.relay
    relay.outstanding.discard(failure.purpose)
    actions = _set_store_available(node, False)
    match failure.purpose:
        case "head-watch" | "blob-read":
            relay.watch_at = now + RETRY_INTERVAL_S
            relay.head_revision = 0
            relay.reading_head = None
        case "relay-grant" | "relay-verify":
            relay.claiming_slot = None
        case "relay-claim" if failure.unknown and now < relay.lease_until:
            relay.outstanding.add(VERIFY)
            actions.append(StoreRead(VERIFY, keys=(_build_slot_key(node),)))
        case "relay-claim":
            relay.claiming_slot = None
    return actions


def _scan(node: Node, now: float) -> list[Action]:
    relay = node.relay
    if node.own.status == "left":
        return []
    if now < relay.scan_at or relay.outstanding & {SCAN, GRANT, CLAIM, VERIFY}:
        return []
    if not relay.scan_at:
        relay.scan_at = now + node.random.uniform(0.0, START_JITTER_S)
        return []
    members = len(list_alive(node, node.own.data_centre)) + 1
    # A daemon that has just started does not know yet how many daemons share the scan rate.
    assumed_members = 0 if node.join.done else 2 ** min(relay.scans, MAX_SCAN_DOUBLINGS)
    sharing_members = max(members, assumed_members)
    relay.scans += 1
    # Exponential intervals keep the data centre's rate steady even after a simultaneous start.
    relay.scan_at = now + node.random.expovariate(SCANS_PER_SECOND / sharing_members)
    relay.outstanding.add(SCAN)
    return [StoreRead(SCAN, prefix=RELAY_PREFIX)]


def _receive_scan(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    taken = [slot for slot in map(_decode_slot, answer.entries) if slot is not None]
    actions = _probe_unknown_relays(node, now, taken)
    local = {slot.number: slot for slot in taken if slot.data_centre == node.own.data_centre}
    # A slot that has this daemon's name was claimed before its last restart.
    vacant = [
        number
        for number in range(RELAYS_PER_DATA_CENTRE)
        if number not in local or local[number].name == node.own.name
    ]
    if vacant and node.own.status != "left":
        relay.claiming_slot = vacant[0]
        relay.slot_revision = local[vacant[0]].revision if vacant[0] in local else 0
        relay.lease_requested_at = now
        relay.outstanding.add(GRANT)
        actions.append(LeaseGrant(GRANT, LEASE_TTL_MS))
    return actions


def _probe_unknown_relays(node: Node, now: float, slots: list[RelaySlot]) -> list[Action]:
    known = {member.record.peer_address for member in node.members.values()}
    unknown_slots = [slot for slot in slots if slot.peer_address not in known]
    targets = [slot for slot in unknown_slots if slot.data_centre == node.own.data_centre]
    remote = [slot for slot in unknown_slots if slot.data_centre != node.own.data_centre]
    targets += node.random.sample(remote, min(1, len(remote)))
    return [action for slot in targets for action in probe_address(node, now, slot.peer_address)]


def _decode_slot(entry: StoreEntry) -> RelaySlot | None:
    parts = entry.key.removeprefix(RELAY_PREFIX).split("/")
    try:
        claim = decode_json(entry.value, RelayClaim)
        return RelaySlot(parts[0], int(parts[1]), claim.name, claim.peer_address, entry.revision)
    except (ValueError, IndexError):
        return None


def _receive_grant(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    relay.lease = answer.lease
    relay.lease_until = relay.lease_requested_at + LEASE_TTL_MS / 1000
    relay.outstanding.add(CLAIM)
    value = msgspec.json.encode(RelayClaim(node.own.name, node.own.peer_address, relay.lease))
    return [StoreWrite(CLAIM, _build_slot_key(node), value, relay.slot_revision, relay.lease)]


def _receive_claim(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    if not answer.succeeded:
        relay.claiming_slot = None
        return [LeaseRevoke(REVOKE, relay.lease)]
    return _acquire_slot(node, now)


def _receive_verification(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    try:
        claim = decode_json(answer.entries[0].value, RelayClaim)
    except (DecodingError, IndexError):
        claim = None
    if claim is not None and claim.lease == node.relay.lease:
        return _acquire_slot(node, now)
    node.relay.claiming_slot = None
    return []


def _acquire_slot(node: Node, now: float) -> list[Action]:
    relay = node.relay
    slot, relay.claiming_slot = relay.claiming_slot, None
    if slot is None or now >= relay.lease_until:
        return []
    relay.slot = slot
    relay.renew_at = now
    relay.watch_at = now
    relay.head_revision = 0
    return [Log(LogEvent.RELAY_ACQUIRED, {"slot": slot})]


def _build_slot_key(node: Node) -> str:
    return f"{RELAY_PREFIX}{node.own.data_centre}/{node.relay.claiming_slot}"


def _receive_renewal(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    if not answer.succeeded:
        return _lose_slot(node, now)
    node.relay.lease_until = node.relay.lease_requested_at + LEASE_TTL_MS / 1000
    return []


def _receive_head(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    if not answer.entries or not answer.entries[0].revision:
        relay.watch_at = now + RETRY_INTERVAL_S
        return record_platform_read(node, 0)
    entry = answer.entries[0]
    unchanged = entry.revision == relay.head_revision
    relay.head_revision = entry.revision
    if unchanged:
        return []
    try:
        head = strip_publisher_fields(decode_head(entry.value))
    except ConfigurationError as error:
        fields = {"version": 0, "code": error.code.value, "reason": error.message}
        return [Log(LogEvent.CONFIGURATION_REFUSED, fields)]
    relay.reading_head = head
    actions = receive_configuration(node, now, head, {})
    return actions + _continue_reading(node, now)


def _receive_blobs(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    head = relay.reading_head
    if head is None:
        return []
    blobs = {
        entry.key.removeprefix(BLOB_PREFIX): entry.value
        for entry in answer.entries
        if entry.revision
    }
    missing = len(list_missing_blobs(node.configuration, head))
    actions = receive_configuration(node, now, head, blobs)
    if len(list_missing_blobs(node.configuration, head)) < missing:
        return actions + _continue_reading(node, now)
    relay.reading_head = None
    relay.head_revision = 0
    relay.watch_at = now + RETRY_INTERVAL_S
    return actions


def _continue_reading(node: Node, now: float) -> list[Action]:
    relay, table = node.relay, node.configuration
    head = relay.reading_head
    if head is None:
        return []
    if head.version <= table.held_version:
        relay.reading_head = None
        return [*record_platform_read(node, head.version), *apply_staged_if_ready(node, now)]
    if head.version in table.refused or table.pending != head:
        relay.reading_head = None
        return []
    missing = list_missing_blobs(table, head)[:MAX_BLOBS_PER_READ]
    relay.outstanding.add(BLOBS)
    return [StoreRead(BLOBS, keys=tuple(BLOB_PREFIX + digest for digest in missing))]


def _lose_slot(node: Node, now: float) -> list[Action]:
    relay = node.relay
    slot, relay.slot, relay.lease = relay.slot, None, ""
    relay.scan_at = now + RETRY_INTERVAL_S
    return [Log(LogEvent.RELAY_LOST, {"slot": slot})]


def _set_store_available(node: Node, available: bool) -> list[Action]:
    if node.store_available == available:
        return []
    node.store_available = available
    event = LogEvent.STORE_AVAILABLE if available else LogEvent.STORE_UNAVAILABLE
    return [Log(event)]


_ANSWER_HANDLERS = {
    SCAN: _receive_scan,
    GRANT: _receive_grant,
    CLAIM: _receive_claim,
    VERIFY: _receive_verification,
    RENEW: _receive_renewal,
    WATCH: _receive_head,
    BLOBS: _receive_blobs,
}
