"""Tests of the local mirror of the store's items."""

from __future__ import annotations

import random

import testtools

from magnoliasill.mesh.store_items import (
    Item,
    Mirror,
    Page,
    apply_changes,
    apply_snapshot,
    count_replaced_bytes,
)


class MirrorTest(testtools.TestCase):
    def test_an_older_value_never_returns(self) -> None:
        mirror = Mirror()
        apply_changes(mirror, Page((Item("k", 5, b"new"),), 5))
        self.assertEqual([], apply_changes(mirror, Page((Item("k", 4, b"old"),), 4)))
        self.assertEqual((b"new", 5), (mirror.items["k"].value, mirror.revision))

    def test_nor_after_its_removal(self) -> None:
        mirror = Mirror()
        apply_changes(mirror, Page((Item("k", 5, None),), 5))
        apply_changes(mirror, Page((Item("k", 4, b"old"),), 4))
        self.assertIsNone(mirror.items["k"].value)

    def test_snapshot_tells_what_was_removed_meanwhile(self) -> None:
        mirror = Mirror()
        apply_changes(mirror, Page((Item("a", 2, b"1"), Item("b", 3, b"1")), 3))
        changed = apply_snapshot(mirror, [Item("b", 3, b"1"), Item("c", 8, b"1")], 9)
        self.assertEqual([("c", b"1"), ("a", None)], [(i.key, i.value) for i in changed])

    def test_snapshot_keeps_what_was_written_after_it(self) -> None:
        mirror = Mirror()
        apply_changes(mirror, Page((Item("a", 12, b"1"),), 12))
        apply_snapshot(mirror, [], 9)
        self.assertEqual(b"1", mirror.items["a"].value)

    def test_any_order_of_pages_ends_alike(self) -> None:
        items = [Item(f"k{n % 4}", n, b"%d" % n if n % 5 else None) for n in range(1, 40)]
        wanted = Mirror()
        apply_changes(wanted, Page(tuple(items), 39))
        for seed in range(20):
            shuffled = items[:]
            random.Random(seed).shuffle(shuffled)
            mirror = Mirror()
            for item in shuffled:
                apply_changes(mirror, Page((item,), item.revision))
            self.assertEqual(wanted, mirror)


class StormTest(testtools.TestCase):
    def test_bytes_that_newer_versions_replace(self) -> None:
        items = (Item("a", 2, b"xx"), Item("b", 3, b"y"), Item("a", 4, b"zz"), Item("a", 5, None))
        self.assertEqual(4, count_replaced_bytes(Page(items, 5)))
        self.assertEqual(0, count_replaced_bytes(Page(items[1:3], 4)))
