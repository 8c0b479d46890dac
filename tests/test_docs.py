"""Tests that the reference pages match the code."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import ErrorCode, LogEvent
from magnoliasill.error_catalogue import ERRORS
from magnoliasill.event_catalogue import EVENTS
from tools.docs import PAGES, ROOT


class CatalogueTest(testtools.TestCase):
    """Each code and each event has its row; a new one needs `CODE: ErrorEntry(...)` or the like."""

    def test_errors_complete(self) -> None:
        self.assertEqual([], [code.name for code in ErrorCode if code not in ERRORS])

    def test_events_complete(self) -> None:
        self.assertEqual([], [event.name for event in LogEvent if event not in EVENTS])

    def test_numbers_unique(self) -> None:
        for kind in (ErrorCode, LogEvent):
            self.assertEqual(len(kind.__members__), len(list(kind)))


class StalePageTest(WithScenarios, testtools.TestCase):
    """Each generated page is what its generator gives; `make docs` writes it anew."""

    scenarios = [(name, {"name": name}) for name in PAGES]

    def test_fresh(self) -> None:
        path = ROOT / self.name
        text = path.read_text(encoding="utf-8") if path.exists() else ""
        self.assertEqual(PAGES[self.name](), text, f"{self.name} is stale: run `make docs`")
