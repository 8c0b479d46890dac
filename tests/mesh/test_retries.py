"""Tests of the retry budget and of the Retry-After delays of refused callers."""

from __future__ import annotations

import random

import testtools

from magnoliasill.mesh.placement import LimitWait
from magnoliasill.mesh.retries import RetryBudget, count_request, try_acquire_retry
from magnoliasill.mesh.retry_after import (
    INITIAL_SPREAD_S,
    INTERVAL_S,
    MAX_SPREAD_S,
    RetryAfterState,
    choose_retry_after,
    count_arrival,
)

RATIO, EXTRA, WINDOW_S = 0.2, 58.0, 10.0


class BudgetTest(testtools.TestCase):
    def test_any_window_over_all_sidecars_keeps_the_bound(self) -> None:
        generator = random.Random(3)
        budgets = [RetryBudget(RATIO, EXTRA, WINDOW_S) for _ in range(16)]
        request_times: list[float] = []
        retry_times: list[float] = []
        now = 0.0
        while now < 60.0:
            now += generator.expovariate(200.0)
            budget = generator.choice(budgets)
            count_request(budget, "shop", now)
            request_times.append(now)
            if 20.0 < now < 40.0 and try_acquire_retry(budget, "shop", 16, now):
                retry_times.append(now)
        for start in range(51):
            end = start + WINDOW_S
            requested = sum(start <= at < end for at in request_times)
            retried = sum(start <= at < end for at in retry_times)
            self.assertLessEqual(retried, RATIO * requested + EXTRA, start)
        self.assertGreater(len(retry_times), 100)

    def test_services_do_not_share(self) -> None:
        budget = RetryBudget(RATIO, EXTRA, WINDOW_S)
        while try_acquire_retry(budget, "shop", 16, 1.0):
            pass
        self.assertTrue(try_acquire_retry(budget, "stock", 16, 1.0))

    def test_the_window_slides(self) -> None:
        budget = RetryBudget(RATIO, EXTRA, WINDOW_S)
        while try_acquire_retry(budget, "shop", 16, 1.0):
            pass
        self.assertFalse(try_acquire_retry(budget, "shop", 16, 10.9))
        self.assertTrue(try_acquire_retry(budget, "shop", 16, 11.1))


class ReturnTest(testtools.TestCase):
    def refuse(self, state: RetryAfterState, seconds: float, left_s: float) -> list[float]:
        generator = random.Random(1)
        found = []
        for step in range(int(seconds * 100)):
            count_arrival(state, step / 100)
            found.append(choose_retry_after(state, left_s, generator))
        return found

    def test_wider_the_longer_it_lasts(self) -> None:
        state = RetryAfterState()
        found = self.refuse(state, 6.0, 99.0)
        self.assertLess(max(found[:20]), 2 * INITIAL_SPREAD_S)
        self.assertGreater(max(found[-50:]), MAX_SPREAD_S / 2)

    def test_within_what_callers_heed(self) -> None:
        self.assertLess(max(self.refuse(RetryAfterState(), 6.0, 1.2)), 1.2 / 3)

    def test_never_before_a_rate_limit_has_a_turn(self) -> None:
        generator, state = random.Random(1), RetryAfterState()
        for left_s in (0.1, 1.2, 9.0):
            for _ in range(100):
                delay_s = choose_retry_after(state, left_s, generator, LimitWait(1.5, 0.5))
                self.assert_between(delay_s, 1.5, max(2.0, left_s / 3))

    def assert_between(self, value: float, low: float, high: float) -> None:
        self.assertGreaterEqual(value, low)
        self.assertLessEqual(value, high)

    def test_narrow_again_once_it_is_over(self) -> None:
        state = RetryAfterState()
        self.refuse(state, 6.0, 99.0)
        for step in range(20):
            count_arrival(state, 6.0 + step * INTERVAL_S)
        self.assertEqual(INITIAL_SPREAD_S, state.spread_s)
