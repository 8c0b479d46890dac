"""Tests of how the lag of the event loop is measured, and what is refused because of it."""

from __future__ import annotations

import testtools

from magnoliasill.mesh.loop_lag import (
    HIGH_LAG_S,
    LOW_LAG_S,
    STEPS,
    LoopLag,
    find_lag,
    find_refusal_share,
    is_hopeless,
    record_lag,
    schedule_measurement,
)

INTERVAL_S = 0.02


class LagTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lag = LoopLag()
        self.now = 100.0

    def measure(self, late_s: float, times: int = 1) -> None:
        for _ in range(times):
            schedule_measurement(self.lag, self.now + INTERVAL_S)
            self.now += INTERVAL_S + late_s
            record_lag(self.lag, self.now)

    def test_a_loop_in_time_has_none(self) -> None:
        self.measure(0.0, 20)
        self.assertEqual(0.0, find_lag(self.lag, self.now))

    def test_a_single_long_step_counts_little(self) -> None:
        self.measure(0.0, 20)
        self.measure(0.08)
        self.assertLess(find_lag(self.lag, self.now), LOW_LAG_S)

    def test_turns_that_stay_long_count_in_full(self) -> None:
        self.measure(0.0, 20)
        self.measure(0.4, 5)
        self.assertAlmostEqual(0.4, find_lag(self.lag, self.now), places=2)

    # while one turn lasted for seconds, the process seemed to be in time until its end
    def test_a_turn_that_lasts_counts_before_its_end(self) -> None:
        self.measure(0.0, 20)
        schedule_measurement(self.lag, self.now + INTERVAL_S)
        self.assertGreater(find_lag(self.lag, self.now + 1.0), 0.9)

    def test_it_is_forgotten_once_turns_are_short_again(self) -> None:
        self.measure(0.5, 3)
        self.measure(0.0, 60)
        self.assertLess(find_lag(self.lag, self.now), LOW_LAG_S)


class RefusalTest(testtools.TestCase):
    def test_the_share_grows_with_the_lag(self) -> None:
        shares = [find_refusal_share(lag) for lag in (0.0, LOW_LAG_S, 0.1, 0.2, HIGH_LAG_S, 9.0)]
        self.assertEqual(sorted(shares), shares)
        self.assertEqual([0.0, 0.0, 1.0, 1.0], [*shares[:2], *shares[-2:]])

    def test_what_the_own_steps_outlast_is_hopeless(self) -> None:
        self.assertTrue(is_hopeless(0.3, STEPS * 0.3))
        self.assertFalse(is_hopeless(0.3, STEPS * 0.3 + 0.1))
        self.assertFalse(is_hopeless(0.0, 0.1))
