"""Tests of relays: lost answers, failed reads, and the load on the platform's store."""

from __future__ import annotations

from random import Random

import testtools
from testscenarios import WithScenarios

from magnoliasill.core.actions import LeaseGrant, StoreRead, StoreWatch, StoreWrite
from magnoliasill.core.engine import step
from magnoliasill.core.events import StoreAnswered, StoreEntry, StoreFailed, Tick
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.membership.membership import leave
from magnoliasill.spreading.relays import (
    BLOBS,
    RELAYS_PER_DATA_CENTRE,
    START_JITTER_S,
    release_relay_slot,
)
from magnoliasill.versions.manifest import HEAD_KEY, encode_head

from ..builders import build_head, build_service
from ..simulated_network import build_network, kill_node, publish_version, start_node

LIMIT_S = 6.0
MAX_READS_PER_SECOND = 2_000 / 1_200  # per daemon, when all restart together at the target size


class ClaimTest(WithScenarios, testtools.TestCase):
    """A claim whose answer was lost is looked up under the same lease."""

    scenarios = [
        ("took_effect", {"took_effect": True, "slot": 0}),
        ("had_no_effect", {"took_effect": False, "slot": None}),
    ]

    def test_answer_lost(self) -> None:
        node = Node(MemberRecord("a-1", "a", "10.0.0.1:7000", 1), Random(1))
        step(node, 1.0, Tick())
        (scan,) = [a for a in step(node, 10.0, Tick()) if isinstance(a, StoreRead)]
        (grant,) = step(node, 10.0, StoreAnswered(scan.purpose))
        self.assertIsInstance(grant, LeaseGrant)
        (claim,) = step(node, 10.0, StoreAnswered(grant.purpose, lease="lease-1"))
        self.assertIsInstance(claim, StoreWrite)
        actions = step(node, 11.0, StoreFailed(claim.purpose, unknown=True))
        (lookup,) = [action for action in actions if isinstance(action, StoreRead)]
        value = claim.value if self.took_effect else b""
        entry = StoreEntry(claim.key, value, int(self.took_effect))
        step(node, 11.0, StoreAnswered(lookup.purpose, entries=(entry,)))
        self.assertEqual(self.slot, node.relay.slot)


class ReadFailureTest(testtools.TestCase):
    """The store fails after a relay read the head, but before it read the blobs."""

    def test_head_read_again(self) -> None:
        node = Node(MemberRecord("a-1", "a", "10.0.0.1:7000", 1), Random(1))
        node.relay.slot, node.relay.lease_until, node.relay.renew_at = 0, 100.0, 100.0
        (watch,) = [a for a in step(node, 10.0, Tick()) if isinstance(a, StoreWatch)]
        head, _ = build_head(1, [build_service("certs")])
        entry = StoreEntry(HEAD_KEY, encode_head(head), 7)
        step(node, 10.0, StoreAnswered(watch.purpose, entries=(entry,)))
        step(node, 11.0, StoreFailed(BLOBS))
        (watch,) = [a for a in step(node, 12.0, Tick()) if isinstance(a, StoreWatch)]
        self.assertEqual(0, watch.after_revision)


class OwnSlotTest(testtools.TestCase):
    """A restarted daemon claims the slot that it held before."""

    def test_restart(self) -> None:
        network = build_network(1, 4, 1)
        publish_version(network, 1)
        network.run(LIMIT_S)
        name = next(name for name, node in network.nodes.items() if node.relay.slot is not None)
        kill_node(network, name)
        start_node(network, name)
        node = network.nodes[name]
        taken = network.run_until(lambda: node.relay.slot is not None, START_JITTER_S + 0.5)
        self.assertLess(taken, START_JITTER_S + 0.5)


class SlotReleaseTest(testtools.TestCase):
    """A relay that leaves releases its slot."""

    def test_slot_is_free(self) -> None:
        network = build_network(1, 4, 1)
        publish_version(network, 1)
        network.run(LIMIT_S)
        relays = [node for node in network.nodes.values() if node.relay.slot is not None]
        leaving_relay = relays[0]
        actions = [*leave(leaving_relay), *release_relay_slot(leaving_relay)]
        self.assertEqual(
            [leaving_relay.relay.lease], [a.lease for a in actions if hasattr(a, "lease")]
        )
        network.run(LIMIT_S)
        self.assertIsNone(leaving_relay.relay.slot)


class PlatformLoadTest(WithScenarios, testtools.TestCase):
    """The rate of reads from the platform's store doesn't grow with the number of daemons."""

    scenarios = [(f"{count}_daemons", {"count": count}) for count in (10, 40)]

    def test_steady(self) -> None:
        network = build_network(1, self.count, 1)
        publish_version(network, 1)
        network.run(20.0)
        before = sum(network.store.counts[kind] for kind in ("read", "page", "watch"))
        network.run(20.0)
        after = sum(network.store.counts[kind] for kind in ("read", "page", "watch"))
        self.assertLess((after - before) / 20.0, 8.0)
        relays = [node for node in network.nodes.values() if node.relay.slot is not None]
        self.assertEqual(RELAYS_PER_DATA_CENTRE, len(relays))

    def test_herd(self) -> None:
        network = build_network(1, self.count, 1)
        publish_version(network, 1)
        network.run(20.0)
        network.store.peak["reads"] = 0
        for name in sorted(network.nodes):
            kill_node(network, name)
            start_node(network, name)
        self.assertLess(network.run_until(lambda: network.versions() == {1}, LIMIT_S), LIMIT_S)
        network.run(LIMIT_S)
        # The watches and blob reads of the relays come on top.
        allowed = MAX_READS_PER_SECOND * self.count + 10 * RELAYS_PER_DATA_CENTRE
        self.assertLessEqual(network.store.peak["reads"], allowed)

    def test_herd_without_relays(self) -> None:
        """All daemons restart together, except those that held the relay slots."""
        network = build_network(1, self.count, 1)
        publish_version(network, 1)
        network.run(20.0)
        lost = {name for name, node in network.nodes.items() if node.relay.slot is not None}
        for name in sorted(network.nodes):
            kill_node(network, name)
        for name in sorted(network.run_ids.keys() - lost):
            start_node(network, name)
        self.assertLess(network.run_until(lambda: network.versions() == {1}, LIMIT_S), LIMIT_S)
