"""Items, pages and transactions of the key-value store, and a local mirror of its items."""

from __future__ import annotations

import attrs

from .positions import is_earlier_era


@attrs.frozen
class Item:
    """One item of the store, or the removal of one.

    Attributes:
        key: Its key.
        revision: The position of its last change in the store's history.
        value: Its value, or None if it was removed.
        lease: The lease that it is attached to, or 0.
    """

    key: str
    revision: int
    value: bytes | None
    lease: int = 0


@attrs.frozen
class Page:
    """Items from one read or from a watch.

    Attributes:
        items: The items.
        revision: The position in the store's history that the items are current at.
        more: Whether further pages follow.
        snapshot: Whether the items are all that there are, instead of changes.
    """

    items: tuple[Item, ...]
    revision: int
    more: bool = False
    snapshot: bool = False


@attrs.frozen
class Condition:
    """A precondition of a transaction: an item is at a position, or absent if that is 0."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """An item to write."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Transaction:
    """Changes that the store applies atomically.

    Attributes:
        puts: Items to write.
        conditions: Preconditions, all of which must hold.
        removals: Keys to remove.
    """

    puts: tuple[Put, ...] = ()
    conditions: tuple[Condition, ...] = ()
    removals: tuple[str, ...] = ()


@attrs.define
class Mirror:
    """A sidecar's copy of the store's items.

    Attributes:
        items: The items by key. Removed ones stay as tombstones, so that an older value that
            arrives late can't restore them.
        revision: The position up to which all changes are applied.
        complete_since: The position since which all changes are applied, that of the first snapshot
            of the era.
    """

    items: dict[str, Item] = attrs.field(factory=dict)
    revision: int = 0
    complete_since: int = 0


def count_replaced_bytes(page: Page) -> int:
    """Return the size of the values that later items of the same page supersede."""
    newest = {item.key: item.revision for item in page.items}
    return sum(
        len(item.value) for item in page.items if item.value and item.revision < newest[item.key]
    )


def apply_changes(mirror: Mirror, page: Page) -> list[Item]:
    """Apply changes in the order of their positions; return those that were new.

    A page of an earlier era changes nothing.

    Args:
        mirror: The mirror to update.
        page: Changes, from the store or from another sidecar.
    """
    if is_earlier_era(page.revision, mirror.revision):
        return []
    changed = []
    for item in sorted(page.items, key=lambda found: found.revision):
        known = mirror.items.get(item.key)
        if known is None or item.revision > known.revision:
            mirror.items[item.key] = item
            changed.append(item)
    mirror.revision = max(mirror.revision, page.revision)
    return changed


def apply_snapshot(mirror: Mirror, items: list[Item], revision: int) -> list[Item]:
    """Apply a complete snapshot; known items that it lacks are marked as removed.

    Args:
        mirror: The mirror to update.
        items: All items of the store, read at `revision` or later.
        revision: The position in the store's history when the read began.

    Returns:
        The items that changed; in a new era these are all.
    """
    if is_earlier_era(revision, mirror.revision):
        return []
    if not mirror.revision or is_earlier_era(mirror.revision, revision):
        mirror.complete_since = revision
    present = {item.key for item in items}
    removed = [
        Item(item.key, revision, None)
        for item in mirror.items.values()
        if item.value is not None and item.key not in present and item.revision <= revision
    ]
    return apply_changes(mirror, Page((*items, *removed), revision))
