"""Tests of requests that end each backend server that runs them, and of those beside them.

Real sidecars on a virtual clock.
"""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from . import simulated_crashes as simulation

MAX_ENDED = 4
LATE_S = 1.0
LARGE_CASES = ("one_request", "data_centres_cut")


class ResentRequestTest(WithScenarios, testtools.TestCase):
    """Guards against a request that is sent on after servers ended under it (incident BUDGET)."""

    seed = 1
    scenarios = [
        *(
            (f"{case}-{vms}", {"case": case, "vms": vms})
            for vms, cases in ((16, simulation.CASES), (80, LARGE_CASES))
            for case in cases
        ),
        # the first run is on the VM where the request began, and which loses power
        *(
            (f"power_loss-16, seed {seed}", {"case": "power_loss", "vms": 16, "seed": seed})
            for seed in (4, 9)
        ),
        # with one of four gates left, suspects that wait to run alone are more than run in time
        ("gate_killed-16, seed 16", {"case": "gate_killed", "vms": 16, "seed": 16}),
    ]

    def test_few_servers_end_and_no_other_request_is_refused(self) -> None:
        play = simulation.play_case(self.case, self.vms, self.seed)
        self.assertEqual([], play.fleet.failures)
        self.assertLessEqual(simulation.count_ended(play), MAX_ENDED)
        self.assertEqual(0, simulation.count_late_runs(play, LATE_S))
        self.assertEqual([], play.refused)
        self.assertEqual([], simulation.find_untrue_refusals(play))


class ManyCallersTest(WithScenarios, testtools.TestCase):
    """Six callers send the same request that ends servers, to a service of four servers."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in (1, 2, 5)]

    # its copies ran at two servers at once when two had ended, and others found no server left
    def test_they_leave_the_service_a_server(self) -> None:
        play = simulation.play_case("many_callers", 16, self.seed)
        self.assertEqual([], play.fleet.failures)
        self.assertLessEqual(simulation.count_ended(play), 3)
        self.assertLessEqual(play.outcomes["refused"], 1)
