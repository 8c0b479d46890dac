"""Tests of the choice of relays, of the changes that they forward and of deltas."""

from __future__ import annotations

import zlib
from random import Random

import attrs
import testtools

from magnoliasill.mesh.deltas import DeltaError, apply_delta, build_delta
from magnoliasill.mesh.members import Member, MemberTable, mark_lapsed, put_member
from magnoliasill.mesh.relays import (
    FOLLOWERS_PER_RELAY,
    KEPT_VERSIONS,
    MAX_AGE_S,
    MAX_RELAYED_BYTES,
    MAX_VALUE_BYTES,
    RELAY_BACKOFF_S,
    LongValueVersions,
    RelayBackoff,
    RelayResponse,
    choose_relay,
    relay_changes,
    should_answer,
    unpack_value,
)
from magnoliasill.mesh.store_items import Item, Mirror, Page, apply_changes, apply_snapshot


def build_table(count: int, data_centres: int = 2, leaving: tuple[str, ...] = ()) -> MemberTable:
    table = MemberTable()
    for number in range(count):
        name, data_centre = f"vm-{number:03}", f"dc-{number % data_centres}"
        gate = f"10.0.0.{number}:8300"
        put_member(table, Member(name, data_centre, gate, "shop", "v1", "i", 5, name in leaving))
    return table


def find_relay(table: MemberTable, name: str) -> Member | None:
    member = table.records.get(name)
    data_centre = member.data_centre if member else "dc-0"
    return choose_relay(table, name, data_centre, RelayBackoff(), 0.0)


class ChoiceTest(testtools.TestCase):
    def test_one_relay_watches_for_a_data_centre(self) -> None:
        table = build_table(2 * FOLLOWERS_PER_RELAY)
        relays = [name for name in table.records if find_relay(table, name) is None]
        self.assertEqual(["vm-000", "vm-001"], relays)
        self.assertEqual("vm-001", find_relay(table, "vm-007").name)
        self.assertIsNone(find_relay(table, "vm-000"))

    def test_more_relays_share_a_large_data_centre(self) -> None:
        table = build_table(3 * FOLLOWERS_PER_RELAY + 1, 1)
        relays = [find_relay(table, name) for name in table.records]
        followed = [relay.name for relay in relays if relay is not None]
        self.assertEqual(4, len(set(followed)))
        self.assertLessEqual(max(map(followed.count, followed)), FOLLOWERS_PER_RELAY)

    def test_one_that_leaves_is_no_relay(self) -> None:
        table = build_table(6, 1, leaving=("vm-000",))
        self.assertEqual("vm-001", find_relay(table, "vm-000").name)
        self.assertEqual("vm-001", find_relay(table, "vm-004").name)

    # a sidecar whose record had expired for good had no source while the store turned it away
    def test_one_that_is_not_registered_follows_a_relay(self) -> None:
        self.assertEqual("vm-000", find_relay(build_table(6, 1), "vm-new").name)

    def test_one_that_knows_no_members_reads_from_the_store(self) -> None:
        self.assertIsNone(find_relay(MemberTable(), "vm-new"))

    # followers of a relay without the store each read from the store, over their own links
    def test_the_next_one_is_followed_while_a_relay_is_distrusted(self) -> None:
        table, backoff = build_table(6, 1), RelayBackoff()
        backoff.suspend("vm-000", 10.0, RELAY_BACKOFF_S)
        followed = [
            choose_relay(table, "vm-004", "dc-0", backoff, 10.0 + wait_s).name
            for wait_s in (RELAY_BACKOFF_S / 2, RELAY_BACKOFF_S)
        ]
        self.assertEqual(["vm-001", "vm-000"], followed)

    # a relay that the store turned away kept its outdated copy although others had the newest
    def test_one_that_the_store_turns_away_follows_another(self) -> None:
        table, backoff = build_table(6, 1), RelayBackoff()
        backoff.suspend("vm-000", 10.0, RELAY_BACKOFF_S)
        self.assertEqual("vm-001", choose_relay(table, "vm-000", "dc-0", backoff, 11.0).name)

    def test_the_store_is_read_when_all_others_are_distrusted(self) -> None:
        table, backoff = build_table(6, 1), RelayBackoff()
        for number in (0, 1, 2, 3, 5):
            backoff.suspend(f"vm-00{number}", 10.0, RELAY_BACKOFF_S)
        self.assertIsNone(choose_relay(table, "vm-004", "dc-0", backoff, 11.0))

    # a relay with a slow link could not receive every version of a long configuration in time
    def test_the_fastest_link_comes_first(self) -> None:
        table = build_table(6, 1)
        for name, rate in (("vm-002", 200.0), ("vm-003", 200.0), ("vm-004", 11.0)):
            put_member(table, attrs.evolve(table.records[name], link_mbps=rate))
        self.assertEqual("vm-002", find_relay(table, "vm-000").name)
        self.assertIsNone(find_relay(table, "vm-002"))

    # 21 followers shared the slow link of the next relay when both with fast links had failed
    def test_a_fast_link_elsewhere_comes_before_a_slow_one_here(self) -> None:
        table, backoff = build_table(8), RelayBackoff()
        for name in ("vm-000", "vm-005"):
            put_member(table, attrs.evolve(table.records[name], link_mbps=200.0))
        self.assertEqual("vm-000", find_relay(table, "vm-004").name)
        backoff.suspend("vm-000", 10.0, RELAY_BACKOFF_S)
        self.assertEqual("vm-005", choose_relay(table, "vm-004", "dc-0", backoff, 11.0).name)

    def test_of_equal_links_those_of_the_data_centre_come_first(self) -> None:
        table, backoff = build_table(8), RelayBackoff()
        for number in (0, 2, 4):
            backoff.suspend(f"vm-00{number}", 10.0, RELAY_BACKOFF_S)
        self.assertIsNone(choose_relay(table, "vm-006", "dc-0", backoff, 11.0))
        self.assertEqual("vm-006", choose_relay(table, "vm-004", "dc-0", backoff, 11.0).name)

    def test_one_whose_record_lapsed_comes_last(self) -> None:
        table = build_table(3, 1)
        mark_lapsed(table, "vm-000", 5.0)
        self.assertEqual("vm-001", find_relay(table, "vm-000").name)
        for number in (1, 2):
            mark_lapsed(table, f"vm-00{number}", 5.0)
        self.assertEqual("vm-000", find_relay(table, "vm-002").name)


class BackoffTest(testtools.TestCase):
    """A sidecar that did not respond in time is left out for longer if it is so again."""

    # one lost answer, perhaps on the asker's own link, cost a relay its followers for 4 s
    def test_the_second_silence_in_a_row_lasts_longer(self) -> None:
        backoff = RelayBackoff()
        backoff.suspend_silent("vm-1", 10.0)
        self.assertEqual([False, True], [backoff.is_available("vm-1", at) for at in (10.9, 11.1)])
        backoff.suspend_silent("vm-1", 12.0)
        self.assertEqual([False, True], [backoff.is_available("vm-1", at) for at in (15.9, 16.1)])
        backoff.restore("vm-1")
        backoff.suspend_silent("vm-1", 20.0)
        self.assertTrue(backoff.is_available("vm-1", 21.1))


class AnswerTest(testtools.TestCase):
    """When a relay answers a poll; followers lost 0.9 s with each one that was outdated."""

    def test_a_change_is_answered_at_once(self) -> None:
        self.assertTrue(should_answer(7, 6, 0.1, may_recover=False))
        self.assertFalse(should_answer(6, 6, 0.1, may_recover=False))

    def test_an_outdated_copy_is_answered_at_once_unless_it_may_be_confirmed(self) -> None:
        for after in (6, 7):
            self.assertTrue(should_answer(7, after, MAX_AGE_S + 0.1, may_recover=False))
            self.assertFalse(should_answer(7, after, MAX_AGE_S + 0.1, may_recover=True))


class ChangesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.mirror, self.versions = Mirror(), LongValueVersions()
        apply_snapshot(self.mirror, [Item("a", 2, b"1"), Item("b", 3, b"2")], 5)

    def relay(self, after: int, age_s: float = 0.0, held: tuple[int, ...] = ()) -> RelayResponse:
        return relay_changes(self.mirror, self.versions, after, held, age_s)

    def put_long(self, revision: int, value: bytes) -> None:
        item = Item("long", revision, value)
        apply_changes(self.mirror, Page((item,), revision))
        self.versions.record_version(item)

    def test_what_came_after_the_follower_s_revision(self) -> None:
        apply_changes(self.mirror, Page((Item("a", 7, None), Item("c", 8, b"3", 4)), 9))
        answer = self.relay(5, 0.2)
        self.assertEqual([("a", None), ("c", b"3")], [(c.key, c.value) for c in answer.changes])
        self.assertEqual((9, 0.2, True), (answer.revision, answer.age_s, answer.whole))

    # a follower avoided a relay that had started a moment after it
    def test_one_behind_the_relay_s_start_gets_a_snapshot(self) -> None:
        self.assertEqual((True, False), (self.relay(5).whole, self.relay(5).snapshot))
        apply_changes(self.mirror, Page((Item("b", 7, None),), 7))
        response = self.relay(4)
        self.assertEqual((False, True), (response.whole, response.snapshot))
        self.assertEqual(["a"], [change.key for change in response.changes])

    def test_a_second_reading_keeps_what_the_relay_can_tell(self) -> None:
        apply_snapshot(self.mirror, [Item("b", 3, b"2")], 20)
        answer = self.relay(5, 0.0)
        self.assertEqual([("a", None)], [(c.key, c.value) for c in answer.changes])

    # a follower that held no kept version had to read from the store, which may turn it away
    def test_a_long_value_without_a_delta_is_sent_compressed(self) -> None:
        long = Item("c", 8, b"x" * (MAX_RELAYED_BYTES + 1))
        apply_changes(self.mirror, Page((long,), 9))
        (change,) = self.relay(5, 0.0).changes
        self.assertEqual((None, True, None), (change.value, change.long, change.delta))
        self.assertLess(len(change.packed), len(long.value) / 10)
        self.assertEqual(long.value, unpack_value(change.packed))

    # a restarted relay sent long values again to all followers that already held them
    def test_a_snapshot_lacks_the_long_values_that_the_follower_holds(self) -> None:
        value = b"x" * (MAX_RELAYED_BYTES + 1)
        apply_snapshot(self.mirror, [Item("a", 9, value)], 9)
        held, lacking = self.relay(4, held=[9]).changes[0], self.relay(4, held=[8]).changes[0]
        self.assertEqual((True, None, None), (held.long, held.delta, held.packed))
        self.assertEqual(value, unpack_value(lacking.packed))

    def test_a_damaged_or_too_long_compressed_value_is_refused(self) -> None:
        packed = zlib.compress(b"x" * 1000)
        for damaged in (b"", b"x", packed[:-1], zlib.compress(b"x" * (MAX_VALUE_BYTES + 1))):
            self.assertRaises(DeltaError, unpack_value, damaged)

    def test_a_follower_of_a_kept_version_gets_a_delta(self) -> None:
        versions = {
            n: b"},{".join([b"%d" % n, *[b"x" * 9_000, b"y" * 9_000]]) for n in range(6, 13)
        }
        for revision, value in versions.items():
            self.put_long(revision, value)
        for revision in (10, 11):
            (change,) = self.relay(revision, held=(2, revision)).changes
            self.assertEqual(revision, change.delta.base)
            self.assertEqual(versions[12], apply_delta(versions[revision], change.delta))
        revision = 12 - KEPT_VERSIONS
        (change,) = self.relay(revision, held=(revision,)).changes
        self.assertEqual((None, True), (change.delta, change.long))

    # a configuration that grew by 1,380 routes filled the links of all VMs for 0.3 s each
    def test_a_long_delta_gives_way_to_a_shorter_compressed_value(self) -> None:
        routes = [b'"name":"r-%07d","target_latency_s":0.6' % n for n in range(2_000)]
        before, after = (b"},{".join(routes[:end]) for end in (600, 2_000))
        for revision, value in ((8, before), (9, after)):
            self.put_long(revision, value)
        (change,) = self.relay(8, held=(8,)).changes
        self.assertIsNone(change.delta)
        self.assertLess(len(change.packed), len(after) / 4)
        self.assertEqual(after, unpack_value(change.packed))

    # a delta from a version that the relay had, but the follower had skipped, was of no use to it
    def test_a_delta_is_never_from_a_version_that_the_follower_lacks(self) -> None:
        for revision in (6, 8):
            self.put_long(revision, b"%d" % revision + b"x" * (MAX_RELAYED_BYTES + 1))
        (change,) = self.relay(7, held=(7,)).changes
        self.assertEqual((None, True), (change.delta, change.packed is not None))


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
