"""Tests of concurrency limits, admission control and the load balancer, on a virtual clock."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import attrs
import testtools
from testscenarios import WithScenarios

from magnoliasill.balancing.admission import (
    MAX_RETRY_AFTER_SPREAD_S,
    ServiceLoad,
    choose_retry_after,
    count_admitted,
)
from magnoliasill.balancing.balancer import LoadTable, PlacementContext, pick_server
from magnoliasill.balancing.limits import MAX_BACKOFF_S, adapt_limit, apply_report
from magnoliasill.balancing.load_reports import LoadReport, read_report
from magnoliasill.balancing.upstreams import UPSTREAM_RETENTION_S, find_upstream
from magnoliasill.calls.dispatch import (
    UPSTREAM_CLEANUP_INTERVAL_S,
    Dispatcher,
    DispatchRequest,
    find_servers,
)
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.core.outcomes import OutcomeKind
from magnoliasill.membership.server_index import ServerGroup
from magnoliasill.versions.service_file import Release, Route, ServiceFile

SLOTS = 10
WORK_S = 0.1
RUN_S = 20.0
WARM_UP_S = 5.0


def build_group(count: int, data_centre: str = "a", started_at: float = 0.0) -> list[MemberRecord]:
    return [
        MemberRecord(
            f"{data_centre}-{n}",
            data_centre,
            "10.0.0.1:1",
            1,
            server_address=f"{data_centre}:{n}",
            started_at=started_at,
        )
        for n in range(count)
    ]


@attrs.define
class SharedSlotSimulation:
    """Simulates servers whose slots several daemons share; every daemon always has requests.

    Attributes:
        daemons: The load table of each daemon.
        group: The backend servers.
        running: Number of requests that each server runs, by address.
        runs: Number of requests that finished after the warm-up.
        sheds: Number of requests that were shed after the warm-up.
        events: Time, daemon and server address of each end of a request; the address is empty if
            the daemon only picks servers again.
    """

    daemons: list[LoadTable]
    group: ServerGroup
    generator: random.Random
    running: Counter[str] = attrs.field(factory=Counter)
    runs: int = 0
    sheds: int = 0
    events: list[tuple[float, int, str]] = attrs.field(factory=list)

    def simulate(self) -> None:
        for number in range(len(self.daemons)):
            heapq.heappush(self.events, (self.generator.uniform(0.0, WORK_S), number, ""))
        while self.events and self.events[0][0] < RUN_S:
            now, number, address = heapq.heappop(self.events)
            if address:
                self.running[address] -= 1
                self.finish(number, address, OutcomeKind.SUCCEEDED, now)
            self.send(number, now)

    def send(self, number: int, now: float) -> None:
        load = self.daemons[number]
        while True:
            pick = pick_server(self.group, load, PlacementContext(now, SLOTS), self.generator)
            if pick.record is None:
                break
            address = pick.record.server_address
            pick.upstream.in_flight += 1
            if self.running[address] >= SLOTS:
                self.finish(number, address, OutcomeKind.SHED, now)
                continue
            self.running[address] += 1
            heapq.heappush(self.events, (now + WORK_S, number, address))
        if pick.backoff_ends_at < RUN_S:
            heapq.heappush(self.events, (pick.backoff_ends_at + 0.001, number, ""))

    def finish(self, number: int, address: str, kind: OutcomeKind, now: float) -> None:
        entry = self.daemons[number].upstreams.entries[address]
        adapt_limit(entry, kind, SLOTS, now, self.generator)
        entry.in_flight -= 1
        if now > WARM_UP_S:
            self.runs += kind is OutcomeKind.SUCCEEDED
            self.sheds += kind is OutcomeKind.SHED


class SharedSlotsTest(WithScenarios, testtools.TestCase):
    """Daemons share the slots of a server without knowledge of each other's requests."""

    scenarios = [
        (f"{daemons}-{servers}", {"daemons": daemons, "servers": servers})
        for daemons, servers in ((1, 2), (4, 3), (30, 4), (170, 2))
    ]

    def test_slots_are_used_and_refusals_bounded(self) -> None:
        tables = [LoadTable() for _ in range(self.daemons)]
        simulation = SharedSlotSimulation(
            tables, ServerGroup(build_group(self.servers)), random.Random(5)
        )
        simulation.simulate()
        seconds = RUN_S - WARM_UP_S
        capacity = self.servers * SLOTS * seconds / WORK_S
        self.assertGreater(simulation.runs, 0.9 * capacity)
        mean_backoff_s = MAX_BACKOFF_S / 2
        backoffs = self.daemons * self.servers * seconds / mean_backoff_s
        self.assertLess(simulation.sheds, 2 * backoffs + simulation.runs)


class ChoiceTest(testtools.TestCase):
    """The balancer's choice by reported load, slow start and data centre."""

    def setUp(self) -> None:
        super().setUp()
        self.load = LoadTable()
        self.random = random.Random(3)
        self.group = ServerGroup(build_group(2), build_group(2, "b"))

    def entry(self, record: MemberRecord, now: float = 0.0) -> object:
        return find_upstream(self.load.upstreams, record, SLOTS, now)

    def share(self, now: float, cold_start_s: float = 0.0) -> Counter[str]:
        context = PlacementContext(now, SLOTS, cold_start_s)
        picks = [pick_server(self.group, self.load, context, self.random) for _ in range(400)]
        return Counter(pick.record.server_address for pick in picks)

    def test_reported_load_of_others_shifts_calls_until_it_is_old(self) -> None:
        apply_report(self.entry(self.group.local[0]), LoadReport(8, SLOTS), 100.0)
        self.assertEqual({"a:1"}, set(self.share(100.1)))
        aged = self.share(110.0)
        self.assertGreater(aged["a:0"], 100)

    def test_false_report_attracts_no_calls(self) -> None:
        busy, idle = (self.entry(record) for record in self.group.local)
        busy.in_flight, idle.in_flight = 4, 0
        apply_report(busy, LoadReport(0, SLOTS), 100.0)
        self.assertEqual({"a:1"}, set(self.share(100.0)))

    def test_slow_start_counts_from_first_heard(self) -> None:
        for record in self.group.local:
            self.entry(record, 0.0)
        restarted = attrs.evolve(self.group.local[0], started_at=-5_000.0)
        self.group.local[0] = restarted
        self.entry(restarted, 100.0)
        early, late = self.share(100.2, 2.0)["a:0"], self.share(101.8, 2.0)["a:0"]
        self.assertTrue(0 < early < 100, early)
        self.assertTrue(early < late, (early, late))
        self.assertGreater(self.share(102.0, 2.0)["a:0"], 150)

    def test_other_data_centres_get_at_most_half_of_the_limit(self) -> None:
        for record in self.group.local:
            self.entry(record).in_flight = SLOTS
        remote = [self.entry(record) for record in self.group.remote]
        self.assertEqual({"b:0", "b:1"}, set(self.share(0.0)))
        for entry in remote:
            entry.in_flight = int(entry.limit) // 2
        context = PlacementContext(0.0, SLOTS)
        self.assertIsNone(pick_server(self.group, self.load, context, self.random).record)

    def test_replaced_servers_are_forgotten(self) -> None:
        dispatcher = Dispatcher(load=self.load)
        self.entry(self.group.local[0])
        self.entry(self.group.local[1]).in_flight = 1
        node = Node(MemberRecord("own", "a", "10.9.0.1:1", 1), self.random)
        file = ServiceFile("s", "t", [Route("v", "GET", "/v")], [Release("r1")], "r1")
        request = DispatchRequest(file, "r1", 0.0, 0.0, lambda: 0.0, 0.0)
        find_servers(dispatcher, node, request, UPSTREAM_RETENTION_S - 1)
        self.assertEqual({"a:0", "a:1"}, set(self.load.upstreams.entries))
        find_servers(dispatcher, node, request, UPSTREAM_RETENTION_S + UPSTREAM_CLEANUP_INTERVAL_S)
        self.assertEqual({"a:1"}, set(self.load.upstreams.entries))

    def test_malformed_reports_count_as_none(self) -> None:
        for text in ("", "x/10", "-1/10", "3", "3/", "9" * 400 + "/x", "1/2/3"):
            self.assertIsNone(read_report([("X-Load", text)]).running, text)
        self.assertTrue(read_report([("x-draining", "1")]).draining)


class RetryAfterTest(testtools.TestCase):
    """The retry delays of refused callers."""

    def test_spread_grows_under_overload_and_shrinks_after(self) -> None:
        load, generator = ServiceLoad(), random.Random(1)
        spreads = []
        for second in range(8):
            for _ in range(50):
                delay = choose_retry_after(load, second + 0.5, generator)
                self.assertTrue(1 <= delay <= 1 + MAX_RETRY_AFTER_SPREAD_S)
            spreads.append(load.retry_after_spread_s)
        self.assertEqual(sorted(spreads), spreads)
        self.assertEqual(MAX_RETRY_AFTER_SPREAD_S, spreads[-1])
        drawn = Counter(choose_retry_after(load, 7.6, generator) for _ in range(1_700))
        self.assertEqual(1 + MAX_RETRY_AFTER_SPREAD_S, len(drawn))
        self.assertLess(max(drawn.values()), 200)
        for second in range(10, 20):
            for _ in range(50):
                count_admitted(load, float(second))
        self.assertEqual(1, load.retry_after_spread_s)
