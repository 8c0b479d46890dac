"""Tests of failure detection: which daemons and servers are found failed, and how soon."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import LogEvent
from magnoliasill.core.events import ServerAnnounced

from ..simulated_network import build_network, freeze_node, kill_node, publish_version, resume_node
from ..test_faults import list_servers, members_agree

CONVERGENCE_S = 10.0
DETECTION_TIMEOUT_S = 12.0
PROPAGATION_TIMEOUT_S = 3.0
SERVER = "10.0.0.2:9000"


def list_logged(network: object, *events: LogEvent) -> list[tuple[str, str]]:
    """Return the node that logged and the member concerned, for each log of the given events."""
    return [
        (name, str(log.fields.get("member", "")))
        for _, name, log in network.logs
        if log.event in events
    ]


class ProbingTest(WithScenarios, testtools.TestCase):
    """Failure detection among 10 daemons in 2 data centres, with several random seeds."""

    scenarios = [(f"seed_{seed}", {"seed": seed}) for seed in (1, 2, 3)]

    def setUp(self) -> None:
        super().setUp()
        self.network = build_network(2, 5, self.seed)
        publish_version(self.network, 1)
        self.network.run(CONVERGENCE_S)
        self.assertTrue(members_agree(self.network))
        self.network.logs.clear()

    def list_suspicions(self) -> list[tuple[str, str]]:
        return list_logged(self.network, LogEvent.MEMBER_SUSPECTED, LogEvent.MEMBER_FAILED)

    def test_nothing_failing(self) -> None:
        self.network.loss = 0.01
        self.network.run(60.0)
        self.assertEqual([], list_logged(self.network, LogEvent.MEMBER_FAILED))

    def test_dead(self) -> None:
        kill_node(self.network, "d0-3")

        def is_detected() -> bool:
            records = [node.members["d0-3"].record for node in self.network.nodes.values()]
            return all(record.status == "failed" for record in records)

        self.assertLess(
            self.network.run_until(is_detected, DETECTION_TIMEOUT_S), DETECTION_TIMEOUT_S
        )

    def test_pair_cut(self) -> None:
        """Two daemons that can't reach each other are not suspected while others reach them."""
        pair = {"d0-1", "d0-2"}
        self.network.partitions.append(lambda a, b: {a.name, b.name} == pair)
        self.network.run(30.0)
        self.assertEqual([], self.list_suspicions())

    def test_data_centres_cut(self) -> None:
        """A partitioned data centre is not suspected; it only gets no more calls after a time."""
        self.network.partitions.append(lambda a, b: a.data_centre != b.data_centre)
        self.network.run(30.0)
        self.assertEqual([], self.list_suspicions())
        self.assertEqual({"d1"}, self.network.nodes["d0-1"].silent)
        self.network.partitions.clear()
        self.network.run(5.0)
        self.assertEqual(set(), self.network.nodes["d0-1"].silent)

    def test_data_centre_split(self) -> None:
        """Two halves of a data centre that declared each other failed merge after the partition."""
        half = {"d0-1", "d0-2"}
        self.network.partitions.append(lambda a, b: (a.name in half) != (b.name in half))
        self.network.run(30.0)
        self.assertFalse(members_agree(self.network))
        self.network.partitions.clear()
        limit = 60.0
        self.assertLess(self.network.run_until(lambda: members_agree(self.network), limit), limit)

    def test_paused(self) -> None:
        """A daemon that was paused suspects no other daemon after it resumes."""
        node = self.network.nodes["d0-1"]
        self.network.run_until(lambda: bool(node.probes.pending), CONVERGENCE_S)
        freeze_node(self.network, "d0-1")
        self.network.run(5.0)
        self.network.backlog.clear()
        resume_node(self.network, "d0-1")
        self.network.run(CONVERGENCE_S)
        suspected = [
            about for name, about in self.list_suspicions() if name == "d0-1" and about != "d0-1"
        ]
        self.assertEqual([], suspected)

    def test_silent_server(self) -> None:
        """A backend server that stopped announcing itself leaves the index of each daemon."""
        self.announce(True)
        seen = self.network.run_until(lambda: self.count_views() == 10, PROPAGATION_TIMEOUT_S)
        self.assertLess(seen, PROPAGATION_TIMEOUT_S)
        self.network.run_until(lambda: self.count_views() == 0, 2 * PROPAGATION_TIMEOUT_S)
        self.assertEqual(0, self.count_views())

    def test_draining_server(self) -> None:
        """A draining backend server leaves the index of each daemon within 3 seconds."""
        for _ in range(4):
            self.announce(True)
            self.network.run(0.5)
        self.announce(False)
        self.network.run(PROPAGATION_TIMEOUT_S)
        self.assertEqual(0, self.count_views())

    def announce(self, serving: bool) -> None:
        life = self.network.run_ids["d0-2"]
        self.network.deliver("d0-2", life, ServerAnnounced("lessons", "r0", SERVER, serving))

    def count_views(self) -> int:
        nodes = self.network.nodes.values()
        return sum(bool(list_servers(node)) for node in nodes)


class LargeNetworkTest(testtools.TestCase):
    """Draining of a backend server among 90 daemons in 3 data centres."""

    def test_draining_server(self) -> None:
        network = build_network(3, 30, 1)
        network.run(CONVERGENCE_S)
        life = network.run_ids["d0-2"]
        for _ in range(6):
            network.deliver("d0-2", life, ServerAnnounced("lessons", "r0", SERVER))
            network.run(0.5)
        nodes = network.nodes.values()
        self.assertTrue(all(list_servers(node) for node in nodes))
        network.deliver("d0-2", life, ServerAnnounced("lessons", "r0", SERVER, False))
        network.run(PROPAGATION_TIMEOUT_S)
        self.assertEqual(0, sum(bool(list_servers(node)) for node in nodes))


class SplitTest(testtools.TestCase):
    """A partition for 30 s within the only data centre."""

    def test_halves_find_together(self) -> None:
        network = build_network(1, 4, 1)
        network.run(CONVERGENCE_S)
        half = {"d0-1", "d0-2"}
        network.partitions.append(lambda a, b: (a.name in half) != (b.name in half))
        network.run(30.0)
        self.assertFalse(members_agree(network))
        network.partitions.clear()
        self.assertLess(network.run_until(lambda: members_agree(network), 60.0), 60.0)
