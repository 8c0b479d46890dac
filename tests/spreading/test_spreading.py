"""Tests of spreading: a bounded number of peers, and everyone in the end."""

from __future__ import annotations

from random import Random

import testtools
from testscenarios import WithScenarios

from magnoliasill.core.messages import Digest, MemberRecord
from magnoliasill.core.node import Member, Node
from magnoliasill.spreading.spreading import FANOUT_LOCAL, FANOUT_REMOTE, spread_message

MIN_REACHED = 0.95  # of the daemons, by a message that nobody repeats


def build_nodes(data_centres: int, daemons: int) -> dict[str, Node]:
    """Return nodes by address that all know each other."""
    records = [
        MemberRecord(f"d{place}-{i}", f"d{place}", f"127.0.{place}.1:{i + 1}", 1)
        for place in range(data_centres)
        for i in range(daemons)
    ]
    nodes = {record.peer_address: Node(record, Random(i)) for i, record in enumerate(records)}
    for node in nodes.values():
        others = [record for record in records if record is not node.own]
        node.members = {record.name: Member(record, 0.0) for record in others}
    return nodes


class SpreadMessageTest(WithScenarios, testtools.TestCase):
    """A message that each daemon passes on once."""

    scenarios = [
        ("one_data_centre", {"shape": (1, 170)}),
        ("three_data_centres", {"shape": (3, 60)}),
        ("four_daemons", {"shape": (1, 4)}),
    ]

    def test_spread(self) -> None:
        nodes = build_nodes(*self.shape)
        first = next(iter(nodes.values()))
        message = Digest(first.own, 1)
        reached = {first.own.peer_address}
        queue = [first]
        while queue:
            actions = spread_message(queue.pop(), message)
            self.assertLessEqual(len(actions), FANOUT_LOCAL + FANOUT_REMOTE)
            fresh = {action.address for action in actions} - reached
            reached |= fresh
            queue += [nodes[address] for address in sorted(fresh)]
        self.assertGreaterEqual(len(reached), MIN_REACHED * len(nodes))

    def test_excluded(self) -> None:
        nodes = build_nodes(1, 3)
        first, second, third = nodes.values()
        actions = spread_message(first, Digest(first.own, 1), {second.own.name})
        self.assertEqual([third.own.peer_address], [action.address for action in actions])
