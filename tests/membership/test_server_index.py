"""Tests of the index of backend servers."""

from __future__ import annotations

import random

import attrs
import testtools

from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.membership.membership import leave, merge_records
from magnoliasill.membership.server_index import MAX_AGE_S, ServerIndex, find_group

DAEMONS = 1_200
SERVICES = 96


def build_record(number: int, **changes: object) -> MemberRecord:
    fields = {
        "name": f"d-{number}",
        "data_centre": f"dc-{number % 7}",
        "peer_address": f"10.0.{number // 250}.{number % 250}:1",
        "incarnation": 1,
        "service": f"s-{number % SERVICES}",
        "release": "r1",
        "server_address": f"10.0.{number // 250}.{number % 250}:2",
        "serving": True,
    }
    return MemberRecord(**{**fields, **changes})


class ServerIndexTest(testtools.TestCase):
    """The groups follow changes of the membership."""

    def setUp(self) -> None:
        super().setUp()
        self.node = Node(build_record(0), random.Random(1))
        merge_records(self.node, 0.0, [build_record(n) for n in range(1, DAEMONS)])
        self.index = ServerIndex()

    def find(self, now: float, service: str = "s-0") -> tuple[set[str], set[str]]:
        group = find_group(self.index, self.node, service, "r1", now)
        return {r.name for r in group.local}, {r.name for r in group.remote}

    def test_local_and_remote(self) -> None:
        local, remote = self.find(0.0)
        expected = {f"d-{n}" for n in range(0, DAEMONS, SERVICES)}
        self.assertEqual(expected, local | remote)
        self.assertEqual({f"d-{n}" for n in range(0, DAEMONS, SERVICES) if n % 7 == 0}, local)
        self.assertEqual((set(), set()), self.find(0.0, "absent"))

    def test_change_is_seen_at_once(self) -> None:
        self.find(0.0)
        drained = build_record(SERVICES, incarnation=2, serving=False)
        merge_records(self.node, 0.01, [drained])
        self.assertNotIn(drained.name, set.union(*self.find(0.01)))
        leave(self.node)
        self.assertNotIn("d-0", self.find(0.02)[0])

    def test_change_without_notice_is_seen_within_the_age(self) -> None:
        self.find(0.0)
        member = self.node.members["d-96"]
        member.record = attrs.evolve(member.record, status="failed")
        self.assertNotIn("d-96", set.union(*self.find(MAX_AGE_S)))

    def test_unchanged_membership_is_not_scanned(self) -> None:
        first = find_group(self.index, self.node, "s-0", "r1", 0.0)
        again = find_group(self.index, self.node, "s-0", "r1", MAX_AGE_S / 2)
        self.assertIs(first, again)
