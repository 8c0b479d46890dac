"""Sequential tests of whether the new release fails, or is slow, more often than the old one.

`compute_log_e_values` computes e-values of two binomial samples from the same time window and data
centre (Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests", 2021).
`update_comparison` multiplies them, mixed over effect sizes and over the time of the change, so
that by Ville's inequality the chance of ever exceeding `1 / error_rate` is at most `error_rate`,
however often the test is evaluated. `update_cusum` is Page's cumulative sum (CUSUM) against the
old release's own past; it reacts faster but has no such bound.
"""

from __future__ import annotations

import math

import attrs

ODDS_RATIOS = (4.0, 10.0, 30.0, 150.0, 1_500.0)
CUSUM_ODDS_RATIOS = (8.0, 60.0)
RATE_CEILING = 0.9
CUSUM_FLOOR_FACTOR = 2.0
PRIOR_CALLS = 100.0
RECENT_DECAY = 0.15  # largest fraction of the recent counts that one window discards
RECENT_CALLS = 150.0  # minimum number of calls that the recent counts span
RECENT_PRIOR_CALLS = 4.0
RECENT_HITS = 3.0  # with fewer hits, no deviations are added to the recent rate
RECENT_DEVIATIONS = 2.0  # added to the recent rate, which is a rough estimate from few calls
EARLY_WEIGHT = 0.5  # prior weight of the release being bad from the first window on
MAX_SCORE = 1e100
MAX_EXPONENT = 200.0


@attrs.frozen
class Sample:
    """Calls to one release in one time window, and how many of them were hits.

    Attributes:
        calls: Calls that ended.
        hits: Calls that failed, or that were slow, depending on the measure.
    """

    calls: int
    hits: int


@attrs.define
class BaselineRate:
    """Hit rate of the old release in one data centre, in total and in recent windows.

    Attributes:
        calls: Calls since the start.
        hits: Hits among these calls.
        floor: Lower bound of the estimated rate.
        recent_calls: Calls with an exponential decay per window.
        recent_hits: Hits with the same decay.
    """

    calls: float = 0.0
    hits: float = 0.0
    floor: float = 0.002
    recent_calls: float = 0.0
    recent_hits: float = 0.0


@attrs.define
class ComparisonTest:
    """State of one test of the new release against the old one in the same windows.

    Attributes:
        window_weight: Prior weight of a change in each further window.
        scores: The e-value for each of `ODDS_RATIOS`.
        sums: Cumulative sum of the log e-values for each of `ODDS_RATIOS`, restarted whenever it
            falls below 0; unlike the scores, it discards the windows before a change.
    """

    window_weight: float
    scores: list[float] = attrs.field(factory=lambda: [EARLY_WEIGHT] * len(ODDS_RATIOS))
    sums: list[float] = attrs.field(factory=lambda: [0.0] * len(ODDS_RATIOS))


@attrs.define
class CusumTest:
    """Cumulative sums of the new release against the old release's past."""

    sums: list[float] = attrs.field(factory=lambda: [0.0] * len(CUSUM_ODDS_RATIOS))


def build_comparison(windows: int) -> ComparisonTest:
    """Build a test that detects a change within a number of windows."""
    return ComparisonTest((1.0 - EARLY_WEIGHT) / max(1, windows))


def compute_log_e_values(old_rate: float, old: Sample, new: Sample) -> list[float]:
    """Return the logarithm of the e-value of one window for each of `ODDS_RATIOS`.

    Args:
        old_rate: The old release's hit rate, estimated before this window.
        old: The old release's calls in the window.
        new: The new release's calls in the window.
    """
    calls = old.calls + new.calls
    if not old.calls or not new.calls:
        return [0.0] * len(ODDS_RATIOS)
    rate = min(old_rate, RATE_CEILING)
    logs = []
    for ratio in ODDS_RATIOS:
        bad_rate = _multiply_odds(rate, ratio)
        pooled_rate = (old.calls * rate + new.calls * bad_rate) / calls
        logs.append(
            _log_likelihood_ratio(old, rate, pooled_rate)
            + _log_likelihood_ratio(new, bad_rate, pooled_rate)
        )
    return logs


def update_comparison(test: ComparisonTest, logs: list[float]) -> float:
    """Add one window to a comparison test.

    Args:
        test: The test, changed in place.
        logs: The results of `compute_log_e_values`, summed over the data centres.

    Returns:
        The e-value against the new release; 1 or less is no evidence.
    """
    for index, log in enumerate(logs):
        score = (test.scores[index] + test.window_weight) * math.exp(min(log, MAX_EXPONENT))
        test.scores[index] = min(score, MAX_SCORE)
        test.sums[index] = max(0.0, test.sums[index]) + log
    return sum(test.scores) / len(test.scores)


def compute_log_likelihood_ratios(baseline_rate: float, new: Sample) -> list[float]:
    """Return the log likelihood ratio of one window for each of `CUSUM_ODDS_RATIOS`."""
    rate = min(baseline_rate, RATE_CEILING)
    return [
        _log_likelihood_ratio(new, _multiply_odds(rate, ratio), rate) if new.calls else 0.0
        for ratio in CUSUM_ODDS_RATIOS
    ]


def update_cusum(test: CusumTest, logs: list[float]) -> float:
    """Add one window to the cumulative sums and return the highest one."""
    for index, log in enumerate(logs):
        test.sums[index] = max(0.0, test.sums[index]) + log
    return max(test.sums)


def estimate_mean_rate(baseline: BaselineRate) -> float:
    """Return the old release's hit rate since the start."""
    prior_hits = baseline.floor * PRIOR_CALLS
    rate = (baseline.hits + prior_hits) / (baseline.calls + PRIOR_CALLS)
    return max(rate, baseline.floor)


def estimate_baseline_bound(baseline: BaselineRate, pooled: BaselineRate) -> float:
    """Return the higher of the old release's hit rates since the start and in recent windows.

    Where there were enough hits, the recent rate is an upper bound, so that chance in the few
    calls that the old release still gets does not raise an alarm against the new one.

    Args:
        baseline: The old release's rate on the route.
        pooled: The old release's rate on all routes of the data centre.
    """
    return max(
        estimate_mean_rate(baseline),
        _estimate_recent(baseline),
        _estimate_recent(pooled),
        CUSUM_FLOOR_FACTOR * baseline.floor,
    )


def update_baseline(baseline: BaselineRate, old: Sample) -> None:
    """Add one window of the old release to its rates."""
    baseline.calls += old.calls
    baseline.hits += old.hits
    retained = 1.0 - min(RECENT_DECAY, old.calls / RECENT_CALLS)
    baseline.recent_calls = baseline.recent_calls * retained + old.calls
    baseline.recent_hits = baseline.recent_hits * retained + old.hits


def _estimate_recent(baseline: BaselineRate) -> float:
    hits = baseline.recent_hits
    if hits >= RECENT_HITS:
        hits += RECENT_DEVIATIONS * math.sqrt(hits)
    return hits / (baseline.recent_calls + RECENT_PRIOR_CALLS)


def _multiply_odds(rate: float, ratio: float) -> float:
    odds = ratio * rate / (1.0 - rate)
    return odds / (1.0 + odds)


def _log_likelihood_ratio(sample: Sample, rate: float, base_rate: float) -> float:
    hits = sample.hits * math.log(rate / base_rate) if sample.hits else 0.0
    return hits + (sample.calls - sample.hits) * math.log((1.0 - rate) / (1.0 - base_rate))
