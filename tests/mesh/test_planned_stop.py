"""Tests of which requests are still taken in a planned stop."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.mesh.planned_stop import (
    ANSWER_MARGIN_S,
    EXIT_MARGIN_S,
    find_latest_start,
    observe_duration,
    plan_stop,
)


class ScheduleTest(WithScenarios, testtools.TestCase):
    scenarios = [(f"{grace_s} s", {"grace_s": grace_s}) for grace_s in (0.5, 1, 2, 4, 6, 10, 60)]

    def test_order(self) -> None:
        stop = plan_stop(100.0, self.grace_s)
        self.assertLess(100.0, stop.gate_closes_at)
        self.assertLessEqual(stop.gate_closes_at, stop.exits_at - ANSWER_MARGIN_S)
        self.assertLessEqual(stop.callers_close_at, stop.exits_at - ANSWER_MARGIN_S)
        self.assertLess(stop.exits_at, 100.0 + self.grace_s)

    def test_two_readiness_checks_fail_before_callers_are_cut_off(self) -> None:
        if self.grace_s >= 4:
            self.assertGreater(plan_stop(100.0, self.grace_s).callers_close_at, 102.0)


class LatestStartTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.stop = plan_stop(0.0, 6.0)

    def test_an_unknown_route_may_take_as_long_as_its_caller_waits(self) -> None:
        latest = find_latest_start(self.stop, {}, "view", 3.0)
        self.assertAlmostEqual(6.0 - EXIT_MARGIN_S - ANSWER_MARGIN_S - 3.0, latest)

    def test_the_slowest_recent_answer_counts_not_the_usual_one(self) -> None:
        slowest_s: dict[str, float] = {}
        for seconds in (0.1, 2.0, 0.1, 0.1):
            observe_duration(slowest_s, "view", seconds)
        latest = find_latest_start(self.stop, slowest_s, "view", 12.0)
        self.assertLess(latest, 6.0 - EXIT_MARGIN_S - ANSWER_MARGIN_S - 1.8)

    def test_an_old_slow_answer_is_forgotten(self) -> None:
        slowest_s = {"view": 2.0}
        for _ in range(200):
            observe_duration(slowest_s, "view", 0.1)
        self.assertLess(slowest_s["view"], 0.2)
