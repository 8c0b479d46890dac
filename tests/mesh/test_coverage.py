"""Tests of routes on which a release has answered too little to be judged."""

from __future__ import annotations

from collections import Counter
from random import Random

import testtools

from magnoliasill.mesh.coverage import RouteCoverage, find_uncovered_route
from magnoliasill.mesh.evidence import RouteCounts


def count(**answers: int) -> dict[str, RouteCounts]:
    """Return the counts of a release by route."""
    return {route: RouteCounts(number) for route, number in answers.items()}


def look(*looks: tuple[dict[str, int], dict[str, int]]) -> str:
    """Return what is found after several evaluations, each with the answers since the last one."""
    coverages: dict[str, RouteCoverage] = {}
    before, after = Counter[str](), Counter[str]()
    found = find_uncovered_route(coverages, count(**before, start=0), count())
    for new_before, new_after in looks:
        before.update(new_before)
        after.update(new_after)
        found = find_uncovered_route(coverages, count(**before), count(**after))
    return found


class CoverageTest(testtools.TestCase):
    def test_a_release_that_answers_in_proportion_is_covered(self) -> None:
        self.assertEqual("", look(({"view": 900, "entry": 90}, {"view": 90, "entry": 9})))

    # a bad release was completed whose only failing route its servers had been too full for
    def test_a_route_that_it_hardly_answered_is_found(self) -> None:
        found = look(({"view": 900, "entry": 90}, {"view": 90, "entry": 2}))
        self.assertIn("route entry", found)

    def test_few_answers_on_a_rare_route_are_not(self) -> None:
        self.assertEqual("", look(({"view": 900, "entry": 30}, {"view": 90})))

    def test_a_release_without_answers_is_not(self) -> None:
        self.assertEqual("", look(({"view": 900, "entry": 300}, {})))

    # a good release was rolled back for a route that had been removed before its takeover began
    def test_answers_from_before_the_takeover_let_expect_nothing(self) -> None:
        coverages: dict[str, RouteCoverage] = {}
        find_uncovered_route(coverages, count(view=900, probe=300), count())
        found = [
            find_uncovered_route(coverages, count(view=900 + n, probe=300), count(view=n // 10))
            for n in range(30, 3000, 30)
        ]
        self.assertEqual({""}, set(found))

    # nor for a route that only got requests before the release had servers
    def test_answers_from_before_its_first_server_let_expect_nothing(self) -> None:
        usual = ({"view": 40}, {"view": 3})
        found = look(({"view": 40, "probe": 100}, {}), ({"view": 40}, {}), *[usual] * 40)
        self.assertEqual("", found)

    # the last answers of the established release must not stand for all requests
    def test_few_answers_of_the_established_release_let_expect_nothing(self) -> None:
        last = ({"entry": 1}, {"view": 60})
        self.assertEqual("", look(*[({"view": 40}, {"view": 3})] * 5, *[last] * 30))


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
