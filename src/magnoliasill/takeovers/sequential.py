"""Sequential tests of one ratio: how often the new release fails against the old one.

`compare` is an e-value of two binomial samples that were taken over the same time in the same data
centre (Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests", 2021).
`update_comparison` multiplies them, mixed over effect sizes and over the time of the change, so
that by Ville's inequality the chance of ever passing `1 / error_rate` is at most `error_rate`,
whenever and however often it is looked at. `update_level` is Page's cumulative sum against the
old release's own past, which reacts faster and proves less.
"""

from __future__ import annotations

import math

import attrs

ODDS_RATIOS = (4.0, 10.0, 30.0, 150.0, 1_500.0)
LEVEL_ODDS_RATIOS = (8.0, 60.0)
RATE_CEILING = 0.9
LEVEL_FLOOR_FACTOR = 2.0
PRIOR_CALLS = 100.0
RECENT_DECAY = 0.15  # of the memory, at most, in each window
RECENT_CALLS = 150.0  # that the memory holds at least
RECENT_PRIOR_CALLS = 4.0
RECENT_HITS = 3.0  # below it, the present rate is no more than its mean
RECENT_DEVIATIONS = 2.0  # added to the present rate, which few calls tell only roughly
EARLY_WEIGHT = 0.5  # of the hypotheses in which the release is bad from the first window
MAX_SCORE = 1e100
MAX_EXPONENT = 200.0


@attrs.frozen
class Sample:
    """Calls of one release over one window, and how many of them were hits.

    Attributes:
        calls: Calls that ended.
        hits: Those that failed, or that were slow.
    """

    calls: int
    hits: int


@attrs.define
class Reference:
    """How often calls to the old release are hits in one data centre.

    Attributes:
        calls: Calls since the start.
        hits: Hits among them.
        floor: The least rate that is assumed.
        recent_calls: Calls of the last windows, the older the less.
        recent_hits: Hits among them.
    """

    calls: float = 0.0
    hits: float = 0.0
    floor: float = 0.002
    recent_calls: float = 0.0
    recent_hits: float = 0.0


@attrs.define
class ComparisonTest:
    """The state of one test of the new release against the old one.

    Attributes:
        window_weight: The weight of a change in each further window.
        scores: The evidence for each of `ODDS_RATIOS`.
        sums: Cumulative sums of the same windows, which forget what came before a change.
    """

    window_weight: float
    scores: list[float] = attrs.field(factory=lambda: [EARLY_WEIGHT] * len(ODDS_RATIOS))
    sums: list[float] = attrs.field(factory=lambda: [0.0] * len(ODDS_RATIOS))


@attrs.define
class LevelTest:
    """The cumulative sums of the new release against the old release's past."""

    sums: list[float] = attrs.field(factory=lambda: [0.0] * len(LEVEL_ODDS_RATIOS))


def build_comparison(windows: int) -> ComparisonTest:
    """Return a test that looks for a change within a number of windows."""
    return ComparisonTest((1.0 - EARLY_WEIGHT) / max(1, windows))


def compare(old_rate: float, old: Sample, new: Sample) -> list[float]:
    """Return the logarithm of the e-value of one window for each of `ODDS_RATIOS`.

    Args:
        old_rate: The old release's rate as known before this window.
        old: What the old release did in the window.
        new: What the new release did in the window.
    """
    calls = old.calls + new.calls
    if not old.calls or not new.calls:
        return [0.0] * len(ODDS_RATIOS)
    rate = min(old_rate, RATE_CEILING)
    logs = []
    for ratio in ODDS_RATIOS:
        bad = _raise_odds(rate, ratio)
        same = (old.calls * rate + new.calls * bad) / calls
        logs.append(_log_likelihood(old, rate, same) + _log_likelihood(new, bad, same))
    return logs


def update_comparison(test: ComparisonTest, logs: list[float]) -> float:
    """Add one window to a test.

    Args:
        test: The test, changed in place.
        logs: Sums of what `compare` returned over the data centres.

    Returns:
        The evidence against the new release; 1 or less says nothing.
    """
    for index, log in enumerate(logs):
        grown = (test.scores[index] + test.window_weight) * math.exp(min(log, MAX_EXPONENT))
        test.scores[index] = min(grown, MAX_SCORE)
        test.sums[index] = max(0.0, test.sums[index]) + log
    return sum(test.scores) / len(test.scores)


def compare_level(reference_rate: float, new: Sample) -> list[float]:
    """Return the log likelihood ratio of one window for each of `LEVEL_ODDS_RATIOS`."""
    rate = min(reference_rate, RATE_CEILING)
    return [
        _log_likelihood(new, _raise_odds(rate, ratio), rate) if new.calls else 0.0
        for ratio in LEVEL_ODDS_RATIOS
    ]


def update_level(test: LevelTest, logs: list[float]) -> float:
    """Add one window to the cumulative sums and return the greater one."""
    for index, log in enumerate(logs):
        test.sums[index] = max(0.0, test.sums[index]) + log
    return max(test.sums)


def estimate_rate(reference: Reference) -> float:
    """Return the old release's rate since the start."""
    prior_hits = reference.floor * PRIOR_CALLS
    rate = (reference.hits + prior_hits) / (reference.calls + PRIOR_CALLS)
    return max(rate, reference.floor)


def estimate_reference(reference: Reference, pooled: Reference) -> float:
    """Return the greater of the old release's rate since the start and its present rate.

    The present rate is an upper bound where there have been hits, so that chance in the few calls
    which the old release still gets does not blame the new one.

    Args:
        reference: The old release on the route.
        pooled: The old release on all routes of the data centre.
    """
    return max(
        estimate_rate(reference),
        _estimate_recent(reference),
        _estimate_recent(pooled),
        LEVEL_FLOOR_FACTOR * reference.floor,
    )


def update_reference(reference: Reference, old: Sample) -> None:
    """Add one window of the old release."""
    reference.calls += old.calls
    reference.hits += old.hits
    kept = 1.0 - min(RECENT_DECAY, old.calls / RECENT_CALLS)
    reference.recent_calls = reference.recent_calls * kept + old.calls
    reference.recent_hits = reference.recent_hits * kept + old.hits


def _estimate_recent(reference: Reference) -> float:
    hits = reference.recent_hits
    if hits >= RECENT_HITS:
        hits += RECENT_DEVIATIONS * math.sqrt(hits)
    return hits / (reference.recent_calls + RECENT_PRIOR_CALLS)


def _raise_odds(rate: float, ratio: float) -> float:
    odds = ratio * rate / (1.0 - rate)
    return odds / (1.0 + odds)


def _log_likelihood(sample: Sample, rate: float, against: float) -> float:
    hits = sample.hits * math.log(rate / against) if sample.hits else 0.0
    return hits + (sample.calls - sample.hits) * math.log((1.0 - rate) / (1.0 - against))
