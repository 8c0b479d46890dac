"""Tests of large answers on thin links: a service whose answers fill the links of its VMs."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import testtools

from magnoliasill.mesh.egress import (
    SMALL_ANSWER_BYTES,
    Egress,
    estimate_delivery,
    find_backlog,
    find_transfer_seconds,
    observe_size,
    reserve_link,
)
from magnoliasill.mesh.gate import Gate, QueuedRequest, request_admission
from magnoliasill.mesh.members import LoadReport, Member, MemberTable, put_member, record_load
from magnoliasill.mesh.placement import PlacementContext, choose_member

if TYPE_CHECKING:
    from collections.abc import Callable

LINK_MBPS = 7.5
LARGE_BYTES = 90_000


class BacklogTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.egress = Egress()

    def test_answers_are_sent_one_after_another(self) -> None:
        transfer_s = find_transfer_seconds(LARGE_BYTES, LINK_MBPS)
        waits_s = [reserve_link(self.egress, LARGE_BYTES, LINK_MBPS, 10.0) for _ in range(3)]
        for number, wait_s in enumerate(waits_s):
            self.assertAlmostEqual(number * transfer_s, wait_s)
        self.assertAlmostEqual(3 * transfer_s - 0.05, find_backlog(self.egress, 10.05))

    def test_an_idle_link_saves_nothing_up(self) -> None:
        reserve_link(self.egress, LARGE_BYTES, LINK_MBPS, 10.0)
        self.assertEqual(0.0, reserve_link(self.egress, LARGE_BYTES, LINK_MBPS, 60.0))
        backlog_s = find_backlog(self.egress, 60.0)
        self.assertAlmostEqual(find_transfer_seconds(LARGE_BYTES, LINK_MBPS), backlog_s)

    def test_delivery_counts_the_answers_that_wait(self) -> None:
        observe_size(self.egress, "bundle", LARGE_BYTES)
        for _ in range(3):
            reserve_link(self.egress, LARGE_BYTES, LINK_MBPS, 10.0)
        delivery_s = estimate_delivery(self.egress, "bundle", LINK_MBPS, 10.0)
        self.assertAlmostEqual(4 * find_transfer_seconds(LARGE_BYTES, LINK_MBPS), delivery_s)

    def test_small_answers_do_not_wait(self) -> None:
        observe_size(self.egress, "index", SMALL_ANSWER_BYTES)
        reserve_link(self.egress, LARGE_BYTES, LINK_MBPS, 10.0)
        self.assertEqual(0.0, estimate_delivery(self.egress, "index", LINK_MBPS, 10.0))

    def test_a_link_of_unknown_rate(self) -> None:
        reserve_link(self.egress, LARGE_BYTES, 0.0, 10.0)
        self.assertEqual(0.0, find_backlog(self.egress, 10.0))


class AdmissionTest(testtools.TestCase):
    """Guards against running requests whose answers can't be delivered in time."""

    def admit(self, delivery_s: float, late: bool) -> str:
        request = QueuedRequest(
            route="bundle",
            nested=False,
            priority=2,
            target_at=0.75 - delivery_s,
            deadline_at=4.0 - delivery_s,
            arrived_at=0.0,
            start_by=2.5,
            resume=lambda admitted: None,
            delivery_s=delivery_s,
        )
        return request_admission(Gate(slots=5), request, 0.0, late).reason

    def test_another_server_is_tried_first_then_it_runs_late(self) -> None:
        self.assertEqual("", self.admit(0.5, late=False))
        self.assertEqual("target", self.admit(0.7, late=False))
        self.assertEqual("", self.admit(0.7, late=True))

    def test_refused_at_once_if_its_deadline_would_pass(self) -> None:
        self.assertEqual("deadline", self.admit(4.0, late=True))


class ThinLinksTest(testtools.TestCase):
    """Many senders place requests with large answers on few servers with thin links.

    The links are used to 85% on average, and a sender hears of a server every few seconds, when its
    report says little. So a gate refuses what its link can't deliver in time while another may.
    """

    PACES = (0.7, 1.0, 1.0, 1.4, 1.4)
    SENDERS = 65
    ARRIVALS = 3_000
    WORK_S = 0.1
    TARGET_S = 0.75
    UTILISATION = 0.85

    def setUp(self) -> None:
        super().setUp()
        self.names = [f"m-{number}" for number in range(len(self.PACES))]
        self.paces = dict(zip(self.names, self.PACES, strict=True))

    def build_table(self) -> MemberTable:
        table = MemberTable()
        for name in self.names:
            put_member(table, Member(name, "a", name, "s", "r", name, 5, link_mbps=LINK_MBPS))
        return table

    def play(self, seed: int, place: Callable[[MemberTable, float, Random], str]) -> float:
        """Return the share of answers that are delivered within the target."""
        random = Random(seed)
        self.links = {name: Egress() for name in self.names}
        tables = [self.build_table() for _ in range(self.SENDERS)]
        transfer_s = find_transfer_seconds(LARGE_BYTES, LINK_MBPS)
        now, in_time = 0.0, 0
        for _ in range(self.ARRIVALS):
            now += random.expovariate(self.UTILISATION * len(self.names) / transfer_s)
            name = place(random.choice(tables), now, random)
            ended_at = now + self.WORK_S * self.paces[name]
            wait_s = reserve_link(self.links[name], LARGE_BYTES, LINK_MBPS, ended_at)
            in_time += ended_at - now + wait_s + transfer_s <= self.TARGET_S
        return in_time / self.ARRIVALS

    def place_by_gates(self, table: MemberTable, now: float, random: Random) -> str:
        """Ask one gate after another, as the sidecars do."""
        tried: set[str] = set()
        while True:
            context = PlacementContext(
                "s", "a", now, tried=tried, answer_bytes=LARGE_BYTES, typical_s=self.WORK_S
            )
            member = choose_member(table, list(table.records.values()), context, random)
            if member is None:
                return random.choice(self.names)  # late, wherever it is
            egress, pace = self.links[member.name], self.paces[member.name]
            observe_size(egress, "bundle", LARGE_BYTES)
            delivery_s = estimate_delivery(egress, "bundle", LINK_MBPS, now)
            request = QueuedRequest(
                "bundle", False, 2, now + self.TARGET_S - delivery_s, now + 4.0 - delivery_s, now,
                now + 2.5, lambda admitted: None, delivery_s,
            )  # fmt: skip
            gate = Gate(slots=5, mean_s=self.WORK_S * pace)
            decision = request_admission(gate, request, now, late=False)
            backlog_s = find_backlog(egress, now)
            report = LoadReport(busy=1, mean_s=self.WORK_S * pace, pace=pace, link_s=backlog_s)
            record_load(table, member, report, now)
            if decision.admitted:
                return member.name
            tried.add(member.name)

    def place_by_server_load(self, table: MemberTable, now: float, random: Random) -> str:
        """Choose the fastest server, without regard to the links."""
        context = PlacementContext("s", "a", now, typical_s=self.WORK_S)
        member = choose_member(table, list(table.records.values()), context, random)
        report = LoadReport(busy=1, mean_s=self.WORK_S, pace=self.paces[member.name])
        record_load(table, member, report, now)
        return member.name

    def place_by_truth(self, table: MemberTable, now: float, random: Random) -> str:
        """Choose the server whose link is free first, as if a sender knew it."""
        return min(self.names, key=lambda name: find_backlog(self.links[name], now))

    def test_nine_of_ten_of_what_an_ideal_placement_delivers_in_time(self) -> None:
        for seed in (1, 2, 3):
            ideal = self.play(seed, self.place_by_truth)
            self.assertGreater(self.play(seed, self.place_by_gates), 0.9 * ideal, seed)

    def test_far_more_than_by_the_load_of_the_servers(self) -> None:
        for seed in (1, 2, 3):
            by_load = self.play(seed, self.place_by_server_load)
            self.assertGreater(self.play(seed, self.place_by_gates), 2 * by_load, seed)
