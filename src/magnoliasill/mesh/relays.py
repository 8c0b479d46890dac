"""Relays: sidecars that watch the store and forward its changes to others in their data centre.

Limits the load of many sidecars on the store, where each call is charged and counts towards a rate
limit. Relays are only an optimisation: a sidecar that gets no usable answer from its relay reads
from the store itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .deltas import Delta, build_delta

if TYPE_CHECKING:
    from .members import Member, MemberTable
    from .store_items import Item, Mirror

FOLLOWERS_PER_RELAY = 24  # each sends it about 1 request/s
MAX_AGE_S = 1.0  # since the store last answered; well below the time allowed to apply a change
RELAY_BACKOFF_S = 4.0  # how long a relay is not asked after it gave no usable answer
MAX_RELAYED_BYTES = 16_384  # sending longer ones to all followers would saturate a relay's link
KEPT_VERSIONS = 3  # of each long value; a follower is rarely further behind


@attrs.frozen
class Change:
    """A change as a relay forwards it.

    Attributes:
        key: The item's key.
        revision: The store revision of the change.
        value: The new value, or None if the item was removed or the value is too long.
        lease: The lease that the item is attached to, or 0.
        long: Whether the value is too long to forward and has to come from `delta` or the store.
        delta: The delta from the follower's version to the new value, if that version is kept.
    """

    key: str
    revision: int
    value: bytes | None
    lease: int = 0
    long: bool = False
    delta: Delta | None = None


@attrs.frozen
class RelayResponse:
    """A relay's answer to a follower.

    Attributes:
        changes: The changes since the follower's revision.
        revision: The store revision up to which the changes are complete.
        age_s: Seconds since the store last answered the relay.
        whole: Whether the relay knows all changes since the follower's revision.
    """

    changes: tuple[Change, ...]
    revision: int
    age_s: float
    whole: bool = True


@attrs.define
class RelayBackoff:
    """The relays that this sidecar doesn't ask for now, with the times at which that ends."""

    suspended_until: dict[str, float] = attrs.field(factory=dict)

    def suspend(self, name: str, now: float) -> None:
        """Stop asking a relay for a fixed time."""
        self.suspended_until[name] = now + RELAY_BACKOFF_S

    def is_available(self, name: str, now: float) -> bool:
        """Return whether a relay may be asked now."""
        return now >= self.suspended_until.get(name, now)


def is_relay(table: MemberTable, name: str) -> bool:
    """Return whether a sidecar is a relay, or not registered yet, and so has to watch the store."""
    member = table.records.get(name)
    return member is None or name in [relay.name for relay in _list_relays(table, member)]


def choose_relay(table: MemberTable, name: str, backoff: RelayBackoff, now: float) -> Member | None:
    """Return the relay that a sidecar follows, or None if it reads from the store itself.

    Args:
        table: The member table.
        name: The name of the sidecar.
        backoff: The relays that it doesn't ask for now.
        now: Seconds on the monotonic clock.
    """
    own = table.records.get(name)
    if own is None:
        return None
    relays = _list_relays(table, own)
    if own in relays or not relays:
        return None
    names = sorted(
        found for found in table.records if _is_same_data_centre(table.records[found], own)
    )
    relay = relays[names.index(name) % len(relays)]
    return relay if backoff.is_available(relay.name, now) else None


def _list_relays(table: MemberTable, own: Member) -> list[Member]:
    """Return the relays of a member's data centre: by name, the first that aren't leaving."""
    local = [member for member in table.records.values() if _is_same_data_centre(member, own)]
    staying = sorted(
        (member for member in local if not member.leaving), key=lambda member: member.name
    )
    return staying[: -(-len(local) // FOLLOWERS_PER_RELAY)]


def _is_same_data_centre(member: Member, own: Member) -> bool:
    return member.data_centre == own.data_centre


def is_long(item: Item) -> bool:
    """Return whether an item's value is too long to forward to every follower."""
    return item.value is not None and len(item.value) > MAX_RELAYED_BYTES


@attrs.define
class LongValueVersions:
    """The latest versions of long values, and cached deltas between them."""

    items: dict[str, list[Item]] = attrs.field(factory=dict)
    deltas: dict[tuple[str, int, int], Delta] = attrs.field(factory=dict)

    def record_version(self, item: Item) -> None:
        """Keep an item's version if its value is long."""
        if not is_long(item):
            return
        kept = self.items.setdefault(item.key, [])
        kept.append(item)
        del kept[:-KEPT_VERSIONS]
        self.deltas = {key: delta for key, delta in self.deltas.items() if key[0] != item.key}

    def find_delta(self, item: Item, after: int) -> Delta | None:
        """Return the delta to an item from its latest version up to a revision, if that is kept."""
        known = [found for found in self.items.get(item.key, ()) if found.revision <= after]
        if not known or item.value is None:
            return None
        base = known[-1]
        delta = self.deltas.get((item.key, base.revision, item.revision))
        if delta is None:
            delta = build_delta(base.revision, base.value or b"", item.value)
            self.deltas[(item.key, base.revision, item.revision)] = delta
        return delta


def relay_changes(
    mirror: Mirror, versions: LongValueVersions, after: int, age_s: float
) -> RelayResponse:
    """Build a relay's answer to a follower.

    Args:
        mirror: The relay's mirror of the store.
        versions: The versions of long values that it keeps.
        after: The revision up to which the follower has all changes.
        age_s: Seconds since the store last answered the relay.
    """
    if after < mirror.complete_since:
        return RelayResponse((), mirror.revision, age_s, whole=False)
    changes = tuple(
        _build_change(item, versions, after)
        for item in mirror.items.values()
        if item.revision > after
    )
    return RelayResponse(changes, mirror.revision, age_s)


def _build_change(item: Item, versions: LongValueVersions, after: int) -> Change:
    if not is_long(item):
        return Change(item.key, item.revision, item.value, item.lease)
    delta = versions.find_delta(item, after)
    return Change(item.key, item.revision, None, item.lease, long=True, delta=delta)
