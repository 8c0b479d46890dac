"""Statistical evidence on a takeover: failures and slow calls of the new and the old release."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from .sequential_tests import (
    BaselineRate,
    ComparisonTest,
    CusumTest,
    Sample,
    build_comparison,
    compute_log_e_values,
    compute_log_likelihood_ratios,
    estimate_baseline_bound,
    estimate_mean_rate,
    update_baseline,
    update_comparison,
    update_cusum,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURES = "failures"
SLOWNESS = "slowness"
MEASURES = (FAILURES, SLOWNESS)
ERROR_RATE = 0.001  # upper bound of the chance that a comparison ever rolls back a good release
TESTERS = 8  # parallel testers: one for each data centre and one for all of them together
ALL_ROUTES = ""  # route of the baseline rates of a whole data centre
CUSUM_ALARM = math.log(10_000)  # cumulative log likelihood ratio that raises an alarm
# Lower bounds of the old release's estimated rates.
RATE_FLOORS = {FAILURES: 0.002, SLOWNESS: 0.02}


@attrs.frozen
class Counts:
    """Attempts to call one release in one time window.

    Attributes:
        calls: Attempts that ended.
        failures: Attempts that failed.
        slow: Attempts that took longer than the route's limit for slow calls.
    """

    calls: int = 0
    failures: int = 0
    slow: int = 0


@attrs.frozen
class Cell:
    """Counts of both releases on one route in one data centre in one time window."""

    data_centre: str
    route: str
    old: Counts
    new: Counts


@attrs.frozen
class Finding:
    """Current result of the statistical tests.

    Attributes:
        score: The highest e-value of the tests that compare both releases in the same windows.
        level: The highest cumulative sum of the CUSUM tests against the old release's past.
        agreement: The cumulative sum of the comparison test on the route and measure that `level`
            comes from.
        route: The route with the strongest evidence.
        measure: The measure with the strongest evidence: failures or slow calls.
    """

    score: float = 1.0
    level: float = 0.0
    agreement: float = 0.0
    route: str = ""
    measure: str = ""


@attrs.define
class RouteEvidence:
    """Total counts and test results of one route.

    Attributes:
        calls: Calls to either release.
        new_calls: Calls to the new release.
        new_failures: Failed calls to the new release.
        old_failures: Failed calls to the old release.
        new_slow: Slow calls to the new release.
        old_slow: Slow calls to the old release.
        finding: The test result of the measure with stronger evidence.
    """

    calls: int = 0
    new_calls: int = 0
    new_failures: int = 0
    old_failures: int = 0
    new_slow: int = 0
    old_slow: int = 0
    finding: Finding = attrs.field(factory=lambda: Finding())


@attrs.define
class Tester:
    """State of the tests of one takeover, for one data centre or for all of them.

    Attributes:
        windows: Number of time windows that the takeover may last.
        routes: Total counts and test results by route.
        baselines: Rates of the old release by data centre, route and measure.
        comparisons: Tests against the old release in the same windows, by route and measure.
        cusum_tests: Tests against the old release's past, by route and measure.
    """

    windows: int
    routes: dict[str, RouteEvidence] = attrs.field(factory=dict)
    baselines: dict[tuple[str, str, str], BaselineRate] = attrs.field(factory=dict)
    comparisons: dict[tuple[str, str], ComparisonTest] = attrs.field(factory=dict)
    cusum_tests: dict[tuple[str, str], CusumTest] = attrs.field(factory=dict)


def compute_score_limit(routes: int) -> float:
    """Return the e-value that rolls a release back, corrected for the number of parallel tests."""
    return routes * len(MEASURES) * TESTERS / ERROR_RATE


def update_tester(tester: Tester, cells: Iterable[Cell]) -> Finding:
    """Add the counts of one time window to the tests.

    Args:
        tester: The tests, changed in place.
        cells: The window's counts by route and data centre.

    Returns:
        The strongest finding.
    """
    grouped: dict[str, list[Cell]] = {}
    for cell in cells:
        grouped.setdefault(cell.route, []).append(cell)
        for measure in MEASURES:
            pooled = _get_baseline(tester, cell.data_centre, ALL_ROUTES, measure)
            update_baseline(pooled, _build_sample(cell.old, measure))
    for route, group in grouped.items():
        _update_route(tester, route, group)
    return find_strongest(tester)


def seed_tester(tester: Tester, cells: Iterable[Cell]) -> None:
    """Add earlier counts that cannot be split into time windows, without testing them.

    The old release's counts go into its baseline rates.

    Args:
        tester: The tests, changed in place.
        cells: Counts of an unknown number of windows.
    """
    for cell in cells:
        _add_counts(tester.routes.setdefault(cell.route, RouteEvidence()), cell)
        for measure in MEASURES:
            baseline = _get_baseline(tester, cell.data_centre, cell.route, measure)
            old = _build_sample(cell.old, measure)
            baseline.calls += old.calls
            baseline.hits += old.hits


def find_strongest(tester: Tester) -> Finding:
    """Return the strongest finding of all routes."""
    return _combine_findings([evidence.finding for evidence in tester.routes.values()])


def reset_cusum_tests(tester: Tester) -> None:
    """Restart the tests against the old release's past after the share was lowered."""
    tester.cusum_tests.clear()
    for evidence in tester.routes.values():
        evidence.finding = attrs.evolve(evidence.finding, level=0.0, agreement=0.0)


def _update_route(tester: Tester, route: str, group: list[Cell]) -> None:
    evidence = tester.routes.setdefault(route, RouteEvidence())
    for cell in group:
        _add_counts(evidence, cell)
    evidence.finding = _combine_findings(
        [_update_measure(tester, route, measure, group) for measure in MEASURES]
    )


def _add_counts(evidence: RouteEvidence, cell: Cell) -> None:
    evidence.calls += cell.old.calls + cell.new.calls
    evidence.new_calls += cell.new.calls
    evidence.new_failures += cell.new.failures
    evidence.old_failures += cell.old.failures
    evidence.new_slow += cell.new.slow
    evidence.old_slow += cell.old.slow


def _combine_findings(findings: list[Finding]) -> Finding:
    if not findings:
        return Finding()
    by_score = max(findings, key=lambda finding: finding.score)
    by_level = max(findings, key=lambda finding: finding.level)
    worst = by_level if by_level.level >= CUSUM_ALARM else by_score
    return attrs.evolve(
        worst, score=by_score.score, level=by_level.level, agreement=by_level.agreement
    )


def _update_measure(tester: Tester, route: str, measure: str, group: list[Cell]) -> Finding:
    comparison = tester.comparisons.get((route, measure))
    if comparison is None:
        comparison = tester.comparisons[(route, measure)] = build_comparison(tester.windows)
    cusum_test = tester.cusum_tests.setdefault((route, measure), CusumTest())
    comparison_logs: list[list[float]] = []
    cusum_logs: list[list[float]] = []
    for cell in group:
        old, new = _build_sample(cell.old, measure), _build_sample(cell.new, measure)
        baseline = _get_baseline(tester, cell.data_centre, route, measure)
        pooled = _get_baseline(tester, cell.data_centre, ALL_ROUTES, measure)
        comparison_logs.append(compute_log_e_values(estimate_mean_rate(baseline), old, new))
        update_baseline(baseline, old)
        cusum_logs.append(
            compute_log_likelihood_ratios(estimate_baseline_bound(baseline, pooled), new)
        )
    score = update_comparison(
        comparison, [sum(logs) for logs in zip(*comparison_logs, strict=True)]
    )
    cusum = update_cusum(cusum_test, [sum(logs) for logs in zip(*cusum_logs, strict=True)])
    return Finding(score, cusum, max(comparison.sums), route, measure)


def _get_baseline(tester: Tester, data_centre: str, route: str, measure: str) -> BaselineRate:
    key = (data_centre, route, measure)
    baseline = tester.baselines.get(key)
    if baseline is None:
        baseline = tester.baselines[key] = BaselineRate(floor=RATE_FLOORS[measure])
    return baseline


def _build_sample(counts: Counts, measure: str) -> Sample:
    hits = counts.failures if measure == FAILURES else counts.slow
    return Sample(counts.calls, hits)
