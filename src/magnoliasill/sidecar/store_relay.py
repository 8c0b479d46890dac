"""Sends the store's changes from relays to followers, which long-poll the relay's gate port."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlencode, urlsplit

import attrs
import eventlet
import msgspec

from ..codes import ErrorCode, LogEvent
from ..decoding import describe_error
from ..errors import MagnoliasillError
from ..mesh.deltas import DeltaError, apply_delta
from ..mesh.positions import find_era
from ..mesh.relays import (
    MAX_AGE_S,
    OUTDATED_BACKOFF_S,
    RELAY_BACKOFF_S,
    RelayResponse,
    choose_relay,
    list_held,
    list_other_relays,
    relay_changes,
    should_answer,
    unpack_value,
)
from ..mesh.store_items import Item, Page
from .copy_age import confirm_copy, find_copy_age
from .member_requests import request_from_member
from .state import NEVER

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..mesh.members import Member
    from ..mesh.relays import Change
    from .state import Sidecar

CHANGES_PATH = "/mesh/changes"
POLL_TIMEOUT_S = 0.4  # how long a relay holds a follower's poll when nothing changes
RECOVERY_TIMEOUT_S = 0.2  # how long it is held while the relay gets its outdated copy confirmed
RESPONSE_MARGIN_S = 0.9  # added to the poll timeout; meanwhile other sources are asked
MAX_STORE_AGE_S = 1e9  # upper bound; reported if the store has never confirmed the local copy
POLL_INTERVAL_S = 0.02  # between checks for a change during a poll


@attrs.frozen
class RelayedChanges:
    """The changes that a relay sent.

    Attributes:
        relay: The relay's name.
        page: The changes, or all items.
        confirmed_at: When the store confirmed them to the relay, in seconds on the local clock.
        configuration_unseen_at: When the store last confirmed a copy to the relay without the
            newest configuration, on that clock too.
        copy_confirmed_at: When the relay's copy is known to have been the newest state of the
            store, by the wake clock.
    """

    relay: str
    page: Page
    confirmed_at: float
    configuration_unseen_at: float
    copy_confirmed_at: float


class RelayError(MagnoliasillError):
    """Raised when a relay's response can't be used.

    Attributes:
        response: The response, or None if there was none.
    """

    def __init__(self, reason: str, response: RelayResponse | None) -> None:
        super().__init__(ErrorCode.NOT_READY, reason)
        self.response = response


def handle_follower_poll(sidecar: Sidecar, target: str) -> bytes | None:
    """Wait for a change and return the encoded response to a follower's poll.

    Args:
        sidecar: State of the relay.
        target: Request target, with the follower's positions in the query.

    Returns:
        None if the query can't be understood.
    """
    query = parse_qs(urlsplit(target).query)
    try:
        after = int(query.get("after", ["0"])[0])
        held = {int(revision) for revision in query.get("held", [])}
        hold_s = float(query.get("hold", [POLL_TIMEOUT_S])[0])
    except ValueError:
        return None
    if not 0 <= hold_s <= POLL_TIMEOUT_S:  # nor if it is no number
        hold_s = POLL_TIMEOUT_S
    started = sidecar.clock()
    while not _should_answer(sidecar, after, started, hold_s):
        eventlet.sleep(POLL_INTERVAL_S)
    sidecar.meters.count("relay", "answered")
    age_s = find_store_age(sidecar)
    if after < sidecar.mirror.complete_since and query.get("snapshot") == ["0"]:
        response = RelayResponse((), sidecar.mirror.revision, age_s, whole=False)
    else:
        response = relay_changes(sidecar.mirror, sidecar.versions, after, held, age_s)
    unseen_at = sidecar.configuration_unseen_at
    configuration_age_s = sidecar.clock() - unseen_at if unseen_at > NEVER else None
    needs_age = sidecar.settings.bounds.strict_revocation
    response = attrs.evolve(
        response,
        reads_store=reads_store(sidecar),
        configuration_age_s=configuration_age_s,
        held_s=sidecar.clock() - started,
        copy_age_s=find_copy_age(sidecar) if needs_age else None,
    )
    return msgspec.json.encode(response)


def _should_answer(sidecar: Sidecar, after: int, started: float, hold_s: float) -> bool:
    if sidecar.clock() >= started + hold_s or not reads_store(sidecar):
        return True
    in_time = sidecar.clock() < started + RECOVERY_TIMEOUT_S
    has_copy = sidecar.mirror.revision > 0
    may_recover = in_time and has_copy and sidecar.store_reachable and not sidecar.watching_store
    age_s = find_store_age(sidecar)
    return should_answer(sidecar.mirror.revision, after, age_s, may_recover)


def reads_store(sidecar: Sidecar) -> bool:
    """Return whether this sidecar may read from the store, which answered it recently."""
    return sidecar.relay_backoff.is_available(sidecar.settings.name, sidecar.clock())


def find_relay(sidecar: Sidecar) -> Member | None:
    """Return the sidecar to get the next changes from, or None for the store."""
    settings = sidecar.settings
    return choose_relay(
        sidecar.members,
        settings.name,
        settings.data_centre,
        sidecar.relay_backoff,
        sidecar.clock(),
    )


def list_stand_ins(sidecar: Sidecar, asked: Collection[str]) -> list[Member]:
    """Return the sidecars to ask next while those asked so far have not answered."""
    settings = sidecar.settings
    return list_other_relays(
        sidecar.members,
        settings.name,
        settings.data_centre,
        sidecar.relay_backoff,
        sidecar.clock(),
        asked,
    )


def poll_relay(
    sidecar: Sidecar, relay: Member, hold_s: float, snapshot: bool = True
) -> RelayedChanges:
    """Poll a relay for changes, without applying them.

    Args:
        sidecar: State of the follower.
        relay: The sidecar to poll.
        hold_s: For how long it holds the poll when nothing changes, in seconds.
        snapshot: Whether it is to send all items if it does not know all changes.

    Raises:
        RelayError: If the response was rejected.
        StoreError: If a value had to be read from the store and that failed.
    """
    polled_at, wake_at = sidecar.clock(), sidecar.wake_clock()
    response = _fetch_changes(sidecar, relay, hold_s, snapshot)
    reason = _find_distrust_reason(response, sidecar.store.era)
    if reason:
        raise RelayError(reason, response)
    sidecar.store.eras.raise_to(find_era(response.revision))
    # The response may have been on its way for long; the ages in it have grown meanwhile.
    answered_at = min(polled_at + response.held_s, sidecar.clock())
    items = tuple(_resolve_change(sidecar, change) for change in response.changes)
    page = Page(items, response.revision, snapshot=response.snapshot)
    age_s = response.configuration_age_s
    unseen_at = NEVER if age_s is None else answered_at - age_s
    copy_age_s = response.age_s if response.copy_age_s is None else response.copy_age_s
    return RelayedChanges(
        relay.name, page, answered_at - response.age_s, unseen_at, wake_at - copy_age_s
    )


def is_outdated(error: BaseException | None) -> bool:
    """Return whether a relay failed only in that its copy was not recent enough."""
    response = error.response if isinstance(error, RelayError) else None
    return response is not None and response.reads_store


def adopt_relay(sidecar: Sidecar, changes: RelayedChanges) -> None:
    """Record that a relay's changes are used, which confirm the local copy once applied."""
    sidecar.meters.count("relay", "followed")
    sidecar.relay_backoff.restore(changes.relay)
    sidecar.store_confirmed_at = max(sidecar.store_confirmed_at, changes.confirmed_at)
    confirm_copy(sidecar, changes.page.revision, changes.copy_confirmed_at)
    if sidecar.followed_relay != changes.relay:
        sidecar.followed_relay = changes.relay
        sidecar.log(LogEvent.RELAY_FOLLOWED, relay=changes.relay, revision=changes.page.revision)


def suspend_relay(sidecar: Sidecar, name: str, error: BaseException | None, seconds: float) -> None:
    """Use no changes from a relay for some time, after it failed or did not answer.

    Args:
        sidecar: State of the follower.
        name: The relay's name.
        error: How it failed, or None if it did not answer while another source did.
        seconds: For how long it was asked.
    """
    response = error.response if isinstance(error, RelayError) else None
    without_store = response is not None and not response.reads_store
    if error is None:
        sidecar.relay_backoff.suspend_silent(name, sidecar.clock())
    else:
        backoff_s = _choose_backoff(sidecar, response)
        sidecar.relay_backoff.suspend(name, sidecar.clock(), backoff_s, without_store)
    if sidecar.followed_relay == name:
        sidecar.followed_relay = ""
    reason = "no response yet"
    if error is not None:
        reason = error.message if isinstance(error, MagnoliasillError) else describe_error(error)
    sidecar.log(
        LogEvent.RELAY_DISTRUSTED,
        relay=name,
        reason=reason,
        revision=sidecar.mirror.revision,
        seconds=round(seconds, 3),
    )


def _choose_backoff(sidecar: Sidecar, response: RelayResponse | None) -> float:
    """Return the seconds for which a relay is not followed after its response was rejected."""
    if response is None:
        return RELAY_BACKOFF_S
    # Sidecars learn of the store's return one after another.
    has_returned = sidecar.clock() - sidecar.store_returned_at < RELAY_BACKOFF_S
    return OUTDATED_BACKOFF_S if response.reads_store or has_returned else RELAY_BACKOFF_S


def find_store_age(sidecar: Sidecar) -> float:
    """Return the seconds since the store last confirmed this sidecar's copy of its items."""
    return min(sidecar.clock() - sidecar.store_confirmed_at, MAX_STORE_AGE_S)


def _find_distrust_reason(response: RelayResponse | None, era: int) -> str:
    if response is None:
        return "no response"
    if find_era(response.revision) < era:
        return "the relay's copy is of an earlier era of the store"
    if not response.whole and not response.snapshot:
        return "relay started later than this sidecar's revision"
    if not response.reads_store:
        return "the store does not answer the relay"
    if response.age_s > MAX_AGE_S:
        return f"store has not answered the relay for {response.age_s:.1f} s"
    return ""


def _fetch_changes(
    sidecar: Sidecar, relay: Member, hold_s: float, snapshot: bool
) -> RelayResponse | None:
    held = [("held", revision) for revision in list_held(sidecar.mirror)]
    query = [
        ("after", sidecar.mirror.revision),
        ("hold", hold_s),
        ("snapshot", int(snapshot)),
        *held,
    ]
    response = request_from_member(
        sidecar,
        relay,
        f"{CHANGES_PATH}?{urlencode(query)}",
        POLL_TIMEOUT_S + RESPONSE_MARGIN_S,
        RelayResponse,
    )
    if response is None:
        sidecar.meters.count("relay", "unread")
    return response


def _resolve_change(sidecar: Sidecar, change: Change) -> Item:
    if not change.long:
        return Item(change.key, change.revision, change.value, change.lease)
    known = sidecar.mirror.items.get(change.key)
    if known is not None and known.value is not None and known.revision == change.revision:
        return known
    value = _decode_long_value(sidecar, change)
    if value is not None:
        return Item(change.key, change.revision, value, change.lease)
    sidecar.meters.count("store", "read")
    found = sidecar.store.read_key(change.key)
    return found or Item(change.key, change.revision, None)


def _decode_long_value(sidecar: Sidecar, change: Change) -> bytes | None:
    """Return the new value from its delta or compressed; None if that does not yield it."""
    known, delta = sidecar.mirror.items.get(change.key), change.delta
    try:
        if delta is None:
            return unpack_value(change.packed) if change.packed is not None else None
        if known is None or known.value is None or known.revision != delta.base:
            raise DeltaError("the delta is for another version than the known one")
        return apply_delta(known.value, delta)
    except DeltaError:
        sidecar.meters.count("relay", "delta_unfit")
        return None
