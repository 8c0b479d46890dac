"""Items of the platform's store, as the rest of the package handles them."""

from __future__ import annotations

import attrs


@attrs.frozen
class Item:
    """One item of the store, or its removal.

    Attributes:
        key: Its key.
        revision: The store's revision of its last change.
        value: Its bytes, or None where it was removed.
        lease: The lease that keeps it, or 0.
    """

    key: str
    revision: int
    value: bytes | None
    lease: int = 0


@attrs.frozen
class Page:
    """Items that were read or that changed.

    Attributes:
        items: The items.
        revision: The store's revision that they are of.
        more: Whether further pages follow.
    """

    items: tuple[Item, ...]
    revision: int
    more: bool = False


@attrs.frozen
class Condition:
    """An item must be at a revision; 0 means that there is none."""

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
    """Changes that happen all or not at all.

    Attributes:
        puts: Items to write.
        conditions: What has to hold.
        removals: Keys to remove.
    """

    puts: tuple[Put, ...] = ()
    conditions: tuple[Condition, ...] = ()
    removals: tuple[str, ...] = ()


@attrs.define
class Mirror:
    """What a sidecar knows of the store's items.

    Attributes:
        items: By key; removed ones stay as removals, so that an older value can't return.
        revision: The store's revision up to which nothing was missed.
        complete_since: The revision from which on nothing was missed: that of the first reading.
    """

    items: dict[str, Item] = attrs.field(factory=dict)
    revision: int = 0
    complete_since: int = 0


def count_replaced_bytes(page: Page) -> int:
    """Return the bytes of values that others of the same page replace."""
    newest = {item.key: item.revision for item in page.items}
    return sum(
        len(item.value) for item in page.items if item.value and item.revision < newest[item.key]
    )


def apply_changes(mirror: Mirror, page: Page) -> list[Item]:
    """Take in changes in the order of their revisions; returns those that were new.

    Args:
        mirror: The items.
        page: Changes, from the store or from another sidecar.
    """
    changed = []
    for item in sorted(page.items, key=lambda found: found.revision):
        known = mirror.items.get(item.key)
        if known is None or item.revision > known.revision:
            mirror.items[item.key] = item
            changed.append(item)
    mirror.revision = max(mirror.revision, page.revision)
    return changed


def apply_snapshot(mirror: Mirror, items: list[Item], revision: int) -> list[Item]:
    """Take in all items that there are; one that is known and missing was removed.

    Args:
        mirror: The items.
        items: All items, read at a revision or later.
        revision: The store's revision when the reading began.

    Returns:
        What changed.
    """
    if not mirror.revision:
        mirror.complete_since = revision
    present = {item.key for item in items}
    removed = [
        Item(item.key, revision, None)
        for item in mirror.items.values()
        if item.value is not None and item.key not in present and item.revision <= revision
    ]
    return apply_changes(mirror, Page((*items, *removed), revision))
