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


@attrs.define
class RouteEvidence:
    """What is known of one route.

    Attributes:
        calls: Calls to either release.
        new_calls: Calls to the new release.
        new_failures: Failures among them.
        old_failures: Failures of the old release.
        score: The greatest present evidence against the new release.
        level: The greatest present sum against the old release's past.
        measure: The measure of the greater one.
    """

    calls: int = 0
    new_calls: int = 0
    new_failures: int = 0
    old_failures: int = 0
    score: float = 1.0
    level: float = 0.0
    measure: str = FAILURES


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


@attrs.frozen
class Finding:
    """What the tests say at present.

    Attributes:
        score: The greatest evidence of a comparison.
        level: The greatest sum against the past.
        route: The route that it was found on.
        measure: The measure that it was found with.
    """

    score: float = 1.0
    level: float = 0.0
    route: str = ""
    measure: str = ""


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
    for route, group in grouped.items():
        _update_route(tester, route, group)
    return find_worst(tester)


def find_worst(tester: Tester) -> Finding:
    """Return the strongest finding of all routes."""
    if not tester.routes:
        return Finding()
    by_score = max(tester.routes.items(), key=lambda item: item[1].score)
    by_level = max(tester.routes.items(), key=lambda item: item[1].level)
    route, worst = by_level if by_level[1].level >= LEVEL_ALARM else by_score
    return Finding(by_score[1].score, by_level[1].level, route, worst.measure)


def reset_levels(tester: Tester) -> None:
    """Start the tests against the past anew, after the share was lowered."""
    tester.levels.clear()
    for evidence in tester.routes.values():
        evidence.level = 0.0


def _update_route(tester: Tester, route: str, group: list[Cell]) -> None:
    evidence = tester.routes.setdefault(route, RouteEvidence())
    for cell in group:
        evidence.calls += cell.old.calls + cell.new.calls
        evidence.new_calls += cell.new.calls
        evidence.new_failures += cell.new.failures
        evidence.old_failures += cell.old.failures
    evidence.score, evidence.level = 0.0, 0.0
    for measure in MEASURES:
        score, level = _update_measure(tester, route, measure, group)
        if score > evidence.score or level > max(evidence.level, LEVEL_ALARM):
            evidence.measure = measure
        evidence.score = max(evidence.score, score)
        evidence.level = max(evidence.level, level)


def _update_measure(
    tester: Tester, route: str, measure: str, group: list[Cell]
) -> tuple[float, float]:
    comparison = tester.comparisons.get((route, measure))
    if comparison is None:
        comparison = tester.comparisons[(route, measure)] = build_comparison(tester.windows)
    level = tester.levels.setdefault((route, measure), LevelTest())
    compared: list[list[float]] = []
    levels: list[list[float]] = []
    for cell in group:
        old, new = _take_sample(cell.old, measure), _take_sample(cell.new, measure)
        key = (cell.data_centre, route, measure)
        reference = tester.references.setdefault(key, Reference(floor=RATE_FLOORS[measure]))
        compared.append(compare(estimate_rate(reference), old, new))
        update_reference(reference, old)
        levels.append(compare_level(estimate_reference(reference), new))
    score = update_comparison(comparison, [sum(logs) for logs in zip(*compared, strict=True)])
    return score, update_level(level, [sum(logs) for logs in zip(*levels, strict=True)])


def _take_sample(counts: Counts, measure: str) -> Sample:
    hits = counts.failures if measure == FAILURES else counts.slow
    return Sample(counts.calls, hits)
