"""Sends the store's changes from relays to followers, which long-poll the relay's gate port."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import eventlet
import msgspec

from ..codes import LogEvent
from ..mesh.deltas import DeltaError, apply_delta
from ..mesh.relays import MAX_AGE_S, RelayResponse, choose_relay, is_relay, relay_changes
from ..mesh.store_items import Item, Page
from .member_requests import request_from_member

if TYPE_CHECKING:
    from ..mesh.members import Member
    from ..mesh.relays import Change
    from .state import Sidecar

CHANGES_PATH = "/mesh/changes"
POLL_TIMEOUT_S = 0.9  # how long a relay holds a follower's poll when nothing changes
RESPONSE_MARGIN_S = 0.4  # added to the poll timeout for the round trip on a busy VM
MAX_STORE_AGE_S = 1e9  # upper bound; reported if the store has never confirmed the local copy
POLL_INTERVAL_S = 0.02  # between checks for a change during a poll


def handle_follower_poll(sidecar: Sidecar, target: str) -> bytes:
    """Wait for a change and return the encoded response to a follower's poll.

    Args:
        sidecar: State of the relay.
        target: Request target, with the follower's revision in the query.
    """
    query = parse_qs(urlsplit(target).query)
    after = int(query.get("after", ["0"])[0])
    until = sidecar.clock() + POLL_TIMEOUT_S
    while sidecar.mirror.revision <= after and sidecar.clock() < until:
        eventlet.sleep(POLL_INTERVAL_S)
    sidecar.meters.count("relay", "answered")
    response = relay_changes(sidecar.mirror, sidecar.versions, after, find_store_age(sidecar))
    return msgspec.json.encode(response)


def follow_relay(sidecar: Sidecar) -> Page | None:
    """Poll this sidecar's relay for changes.

    Returns:
        The changes; None if there is no relay to poll or its response was rejected.

    Raises:
        StoreError: If a value had to be read from the store and that failed.
    """
    now = sidecar.clock()
    relay = choose_relay(sidecar.members, sidecar.settings.name, sidecar.relay_backoff, now)
    if relay is None:
        return None
    sidecar.watching_store = False
    response = _fetch_changes(sidecar, relay)
    reason = _find_distrust_reason(response)
    if reason:
        sidecar.relay_backoff.suspend(relay.name, sidecar.clock())
        sidecar.followed_relay = ""
        sidecar.log(
            LogEvent.RELAY_DISTRUSTED,
            relay=relay.name,
            reason=reason,
            revision=sidecar.mirror.revision,
            seconds=round(sidecar.clock() - now, 3),
        )
        return None
    sidecar.meters.count("relay", "followed")
    sidecar.store_confirmed_at = max(sidecar.store_confirmed_at, sidecar.clock() - response.age_s)
    if sidecar.followed_relay != relay.name:
        sidecar.followed_relay = relay.name
        sidecar.log(LogEvent.RELAY_FOLLOWED, relay=relay.name, revision=response.revision)
    return Page(
        tuple(_resolve_change(sidecar, change) for change in response.changes), response.revision
    )


def acts_as_relay(sidecar: Sidecar) -> bool:
    """Return whether this sidecar watches the store on behalf of followers."""
    return is_relay(sidecar.members, sidecar.settings.name)


def find_store_age(sidecar: Sidecar) -> float:
    """Return the seconds since the store last confirmed this sidecar's copy of its items."""
    return min(sidecar.clock() - sidecar.store_confirmed_at, MAX_STORE_AGE_S)


def _find_distrust_reason(response: RelayResponse | None) -> str:
    if response is None:
        return "no response"
    if not response.whole:
        return "relay started later than this sidecar's revision"
    if response.age_s > MAX_AGE_S:
        return f"store has not answered the relay for {response.age_s:.1f} s"
    return ""


def _fetch_changes(sidecar: Sidecar, relay: Member) -> RelayResponse | None:
    target = f"{CHANGES_PATH}?after={sidecar.mirror.revision}"
    response = request_from_member(
        sidecar, relay, target, POLL_TIMEOUT_S + RESPONSE_MARGIN_S, RelayResponse
    )
    if response is None:
        sidecar.meters.count("relay", "unread")
    return response


def _resolve_change(sidecar: Sidecar, change: Change) -> Item:
    if not change.long:
        return Item(change.key, change.revision, change.value, change.lease)
    value = _apply_change_delta(sidecar, change)
    if value is not None:
        return Item(change.key, change.revision, value, change.lease)
    sidecar.meters.count("store", "read")
    found = sidecar.store.read_key(change.key)
    return found or Item(change.key, change.revision, None)


def _apply_change_delta(sidecar: Sidecar, change: Change) -> bytes | None:
    """Return the new value by applying the delta, or None if it does not fit the known value."""
    known, delta = sidecar.mirror.items.get(change.key), change.delta
    if delta is None or known is None or known.value is None or known.revision != delta.base:
        return None
    try:
        return apply_delta(known.value, delta)
    except DeltaError:
        sidecar.meters.count("relay", "delta_unfit")
        return None
