"""Tests of the test runner's report and exit status, with entries of KNOWN-RED.txt."""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

import testtools
from testscenarios import WithScenarios

from tools import run_tests
from tools.run_tests import ModuleResult, report

ENTRY = "tests.test_a.A.test_red | make test, seed 1 | seen: 1 for 2 | issue 4\n"
RED = "tests.test_a.A.test_red"
GREEN = "tests.test_a.A.test_green"


class VerdictTest(WithScenarios, testtools.TestCase):
    """Passed and failed tests, with and without an entry in KNOWN-RED.txt."""

    scenarios = [
        (name, {"entry": entry, "passed": passed, "failed": failed, "status": status, "want": want})
        for name, entry, passed, failed, status, want in (
            ("green", "", [GREEN], [], 0, "1 passed, 0 failed"),
            ("red", "", [GREEN], [RED], 1, "1 passed, 1 failed"),
            ("known_red", ENTRY, [GREEN], [RED], 0, "KNOWN-RED (fails as listed): " + RED),
            ("known_red_passes", ENTRY, [RED], [], 0, "KNOWN-RED (passes now): " + RED),
            ("known_red_absent", ENTRY, [GREEN], [], 0, "KNOWN-RED (did not run): " + RED),
            ("other_red", ENTRY, [RED], [GREEN], 1, "FAILED " + GREEN),
            ("comment", "# " + ENTRY, [GREEN], [RED], 1, "FAILED " + RED),
            ("nothing", "", [], [], 1, "0 passed, 0 failed"),
        )
    ]

    def test_verdict(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "KNOWN-RED.txt"
        path.write_text(self.entry)
        self.patch(run_tests, "KNOWN_RED", path)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            status = report([ModuleResult("tests.test_a", self.passed, self.failed, "")])
        self.assertEqual(self.status, status)
        self.assertIn(self.want, output.getvalue())
        self.assertTrue(output.getvalue().splitlines()[-1].endswith("failed"))
