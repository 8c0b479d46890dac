"""The way of the store's changes from a relay to its followers, over the gate's port."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import eventlet
import msgspec

from ..codes import LogEvent
from ..mesh.deltas import DeltaError, apply_delta
from ..mesh.items import Item, Page
from ..mesh.relays import MAX_AGE_S, RelayResponse, choose_relay, is_relay, relay_changes
from .asking import ask_member

if TYPE_CHECKING:
    from ..mesh.members import Member
    from ..mesh.relays import Change
    from .state import Sidecar

CHANGES_PATH = "/mesh/changes"
WAIT_S = 0.9  # of a follower at its relay, without a change
ANSWER_S = 0.4  # beyond that, for the way there and back on a busy VM
UNKNOWN_AGE_S = 1e9  # of what the store never confirmed
STEP_S = 0.02  # between two looks for a change


def answer_follower(sidecar: Sidecar, target: str) -> bytes:
    """Wait for a change and return what a follower asked for.

    Args:
        sidecar: The tables of the relay.
        target: The path with the revision that the follower knows.
    """
    query = parse_qs(urlsplit(target).query)
    after = int(query.get("after", ["0"])[0])
    until = sidecar.clock() + WAIT_S
    while sidecar.mirror.revision <= after and sidecar.clock() < until:
        eventlet.sleep(STEP_S)
    sidecar.meters.count("relay", "answered")
    answer = relay_changes(sidecar.mirror, sidecar.versions, after, find_store_age(sidecar))
    return msgspec.json.encode(answer)


def follow_relay(sidecar: Sidecar) -> Page | None:
    """Ask this sidecar's relay for changes.

    Returns:
        The changes; None if there is no relay to ask, or it can't be trusted.

    Raises:
        StoreError: If a value had to be read from the store and was not.
    """
    now = sidecar.clock()
    relay = choose_relay(sidecar.members, sidecar.settings.name, sidecar.relay_backoff, now)
    if relay is None:
        return None
    sidecar.watching = False
    answer = _ask(sidecar, relay)
    reason = _find_doubt(answer)
    if reason:
        sidecar.relay_backoff.suspend(relay.name, sidecar.clock())
        sidecar.followed = ""
        revision = sidecar.mirror.revision
        sidecar.log(LogEvent.RELAY_DISTRUSTED, relay=relay.name, reason=reason, revision=revision)
        return None
    sidecar.meters.count("relay", "followed")
    sidecar.store_heard_at = max(sidecar.store_heard_at, sidecar.clock() - answer.age_s)
    if sidecar.followed != relay.name:
        sidecar.followed = relay.name
        sidecar.log(LogEvent.RELAY_FOLLOWED, relay=relay.name, revision=answer.revision)
    return Page(tuple(_read(sidecar, change) for change in answer.changes), answer.revision)


def watches_store(sidecar: Sidecar) -> bool:
    """Return whether this sidecar watches the store for others."""
    return is_relay(sidecar.members, sidecar.settings.name)


def find_store_age(sidecar: Sidecar) -> float:
    """Return the seconds since the store last confirmed what is known here."""
    return min(sidecar.clock() - sidecar.store_heard_at, UNKNOWN_AGE_S)


def _find_doubt(answer: RelayResponse | None) -> str:
    if answer is None:
        return "no answer"
    if not answer.whole:
        return "it started later than what is known here"
    if answer.age_s > MAX_AGE_S:
        return f"the store did not answer it for {answer.age_s:.1f} s"
    return ""


def _ask(sidecar: Sidecar, relay: Member) -> RelayResponse | None:
    target = f"{CHANGES_PATH}?after={sidecar.mirror.revision}"
    answer = ask_member(sidecar, relay, target, WAIT_S + ANSWER_S, RelayResponse)
    if answer is None:
        sidecar.meters.count("relay", "unread")
    return answer


def _read(sidecar: Sidecar, change: Change) -> Item:
    if not change.long:
        return Item(change.key, change.revision, change.value, change.lease)
    value = _patch(sidecar, change)
    if value is not None:
        return Item(change.key, change.revision, value, change.lease)
    sidecar.meters.count("store", "read")
    found = sidecar.store.read_key(change.key)
    return found or Item(change.key, change.revision, None)


def _patch(sidecar: Sidecar, change: Change) -> bytes | None:
    """Return the value by its delta, or None if that does not fit what is known here."""
    known, delta = sidecar.mirror.items.get(change.key), change.delta
    if delta is None or known is None or known.value is None or known.revision != delta.base:
        return None
    try:
        return apply_delta(known.value, delta)
    except DeltaError:
        sidecar.meters.count("relay", "delta_unfit")
        return None
