"""Tests of the choice of relays, of the changes that they forward and of deltas."""

from __future__ import annotations

from random import Random

import testtools

from magnoliasill.mesh.deltas import DeltaError, apply_delta, build_delta
from magnoliasill.mesh.members import Member, MemberTable, put_member
from magnoliasill.mesh.relays import (
    FOLLOWERS_PER_RELAY,
    KEPT_VERSIONS,
    MAX_RELAYED_BYTES,
    RELAY_BACKOFF_S,
    LongValueVersions,
    RelayBackoff,
    RelayResponse,
    choose_relay,
    is_relay,
    relay_changes,
)
from magnoliasill.mesh.store_items import Item, Mirror, Page, apply_changes, apply_snapshot


def build_table(count: int, data_centres: int = 2, leaving: tuple[str, ...] = ()) -> MemberTable:
    table = MemberTable()
    for number in range(count):
        name, data_centre = f"vm-{number:03}", f"dc-{number % data_centres}"
        gate = f"10.0.0.{number}:8300"
        put_member(table, Member(name, data_centre, gate, "shop", "v1", "i", 5, name in leaving))
    return table


class ChoiceTest(testtools.TestCase):
    def test_one_relay_watches_for_a_data_centre(self) -> None:
        table = build_table(2 * FOLLOWERS_PER_RELAY)
        relays = [name for name in table.records if is_relay(table, name)]
        self.assertEqual(["vm-000", "vm-001"], relays)
        self.assertEqual("vm-001", choose_relay(table, "vm-007", RelayBackoff(), 0.0).name)
        self.assertIsNone(choose_relay(table, "vm-000", RelayBackoff(), 0.0))

    def test_more_relays_share_a_large_data_centre(self) -> None:
        table = build_table(3 * FOLLOWERS_PER_RELAY + 1, 1)
        followed = [
            choose_relay(table, name, RelayBackoff(), 0.0).name
            for name in table.records
            if not is_relay(table, name)
        ]
        self.assertEqual(4, len(set(followed)))
        self.assertLessEqual(max(map(followed.count, followed)), FOLLOWERS_PER_RELAY)

    def test_one_that_leaves_is_no_relay(self) -> None:
        table = build_table(6, 1, leaving=("vm-000",))
        self.assertFalse(is_relay(table, "vm-000"))
        self.assertEqual("vm-001", choose_relay(table, "vm-004", RelayBackoff(), 0.0).name)

    def test_one_that_is_not_registered_asks_the_store(self) -> None:
        table = build_table(6, 1)
        self.assertTrue(is_relay(table, "vm-new"))
        self.assertIsNone(choose_relay(table, "vm-new", RelayBackoff(), 0.0))

    def test_a_distrusted_relay_is_left_alone_for_a_while(self) -> None:
        table, backoff = build_table(6, 1), RelayBackoff()
        backoff.suspend("vm-000", 10.0)
        self.assertIsNone(choose_relay(table, "vm-004", backoff, 10.0 + RELAY_BACKOFF_S / 2))
        self.assertIsNotNone(choose_relay(table, "vm-004", backoff, 10.0 + RELAY_BACKOFF_S))


class ChangesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.mirror, self.versions = Mirror(), LongValueVersions()
        apply_snapshot(self.mirror, [Item("a", 2, b"1"), Item("b", 3, b"2")], 5)

    def relay(self, after: int, age_s: float = 0.0) -> RelayResponse:
        return relay_changes(self.mirror, self.versions, after, age_s)

    def put_long(self, revision: int, value: bytes) -> None:
        item = Item("long", revision, value)
        apply_changes(self.mirror, Page((item,), revision))
        self.versions.record_version(item)

    def test_what_came_after_the_follower_s_revision(self) -> None:
        apply_changes(self.mirror, Page((Item("a", 7, None), Item("c", 8, b"3", 4)), 9))
        answer = self.relay(5, 0.2)
        self.assertEqual([("a", None), ("c", b"3")], [(c.key, c.value) for c in answer.changes])
        self.assertEqual((9, 0.2, True), (answer.revision, answer.age_s, answer.whole))

    def test_a_removal_before_the_relay_s_start_can_t_be_told(self) -> None:
        self.assertFalse(self.relay(4, 0.0).whole)
        self.assertTrue(self.relay(5, 0.0).whole)

    def test_a_second_reading_keeps_what_the_relay_can_tell(self) -> None:
        apply_snapshot(self.mirror, [Item("b", 3, b"2")], 20)
        answer = self.relay(5, 0.0)
        self.assertEqual([("a", None)], [(c.key, c.value) for c in answer.changes])

    def test_a_long_value_is_left_to_the_store(self) -> None:
        long = Item("c", 8, b"x" * (MAX_RELAYED_BYTES + 1))
        apply_changes(self.mirror, Page((long,), 9))
        (change,) = self.relay(5, 0.0).changes
        self.assertEqual((None, True), (change.value, change.long))

    def test_a_follower_of_a_kept_version_gets_a_delta(self) -> None:
        versions = {
            n: b"},{".join([b"%d" % n, *[b"x" * 9_000, b"y" * 9_000]]) for n in range(6, 13)
        }
        for revision, value in versions.items():
            self.put_long(revision, value)
        for revision in (10, 11):
            (change,) = self.relay(revision).changes
            self.assertEqual(revision, change.delta.base)
            self.assertEqual(versions[12], apply_delta(versions[revision], change.delta))
        self.assertIsNone(self.relay(12 - KEPT_VERSIONS).changes[0].delta)
        self.assertTrue(self.relay(12 - KEPT_VERSIONS).changes[0].long)


class DeltaTest(testtools.TestCase):
    def test_any_change_of_any_value(self) -> None:
        for seed in range(200):
            random = Random(seed)
            old = [b"%d" % random.randrange(30) for _ in range(random.randrange(40))]
            new = [b"%d" % random.randrange(60) if random.random() < 0.2 else c for c in old]
            random.shuffle(new) if seed % 3 else new.reverse()
            before, after = b"},{".join(old), b"},{".join(new)
            self.assertEqual(after, apply_delta(before, build_delta(1, before, after)))

    def test_one_route_of_many(self) -> None:
        old = [
            b'{"version":"r1","routes":[{"name":"r-0"',
            *[b'"name":"r-%d"' % n for n in range(900)],
        ]
        new = [old[0].replace(b"r1", b"r2"), *old[1:]]
        new[500] = b'"name":"r-500","timeout_s":2'
        delta = build_delta(1, b"},{".join(old), b"},{".join(new))
        self.assertEqual(4, len(delta.pieces))

    def test_another_base_is_noticed(self) -> None:
        delta = build_delta(1, b"a},{b", b"a},{c")
        self.assertRaises(DeltaError, apply_delta, b"x},{b", delta)
        self.assertRaises(DeltaError, apply_delta, b"", delta)
