"""Tests that the documentation pages match the code."""

from __future__ import annotations

import re

import testtools
from testscenarios import WithScenarios

from magnoliasill.codes import ErrorCode, LogEvent
from magnoliasill.error_catalogue import ERRORS
from magnoliasill.event_catalogue import EVENTS
from tools.docs import PAGES, ROOT


class CatalogueTest(testtools.TestCase):
    """Each error code and log event has a catalogue entry, an `ErrorEntry` or `EventEntry`."""

    def test_errors_complete(self) -> None:
        self.assertEqual([], [code.name for code in ErrorCode if code not in ERRORS])

    def test_events_complete(self) -> None:
        self.assertEqual([], [event.name for event in LogEvent if event not in EVENTS])

    def test_numbers_unique(self) -> None:
        for kind in (ErrorCode, LogEvent):
            self.assertEqual(len(kind.__members__), len(list(kind)))


class StalePageTest(WithScenarios, testtools.TestCase):
    """Each generated page equals its generator's output; `make docs` regenerates it."""

    scenarios = [(name, {"name": name}) for name in PAGES]

    def test_fresh(self) -> None:
        path = ROOT / self.name
        text = path.read_text(encoding="utf-8") if path.exists() else ""
        self.assertEqual(PAGES[self.name](), text, f"{self.name} is stale: run `make docs`")


class NamedTestsTest(testtools.TestCase):
    """The tests and modules that the pages name exist, and the module map is complete."""

    def test_promises_and_faults(self) -> None:
        names = ("PROMISES.md", "FAULTS.md", "OVERLOAD.md", "INCIDENTS.md", "PLATFORM.md")
        pages = [ROOT / "docs" / name for name in names]
        text = "\n".join(page.read_text(encoding="utf-8") for page in pages)
        named = set(re.findall(r"(?<!\.)\b(test_[a-z_]+)(?:\.([A-Z]\w+)(?:\.(\w+))?)?", text))
        self.assertGreater(len(named), 20)
        for module, case, method in sorted(named):
            paths = list((ROOT / "tests").rglob(f"{module}.py"))
            self.assertNotEqual([], paths, module)
            sources = "\n".join(path.read_text(encoding="utf-8") for path in paths)
            if case:
                self.assertIn(f"class {case}(", sources)
            if method:
                self.assertIn(f"def {method}(", sources)

    def test_module_map_matches_the_tree(self) -> None:
        text = (ROOT / "docs" / "DEVELOPERS.md").read_text(encoding="utf-8")
        table = text.split("## Module map")[1].split("##")[0]
        named = sorted(re.findall(r"`(\w+)`", table))
        root = ROOT / "src" / "magnoliasill"
        described = {root / name for name in ("mesh", "platform", "sidecar")}  # by docs/PLATFORM.md
        paths = [path for path in root.rglob("*.py") if path.parent not in described]
        self.assertEqual(sorted(path.stem for path in paths if path.stem != "__init__"), named)
        packages = sorted(re.findall(r"`(\w+)/`", table))
        self.assertEqual(sorted(path.parent.name for path in root.glob("*/__init__.py")), packages)
