"""Relays: the few daemons of a data centre that read the platform's store."""

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
from ..errors import ConfigurationError
from ..membership.probing import probe_address
from ..versions.configuration import list_missing_blobs
from ..versions.manifest import BLOB_PREFIX, HEAD_KEY, decode_head, strip_publisher_fields
from .distribution import offer_configuration, put_in_force
from .joining import note_platform_read

if TYPE_CHECKING:
    from ..core.events import StoreAnswered, StoreEntry, StoreFailed
    from ..core.node import Node

RELAYS_PER_DATA_CENTRE = 2
MAX_SCAN_DOUBLINGS = 8
START_SPREAD_S = 1.5
BLOBS_AT_ONCE = 16
RELAY_PREFIX = "relay/"
LEASE_TTL_MS = 3_000
RENEW_INTERVAL_S = 1.0
WATCH_WAIT_MS = 2_500
RETRY_INTERVAL_S = 0.5
SCANS_PER_SECOND = 4.0  # in each data centre, whatever the number of its daemons

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
    """The value of a relay slot's key.

    Attributes:
        name: The daemon that holds the slot.
        peer_address: Its peer address.
        lease: The lease under which it claimed the slot.
    """

    name: str
    peer_address: str
    lease: str = ""


@attrs.frozen
class RelaySlot:
    """A slot that is taken.

    Attributes:
        data_centre: The data centre.
        number: The slot's number in it.
        name: The daemon that holds it.
        peer_address: The peer address of that daemon.
        revision: The store's revision of its key.
    """

    data_centre: str
    number: int
    name: str
    peer_address: str
    revision: int


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
    if now >= relay.renew_at and RENEW not in relay.outstanding:
        relay.renew_at = now + RENEW_INTERVAL_S
        relay.lease_requested_at = now
        relay.outstanding.add(RENEW)
        actions.append(LeaseKeepAlive(RENEW, relay.lease))
    if now >= relay.watch_at and not relay.outstanding & {WATCH, BLOBS}:
        relay.outstanding.add(WATCH)
        actions.append(StoreWatch(WATCH, HEAD_KEY, relay.head_revision, WATCH_WAIT_MS))
    return actions


def resign(node: Node) -> list[Action]:
    """Give the slot up at once, for another daemon to take, as this one is leaving."""
    relay = node.relay
    if relay.slot is None:
        return []
    slot, relay.slot = relay.slot, None
    return [LeaseRevoke(REVOKE, relay.lease), Log(LogEvent.RELAY_LOST, {"slot": slot})]


def receive_store_answer(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    """Continue the duty whose request was answered."""
    node.relay.outstanding.discard(answer.purpose)
    actions = _note_available(node, True)
    step = _STEPS.get(answer.purpose)
    return actions + (step(node, now, answer) if step is not None else [])


def receive_store_failure(node: Node, now: float, failure: StoreFailed) -> list[Action]:
    """Try again later; look up a claim whose outcome is unknown."""
    relay = node.relay
    relay.outstanding.discard(failure.purpose)
    actions = _note_available(node, False)
    match failure.purpose:
        case "head-watch" | "blob-read":
            relay.watch_at = now + RETRY_INTERVAL_S
            relay.head_revision = 0
            relay.reading_head = None
        case "relay-grant" | "relay-verify":
            relay.claiming_slot = None
        case "relay-claim" if failure.unknown and now < relay.lease_until:
            relay.outstanding.add(VERIFY)
            actions.append(StoreRead(VERIFY, keys=(_name_slot(node),)))
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
        relay.scan_at = now + node.random.uniform(0.0, START_SPREAD_S)
        return []
    members = len(list_alive(node, node.own.data_centre)) + 1
    # a daemon that has just started does not know yet how many share the scans
    unknown = 0 if node.join.done else 2 ** min(relay.scans, MAX_SCAN_DOUBLINGS)
    share = max(members, unknown)
    relay.scans += 1
    # exponential intervals keep the rate of the data centre steady after a common start, too
    relay.scan_at = now + node.random.expovariate(SCANS_PER_SECOND / share)
    relay.outstanding.add(SCAN)
    return [StoreRead(SCAN, prefix=RELAY_PREFIX)]


def _receive_scan(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    taken = [slot for slot in map(_read_slot, answer.entries) if slot is not None]
    actions = _greet_relays(node, now, taken)
    local = {slot.number: slot for slot in taken if slot.data_centre == node.own.data_centre}
    # a slot under the own name was claimed before the last restart
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


def _greet_relays(node: Node, now: float, slots: list[RelaySlot]) -> list[Action]:
    known = {member.record.peer_address for member in node.members.values()}
    strangers = [slot for slot in slots if slot.peer_address not in known]
    near = [slot for slot in strangers if slot.data_centre == node.own.data_centre]
    far = [slot for slot in strangers if slot.data_centre != node.own.data_centre]
    near += node.random.sample(far, min(1, len(far)))
    return [action for slot in near for action in probe_address(node, now, slot.peer_address)]


def _read_slot(entry: StoreEntry) -> RelaySlot | None:
    parts = entry.key.removeprefix(RELAY_PREFIX).split("/")
    try:
        claim = msgspec.json.decode(entry.value, type=RelayClaim)
        return RelaySlot(parts[0], int(parts[1]), claim.name, claim.peer_address, entry.revision)
    except (msgspec.MsgspecError, ValueError, IndexError):
        return None


def _receive_grant(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    relay.lease = answer.lease
    relay.lease_until = relay.lease_requested_at + LEASE_TTL_MS / 1000
    relay.outstanding.add(CLAIM)
    value = msgspec.json.encode(RelayClaim(node.own.name, node.own.peer_address, relay.lease))
    return [StoreWrite(CLAIM, _name_slot(node), value, relay.slot_revision, relay.lease)]


def _receive_claim(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    if not answer.succeeded:
        relay.claiming_slot = None
        return [LeaseRevoke(REVOKE, relay.lease)]
    return _take_slot(node, now)


def _receive_verification(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    try:
        claim = msgspec.json.decode(answer.entries[0].value, type=RelayClaim)
    except (msgspec.MsgspecError, IndexError):
        claim = None
    if claim is not None and claim.lease == node.relay.lease:
        return _take_slot(node, now)
    node.relay.claiming_slot = None
    return []


def _take_slot(node: Node, now: float) -> list[Action]:
    relay = node.relay
    slot, relay.claiming_slot = relay.claiming_slot, None
    if slot is None or now >= relay.lease_until:
        return []
    relay.slot = slot
    relay.renew_at = now
    relay.watch_at = now
    relay.head_revision = 0
    return [Log(LogEvent.RELAY_ACQUIRED, {"slot": slot})]


def _name_slot(node: Node) -> str:
    return f"{RELAY_PREFIX}{node.own.data_centre}/{node.relay.claiming_slot}"


def _receive_renewal(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    if not answer.succeeded:
        return _give_up(node, now)
    node.relay.lease_until = node.relay.lease_requested_at + LEASE_TTL_MS / 1000
    return []


def _receive_head(node: Node, now: float, answer: StoreAnswered) -> list[Action]:
    relay = node.relay
    if not answer.entries or not answer.entries[0].revision:
        relay.watch_at = now + RETRY_INTERVAL_S
        return note_platform_read(node, 0)
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
    actions = offer_configuration(node, now, head, {})
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
    actions = offer_configuration(node, now, head, blobs)
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
        return [*note_platform_read(node, head.version), *put_in_force(node, now)]
    if head.version in table.refused or table.pending != head:
        relay.reading_head = None
        return []
    missing = list_missing_blobs(table, head)[:BLOBS_AT_ONCE]
    relay.outstanding.add(BLOBS)
    return [StoreRead(BLOBS, keys=tuple(BLOB_PREFIX + digest for digest in missing))]


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
    VERIFY: _receive_verification,
    RENEW: _receive_renewal,
    WATCH: _receive_head,
    BLOBS: _receive_blobs,
}
