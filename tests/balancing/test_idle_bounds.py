"""Tests of the limits on idle connections, at the target number of daemons."""

from __future__ import annotations

import random
from collections import deque

import testtools
from testscenarios import WithScenarios

from magnoliasill.balancing.idle_bounds import (
    IDLE_TIMEOUT_S,
    SHORT_IDLE_TIMEOUT_S,
    IdleBound,
    compute_idle_bound,
)
from magnoliasill.calls.connections import ConnectionPool, PooledConnection, close_expired
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.membership.membership import merge_records
from magnoliasill.membership.server_index import Position, ServerGroup, ServerIndex, find_group
from magnoliasill.versions.service_file import Limits

DAEMONS = 170
CALLS_PER_SECOND_OF_SERVER = 100


def build_group(servers: int) -> ServerGroup:
    records = [
        MemberRecord(f"s-{n:03}", "a", "10.0.0.1:1", 1, server_address=f"10.0.0.{n}:2")
        for n in range(servers)
    ]
    return ServerGroup(local=records)


class BoundAtTargetSizeTest(WithScenarios, testtools.TestCase):
    """The connections of all daemons of a data centre stay within the limit of each server."""

    scenarios = [
        (
            f"{servers}-{connections}-{lost}",
            {"servers": servers, "accepted": connections, "lost": lost},
        )
        for servers in (1, 2, 4, 12, 170)
        for connections in (100, 130)
        for lost in (0, 3)
    ]

    def test_sum_stays_below_what_a_server_accepts(self) -> None:
        limits = Limits(slots=10, connections=self.accepted)
        group = build_group(self.servers)
        generator = random.Random(1)
        kept = dict.fromkeys((r.name for r in group.local), 0)
        for number in range(DAEMONS):
            missed = generator.randint(0, self.lost)
            position = Position(max(number - missed, 0), DAEMONS - missed)
            for record in group.local:
                bound = compute_idle_bound(position, group, record.name, "gallery", limits)
                kept[record.name] += bound.connections if bound.seconds == IDLE_TIMEOUT_S else 0
        brief = CALLS_PER_SECOND_OF_SERVER * SHORT_IDLE_TIMEOUT_S
        for count in kept.values():
            self.assertLessEqual(count + brief + limits.slots, self.accepted)
        self.assertGreater(min(kept.values()), self.accepted // 3)

    def test_windows_reach_most_daemons(self) -> None:
        if self.servers < 3:
            return
        limits = Limits(slots=10, connections=self.accepted)
        group = build_group(self.servers)
        for number in range(DAEMONS):
            bounds = [
                compute_idle_bound(Position(number, DAEMONS), group, record.name, "gallery", limits)
                for record in group.local
            ]
            self.assertIn(IdleBound(1, IDLE_TIMEOUT_S), bounds)


class IdleBoundTest(testtools.TestCase):
    """Limits for few daemons and for remote servers, and expiry of idle connections."""

    def test_small_fleet_keeps_up_to_the_slots(self) -> None:
        bound = compute_idle_bound(Position(0, 4), build_group(4), "s-000", "gallery", Limits())
        self.assertEqual(IdleBound(10, IDLE_TIMEOUT_S), bound)

    def test_other_data_centre_is_kept_briefly(self) -> None:
        bound = compute_idle_bound(Position(0, 4), build_group(4), "elsewhere", "gallery", Limits())
        self.assertEqual(SHORT_IDLE_TIMEOUT_S, bound.seconds)

    def test_position_counts_the_own_data_centre(self) -> None:
        node = Node(MemberRecord("b", "x", "10.0.0.1:1", 1), random.Random(1))
        others = [("a", "x", "alive"), ("c", "x", "alive"), ("d", "y", "alive"), ("0", "x", "left")]
        records = [
            MemberRecord(name, data_centre, f"10.0.1.{n}:1", 1, status=status)
            for n, (name, data_centre, status) in enumerate(others)
        ]
        merge_records(node, 0.0, records)
        index = ServerIndex()
        find_group(index, node, "gallery", "r1", 0.0)
        self.assertEqual(Position(1, 3), index.position)

    def test_expired_connections_are_closed(self) -> None:
        closed: list[str] = []

        class Http:
            def close(self) -> None:
                closed.append("closed")

        table = ConnectionPool(
            bounds={"k": IdleBound(2, IDLE_TIMEOUT_S), "b": IdleBound(1, SHORT_IDLE_TIMEOUT_S)}
        )
        for address in ("k", "b"):
            table.idle.setdefault(address, deque()).append(PooledConnection(Http(), 0.0, 10.0))
        close_expired(table, 10.01 + SHORT_IDLE_TIMEOUT_S)
        self.assertEqual((["closed"], ["k"]), (closed, list(table.idle)))
        close_expired(table, 10.01 + IDLE_TIMEOUT_S)
        self.assertEqual((2, []), (len(closed), list(table.idle)))
