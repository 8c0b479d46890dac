"""Tests of `magnoliasill explain`, which merges the log entries about one request."""

from __future__ import annotations

import json
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from ..command_line import run_tool


def build_line(second: int, daemon: str, event: str, identifier: str, **fields: object) -> str:
    entry = {"daemon": daemon, "event": event, "id": identifier, **fields}
    return json.dumps({**entry, "timestamp": f"2026-12-03T10:00:{second:02}.0Z"})


class ExplainTest(testtools.TestCase):
    def explain(self, identifier: str, *texts: str) -> tuple[int, list[str], str]:
        with TemporaryDirectory() as folder:
            paths = []
            for number, text in enumerate(texts):
                paths.append(str(Path(folder) / f"{number}.log"))
                Path(paths[-1]).write_bytes(text.encode("utf-8", "surrogateescape"))
            result = run_tool("explain", identifier, *paths)
        return result.returncode, result.stdout.splitlines(), result.stderr

    def test_order_of_time_over_files(self) -> None:
        first = build_line(3, "vm-1", "request_failed", "ab12", reason="BrokenError")
        second = build_line(1, "vm-1", "attempt_failed", "ab12")
        other = build_line(2, "vm-2", "gate_failed", "ab12", instance="i-7")
        code, lines, _ = self.explain("ab12", f"{first}\n{second}\n", other)
        self.assertEqual(0, code)
        events = [line.split()[2] for line in lines]
        self.assertEqual(["attempt_failed", "gate_failed", "request_failed"], events)
        self.assertIn("reason=BrokenError", lines[2])

    def test_calls_made_meanwhile_belong_to_it(self) -> None:
        text = build_line(1, "vm-1", "request_refused", "ab12.ff00")
        self.assertEqual(1, len(self.explain("ab12", text)[1]))

    def test_cut_short_and_foreign_lines(self) -> None:
        line = build_line(1, "vm-1", "request_answered", "ab12")
        text = f'{line[:-5]}\n\x00 ab12\nab12 is mentioned\n["ab12"]\n 1.5 vm-1 {line}\n'
        self.assertEqual(1, len(self.explain("ab12", text)[1]))

    def test_unknown_identifier_and_file(self) -> None:
        code, _, errors = self.explain("none", build_line(1, "vm-1", "x", "ab12"))
        self.assertEqual(1, code)
        self.assertIn("none", errors)
        self.assertEqual(1, run_tool("explain", "ab12", "/nonexistent/log").returncode)
