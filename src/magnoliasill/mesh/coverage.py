"""Finds routes on which a release has answered too little to be judged.

Under load, a release with a small share may be sent nearly no requests of one route, although the
established releases answer many: its servers are full for them. Then the lack of failures there
says nothing.
"""

from __future__ import annotations

import attrs

from .evidence import RouteCounts

KEPT_SHARE = 0.95  # weight of earlier answers at each evaluation; a route may have been removed
MIN_EXPECTED = 6.0  # answers; with fewer, their absence is likely by chance
MIN_COVERED_SHARE = 1 / 3  # of the expected answers


@attrs.define
class RouteCoverage:
    """The answers on one route, weighted by age.

    Attributes:
        before: Those of the established releases.
        after: Those of the release under evaluation.
        counted_before: All answers of the established releases at the last evaluation.
        counted_after: The same of the release under evaluation.
    """

    before: float = 0.0
    after: float = 0.0
    counted_before: int = 0
    counted_after: int = 0


def find_uncovered_route(
    coverages: dict[str, RouteCoverage],
    before: dict[str, RouteCounts],
    after: dict[str, RouteCounts],
) -> str:
    """Return a description of a route that the release has hardly answered, or an empty string.

    Args:
        coverages: The state by route, which is updated.
        before: All answers of the established releases so far, by route.
        after: The same of the release under evaluation.
    """
    for route in before.keys() | after.keys():
        coverage = coverages.setdefault(route, RouteCoverage())
        _update(coverage, before.get(route, RouteCounts()), after.get(route, RouteCounts()))
    total_before = sum(coverage.before for coverage in coverages.values())
    total_after = sum(coverage.after for coverage in coverages.values())
    for route, coverage in sorted(coverages.items()):
        expected = total_after * coverage.before / total_before if total_before else 0.0
        if expected >= MIN_EXPECTED and coverage.after < MIN_COVERED_SHARE * expected:
            return f"{coverage.after:.0f} answers on route {route}, of {expected:.0f} expected"
    return ""


def _update(coverage: RouteCoverage, before: RouteCounts, after: RouteCounts) -> None:
    new_before = max(before.answers - coverage.counted_before, 0)
    new_after = max(after.answers - coverage.counted_after, 0)
    coverage.before = KEPT_SHARE * coverage.before + new_before
    coverage.after = KEPT_SHARE * coverage.after + new_after
    coverage.counted_before, coverage.counted_after = before.answers, after.answers
