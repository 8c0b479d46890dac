"""Tests of gossip: a message goes to a limited number of peers and reaches nearly all daemons."""

from __future__ import annotations

from random import Random

import testtools
from testscenarios import WithScenarios

from magnoliasill.core.messages import Digest, MemberRecord
from magnoliasill.core.node import Member, Node
from magnoliasill.spreading.gossip import FANOUT_LOCAL, FANOUT_REMOTE, spread_message

MIN_REACHED = 0.95  # share of the daemons reached by a message that each sends on only once


def build_nodes(data_centres: int, daemons: int) -> dict[str, Node]:
    """Return nodes by peer address, each with all others in its member table."""
    records = [
        MemberRecord(f"d{data_centre}-{i}", f"d{data_centre}", f"127.0.{data_centre}.1:{i + 1}", 1)
        for data_centre in range(data_centres)
        for i in range(daemons)
    ]
    nodes = {record.peer_address: Node(record, Random(i)) for i, record in enumerate(records)}
    for node in nodes.values():
        others = [record for record in records if record is not node.own]
        node.members = {record.name: Member(record, 0.0) for record in others}
    return nodes


class SpreadMessageTest(WithScenarios, testtools.TestCase):
    """A message that each daemon sends on once."""

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
            newly_reached = {action.address for action in actions} - reached
            reached |= newly_reached
            queue += [nodes[address] for address in sorted(newly_reached)]
        self.assertGreaterEqual(len(reached), MIN_REACHED * len(nodes))

    def test_excluded(self) -> None:
        nodes = build_nodes(1, 3)
        first, second, third = nodes.values()
        actions = spread_message(first, Digest(first.own, 1), {second.own.name})
        self.assertEqual([third.own.peer_address], [action.address for action in actions])
