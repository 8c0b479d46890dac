"""Finds routes on which a release has answered too little to be judged.

Under load, a release with a small share may be sent nearly no requests of one route, although the
established releases answer many: its servers are full for them. Then the lack of failures there
says nothing.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeAlias

import attrs

from .evidence import RouteCounts

MIX_KEPT_SHARE = 0.7  # weight of earlier answers in the recent mix of routes, at each evaluation
MIN_MIX_ANSWERS = 20.0  # of the established releases, needed to estimate that mix
KEPT_SHARE = 0.95  # weight of earlier expectations; a route may have been removed
MIN_EXPECTED = 6.0  # answers; with fewer, their absence is likely by chance
MIN_COVERED_SHARE = 1 / 3  # of the expected answers

Answers: TypeAlias = Mapping[str, int]


@attrs.define
class RouteCoverage:
    """The answers on one route.

    Attributes:
        counted_before: All answers of the established releases at the last evaluation.
        counted_after: The same of the release under evaluation.
        recent: The recent answers of the established releases, weighted by age.
        expected: The answers that the release would have by their recent mix, weighted by age.
        answered: Those that it has.
    """

    counted_before: int = 0
    counted_after: int = 0
    recent: float = 0.0
    expected: float = 0.0
    answered: float = 0.0


def find_uncovered_route(
    coverages: dict[str, RouteCoverage],
    before: Mapping[str, RouteCounts],
    after: Mapping[str, RouteCounts],
) -> str:
    """Return a description of a route that the release has hardly answered, or an empty string.

    The first evaluation only remembers the counts: answers from before the takeover, such as on a
    route that has been removed since, let expect nothing.

    Args:
        coverages: The state by route, which is updated.
        before: All answers of the established releases so far, by route.
        after: The same of the release under evaluation.
    """
    is_first = not coverages
    new_before, new_after = _count_new(coverages, before, after)
    if is_first:
        return ""
    _update(coverages, new_before, new_after)
    for route, coverage in sorted(coverages.items()):
        is_expected = coverage.expected >= MIN_EXPECTED
        if is_expected and coverage.answered < MIN_COVERED_SHARE * coverage.expected:
            counts = f"{coverage.answered:.0f} answers on route {route}"
            return f"{counts}, of {coverage.expected:.0f} expected"
    return ""


def _count_new(
    coverages: dict[str, RouteCoverage],
    before: Mapping[str, RouteCounts],
    after: Mapping[str, RouteCounts],
) -> tuple[Answers, Answers]:
    new_before, new_after = {}, {}
    for route in before.keys() | after.keys():
        coverage = coverages.setdefault(route, RouteCoverage())
        answers_before = before.get(route, RouteCounts()).answers
        answers_after = after.get(route, RouteCounts()).answers
        new_before[route] = max(answers_before - coverage.counted_before, 0)
        new_after[route] = max(answers_after - coverage.counted_after, 0)
        coverage.counted_before, coverage.counted_after = answers_before, answers_after
    return new_before, new_after


def _update(coverages: dict[str, RouteCoverage], before: Answers, after: Answers) -> None:
    for route, coverage in coverages.items():
        coverage.recent = MIX_KEPT_SHARE * coverage.recent + before.get(route, 0)
    total_recent = sum(coverage.recent for coverage in coverages.values())
    total_after = sum(after.values()) if total_recent >= MIN_MIX_ANSWERS else 0
    for route, coverage in coverages.items():
        share = coverage.recent / total_recent if total_recent else 0.0
        coverage.expected = KEPT_SHARE * coverage.expected + total_after * share
        coverage.answered = KEPT_SHARE * coverage.answered + after.get(route, 0)
