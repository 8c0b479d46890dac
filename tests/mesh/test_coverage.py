"""Tests of routes on which a release has answered too little to be judged."""

from __future__ import annotations

from random import Random

import testtools

from magnoliasill.mesh.coverage import find_uncovered_route
from magnoliasill.mesh.evidence import RouteCounts


def count(**answers: int) -> dict[str, RouteCounts]:
    """Return the counts of a release by route."""
    return {route: RouteCounts(number) for route, number in answers.items()}


class CoverageTest(testtools.TestCase):
    def test_a_release_that_answers_in_proportion_is_covered(self) -> None:
        self.assertEqual(
            "", find_uncovered_route({}, count(view=900, entry=90), count(view=90, entry=9))
        )

    # a bad release was completed whose only failing route its servers had been too full for
    def test_a_route_that_it_hardly_answered_is_found(self) -> None:
        found = find_uncovered_route({}, count(view=900, entry=90), count(view=90, entry=2))
        self.assertIn("route entry", found)

    def test_few_answers_on_a_rare_route_are_not(self) -> None:
        self.assertEqual("", find_uncovered_route({}, count(view=900, entry=30), count(view=90)))

    def test_a_release_without_answers_is_not(self) -> None:
        self.assertEqual("", find_uncovered_route({}, count(view=900, entry=300), {}))

    # a route that the operator removed must not keep a good release back
    def test_a_route_that_was_removed_is_forgotten(self) -> None:
        coverages, view = {}, 0
        found = []
        for _ in range(60):
            view += 40
            after = count(view=max(view - 200, 0) // 10)
            found.append(find_uncovered_route(coverages, count(view=view, entry=100), after))
        self.assertEqual("", found[-1])


class RepeatedLooksTest(testtools.TestCase):
    # chance must not hold a good release back for long
    def test_a_good_release_is_rarely_held_back(self) -> None:
        held = looks = 0
        for seed in range(100):
            generator, coverages = Random(seed), {}
            old, new = {"view": 0, "entry": 0}, {"view": 0, "entry": 0}
            for _ in range(40):
                for _ in range(32):
                    route = "entry" if generator.random() < 0.15 else "view"
                    (new if generator.random() < 0.06 else old)[route] += 1
                looks += 1
                held += bool(find_uncovered_route(coverages, count(**old), count(**new)))
        self.assertLessEqual(held / looks, 0.01)
