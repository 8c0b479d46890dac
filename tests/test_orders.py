"""Property-based tests: random orders of publishes and faults, and messages with any contents."""

from __future__ import annotations

from random import Random
from typing import Any

import testtools
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from magnoliasill.core.actions import SendMessage
from magnoliasill.core.engine import step
from magnoliasill.core.events import MessageReceived, Tick
from magnoliasill.core.messages import (
    MAX_MESSAGE_BYTES,
    ConfigurationReply,
    ConfigurationRequest,
    Digest,
    MemberNews,
    MemberPage,
    MemberRecord,
    MemberSummary,
    Probe,
    ProbeAck,
    ProbeRequest,
    decode_message,
    encode_message,
)
from magnoliasill.core.node import Node
from magnoliasill.spreading.invariants import check_accepted, check_table, check_versions
from magnoliasill.versions.manifest import Head, HeadDelta

from .builders import build_head, build_service
from .simulated_network import (
    build_network,
    freeze_node,
    kill_node,
    publish_version,
    resume_node,
    start_node,
)

NODE_NAMES = [f"d{index}-{number}" for index in (0, 1) for number in (1, 2, 3)]
RECOVERY_S = 15.0
node_names = st.sampled_from(NODE_NAMES)


class OrdersMachine(RuleBasedStateMachine):
    """Random publishes and faults in a simulated network of 2 data centres with 3 daemons each.

    At most one daemon is suspended at a time, and none restarts meanwhile.
    """

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed: int) -> None:
        self.network = build_network(2, 3, seed)
        self.version = 0
        self.frozen_name = ""
        self.publish()
        self.network.run(6.0)

    @rule()
    def publish(self) -> None:
        self.version += 1
        publish_version(self.network, self.version)

    @rule(seconds=st.sampled_from([0.02, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.network.run(seconds)

    @rule(name=node_names)
    def restart(self, name: str) -> None:
        if not self.frozen_name:
            kill_node(self.network, name)
            start_node(self.network, name)
            self.network.run(5.0)

    @rule(name=node_names)
    def freeze(self, name: str) -> None:
        if not self.frozen_name:
            self.frozen_name = name
            freeze_node(self.network, name)

    @rule()
    def resume(self) -> None:
        if self.frozen_name:
            resume_node(self.network, self.frozen_name)
            self.frozen_name = ""

    @rule(name=node_names)
    def partition_daemon(self, name: str) -> None:
        """Lose the messages of one direction between a daemon and each other daemon."""
        self.network.partitions[:] = [lambda a, b: name in (a.name, b.name) and a.name > b.name]

    @rule()
    def partition_data_centres(self) -> None:
        self.network.partitions[:] = [lambda a, b: a.data_centre != b.data_centre]

    @rule()
    def heal_partitions(self) -> None:
        self.network.partitions.clear()

    @rule(down=st.booleans())
    def set_store_outage(self, down: bool) -> None:
        self.network.store.faults.refuse = 503 if down else 0

    @rule(answers=st.integers(1, 4))
    def lose_answers(self, answers: int) -> None:
        self.network.store.faults.lose_answers = answers

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]), delay_s=st.sampled_from([0.01, 0.3]))
    def set_message_faults(self, loss: float, delay_s: float) -> None:
        self.network.loss = loss
        self.network.delay_s = delay_s

    @invariant()
    def check_history(self) -> None:
        """Check that nodes apply only complete, accepted configurations, and never an older one."""
        network = self.network
        assert network.violations == [], network.violations
        violations = check_versions(network.observations)
        violations += check_accepted(network.observations, network.acceptances)
        assert violations == [], violations

    def teardown(self) -> None:
        """Remove all faults and check that each node applies the newest version."""
        network = self.network
        self.resume()
        network.partitions.clear()
        network.loss, network.delay_s = 0.0, 0.01
        network.store.faults = network.store.faults.__class__()
        network.run(RECOVERY_S)
        self.check_history()
        assert network.versions() == {self.version}, (network.versions(), self.version)


OrdersTest = OrdersMachine.TestCase
OrdersTest.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=20,
    suppress_health_check=list(HealthCheck),
)

OWN = MemberRecord("a-1", "a", "10.0.0.1:7000", 5)
HEAD, BLOBS = build_head(3, [build_service("certs")])
# Strategies for well-formed messages with any field values.
counters = st.integers(-(2**63), 2**64 - 1) | st.integers(0, 9)
texts = st.sampled_from(["a-1", "a-2", "a", "b", ""]) | st.text(max_size=8)
records = st.builds(
    MemberRecord,
    texts,
    texts,
    st.sampled_from(["10.0.0.1:7000", "10.0.0.2:7000", "x"]),
    counters,
    st.sampled_from(["alive", "suspect", "failed", "left", "gone"]),
    serving=st.booleans(),
    started_at=st.floats(),
)
digests = st.builds(
    Digest,
    records,
    counters,
    st.lists(records, max_size=3),
    counters,
    st.booleans(),
    st.integers(0, 2**64 - 1),
    st.dictionaries(texts, counters, max_size=3),
    st.booleans(),
)
hashes = st.dictionaries(texts, texts, max_size=3)
heads = st.builds(Head, counters, texts, st.floats(), hashes) | st.just(HEAD)
deltas = st.builds(
    HeadDelta, counters, texts, counters, texts, st.floats(), hashes, st.lists(texts), texts
)
blobs = st.dictionaries(texts, st.binary(max_size=9), max_size=3) | st.just(BLOBS)
messages = st.one_of(
    digests,
    st.builds(Probe, digests, counters),
    st.builds(ProbeAck, digests, counters),
    st.builds(ProbeRequest, records, counters, texts),
    st.builds(MemberNews, records, st.lists(records, max_size=4)),
    st.builds(MemberSummary, records, st.lists(st.integers(0, 2**64 - 1), max_size=65)),
    st.builds(MemberPage, records, st.lists(records, max_size=4), st.booleans(), st.booleans()),
    st.builds(ConfigurationRequest, records, counters, texts, counters, st.lists(texts)),
    st.builds(ConfigurationReply, records, st.none() | heads, blobs, st.none() | deltas),
)


class FuzzedMessageTest(testtools.TestCase):
    """Well-formed messages with any contents leave a node's configuration and status intact."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(messages, min_size=1, max_size=6))
    def test_nothing_lost(self, received: list[Any]) -> None:
        node = Node(OWN, Random(1))
        node.join.done = True
        first, blobs = build_head(2, [build_service("certs")])
        reply = ConfigurationReply(MemberRecord("a-2", "a", "10.0.0.2:7000", 1), first, blobs)
        step(node, 1.0, MessageReceived(reply))
        step(node, 3.0, Tick())
        self.assertEqual(2, node.configuration.version)
        for number, message in enumerate(received):
            data = encode_message(message)
            now = 4.0 + number
            actions = step(node, now, MessageReceived(decode_message(data)))
            actions += step(node, now + 0.5, Tick())
            for action in actions:
                if isinstance(action, SendMessage):
                    self.assertLess(len(encode_message(action.message)), MAX_MESSAGE_BYTES)
        self.assertGreaterEqual(node.configuration.version, 2)
        self.assertEqual([], check_table(node.configuration))
        self.assertEqual("alive", node.own.status)
