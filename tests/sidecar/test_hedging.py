"""Tests of hedged requests."""

from __future__ import annotations

from typing import Any

import eventlet
import testtools

from magnoliasill.sidecar.hedging import LAST_PATIENCE_S, Source, ask_first

from .simulated_fleet import VirtualHub


class HedgingCase(testtools.TestCase):
    """Sources on a virtual clock that note when they are asked."""

    def setUp(self) -> None:
        super().setUp()
        eventlet.hubs.use_hub(VirtualHub)
        self.addCleanup(eventlet.hubs.use_hub, None)
        self.hub = eventlet.hubs.get_hub()
        self.asked: dict[str, float] = {}
        self.ended: list[str] = []

    def source(
        self, name: str, after_s: float, answer: Any = None, patience_s: float = 0.2
    ) -> Source:
        def ask() -> Any:
            self.asked[name] = round(self.hub.now_s, 3)
            try:
                eventlet.sleep(after_s)
            finally:
                self.ended.append(name)
            if isinstance(answer, Exception):
                raise answer
            return answer

        return Source(name, ask, patience_s)


class AskFirstTest(HedgingCase):
    def test_a_source_that_answers_in_time_is_the_only_one_asked(self) -> None:
        outcome = ask_first([self.source("a", 0.1, 1), self.source("b", 0.1, 2)])
        self.assertEqual(("a", 1, {}), (outcome.winner, outcome.answer, outcome.unanswered))
        self.assertEqual({"a": 0.0}, self.asked)

    def test_the_next_is_asked_while_the_first_does_not_answer(self) -> None:
        outcome = ask_first([self.source("a", 9.0, 1), self.source("b", 0.1, 2)])
        self.assertEqual(("b", 2), (outcome.winner, outcome.answer))
        self.assertEqual({"a": 0.3}, {n: round(s, 3) for n, s in outcome.unanswered.items()})
        self.assertEqual({"a": 0.0, "b": 0.2}, self.asked)
        self.assertAlmostEqual(0.3, self.hub.now_s)

    def test_one_that_is_only_slow_may_still_be_the_first(self) -> None:
        outcome = ask_first([self.source("a", 0.25, 1), self.source("b", 9.0, 2)])
        self.assertEqual(("a", ["b"]), (outcome.winner, list(outcome.unanswered)))

    def test_the_next_is_asked_at_once_after_a_failure(self) -> None:
        error = OSError("reset")
        sources = [self.source("a", 0.01, error), self.source("b", 0.01), self.source("c", 0.1, 3)]
        outcome = ask_first(sources)
        self.assertEqual(("c", {"a": error, "b": None}), (outcome.winner, outcome.failures))
        self.assertEqual({"a": 0.0, "b": 0.01, "c": 0.02}, self.asked)

    def test_all_fail(self) -> None:
        outcome = ask_first([self.source("a", 0.5), self.source("b", 0.1)])
        self.assertEqual((None, {"a", "b"}), (outcome.winner, set(outcome.failures)))
        self.assertAlmostEqual(0.5, self.hub.now_s)

    def test_it_gives_up_some_time_after_the_last_was_asked(self) -> None:
        outcome = ask_first([self.source("a", 9.0, 1), self.source("b", 9.0, 2)])
        self.assertEqual((None, ["a", "b"]), (outcome.winner, list(outcome.unanswered)))
        self.assertAlmostEqual(0.4 + LAST_PATIENCE_S, self.hub.now_s)

    def test_the_others_are_cancelled(self) -> None:
        ask_first([self.source("a", 9.0, 1), self.source("b", 0.1, 2)])
        eventlet.sleep(0.01)
        self.assertEqual({"a", "b"}, set(self.ended))

    def test_sources_may_be_chosen_late(self) -> None:
        def choose() -> Any:
            yield self.source("a", 0.01)
            yield self.source(f"b at {self.hub.now_s:.2f}", 0.01, 2)

        self.assertEqual("b at 0.01", ask_first(choose()).winner)
