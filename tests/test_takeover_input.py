"""Tests that invalid takeovers are refused when service files are checked and published."""

from __future__ import annotations

import tempfile
from datetime import UTC, datetime
from pathlib import Path

import testtools
from testscenarios import WithScenarios

from fakes.store import FakeStore, build_local_store
from magnoliasill.errors import ServiceFileError
from magnoliasill.publishing.publisher import ChangeSet, collect_services, publish
from magnoliasill.versions.manifest import HEAD_KEY, check_finish_times

NOW = datetime(2030, 1, 1, tzinfo=UTC)
SERVICE = """
service = "lessons"
team = "teaching"
serving = "r1"
routes = [{ name = "list", method = "GET", path = "/lessons" }]
releases = [{ name = "r1" }, { name = "r2" }]
"""
TAKEOVER = """
[takeover]
from_release = "r1"
to_release = "r2"
start_at = 2030-01-01T00:00:00Z
finish_by = 2030-01-01T00:10:00Z
"""


class RefusalTest(WithScenarios, testtools.TestCase):
    """Each kind of invalid takeover, made by replacing a part of a valid service file."""

    scenarios = [
        ("past", {"old": "finish_by = 2030", "new": "finish_by = 2029", "code": "MS-208"}),
        ("over", {"old": "T00:10:00Z", "new": "T00:00:00Z", "code": "MS-208"}),
        ("unknown_new", {"old": '"r2"\nstart', "new": '"r9"\nstart', "code": "MS-208"}),
        ("unknown_old", {"old": 'from_release = "r1"', "new": 'from_release = "r9"'}),
        ("no_old", {"old": 'from_release = "r1"\n', "new": "", "code": "MS-203"}),
        ("same", {"old": 'to_release = "r2"', "new": 'to_release = "r1"', "code": "MS-208"}),
        ("without_offset", {"old": "T00:10:00Z", "new": "T00:10:00", "code": "MS-208"}),
        ("two", {"old": TAKEOVER, "new": TAKEOVER + TAKEOVER, "code": "MS-202"}),
        (
            "list_of_two",
            {
                "old": TAKEOVER,
                "new": 2 * TAKEOVER.replace("[takeover]", "[[takeover]]"),
                "code": "MS-203",
            },
        ),
    ]
    code = "MS-208"

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        text = SERVICE + TAKEOVER
        self.assertIn(self.old, text)
        (self.folder / "lessons.toml").write_text(text.replace(self.old, self.new))

    def test_check(self) -> None:
        error = self.assertRaises(ServiceFileError, self._check)
        self.assertEqual(self.code, error.code.value, error.message)

    def test_publish(self) -> None:
        fake_store = FakeStore()
        error = self.assertRaises(ServiceFileError, self._publish, fake_store)
        self.assertEqual(self.code, error.code.value, error.message)
        self.assertNotIn(HEAD_KEY, fake_store.items)

    def _check(self) -> None:
        check_finish_times(collect_services(self.folder), NOW)

    def _publish(self, fake_store: FakeStore) -> None:
        store = build_local_store(fake_store, lambda: 0.0)
        services = collect_services(self.folder)
        publish(store, ChangeSet("p1", services, None), NOW, lambda attempt: None)


class AcceptedTest(testtools.TestCase):
    """The service file without the replacements of `RefusalTest` is accepted."""

    def test_accepted(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            (Path(name) / "lessons.toml").write_text(SERVICE + TAKEOVER)
            check_finish_times(collect_services(Path(name)), NOW)
