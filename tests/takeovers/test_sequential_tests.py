"""Tests of the sequential tests: their error rate, and detection of bad releases."""

from __future__ import annotations

import math
from random import Random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliasill.takeovers.sequential_tests import (
    BaselineRate,
    Sample,
    build_comparison,
    compute_log_e_values,
    estimate_mean_rate,
    update_baseline,
    update_comparison,
)

WINDOWS = 120
RUNS = 200


def draw_sample(random: Random, calls: int, rate: float) -> Sample:
    return Sample(calls, sum(random.random() < rate for _ in range(calls)))


def find_peak(random: Random, old_rate: float, new_rate: float, calls: tuple[int, int]) -> float:
    test, baseline, peak = build_comparison(WINDOWS), BaselineRate(), 0.0
    for _ in range(WINDOWS):
        old, new = draw_sample(random, calls[0], old_rate), draw_sample(random, calls[1], new_rate)
        peak = max(
            peak,
            update_comparison(test, compute_log_e_values(estimate_mean_rate(baseline), old, new)),
        )
        update_baseline(baseline, old)
    return peak


class ComparisonTest(testtools.TestCase):
    """The comparison of both releases in the same time windows."""

    def test_error_rate_holds_at_any_time(self) -> None:
        limit = 20.0
        for old_rate in (0.001, 0.05, 0.4):
            random = Random(f"null/{old_rate}")
            alarms = sum(
                find_peak(random, old_rate, old_rate, (20, 5)) >= limit for _ in range(RUNS)
            )
            self.assertLessEqual(alarms, RUNS / limit + 3 * (RUNS / limit) ** 0.5)

    def test_finds_a_bad_release_in_any_split(self) -> None:
        for calls in ((95, 5), (50, 50), (5, 95)):
            random = Random(f"bad/{calls}")
            found = sum(find_peak(random, 0.001, 0.2, calls) >= 1e5 for _ in range(20))
            self.assertEqual(20, found, calls)

    @settings(derandomize=True, deadline=None)
    @given(
        st.floats(0.0005, 0.9),
        st.floats(0.001, 0.95),
        st.integers(1, 6),
        st.integers(1, 6),
    )
    def test_is_an_e_value(self, guess: float, rate: float, old: int, new: int) -> None:
        totals = [0.0] * len(compute_log_e_values(guess, Sample(1, 0), Sample(1, 0)))
        for old_hits in range(old + 1):
            for new_hits in range(new + 1):
                chance = _binomial(old, old_hits, rate) * _binomial(new, new_hits, rate)
                logs = compute_log_e_values(guess, Sample(old, old_hits), Sample(new, new_hits))
                totals = [t + chance * math.exp(log) for t, log in zip(totals, logs, strict=True)]
        for total in totals:
            self.assertLessEqual(total, 1.0 + 1e-9)


def _binomial(calls: int, hits: int, rate: float) -> float:
    return math.comb(calls, hits) * rate**hits * (1 - rate) ** (calls - hits)
