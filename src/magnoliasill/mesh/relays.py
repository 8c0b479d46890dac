"""Relays: sidecars that watch the store and forward its changes to others.

Limits the load of many sidecars on the store, where each call is charged and counts towards a rate
limit. Each sidecar ranks the members by link and data centre and follows the first that did not
fail it, or reads from the store if it is the first itself. So any sidecar can become a relay, and
one that the store turns away follows another that the store serves.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from .deltas import Delta, DeltaError, build_delta, measure_delta
from .fields import Count, PositiveNumber  # noqa: TC001 - msgspec evaluates it
from .members import find_condition
from .positions import is_earlier_era

if TYPE_CHECKING:
    from collections.abc import Collection

    from .members import Member, MemberTable
    from .store_items import Item, Mirror

FOLLOWERS_PER_RELAY = 24  # each sends it about 1 request/s
MAX_AGE_S = 0.8  # since the store last answered; well below the time allowed to apply a change
RELAY_BACKOFF_S = 4.0  # how long a sidecar is no source of changes after it failed
OUTDATED_BACKOFF_S = 1.0  # the same if only its copy was outdated, which may soon be over
MAX_VALUE_BYTES = 1_048_576  # the store accepts no longer values
PACKING_LEVEL = 1  # of zlib; higher levels take several times as long for a tenth less
MAX_RELAYED_BYTES = 16_384  # sending longer ones to all followers would saturate a relay's link
KEPT_VERSIONS = 3  # of each long value; a follower is rarely further behind


@attrs.frozen
class Change:
    """A change as a relay forwards it.

    Attributes:
        key: The item's key.
        revision: The position of the change in the store's history.
        value: The new value, or None if the item was removed or the value is too long.
        lease: The lease that the item is attached to, or 0.
        long: Whether the value is too long to forward and has to come from `delta` or the store.
        delta: The delta from the follower's version to the new value, if that version is kept.
        packed: The compressed new value, if it is too long to forward and there is no delta, or a
            longer one. Neither is sent if the follower holds this version.
    """

    key: str
    revision: Count
    value: bytes | None
    lease: Count = 0
    long: bool = False
    delta: Delta | None = None
    packed: bytes | None = None


@attrs.frozen
class RelayResponse:
    """A relay's answer to a follower.

    Attributes:
        changes: The changes since the follower's position, or all items if this is a snapshot.
        revision: The position in the store's history up to which the changes are complete.
        age_s: Seconds since the store last confirmed the relay's copy, when it answered.
        whole: Whether the relay knows all changes since the follower's position.
        snapshot: Whether it sends all items instead, since it does not know all changes.
        reads_store: Whether the store answers the relay; if not, it may follow the follower.
        configuration_age_s: The most seconds since the acceptance of the relay's configuration,
            or None if the relay does not know.
        held_s: Seconds for which the relay held the poll.
        copy_age_s: The most seconds since the relay's copy was the newest state of the store,
            suspensions of its VM included, or None where keys don't have to be revoked strictly.
    """

    changes: tuple[Change, ...]
    revision: Count
    age_s: PositiveNumber
    whole: bool = True
    snapshot: bool = False
    reads_store: bool = True
    configuration_age_s: PositiveNumber | None = None
    held_s: PositiveNumber = 0.0
    copy_age_s: PositiveNumber | None = None


@attrs.define
class RelayBackoff:
    """The sidecars that are no source of changes now, with the times at which that ends.

    The sidecar's own name is among them while the store does not answer it.

    Attributes:
        suspended_until: When their suspension ends, by name.
        without_store: Those of them that responded, and said that the store does not answer them.
        silent: Those that did not respond in time when they were last asked.
    """

    suspended_until: dict[str, float] = attrs.field(factory=dict)
    without_store: set[str] = attrs.field(factory=set)
    silent: set[str] = attrs.field(factory=set)

    def suspend_silent(self, name: str, now: float) -> None:
        """Use no changes from a sidecar that did not respond in time: for longer if it is so again.

        The first time, the reason may be this sidecar's own link.

        Args:
            name: The sidecar's name.
            now: Seconds on the monotonic clock.
        """
        duration_s = RELAY_BACKOFF_S if name in self.silent else OUTDATED_BACKOFF_S
        self.silent.add(name)
        self.suspend(name, now, duration_s)

    def suspend(
        self, name: str, now: float, duration_s: float, without_store: bool = False
    ) -> None:
        """Use no changes from a sidecar for some time.

        Args:
            name: The sidecar's name.
            now: Seconds on the monotonic clock.
            duration_s: For how long, in seconds.
            without_store: Whether only because it says that the store does not answer it.
        """
        self.suspended_until[name] = now + duration_s
        self.without_store.discard(name)
        if without_store:
            self.without_store.add(name)

    def restore_unserved(self) -> None:
        """Use changes again from the sidecars that the store did not answer."""
        for name in self.without_store:
            self.restore(name)
        self.without_store.clear()

    def is_available(self, name: str, now: float) -> bool:
        """Return whether a sidecar may be used as a source now."""
        return now >= self.suspended_until.get(name, now)

    def restore(self, name: str) -> None:
        """Use changes from a sidecar again, which has answered."""
        self.silent.discard(name)
        self.suspended_until.pop(name, None)


def choose_relay(
    table: MemberTable, name: str, data_centre: str, backoff: RelayBackoff, now: float
) -> Member | None:
    """Return the relay that a sidecar follows, or None if it reads from the store itself.

    Args:
        table: The member table, which may lack the sidecar.
        name: The name of the sidecar.
        data_centre: The data centre of the sidecar.
        backoff: The sidecars that are no source of changes now.
        now: Seconds on the monotonic clock.
    """
    local = [member for member in table.records.values() if member.data_centre == data_centre]
    ranked = _rank_members(table, data_centre, backoff, now)
    relays = ranked[: -(-len(local) // FOLLOWERS_PER_RELAY)]
    if not relays or any(member.name == name for member in relays):
        return None
    position = sum(member.name < name for member in local)
    return relays[position % len(relays)]


def list_other_relays(
    table: MemberTable,
    name: str,
    data_centre: str,
    backoff: RelayBackoff,
    now: float,
    asked: Collection[str],
) -> list[Member]:
    """Return the members that may stand in for a relay that does not answer, the best first.

    Args:
        table: The member table, which may lack the sidecar.
        name: The name of the sidecar that asks.
        data_centre: The data centre of the sidecar.
        backoff: The sidecars that are no source of changes now.
        now: Seconds on the monotonic clock.
        asked: The names of those that were asked already.
    """
    ranked = _rank_members(table, data_centre, backoff, now)
    return [member for member in ranked if member.name != name and member.name not in asked]


def _rank_members(
    table: MemberTable, data_centre: str, backoff: RelayBackoff, now: float
) -> list[Member]:
    """Return the members without a sign of trouble: those with the fastest links first.

    A relay receives every version of a long value completely, and sends its changes to many. So a
    fast link in another data centre is better than a slow one in this. It is also better than a
    record that has not lapsed: after an outage of the store that outlasts the leases, the first
    member to register again would have to serve all others.
    """

    def find_rank(member: Member) -> tuple[float, bool, bool, str]:
        elsewhere = member.data_centre != data_centre
        return -member.link_mbps, _is_lapsed(table, member), elsewhere, member.name

    available = [
        member
        for member in table.records.values()
        if not member.leaving and backoff.is_available(member.name, now)
    ]
    return sorted(available, key=find_rank)


def _is_lapsed(table: MemberTable, member: Member) -> bool:
    return find_condition(table, member).lapsed_at is not None


def should_answer(revision: int, after: int, age_s: float, may_recover: bool) -> bool:
    """Return whether a relay should answer a follower's poll now instead of waiting for a change.

    Args:
        revision: The position of the relay's copy in the store's history.
        after: The position up to which the follower has all changes.
        age_s: Seconds since the store last confirmed the copy.
        may_recover: Whether the relay may confirm an outdated copy soon.
    """
    if age_s > MAX_AGE_S:
        return not may_recover  # the follower has to look for another source
    return revision > after


def is_long(item: Item) -> bool:
    """Return whether an item's value is too long to forward to every follower."""
    return item.value is not None and len(item.value) > MAX_RELAYED_BYTES


@attrs.define
class LongValueVersions:
    """The latest versions of long values, with caches of their deltas and of compressed values."""

    items: dict[str, list[Item]] = attrs.field(factory=dict)
    deltas: dict[tuple[str, int, int], Delta] = attrs.field(factory=dict)
    packed: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)

    def record_version(self, item: Item) -> None:
        """Keep an item's version if its value is long."""
        if not is_long(item):
            return
        kept = self.items.setdefault(item.key, [])
        kept.append(item)
        del kept[:-KEPT_VERSIONS]
        self.deltas = {key: delta for key, delta in self.deltas.items() if key[0] != item.key}

    def find_delta(self, item: Item, held: Collection[int]) -> Delta | None:
        """Return the delta to an item from the latest kept version that a follower holds.

        Args:
            item: The newest version.
            held: The positions of the long values that the follower holds.
        """
        known = [found for found in self.items.get(item.key, ()) if found.revision in held]
        if not known or item.value is None:
            return None
        base = known[-1]
        delta = self.deltas.get((item.key, base.revision, item.revision))
        if delta is None:
            delta = build_delta(base.revision, base.value or b"", item.value)
            self.deltas[(item.key, base.revision, item.revision)] = delta
        return delta

    def pack_value(self, item: Item) -> bytes | None:
        """Return the compressed value of an item, or None if it was removed."""
        if item.value is None:
            return None
        revision, packed = self.packed.get(item.key, (0, b""))
        if revision != item.revision:
            packed = zlib.compress(item.value, PACKING_LEVEL)
            self.packed[item.key] = (item.revision, packed)
        return packed


def unpack_value(packed: bytes) -> bytes:
    """Return the value that `LongValueVersions.pack_value` compressed.

    Raises:
        DeltaError: If it is damaged or too long.
    """
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(packed, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise DeltaError(f"the compressed value is damaged: {error}") from error
    if not stream.eof:
        raise DeltaError("the compressed value is incomplete or too long")
    return value


def list_held(mirror: Mirror) -> list[int]:
    """Return the positions of the long values in a mirror, for a poll of a relay."""
    return sorted(item.revision for item in mirror.items.values() if is_long(item))


def relay_changes(
    mirror: Mirror,
    versions: LongValueVersions,
    after: int,
    held: Collection[int],
    age_s: float,
) -> RelayResponse:
    """Build a relay's answer to a follower.

    Args:
        mirror: The relay's mirror of the store.
        versions: The versions of long values that it keeps.
        after: The position up to which the follower has all changes.
        held: The positions of the long values that the follower holds.
        age_s: Seconds since the store last confirmed the mirror.
    """
    if is_earlier_era(mirror.revision, after):
        return RelayResponse((), mirror.revision, age_s, whole=False)
    whole = after >= mirror.complete_since
    changes = tuple(
        _build_change(item, versions, held)
        for item in mirror.items.values()
        if (item.revision > after if whole else item.value is not None)
    )
    return RelayResponse(changes, mirror.revision, age_s, whole, snapshot=not whole)


def _build_change(item: Item, versions: LongValueVersions, held: Collection[int]) -> Change:
    if not is_long(item):
        return Change(item.key, item.revision, item.value, item.lease)
    if item.revision in held:  # in a snapshot; the follower has this version
        return Change(item.key, item.revision, None, item.lease, True)
    delta = versions.find_delta(item, held)
    if delta is not None and _is_longer_than_packed(delta, item, versions):
        delta = None
    packed = versions.pack_value(item) if delta is None else None
    return Change(item.key, item.revision, None, item.lease, True, delta, packed)


def _is_longer_than_packed(delta: Delta, item: Item, versions: LongValueVersions) -> bool:
    """Return whether a delta is long, and the compressed value shorter."""
    size = measure_delta(delta)
    return size > MAX_RELAYED_BYTES and size > len(versions.pack_value(item) or b"")
