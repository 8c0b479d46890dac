"""Tests of key ranges over time: bucket rolls, changes of the holder, retention, and limits."""

from __future__ import annotations

import random
from typing import Any

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testscenarios import WithScenarios

from fakes.store import FakeStore, apply_request
from magnoliasill.claims.claim_ranges import (
    LOAD_BATCH_BUCKETS,
    list_candidates,
    receive_claim_answer,
    receive_claim_request,
    release_ranges,
    tick_claims,
)
from magnoliasill.claims.claim_recording import (
    BUCKET_ROLL_RECORDS,
    RETENTION_LEASE_S,
    RETENTION_S,
    WRITE_INTERVAL_S,
)
from magnoliasill.claims.claim_records import (
    ClaimRecord,
    add_run,
    build_run,
    digest_key,
    find_in_run,
    find_range,
)
from magnoliasill.core.actions import LeaseGrant, Log, SendMessage, StoreWrite
from magnoliasill.core.messages import ClaimReply, ClaimRequest, MemberRecord
from magnoliasill.core.node import Member, Node
from magnoliasill.membership.membership import leave

NUMBER = 0


@attrs.define
class HolderSimulation:
    """Nodes and a store on one virtual clock; the store answers every request at once.

    Attributes:
        now: The virtual clock.
        fake_store: The store.
        nodes: The nodes.
        replies: The last reply for each claim.
        writes: Number of store writes and lease grants.
    """

    now: float = 1_000.0
    fake_store: FakeStore = attrs.field(factory=FakeStore)
    nodes: list[Node] = attrs.field(factory=list)
    replies: dict[bytes, ClaimReply] = attrs.field(factory=dict)
    writes: int = 0

    def carry_out(self, node: Node, actions: list[Any]) -> None:
        """Carry out a node's actions, and the actions that follow from the store's answers."""
        for action in actions:
            match action:
                case SendMessage(message=ClaimReply() as reply):
                    self.replies[reply.claim] = reply
                case Log() | SendMessage():
                    pass
                case _:
                    self.writes += isinstance(action, (StoreWrite, LeaseGrant))
                    answer = apply_request(self.fake_store, self.now, action)
                    self.carry_out(node, receive_claim_answer(node, self.now, answer))

    def request_verdict(self, node: Node, request: ClaimRequest) -> str:
        """Send a request to a node, and return its verdict after the store write."""
        self.replies.pop(request.claim, None)
        self.carry_out(node, receive_claim_request(node, self.now, request))
        for _ in range(3):
            if request.claim in self.replies:
                break
            self.advance(WRITE_INTERVAL_S)
        return self.replies[request.claim].verdict

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps that are short enough to renew every lease."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 1.0, end)
            for node in self.nodes:
                self.carry_out(node, tick_claims(node, self.now))


def build_simulation(seed: int) -> HolderSimulation:
    """Build two nodes that know each other."""
    records = [MemberRecord(f"a-{n}", "a", f"10.0.0.{n}:1", 1) for n in (1, 2)]
    nodes = [Node(record, random.Random(f"{seed} {record.name}")) for record in records]
    for node, other in zip(nodes, reversed(records), strict=True):
        node.members[other.name] = Member(other, 0.0)
    return HolderSimulation(nodes=nodes)


def build_requests(count: int, seed: int) -> list[ClaimRequest]:
    """Build requests whose keys fall into one range."""
    generator = random.Random(seed)
    requests: list[ClaimRequest] = []
    while len(requests) < count:
        key = digest_key("fees", str(generator.random()))
        if find_range(key) == NUMBER:
            claim = generator.randbytes(8)
            requests.append(ClaimRequest("10.0.0.9:1", NUMBER, key, b"body", claim))
    return requests


def build_second_claim(request: ClaimRequest) -> ClaimRequest:
    """Build a request for the same key under another claim."""
    return attrs.evolve(request, claim=request.claim[::-1])


class TakeoverTest(WithScenarios, testtools.TestCase):
    """No claim is lost when the range changes its holder, whatever the number of buckets."""

    scenarios = [
        (f"{count} claims", {"count": count})
        for count in (
            1,
            BUCKET_ROLL_RECORDS,
            BUCKET_ROLL_RECORDS + 1,
            BUCKET_ROLL_RECORDS * (LOAD_BATCH_BUCKETS + 3),
        )
    ]

    def test_no_claim_is_forgotten(self) -> None:
        simulation = build_simulation(1)
        requests = build_requests(self.count, 1)
        first, second = simulation.nodes
        verdicts = {simulation.request_verdict(first, request) for request in requests}
        self.assertEqual({"granted"}, verdicts)
        for holder, successor in ((first, second), (second, first)):
            simulation.carry_out(holder, release_ranges(holder, simulation.now))
            second_verdicts = {
                simulation.request_verdict(successor, build_second_claim(request))
                for request in requests
            }
            self.assertEqual({"used"}, second_verdicts)
            repeated = {simulation.request_verdict(successor, request) for request in requests[-3:]}
            self.assertEqual({"granted"}, repeated)

    def test_released_claims_stay_released(self) -> None:
        simulation = build_simulation(1)
        requests = build_requests(self.count, 2)
        first, second = simulation.nodes
        for request in requests:
            simulation.request_verdict(first, request)
            release = attrs.evolve(request, release=True)
            simulation.carry_out(first, receive_claim_request(first, simulation.now, release))
            simulation.advance(WRITE_INTERVAL_S)
        simulation.carry_out(first, release_ranges(first, simulation.now))
        verdicts = {
            simulation.request_verdict(second, build_second_claim(request)) for request in requests
        }
        self.assertEqual({"granted"}, verdicts)


class RetentionTest(testtools.TestCase):
    """Claims are kept for the retention time, and not much longer."""

    def test_kept_then_forgotten(self) -> None:
        simulation = build_simulation(1)
        first, second = simulation.nodes
        early, late = build_requests(2, 3)
        simulation.request_verdict(first, early)
        simulation.advance(RETENTION_LEASE_S + 10.0)
        simulation.request_verdict(first, late)
        late_at = simulation.now
        simulation.advance(RETENTION_S - RETENTION_LEASE_S - 20.0)
        self.assertEqual("used", simulation.request_verdict(first, build_second_claim(early)))
        simulation.advance(late_at + RETENTION_S - 1.0 - simulation.now)
        simulation.carry_out(first, release_ranges(first, simulation.now))
        self.assertEqual("used", simulation.request_verdict(second, build_second_claim(late)))
        simulation.advance(RETENTION_S + 3 * RETENTION_LEASE_S)
        buckets = [key for key in simulation.fake_store.items if "/bucket/" in key]
        self.assertEqual([], buckets)

    def test_idle_range_writes_only_its_lease(self) -> None:
        simulation = build_simulation(1)
        simulation.request_verdict(simulation.nodes[0], build_requests(1, 4)[0])
        before = simulation.writes
        simulation.advance(60.0)
        self.assertEqual(before, simulation.writes)


class BoundTest(testtools.TestCase):
    """Malformed requests, a leaving node, and the candidates for holding a range."""

    def test_malformed(self) -> None:
        simulation = build_simulation(1)
        good = build_requests(1, 5)[0]
        for change in (
            {"number": 999},
            {"key": b"short"},
            {"body": b""},
            {"claim": bytes(8)},
            {"claim": b"x" * 9},
        ):
            request = attrs.evolve(good, **change)
            actions = receive_claim_request(simulation.nodes[0], simulation.now, request)
            self.assertEqual([], actions)
        self.assertEqual({}, simulation.nodes[0].claims.ranges)

    def test_leaving_node_takes_no_range(self) -> None:
        simulation = build_simulation(1)
        first, second = simulation.nodes
        request = build_requests(1, 6)[0]
        simulation.request_verdict(first, request)
        simulation.carry_out(first, release_ranges(first, simulation.now))
        leave(first)
        self.assertEqual("moved", simulation.request_verdict(first, request))
        self.assertNotIn(first.own.peer_address, list_candidates(first, NUMBER))
        self.assertEqual("granted", simulation.request_verdict(second, request))

    def test_same_candidates_everywhere(self) -> None:
        first, second = build_simulation(1).nodes
        for number in range(5):
            self.assertEqual(list_candidates(first, number), list_candidates(second, number))


class RunTest(testtools.TestCase):
    """Packed runs behave like a mapping in which the last record of a key wins."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 255)), max_size=20)))
    def test_as_mapping(self, batches: list[list[tuple[int, int]]]) -> None:
        runs: list[Any] = []
        expected: dict[bytes, bytes] = {}
        for number, batch in enumerate(batches):
            records = [
                ClaimRecord(key.to_bytes(12), b"body", claim.to_bytes(8), b"addr")
                for key, claim in batch
            ]
            expected.update({record.key: record.claim for record in records})
            add_run(runs, build_run(float(number), records))
        for key in (number.to_bytes(12) for number in range(31)):
            found = [find_in_run(run, key) for run in reversed(runs)]
            claims = [record.claim for record in found if record is not None]
            self.assertEqual(expected.get(key), claims[0] if claims else None)
