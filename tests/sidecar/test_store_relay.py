"""Tests of sidecars that follow the store through a relay, and of when they distrust the relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import eventlet
import testtools

from fakes.store import FakeStore, put_item, remove_item
from magnoliasill.errors import StoreError
from magnoliasill.mesh.records import MEMBER_PREFIX
from magnoliasill.mesh.relays import MAX_RELAYED_BYTES
from magnoliasill.platform.store import StoreClient, StoreRequest
from magnoliasill.sidecar.store_sync import follow_store

from . import fleet as harness
from .fleet import build_rule, open_fleet, put_configuration, wait_for

if TYPE_CHECKING:
    from magnoliasill.sidecar.state import Sidecar


class RelayCase(testtools.TestCase):
    """Fleet of four sidecars: the first two are relays, the others follow them."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["shop", "stock", "shop", "stock"])
        self.addCleanup(harness.close_fleet, self.fleet)
        self.version = 3
        self.publish()
        harness.wait_ready(self.fleet)
        for number in (2, 3):
            wait_for(lambda n=number: self.sidecar(n).followed_relay, "no relay is followed")

    @property
    def fake_store(self) -> FakeStore:
        return self.fleet.fake_store

    def sidecar(self, number: int) -> Sidecar:
        return self.fleet.sidecars[number].sidecar

    def publish(self) -> None:
        self.version += 1
        put_configuration(self.fleet, self.version, build_rule("shop"), build_rule("stock"))

    def wait_until_applied(self, *numbers: int) -> None:
        for number in numbers:
            sidecar = self.sidecar(number)
            wait_for(
                lambda s=sidecar: s.table.version == self.version, "configuration was not applied"
            )

    def partition_from_store(self, number: int) -> None:
        """Make a sidecar's store requests fail, as on a VM that is partitioned from the store."""

        def fail_request(request: StoreRequest) -> tuple[int, object]:
            raise StoreError("MS-302", f"store is unreachable for {request.path}")

        self.sidecar(number).store = StoreClient(fail_request)


class FollowTest(RelayCase):
    def test_followers_hear_of_changes_without_calls_of_their_own(self) -> None:
        def fail(*_: object) -> None:
            raise AssertionError("a follower watched the store")

        for number in (2, 3):
            self.sidecar(number).store.watch = fail
        for _ in range(3):
            self.publish()
            self.wait_until_applied(0, 1, 2, 3)

    def test_members_that_join_and_lapse(self) -> None:
        harness.add_member(self.fleet, "shop")
        wait_for(lambda: "vm-5" in self.sidecar(3).members.records, "new member did not appear")
        remove_item(self.fake_store, MEMBER_PREFIX + "vm-1")
        follower = self.sidecar(3)
        wait_for(
            lambda: follower.mirror.items[MEMBER_PREFIX + "vm-1"].value is None,
            "removal of the member record was not applied",
        )

    def publish_long(self, last: float) -> None:
        rules = [build_rule("shop", name=f"r-{number}") for number in range(200)]
        self.version += 1
        rules[7]["target_latency_s"] = last
        put_configuration(self.fleet, self.version, *rules, build_rule("stock"))
        self.assertGreater(len(self.fake_store.items["op/config"]["value"]), 2 * MAX_RELAYED_BYTES)

    def test_a_long_configuration_is_read_from_the_store_once(self) -> None:
        self.publish_long(0.5)
        self.wait_until_applied(0, 1, 2, 3)
        reads = self.sidecar(2).meters.counters["store"]["read"]
        for last in (0.4, 0.3):
            self.publish_long(last)
            self.wait_until_applied(0, 1, 2, 3)
        self.assertEqual(reads, self.sidecar(2).meters.counters["store"]["read"])
        self.assertEqual("vm-1", self.sidecar(2).followed_relay)

    def test_a_delta_that_does_not_fit_is_read_from_the_store(self) -> None:
        self.publish_long(0.5)
        self.wait_until_applied(0, 1, 2, 3)
        items = self.sidecar(2).mirror.items
        damaged = items["op/config"].value[::-1]  # still long, so that a delta to it is sent
        items["op/config"] = attrs.evolve(items["op/config"], value=damaged)
        self.publish_long(0.4)
        self.wait_until_applied(2)
        self.assertEqual(1, self.sidecar(2).meters.counters["relay"]["delta_unfit"])

    def test_a_storm_of_long_configurations_is_read_by_its_last(self) -> None:
        before = self.fake_store.counts["page"]
        for number in range(12):
            self.publish_long(0.3 + number / 100)
            eventlet.sleep(0.05)
        self.wait_until_applied(0, 1, 2, 3)
        self.assertGreater(self.fake_store.counts["page"], before)


class DistrustTest(RelayCase):
    def test_a_relay_that_is_cut_off_from_the_store(self) -> None:
        self.fleet.sidecars[0].loops[0].kill()  # stops its watch of the store
        self.partition_from_store(0)
        self.publish()
        self.wait_until_applied(2)
        distrust_events = [e for e in self.fleet.events if e["event"] == "relay_distrusted"]
        self.assertIn("store has not answered the relay", distrust_events[0]["reason"])

    def test_a_relay_that_died(self) -> None:
        running = self.fleet.sidecars[0]
        for loop in (*running.loops, *running.servers):
            loop.kill()
        for sock in running.sockets:
            sock.close()
        self.publish()
        self.wait_until_applied(1, 2, 3)

    def test_a_relay_that_is_frozen(self) -> None:
        for loop in (*self.fleet.sidecars[0].loops, *self.fleet.sidecars[0].servers):
            loop.kill()  # the port stays open but nothing responds
        self.publish()
        self.wait_until_applied(2, 3)

    def test_followed_again_after_distrust(self) -> None:
        store = self.sidecar(0).store
        self.partition_from_store(0)
        wait_for(lambda: not self.sidecar(2).followed_relay, "relay was not distrusted")
        self.sidecar(0).store = store
        wait_for(lambda: self.sidecar(2).followed_relay, "relay was not followed again")
        self.publish()
        self.wait_until_applied(0, 1, 2, 3)

    # a removal before the relay's start is none of its changes, only missing in its snapshot
    def test_a_relay_that_started_later_than_the_follower(self) -> None:
        follower = self.sidecar(2)
        put_item(self.fake_store, "op/other", b"{}")
        wait_for(lambda: "op/other" in follower.mirror.items, "item was not applied")
        self.fleet.sidecars[2].loops[0].kill()
        remove_item(self.fake_store, "op/other")
        relay = self.sidecar(0)
        wait_for(lambda: relay.mirror.items["op/other"].value is None, "removal was not applied")
        relay.mirror.complete_since = relay.mirror.revision
        del relay.mirror.items["op/other"]
        running = eventlet.spawn(follow_store, follower)
        self.addCleanup(running.kill)
        wait_for(lambda: follower.mirror.items["op/other"].value is None, "item was not removed")
        self.assertEqual([], [e for e in self.fleet.events if e["event"] == "relay_distrusted"])

    def test_the_store_is_away_and_back(self) -> None:
        self.fake_store.faults.refuse = 503
        eventlet.sleep(1.5)
        self.publish()
        self.fake_store.faults.refuse = 0
        self.wait_until_applied(0, 1, 2, 3)
