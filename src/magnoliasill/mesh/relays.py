"""Relays: the sidecars that watch the store and hand its changes to others of their data centre.

The pattern: many sidecars, each of whose calls of the store has its price and counts towards its
rate. A relay is only a shorter way: whoever doubts it asks the store itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .deltas import Delta, build_delta

if TYPE_CHECKING:
    from .items import Item, Mirror
    from .members import Member, MemberTable

FOLLOWERS_PER_RELAY = 24  # of one relay; each asks it about once a second
MAX_AGE_S = 1.0  # since the store answered a relay; a change has to be in force well after that
RELAY_BACKOFF_S = 4.0  # a relay that failed is not asked again for so long
MAX_RELAYED_BYTES = 16_384  # a longer value for all followers would fill a relay's thin link
KEPT_VERSIONS = 3  # of a long value; a follower is hardly ever further behind


@attrs.frozen
class Change:
    """A change as a relay hands it on.

    Attributes:
        key: The item's key.
        revision: The store's revision of the change.
        value: Its bytes; None where it was removed or is too long.
        lease: The lease that keeps it, or 0.
        long: Whether the value is too long, so that it comes as a delta or from the store.
        delta: What makes it out of the version that the follower has, if that is known.
    """

    key: str
    revision: int
    value: bytes | None
    lease: int = 0
    long: bool = False
    delta: Delta | None = None


@attrs.frozen
class RelayResponse:
    """What a relay answers.

    Attributes:
        changes: Changes after the revision that the follower knew.
        revision: The store's revision up to which they are whole.
        age_s: Seconds since the store answered the relay last.
        whole: Whether the relay knows everything that happened since that revision.
    """

    changes: tuple[Change, ...]
    revision: int
    age_s: float
    whole: bool = True


@attrs.define
class RelayBackoff:
    """Which relays this sidecar leaves alone for now, and until when."""

    suspended_until: dict[str, float] = attrs.field(factory=dict)

    def suspend(self, name: str, now: float) -> None:
        """Leave a relay alone for a while."""
        self.suspended_until[name] = now + RELAY_BACKOFF_S

    def is_available(self, name: str, now: float) -> bool:
        """Return whether a relay may be asked."""
        return now >= self.suspended_until.get(name, now)


def is_relay(table: MemberTable, name: str) -> bool:
    """Return whether a sidecar is to watch the store for others."""
    member = table.records.get(name)
    return member is None or name in [relay.name for relay in _list_relays(table, member)]


def choose_relay(table: MemberTable, name: str, backoff: RelayBackoff, now: float) -> Member | None:
    """Return the relay that a sidecar follows, or None if it is to watch the store itself.

    Args:
        table: The members.
        name: The sidecar.
        backoff: Its trust in the relays.
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
    """Return the relays of a member's data centre: the first of those that stay, by name."""
    local = [member for member in table.records.values() if _is_same_data_centre(member, own)]
    staying = sorted(
        (member for member in local if not member.leaving), key=lambda member: member.name
    )
    return staying[: -(-len(local) // FOLLOWERS_PER_RELAY)]


def _is_same_data_centre(member: Member, own: Member) -> bool:
    return member.data_centre == own.data_centre


def is_long(item: Item) -> bool:
    """Return whether a value is too long to be handed to every follower."""
    return item.value is not None and len(item.value) > MAX_RELAYED_BYTES


@attrs.define
class LongValueVersions:
    """The latest versions of long values, and the deltas between them that were asked for."""

    items: dict[str, list[Item]] = attrs.field(factory=dict)
    deltas: dict[tuple[str, int, int], Delta] = attrs.field(factory=dict)

    def record_version(self, item: Item) -> None:
        """Keep a version if it is long."""
        if not is_long(item):
            return
        kept = self.items.setdefault(item.key, [])
        kept.append(item)
        del kept[:-KEPT_VERSIONS]
        self.deltas = {found: row for found, row in self.deltas.items() if found[0] != item.key}

    def find_delta(self, item: Item, after: int) -> Delta | None:
        """Return what makes an item out of the version before a revision, if that is kept."""
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
    """Return what a relay answers a follower.

    Args:
        mirror: What the relay knows.
        versions: The versions of long values that it keeps.
        after: The revision up to which the follower knows everything.
        age_s: Seconds since the store answered the relay last.
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
