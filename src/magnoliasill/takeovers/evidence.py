"""The evidence on a takeover: what real calls say of the new release against the old one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from .sequential import (
    ComparisonTest,
    LevelTest,
    Reference,
    Sample,
    build_comparison,
    compare,
    compare_level,
    estimate_rate,
    estimate_reference,
    update_comparison,
    update_level,
    update_reference,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURES = "failures"
SLOWNESS = "slowness"
MEASURES = (FAILURES, SLOWNESS)
ERROR_RATE = 0.001  # chance that a good release is ever taken back by a comparison
TESTERS = 8  # one for each data centre and one for all of them
ALL_ROUTES = ""
LEVEL_ALARM = math.log(10_000)
RATE_FLOORS = {FAILURES: 0.002, SLOWNESS: 0.02}


@attrs.frozen
class Counts:
    """Attempts on one release over one window.

    Attributes:
        calls: Attempts that ended.
        failures: Attempts that failed.
        slow: Attempts above the route's limit of slowness.
    """

    calls: int = 0
    failures: int = 0
    slow: int = 0


@attrs.frozen
class Cell:
    """Both releases on one route in one data centre over one window."""

    data_centre: str
    route: str
    old: Counts
    new: Counts


@attrs.frozen
class Finding:
    """What the tests say at present.

    Attributes:
        score: The greatest evidence of a comparison over the whole takeover.
        level: The greatest sum against the old release's past.
        agreement: The sum of the comparison on the route and measure of that level.
        route: The route that it was found on.
        measure: The measure that it was found with.
    """

    score: float = 1.0
    level: float = 0.0
    agreement: float = 0.0
    route: str = ""
    measure: str = ""


@attrs.define
class RouteEvidence:
    """What is known of one route.

    Attributes:
        calls: Calls to either release.
        new_calls: Calls to the new release.
        new_failures: Failures among them.
        old_failures: Failures of the old release.
        new_slow: Slow calls to the new release.
        old_slow: Slow calls to the old release.
        finding: What the tests of the worse measure say.
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
    """The tests of one takeover over one data centre or over all of them.

    Attributes:
        windows: Windows that the takeover may last.
        routes: What is known of each route.
        references: The old release by data centre, route and measure.
        comparisons: Tests against the old release at the same time, by route and measure.
        levels: Tests against the old release's past, by route and measure.
    """

    windows: int
    routes: dict[str, RouteEvidence] = attrs.field(factory=dict)
    references: dict[tuple[str, str, str], Reference] = attrs.field(factory=dict)
    comparisons: dict[tuple[str, str], ComparisonTest] = attrs.field(factory=dict)
    levels: dict[tuple[str, str], LevelTest] = attrs.field(factory=dict)


def compute_score_limit(routes: int) -> float:
    """Return the evidence that takes a release back, shared among all tests of a takeover."""
    return routes * len(MEASURES) * TESTERS / ERROR_RATE


def update_tester(tester: Tester, cells: Iterable[Cell]) -> Finding:
    """Add one window of every route and data centre.

    Args:
        tester: The tests, changed in place.
        cells: The window's counts.

    Returns:
        The strongest finding.
    """
    grouped: dict[str, list[Cell]] = {}
    for cell in cells:
        grouped.setdefault(cell.route, []).append(cell)
        for measure in MEASURES:
            pooled = _get_reference(tester, cell.data_centre, ALL_ROUTES, measure)
            update_reference(pooled, _take_sample(cell.old, measure))
    for route, group in grouped.items():
        _update_route(tester, route, group)
    return find_worst(tester)


def seed_tester(tester: Tester, cells: Iterable[Cell]) -> None:
    """Take over sums from before this tester's time: as the old release's past, untested.

    Args:
        tester: The tests, changed in place.
        cells: Sums of an unknown number of windows.
    """
    for cell in cells:
        _add_counts(tester.routes.setdefault(cell.route, RouteEvidence()), cell)
        for measure in MEASURES:
            reference = _get_reference(tester, cell.data_centre, cell.route, measure)
            old = _take_sample(cell.old, measure)
            reference.calls += old.calls
            reference.hits += old.hits


def find_worst(tester: Tester) -> Finding:
    """Return the strongest finding of all routes."""
    return _combine([evidence.finding for evidence in tester.routes.values()])


def reset_levels(tester: Tester) -> None:
    """Start the tests against the past anew, after the share was lowered."""
    tester.levels.clear()
    for evidence in tester.routes.values():
        evidence.finding = attrs.evolve(evidence.finding, level=0.0, agreement=0.0)


def _update_route(tester: Tester, route: str, group: list[Cell]) -> None:
    evidence = tester.routes.setdefault(route, RouteEvidence())
    for cell in group:
        _add_counts(evidence, cell)
    evidence.finding = _combine(
        [_update_measure(tester, route, measure, group) for measure in MEASURES]
    )


def _add_counts(evidence: RouteEvidence, cell: Cell) -> None:
    evidence.calls += cell.old.calls + cell.new.calls
    evidence.new_calls += cell.new.calls
    evidence.new_failures += cell.new.failures
    evidence.old_failures += cell.old.failures
    evidence.new_slow += cell.new.slow
    evidence.old_slow += cell.old.slow


def _combine(findings: list[Finding]) -> Finding:
    if not findings:
        return Finding()
    by_score = max(findings, key=lambda finding: finding.score)
    by_level = max(findings, key=lambda finding: finding.level)
    worst = by_level if by_level.level >= LEVEL_ALARM else by_score
    return attrs.evolve(
        worst, score=by_score.score, level=by_level.level, agreement=by_level.agreement
    )


def _update_measure(tester: Tester, route: str, measure: str, group: list[Cell]) -> Finding:
    comparison = tester.comparisons.get((route, measure))
    if comparison is None:
        comparison = tester.comparisons[(route, measure)] = build_comparison(tester.windows)
    level = tester.levels.setdefault((route, measure), LevelTest())
    compared: list[list[float]] = []
    levels: list[list[float]] = []
    for cell in group:
        old, new = _take_sample(cell.old, measure), _take_sample(cell.new, measure)
        reference = _get_reference(tester, cell.data_centre, route, measure)
        pooled = _get_reference(tester, cell.data_centre, ALL_ROUTES, measure)
        compared.append(compare(estimate_rate(reference), old, new))
        update_reference(reference, old)
        levels.append(compare_level(estimate_reference(reference, pooled), new))
    score = update_comparison(comparison, [sum(logs) for logs in zip(*compared, strict=True)])
    total = update_level(level, [sum(logs) for logs in zip(*levels, strict=True)])
    return Finding(score, total, max(comparison.sums), route, measure)


def _get_reference(tester: Tester, data_centre: str, route: str, measure: str) -> Reference:
    key = (data_centre, route, measure)
    reference = tester.references.get(key)
    if reference is None:
        reference = tester.references[key] = Reference(floor=RATE_FLOORS[measure])
    return reference


def _take_sample(counts: Counts, measure: str) -> Sample:
    hits = counts.failures if measure == FAILURES else counts.slow
    return Sample(counts.calls, hits)
