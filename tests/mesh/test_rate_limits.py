"""Tests of the rate limit that a backend server names, and of the turns of the sidecars."""

from __future__ import annotations

import random

import testtools

from magnoliasill.mesh.rate_limits import (
    MAX_TURN_S,
    MIN_RATE_PER_S,
    assign_turn,
    build_limiter,
    change_limit,
    estimate_token_wait,
    take_token,
)


class TokenTest(testtools.TestCase):
    def count_started(self, limit_per_s: float, seconds: float, per_s: float = 200.0) -> int:
        limiter = build_limiter(limit_per_s, 0.0)
        times = [number / per_s for number in range(int(seconds * per_s))]
        return sum(take_token(limiter, now) for now in times)

    def test_the_limit_is_used_up_and_not_exceeded(self) -> None:
        for limit_per_s in (0.5, 1.0, 10.3, 33.1):
            started = self.count_started(limit_per_s, 40.0)
            self.assertLessEqual(started, 40.0 * limit_per_s)
            self.assertGreaterEqual(started, 0.95 * 40.0 * limit_per_s - 1)

    def test_a_pause_allows_no_burst_beyond_the_bound(self) -> None:
        limiter = build_limiter(30.0, 0.0)
        self.assertEqual(3, sum(take_token(limiter, 100.0) for _ in range(50)))

    def test_a_limit_near_zero_still_lets_its_end_be_heard(self) -> None:
        self.assertEqual(8, self.count_started(1e-300, 8 / MIN_RATE_PER_S + 0.1))

    def test_a_fall_takes_effect_at_once(self) -> None:
        limiter = build_limiter(100.0, 0.0)
        change_limit(limiter, 1.0, 5.0)
        self.assertEqual(1, sum(take_token(limiter, 5.0) for _ in range(50)))
        self.assertFalse(take_token(limiter, 5.9))
        self.assertTrue(take_token(limiter, 6.0))

    def test_the_wait_is_when_the_token_comes(self) -> None:
        generator = random.Random(1)
        for _ in range(200):
            limiter = build_limiter(generator.uniform(0.3, 200.0), 0.0)
            now = generator.uniform(0.0, 3.0)
            while take_token(limiter, now):
                continue
            wait_s = estimate_token_wait(limiter, 0, now)
            self.assertFalse(take_token(limiter, now + 0.99 * wait_s - 1e-6))
            self.assertTrue(take_token(limiter, now + wait_s))

    def test_time_that_runs_backwards_gives_nothing(self) -> None:
        limiter = build_limiter(10.0, 5.0)
        self.assertFalse(take_token(limiter, 1.0))
        self.assertLess(estimate_token_wait(limiter, 0, 1.0), 0.11)


class TurnTest(testtools.TestCase):
    def test_turns_follow_one_another_at_the_rate_of_the_limit(self) -> None:
        limiter = build_limiter(10.0, 0.0)
        turns = [assign_turn(limiter, 0, 0.0) for _ in range(5)]
        for number, turn_s in enumerate(turns):
            self.assertAlmostEqual(0.1 * (number + 1), turn_s)

    def test_waiting_requests_come_first(self) -> None:
        self.assertAlmostEqual(0.4, assign_turn(build_limiter(10.0, 0.0), 3, 0.0))

    def test_a_turn_is_never_far_off(self) -> None:
        limiter = build_limiter(0.5, 0.0)
        self.assertEqual(MAX_TURN_S, max(assign_turn(limiter, 0, 0.0) for _ in range(100)))
        self.assertLessEqual(assign_turn(limiter, 0, 10.0), MAX_TURN_S)
