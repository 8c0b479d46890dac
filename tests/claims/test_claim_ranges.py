"""Tests of key ranges over time: full buckets, takeovers, retention, and bounds."""

from __future__ import annotations

import random
from typing import Any

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testscenarios import WithScenarios

from fakes.store import FakeStore, apply_request
from magnoliasill.claims.claim_holder import (
    BUCKET_RECORDS,
    RETENTION_LEASE_S,
    RETENTION_S,
    WRITE_INTERVAL_S,
)
from magnoliasill.claims.claim_ranges import (
    LOAD_BATCH,
    list_candidates,
    receive_claim_answer,
    receive_claim_request,
    release_ranges,
    tick_claims,
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
class Holders:
    """Nodes and the store on one virtual clock; every request is answered at once.

    Attributes:
        now: The virtual clock.
        fake_store: The store.
        nodes: The nodes.
        replies: The last verdict for each claim.
        writes: Store writes.
    """

    now: float = 1_000.0
    fake_store: FakeStore = attrs.field(factory=FakeStore)
    nodes: list[Node] = attrs.field(factory=list)
    replies: dict[bytes, ClaimReply] = attrs.field(factory=dict)
    writes: int = 0

    def carry_out(self, node: Node, actions: list[Any]) -> None:
        """Do what a node asks for, and all that follows."""
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

    def ask(self, node: Node, request: ClaimRequest) -> str:
        """Ask a node, and return its verdict once it has written."""
        self.replies.pop(request.claim, None)
        self.carry_out(node, receive_claim_request(node, self.now, request))
        for _ in range(3):
            if request.claim in self.replies:
                break
            self.advance(WRITE_INTERVAL_S)
        return self.replies[request.claim].verdict

    def advance(self, seconds: float) -> None:
        """Let time pass in steps that keep every lease."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(self.now + 1.0, until)
            for node in self.nodes:
                self.carry_out(node, tick_claims(node, self.now))


def build_holders(seed: int) -> Holders:
    """Return two nodes that know each other."""
    records = [MemberRecord(f"a-{n}", "a", f"10.0.0.{n}:1", 1) for n in (1, 2)]
    nodes = [Node(record, random.Random(f"{seed} {record.name}")) for record in records]
    for node, other in zip(nodes, reversed(records), strict=True):
        node.members[other.name] = Member(other, 0.0)
    return Holders(nodes=nodes)


def build_requests(count: int, seed: int) -> list[ClaimRequest]:
    """Return requests whose keys fall into one range."""
    generator = random.Random(seed)
    requests: list[ClaimRequest] = []
    while len(requests) < count:
        key = digest_key("fees", str(generator.random()))
        if find_range(key) == NUMBER:
            claim = generator.randbytes(8)
            requests.append(ClaimRequest("10.0.0.9:1", NUMBER, key, b"body", claim))
    return requests


def renew(request: ClaimRequest) -> ClaimRequest:
    """Return a request for the same key under another claim."""
    return attrs.evolve(request, claim=request.claim[::-1])


class TakeoverTest(WithScenarios, testtools.TestCase):
    """Every claim survives takeovers, whatever the number of buckets."""

    scenarios = [
        (f"{count} claims", {"count": count})
        for count in (1, BUCKET_RECORDS, BUCKET_RECORDS + 1, BUCKET_RECORDS * (LOAD_BATCH + 3))
    ]

    def test_no_claim_is_forgotten(self) -> None:
        holders = build_holders(1)
        requests = build_requests(self.count, 1)
        first, second = holders.nodes
        verdicts = {holders.ask(first, request) for request in requests}
        self.assertEqual({"granted"}, verdicts)
        for holder, successor in ((first, second), (second, first)):
            holders.carry_out(holder, release_ranges(holder, holders.now))
            again = {holders.ask(successor, renew(request)) for request in requests}
            self.assertEqual({"used"}, again)
            own = {holders.ask(successor, request) for request in requests[-3:]}
            self.assertEqual({"granted"}, own)

    def test_released_claims_stay_released(self) -> None:
        holders = build_holders(1)
        requests = build_requests(self.count, 2)
        first, second = holders.nodes
        for request in requests:
            holders.ask(first, request)
            release = attrs.evolve(request, release=True)
            holders.carry_out(first, receive_claim_request(first, holders.now, release))
            holders.advance(WRITE_INTERVAL_S)
        holders.carry_out(first, release_ranges(first, holders.now))
        verdicts = {holders.ask(second, renew(request)) for request in requests}
        self.assertEqual({"granted"}, verdicts)


class RetentionTest(testtools.TestCase):
    """Claims are kept for the stated time, and not much longer."""

    def test_kept_then_forgotten(self) -> None:
        holders = build_holders(1)
        first, second = holders.nodes
        early, late = build_requests(2, 3)
        holders.ask(first, early)
        holders.advance(RETENTION_LEASE_S + 10.0)
        holders.ask(first, late)
        late_at = holders.now
        holders.advance(RETENTION_S - RETENTION_LEASE_S - 20.0)
        self.assertEqual("used", holders.ask(first, renew(early)))
        holders.advance(late_at + RETENTION_S - 1.0 - holders.now)
        holders.carry_out(first, release_ranges(first, holders.now))
        self.assertEqual("used", holders.ask(second, renew(late)))
        holders.advance(RETENTION_S + 3 * RETENTION_LEASE_S)
        buckets = [key for key in holders.fake_store.items if "/bucket/" in key]
        self.assertEqual([], buckets)

    def test_idle_range_writes_only_its_lease(self) -> None:
        holders = build_holders(1)
        holders.ask(holders.nodes[0], build_requests(1, 4)[0])
        before = holders.writes
        holders.advance(60.0)
        self.assertEqual(before, holders.writes)


class BoundTest(testtools.TestCase):
    """Requests that no daemon sends, and an asker's view of who holds a range."""

    def test_malformed(self) -> None:
        holders = build_holders(1)
        good = build_requests(1, 5)[0]
        for change in (
            {"number": 999},
            {"key": b"short"},
            {"body": b""},
            {"claim": bytes(8)},
            {"claim": b"x" * 9},
        ):
            request = attrs.evolve(good, **change)
            actions = receive_claim_request(holders.nodes[0], holders.now, request)
            self.assertEqual([], actions)
        self.assertEqual({}, holders.nodes[0].claims.ranges)

    def test_leaving_node_takes_no_range(self) -> None:
        holders = build_holders(1)
        first, second = holders.nodes
        request = build_requests(1, 6)[0]
        holders.ask(first, request)
        holders.carry_out(first, release_ranges(first, holders.now))
        leave(first)
        self.assertEqual("moved", holders.ask(first, request))
        self.assertNotIn(first.own.peer_address, list_candidates(first, NUMBER))
        self.assertEqual("granted", holders.ask(second, request))

    def test_same_candidates_everywhere(self) -> None:
        first, second = build_holders(1).nodes
        for number in range(5):
            self.assertEqual(list_candidates(first, number), list_candidates(second, number))


class RunTest(testtools.TestCase):
    """Packed runs behave as a mapping in which the last record of a key counts."""

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
