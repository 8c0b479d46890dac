"""Tests of log writing: rate limits, a reader that stalls or is gone, and the event catalogue."""

from __future__ import annotations

import ast
import os
from pathlib import Path

import msgspec
import testtools

from magnoliasill.codes import LogEvent
from magnoliasill.event_catalogue import EVENTS
from magnoliasill.sidecar.log_writer import (
    FAILURE_LINES_PER_S,
    MAX_BUFFERED_BYTES,
    SUCCESS_LINES_PER_S,
    open_log_writer,
    write_pending,
)

SOURCES = Path(__file__).resolve().parents[2] / "src" / "magnoliasill" / "sidecar"


class LogWriterTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.dropped: list[str] = []
        self.log_writer, self.write = open_log_writer(self.writer, "vm", "dc", self.dropped.append)

    def read(self) -> list[dict[str, object]]:
        self.assertTrue(write_pending(self.log_writer))
        data = os.read(self.reader, 1 << 20)
        return [msgspec.json.decode(line) for line in data.splitlines()]

    def test_line(self) -> None:
        self.write(LogEvent.SERVER_GONE, instance="i-1", born=5)
        (entry,) = self.read()
        self.assertEqual(
            ("server_gone", 5403, "i-1", "vm", "dc"),
            tuple(entry[n] for n in ("event", "number", "instance", "daemon", "data_centre")),
        )

    def test_success_lines_are_bounded_and_drops_counted(self) -> None:
        for _ in range(1_000):
            self.write(LogEvent.REQUEST_ANSWERED, id="a")
        written = self.read()
        self.assertLessEqual(len(written), 2 * SUCCESS_LINES_PER_S)
        self.assertEqual(1_000 - len(written), len(self.dropped))

    def test_failures_are_written_where_successes_are_left_out(self) -> None:
        for _ in range(1_000):
            self.write(LogEvent.REQUEST_ANSWERED, id="a")
        for _ in range(int(FAILURE_LINES_PER_S)):
            self.write(LogEvent.REQUEST_FAILED, id="f")
        events = [entry["event"] for entry in self.read()]
        self.assertEqual(FAILURE_LINES_PER_S, events.count("request_failed"))

    def test_the_number_of_dropped_lines_is_logged(self) -> None:
        for _ in range(200):
            self.write(LogEvent.REQUEST_ANSWERED, id="a")
        self.write(LogEvent.SERVER_GONE, instance="i", born=1)
        self.assertEqual(len(self.dropped), self.read()[-1]["left_out"])

    def test_a_reader_that_stalls_blocks_nothing_and_costs_no_memory(self) -> None:
        for _ in range(60_000):
            self.write(LogEvent.SERVER_GONE, instance="i" * 100, born=1)
        self.assertFalse(write_pending(self.log_writer))
        self.assertLess(self.log_writer.buffered_bytes, MAX_BUFFERED_BYTES + 1_000)
        self.assertGreater(len(self.dropped), 1_000)

    def test_a_reader_that_is_gone(self) -> None:
        reader, writer = os.pipe()
        log_writer, write = open_log_writer(writer, "vm", "dc", self.dropped.append)
        os.close(reader)
        write(LogEvent.SERVER_GONE, instance="i", born=1)
        self.assertTrue(write_pending(log_writer))
        os.close(writer)


class CatalogueTest(testtools.TestCase):
    """Each log call in the sidecar passes the fields that the event catalogue lists."""

    def test_fields(self) -> None:
        seen = set()
        for path in sorted(SOURCES.glob("*.py")):
            for call in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if not isinstance(call, ast.Call) or not call.args:
                    continue
                name = call.args[0]
                if not (isinstance(name, ast.Attribute) and _is_named(name.value, "LogEvent")):
                    continue
                fields = {found.arg for found in call.keywords if found.arg}
                event = LogEvent[name.attr]
                seen.add(event)
                self.assertLessEqual(fields, set(EVENTS[event].fields), event.name)
                if all(found.arg for found in call.keywords):
                    self.assertEqual(fields, set(EVENTS[event].fields), event.name)
        self.assertGreater(len(seen), 25)


def _is_named(node: ast.expr, name: str) -> bool:
    return isinstance(node, ast.Name) and node.id == name
