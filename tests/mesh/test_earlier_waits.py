"""Tests of the estimate of a caller's earlier wait, with callers that retry."""

from __future__ import annotations

import random

import testtools

from magnoliasill.mesh.earlier_waits import MIN_SAMPLES, TimeLeftSamples, estimate_earlier_wait


class WaitedTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.samples = TimeLeftSamples()
        self.random = random.Random(2)

    def estimate(self, waited_s: float) -> float:
        left_s = 1.2 * self.random.uniform(0.85, 1.0) - waited_s
        return estimate_earlier_wait(self.samples, left_s)

    def test_first_attempts_have_not_waited(self) -> None:
        self.assertLess(max(self.estimate(0.0) for _ in range(500)), 0.03)

    def test_callers_that_come_back(self) -> None:
        found = [self.estimate(0.4) for _ in range(400) if self.estimate(0.0) < 1.0]
        late = found[MIN_SAMPLES:]
        self.assertGreater(sum(late) / len(late), 0.25)
        self.assertLessEqual(max(late), 0.4 + 1e-9)

    def test_nothing_is_claimed_before_there_are_samples(self) -> None:
        self.assertEqual(
            [0.0] * (MIN_SAMPLES - 1), [self.estimate(0.5) for _ in range(MIN_SAMPLES - 1)]
        )

    def test_a_route_whose_callers_all_have_little_time(self) -> None:
        for _ in range(200):
            estimate_earlier_wait(self.samples, 1.2)
        found = [estimate_earlier_wait(self.samples, 0.5) for _ in range(200)]
        self.assertEqual(0.0, found[-1])
