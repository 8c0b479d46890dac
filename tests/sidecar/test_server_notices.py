"""Tests of what backend servers say of themselves in responses: a rate limit, and that they leave.

Real sidecars on a virtual clock; the rules that are checked hold over all sidecars together.
"""

from __future__ import annotations

import eventlet
import testtools
from testscenarios import WithScenarios

from magnoliasill.errors import CallError

from . import simulated_calls as simulation
from .simulated_calls import SimulatedServer, name_limit, run_until, start_callers

NAMED_AT_S = 3.0
END_S = 20.0
LIMITED = "vm-00"


class NoticeCase(testtools.TestCase):
    """Four servers of a service, the first of which says something, and four of another one."""

    services = ("shop", "stock") * 4
    seed = 1
    per_s = 150.0

    def setUp(self) -> None:
        super().setUp()
        self.fleet = simulation.open_call_fleet(self.seed, list(self.services))
        self.server = self.fleet.vms[LIMITED].server
        self.shops = [server for server in self.fleet.servers if server.service == "shop"]

    def start_callers(self, per_s: float = 0.0, **options: object) -> None:
        start_callers(self.fleet, "shop", per_s or self.per_s, END_S, **options)
        run_until(self.fleet, NAMED_AT_S)

    def count_arrivals(self, server: SimulatedServer, start: float, end: float) -> int:
        return sum(start <= arrival.at < end for arrival in server.arrivals)

    def assert_limits_kept(self) -> None:
        self.assertEqual([], self.fleet.failures)
        self.assertEqual([], simulation.find_limit_violations(self.fleet)[:3])

    def assert_drained(self) -> None:
        self.assertEqual([], self.fleet.failures)
        self.assertEqual([], simulation.find_drain_violations(self.fleet)[:3])


class LimitTest(WithScenarios, NoticeCase):
    """Guards against a server that gets more than the limit that it named (incident LIMIT)."""

    scenarios = [(f"{limit} a second", {"limit": limit}) for limit in ("0.25", "2", "10.3", "33.1")]

    def test_all_sidecars_together_keep_to_a_named_limit(self) -> None:
        self.start_callers()
        name_limit(self.fleet, self.server, self.limit)
        run_until(self.fleet, END_S)
        self.assert_limits_kept()
        self.assertGreater(self.count_arrivals(self.server, NAMED_AT_S + 3, END_S), 0)


class ChangingLimitTest(NoticeCase):
    def test_a_limit_that_appears_falls_rises_and_ends(self) -> None:
        self.start_callers()
        for limit in ("30", "5", "20", None):
            name_limit(self.fleet, self.server, limit)
            run_until(self.fleet, self.fleet.now + 4.0)
        run_until(self.fleet, END_S)
        self.assert_limits_kept()
        unlimited = self.count_arrivals(self.server, 0.5, NAMED_AT_S) / (NAMED_AT_S - 0.5)
        after = self.count_arrivals(self.server, END_S - 1, END_S)
        self.assertGreater(after, 0.6 * unlimited)

    def test_nested_requests_and_retries_count(self) -> None:
        stocks = [server for server in self.fleet.servers if server.service == "stock"]
        for stock in stocks:
            stock.calls = "shop"
        start_callers(self.fleet, "stock", 60.0, END_S)
        self.start_callers()
        for shop in self.shops:
            name_limit(self.fleet, shop, "8")
        run_until(self.fleet, END_S)
        self.assert_limits_kept()


class BadLimitTest(WithScenarios, NoticeCase):
    scenarios = [
        (repr(value), {"value": value})
        for value in ("0", "-3", "nan", "inf", "1e400", "", "4,5", "four", "0x8", "1_0")
    ]

    def test_a_bad_value_neither_sets_nor_ends_a_limit(self) -> None:
        self.start_callers()
        before = self.count_arrivals(self.server, 1.0, NAMED_AT_S) / 2
        name_limit(self.fleet, self.server, self.value)
        run_until(self.fleet, 8.0)
        self.assertGreater(self.count_arrivals(self.server, 4.0, 8.0) / 4, 0.6 * before)
        name_limit(self.fleet, self.server, "5")
        run_until(self.fleet, 12.0)
        self.server.limit = self.value
        run_until(self.fleet, END_S)
        self.assert_limits_kept()
        self.assertLess(self.count_arrivals(self.server, 12.0, END_S), 1.5 * 5 * 8)


class LimitedGateRestartTest(WithScenarios, NoticeCase):
    """Guards against a limit that a restarted gate has forgotten while others were told it."""

    scenarios = [(f"down for {down_s} s", {"down_s": down_s}) for down_s in (0.3, 2.0, 6.0)]
    per_s = 220.0

    def test_a_restarted_gate_keeps_to_the_limit(self) -> None:
        self.start_callers()
        name_limit(self.fleet, self.server, "3")
        run_until(self.fleet, 8.0)
        simulation.restart_vm(self.fleet, LIMITED, self.down_s)
        start = self.fleet.now
        run_until(self.fleet, END_S)
        self.assert_limits_kept()
        self.assertLessEqual(self.count_arrivals(self.server, start, start + 2.0), 3 * 2 + 5)


class LimitOfAnIncarnationTest(NoticeCase):
    def test_a_server_that_takes_over_the_address_is_not_limited(self) -> None:
        self.start_callers()
        before = self.count_arrivals(self.server, 1.0, NAMED_AT_S) / 2
        name_limit(self.fleet, self.server, "2")
        run_until(self.fleet, 8.0)
        after = simulation.replace_server(self.fleet, LIMITED, SimulatedServer("shop", "i-new"))
        run_until(self.fleet, 14.0)
        self.assertGreater(self.count_arrivals(after, 10.0, 14.0) / 4, 0.6 * before)

    def test_a_restart_under_the_same_identifier_is_not_limited(self) -> None:
        self.start_callers()
        before = self.count_arrivals(self.server, 1.0, NAMED_AT_S) / 2
        name_limit(self.fleet, self.server, "2")
        run_until(self.fleet, 8.0)
        again = SimulatedServer("shop", self.server.instance, born=2)
        simulation.replace_server(self.fleet, LIMITED, again)
        run_until(self.fleet, 14.0)
        self.assertGreater(self.count_arrivals(again, 10.0, 14.0) / 4, 0.6 * before)

    def test_a_server_that_moves_to_another_vm_keeps_its_limit(self) -> None:
        self.start_callers(220.0)
        name_limit(self.fleet, self.server, "3")
        run_until(self.fleet, 8.0)
        simulation.replace_server(self.fleet, LIMITED, SimulatedServer("shop", "i-new"))
        simulation.replace_server(self.fleet, "vm-02", self.server)
        run_until(self.fleet, END_S)
        self.assert_limits_kept()


class LargeFleetTest(NoticeCase):
    services = ("shop", "stock") * 20
    per_s = 500.0

    def setUp(self) -> None:
        super().setUp()
        self.other = self.fleet.vms["vm-02"].server

    def test_many_vms_in_several_data_centres(self) -> None:
        self.start_callers()
        name_limit(self.fleet, self.server, "6")
        name_limit(self.fleet, self.other, "17.5")
        run_until(self.fleet, 12.0)
        self.assert_limits_kept()


class LeavingTest(NoticeCase):
    """Guards against new work at a server whose responses say that it is leaving."""

    def test_a_server_that_says_so_only_in_its_responses_gets_no_new_work(self) -> None:
        self.start_callers()
        self.server.leaving = True
        run_until(self.fleet, 10.0)
        self.assert_drained()
        self.assertEqual(0, self.count_arrivals(self.server, NAMED_AT_S + 0.5, 10.0))

    def test_it_is_not_used_again_after_a_restart_of_its_gate(self) -> None:
        self.start_callers()
        self.server.leaving = True
        run_until(self.fleet, 6.0)
        simulation.restart_vm(self.fleet, LIMITED, 0.5)
        run_until(self.fleet, 14.0)
        self.assert_drained()
        self.assertEqual(0, self.count_arrivals(self.server, 6.5, 14.0))

    def test_it_is_not_used_again_when_its_record_had_lapsed(self) -> None:
        self.start_callers()
        self.server.leaving = True
        run_until(self.fleet, 6.0)
        del self.fleet.records[LIMITED]
        simulation.restart_vm(self.fleet, LIMITED, 0.5)
        run_until(self.fleet, 14.0)
        self.assert_drained()

    def test_heartbeats_that_say_ready_do_not_bring_it_back(self) -> None:
        self.start_callers()
        self.server.leaving = True
        run_until(self.fleet, 5.0)
        vm = self.fleet.vms[LIMITED]
        simulation.record_heartbeat(vm.sidecar, simulation.build_heartbeat(vm))
        run_until(self.fleet, 12.0)
        self.assert_drained()
        self.assertEqual(0, self.count_arrivals(self.server, NAMED_AT_S + 0.5, 12.0))

    def test_its_successor_under_the_same_identifier_is_used(self) -> None:
        self.start_callers()
        self.server.leaving = True
        run_until(self.fleet, 6.0)
        again = SimulatedServer("shop", self.server.instance, born=2)
        simulation.replace_server(self.fleet, LIMITED, again)
        run_until(self.fleet, 10.0)
        self.assert_drained()
        self.assertGreater(self.count_arrivals(again, 7.0, 10.0), 20)


class AllLimitedTest(NoticeCase):
    """Guards against callers who are held or called back in vain while no server has room."""

    def test_what_none_can_take_is_refused_at_once_and_may_return_when_there_is_room(self) -> None:
        self.start_callers()
        for shop in self.shops:
            name_limit(self.fleet, shop, "8")
        run_until(self.fleet, END_S)
        self.assert_limits_kept()
        self.assertGreater(len(self.fleet.refused_waits), 500)
        held = sorted(self.fleet.refused_waits)
        self.assertLess(held[int(0.99 * len(held))], 0.3 / 8)

    def test_what_the_limits_allow_is_served(self) -> None:
        self.start_callers()
        for shop in self.shops:
            name_limit(self.fleet, shop, "8")
        run_until(self.fleet, END_S)
        served = sum(self.count_arrivals(shop, 8.0, END_S) for shop in self.shops)
        self.assertGreater(served, 0.9 * 4 * 8 * (END_S - 8.0))

    def test_who_returns_as_told_is_served(self) -> None:
        returned: list[bool] = []

        def call_repeatedly(origin: str) -> None:

            told = False
            while self.fleet.now < END_S:
                try:
                    simulation.send_request(self.fleet, origin, "shop")
                except CallError as error:
                    returned.extend([False] * told)
                    told = True
                    eventlet.sleep(error.retry_after_s)
                    continue
                returned.extend([True] * told)
                told = False

        for shop in self.shops:
            name_limit(self.fleet, shop, "5")
        for origin in self.fleet.vms:
            eventlet.spawn(call_repeatedly, origin)
        run_until(self.fleet, END_S)
        self.assert_limits_kept()
        self.assertGreater(len(returned), 50)
        self.assertGreater(sum(returned), 0.9 * len(returned))


class WastedHopTest(NoticeCase):
    def test_work_goes_elsewhere_without_asking_a_limited_server_first(self) -> None:
        self.start_callers()
        name_limit(self.fleet, self.server, "5")
        run_until(self.fleet, 6.0)
        before = self.fleet.hops.copy()
        run_until(self.fleet, END_S)
        hops = self.fleet.hops - before
        self.assertLess(hops.total() - hops["answered"], 0.02 * hops.total())


class RandomNoticesTest(WithScenarios, NoticeCase):
    """Limits, leaving servers and restarts that overlap, in any order."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in (1, 2, 3, 4)]

    def test_both_rules_hold(self) -> None:
        start_callers(self.fleet, "shop", 120.0, END_S)
        start_callers(self.fleet, "stock", 60.0, END_S, idempotent=False)
        simulation.play_random_notices(self.fleet, END_S)
        self.assert_limits_kept()
        self.assert_drained()

    def test_lost_answers_are_neither_repeated_nor_reported_as_not_run(self) -> None:
        for server in self.fleet.servers:
            server.work_s = 0.3
        for service in ("shop", "stock"):
            start_callers(self.fleet, service, 160.0, END_S, idempotent=False, target_s=0.8)
        for number in range(12):
            run_until(self.fleet, NAMED_AT_S + number)
            simulation.restart_vm(self.fleet, f"vm-{number % 8:02}", 0.2)
        run_until(self.fleet, END_S)
        self.assertEqual([], self.fleet.failures)
        self.assertGreater(self.fleet.outcomes["failed"], 5)
        self.assertGreater(len(self.fleet.refused), 0)
        self.assertEqual([], simulation.find_untrue_reports(self.fleet)[:3])
