"""Tests of distribution: restarts without the store, message loss, refused versions, limits."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs
import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import LogEvent
from magnoliasill.core.engine import step
from magnoliasill.core.events import MessageReceived, Tick
from magnoliasill.core.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Digest,
    MemberNews,
    MemberRecord,
)
from magnoliasill.core.node import Node
from magnoliasill.spreading.distribution import (
    MAX_REPLY_BYTES,
    receive_configuration,
    receive_request,
)
from magnoliasill.spreading.invariants import check_convergence, check_versions
from magnoliasill.versions.manifest import HeadDelta
from magnoliasill.versions.service_file import Release, Route, ServiceFile

from ..builders import build_head, build_service
from ..simulated_network import build_network, kill_node, publish_version, start_node

LIMIT_S = 6.0
PEER = MemberRecord("a-2", "a", "10.0.0.2:7000", 1)
OTHER = MemberRecord("a-3", "a", "10.0.0.3:7000", 1)
MANY_SERVICES = 96


def build_node() -> Node:
    """Return a node that has completed joining."""
    node = Node(MemberRecord("a-1", "a", "10.0.0.1:7000", 1), Random(1))
    node.join.done = True
    return node


def find_request(actions: list[Any]) -> ConfigurationRequest:
    """Return the configuration request among some actions."""
    messages = [getattr(action, "message", None) for action in actions]
    return next(message for message in messages if isinstance(message, ConfigurationRequest))


def build_large_service(name: str) -> ServiceFile:
    """Return a service file of about 50 kilobytes."""
    routes = [Route(f"r{i}", "GET", f"/{name}/{i}/{'x' * 60}") for i in range(300)]
    return ServiceFile(name, "team", routes, [Release("r1")], "r1")


class RestartWithoutPlatformTest(WithScenarios, testtools.TestCase):
    """A daemon that restarts while the store is unavailable never serves an older version."""

    scenarios = [(f"seed_{seed}", {"seed": seed}) for seed in range(8)]

    def test_only_reader(self) -> None:
        """The only daemon that reads the store crashes just after it applied the new version.

        Its reports of that version are lost until 0.25 s after the publish.
        """
        network = build_network(1, 4, self.seed)
        network.nodes_without_store = {"d0-2", "d0-3", "d0-4"}
        publish_version(network, 1)
        self.assertLess(network.run_until(lambda: network.versions() == {1}, LIMIT_S), LIMIT_S)
        network.run(LIMIT_S)
        lose_until = network.now + 0.25

        def lose_first(name: str, message: Any) -> bool:
            is_report = isinstance(message, Digest) and message.held == 2
            return not (is_report and name == "d0-1" and network.now < lose_until)

        network.on_message = lose_first
        publish_version(network, 2)
        reader = network.nodes["d0-1"].configuration
        self.assertLess(network.run_until(lambda: reader.version == 2, LIMIT_S), LIMIT_S)
        network.store.faults.refuse = 503
        kill_node(network, "d0-1")
        start_node(network, "d0-1")
        network.run(LIMIT_S)
        self.assertEqual([], check_versions(network.observations))
        self.assertEqual({2}, network.versions())

    def test_old_peer_answers_first(self) -> None:
        """A peer that missed the new version is the first to answer the restarted daemon."""
        network = build_network(1, 6, self.seed)
        publish_version(network, 1)
        network.run(LIMIT_S)
        network.partitions.append(lambda a, b: "d0-6" in (a.name, b.name))
        network.nodes_without_store.add("d0-6")
        publish_version(network, 2)
        network.run_until(lambda: sorted(network.versions()) == [1, 2], LIMIT_S)
        network.run(0.5)
        network.store.faults.refuse = 503
        kill_node(network, "d0-3")
        network.partitions[:] = [
            lambda a, b: "d0-3" in (a.name, b.name) and "d0-6" not in (a.name, b.name)
        ]
        network.call_at(network.now + 0.5, network.partitions.clear)
        start_node(network, "d0-3")
        network.nodes["d0-3"].seeds = ("10.0.0.6:7000",)
        network.run(LIMIT_S)
        self.assertEqual([], check_versions(network.observations))
        self.assertEqual({2}, network.versions())


class KnownVersionTest(WithScenarios, testtools.TestCase):
    """A restarted daemon has heard of a version that it can't get before the join timeout."""

    scenarios = [
        ("unreachable", {"refused": 0, "active_version": 0}),
        ("refused_here", {"refused": 5, "active_version": 3}),
    ]

    def test_minimum_version(self) -> None:
        """The only daemon with version 5 has failed; other peers offer version 3."""
        node = Node(MemberRecord("a-1", "a", "10.0.0.1:7000", 1), Random(1))
        step(node, 0.0, Tick())
        step(node, 0.1, MessageReceived(Digest(PEER, 5, held=5)))
        gone = attrs.evolve(PEER, status="failed")
        step(node, 0.2, MessageReceived(MemberNews(OTHER, [gone])))
        node.configuration.refused.add(self.refused)
        head, blobs = build_head(3, [build_service("certs")])
        for name in ("a-3", "a-4"):
            peer = attrs.evolve(OTHER, name=name, peer_address=f"10.0.0.{name[-1]}:7000")
            step(node, 0.3, MessageReceived(Digest(peer, 3, held=3)))
            step(node, 0.4, MessageReceived(ConfigurationReply(peer, head, blobs)))
        for tenths in range(5, 200):
            step(node, tenths / 10, Tick())
        self.assertTrue(node.join.done)
        self.assertEqual(self.active_version, node.configuration.version)


class LossTest(WithScenarios, testtools.TestCase):
    """A version reaches every daemon in time although messages are lost."""

    scenarios = [
        (f"loss_{loss}_seed_{seed}", {"loss": loss, "seed": seed})
        for loss in (0.1, 0.3)
        for seed in (1, 2)
    ]

    def test_convergence(self) -> None:
        network = build_network(3, 10, self.seed)
        publish_version(network, 1)
        network.run(2 * LIMIT_S)
        network.loss = self.loss
        acceptance = publish_version(network, 2)
        network.run(LIMIT_S)
        late = check_convergence(network.observations, acceptance, network.nodes)
        self.assertEqual([], late)


class RefusedVersionTest(testtools.TestCase):
    """A version that can't be applied completely stays refused; a later one is applied."""

    def test_refused_then_good(self) -> None:
        network = build_network(2, 3, 1)
        publish_version(network, 1)
        network.run(LIMIT_S)
        network.acceptances.pop()
        publish_version(network, 2, broken=True)
        network.run(LIMIT_S)
        self.assertEqual({1}, network.versions())
        publish_version(network, 3)
        network.run(LIMIT_S)
        self.assertEqual({3}, network.versions())
        self.assertEqual([], network.violations)

    def test_refused_at_start(self) -> None:
        """A daemon that starts while the store has a bad version serves the last valid one."""
        network = build_network(1, 4, 1)
        publish_version(network, 1)
        network.run(LIMIT_S)
        publish_version(network, 2, broken=True)
        network.run(LIMIT_S)
        kill_node(network, "d0-2")
        start_node(network, "d0-2")
        network.run(LIMIT_S)
        self.assertEqual({1}, network.versions())

    def test_corrupt_blob_from_peer(self) -> None:
        """A blob that was corrupted in transit does not cause the version to be refused."""
        node = build_node()
        head, blobs = build_head(1, [build_service("certs")])
        damaged = {digest: blob + b"x" for digest, blob in blobs.items()}
        receive_configuration(node, 0.0, head, damaged, PEER)
        self.assertEqual(0, node.configuration.refused_version)
        receive_configuration(node, 1.0, head, blobs, PEER)
        self.assertEqual(1, node.configuration.version)


class BoundTest(testtools.TestCase):
    """The size of messages is bounded."""

    def build_holder(self) -> Node:
        node = build_node()
        for version, name in ((1, "r0"), (2, "r2")):
            files = [build_service(f"s{i}", release="r0") for i in range(1, MANY_SERVICES)]
            files.append(build_service("s0", release=name))
            head, blobs = build_head(version, files)
            receive_configuration(node, float(version), head, blobs)
        return node

    def test_delta(self) -> None:
        """A peer that is one version behind gets only the changed service."""
        node = self.build_holder()
        base = node.configuration.recent_heads[0]
        behind = build_node()
        files = [build_service(f"s{i}", release="r0") for i in range(MANY_SERVICES)]
        receive_configuration(behind, 0.0, *build_head(1, files))
        self.assertEqual(base.services, behind.configuration.applied.head.services)
        actions = step(behind, 5.0, MessageReceived(Digest(node.own, 2, held=2)))
        request = find_request(actions)
        reply = receive_request(node, 5.0, request)[-1].message
        self.assertIsInstance(reply.delta, HeadDelta)
        self.assertEqual(["s0"], list(reply.delta.changed))
        self.assertEqual(1, len(reply.blobs))
        step(behind, 5.1, MessageReceived(reply))
        self.assertEqual(2, behind.configuration.held_version)

    def test_pieces(self) -> None:
        """A configuration that is larger than one reply arrives in several replies."""
        node, behind = build_node(), build_node()
        files = [build_large_service(f"s{i}") for i in range(MANY_SERVICES // 4)]
        receive_configuration(node, 0.0, *build_head(1, files))
        actions = step(behind, 5.0, MessageReceived(Digest(node.own, 1, held=1)))
        replies = 0
        while behind.configuration.held_version == 0:
            reply = receive_request(node, 5.0, find_request(actions))[-1].message
            self.assertLessEqual(sum(map(len, reply.blobs.values())), MAX_REPLY_BYTES)
            actions = step(behind, 5.0, MessageReceived(reply))
            replies += 1
        self.assertGreater(replies, 1)

    def test_wrong_delta(self) -> None:
        """A delta whose base does not match is refused, and the node keeps its version."""
        node = build_node()
        head, blobs = build_head(1, [build_service("certs")])
        receive_configuration(node, 0.0, head, blobs, PEER)
        delta = HeadDelta(1, "other", 2, "p", 0.0, {}, [], "x")
        actions = step(node, 1.0, MessageReceived(ConfigurationReply(PEER, None, {}, delta)))
        self.assertIn(LogEvent.MESSAGE_REFUSED, [getattr(a, "event", None) for a in actions])
        self.assertEqual(1, node.configuration.held_version)
