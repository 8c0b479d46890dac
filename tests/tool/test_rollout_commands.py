"""Tests of the takeover reports for operators."""

from __future__ import annotations

import msgspec
import testtools

from fakes.store import FakeStore, build_local_store
from magnoliasill.core.actions import StoreWrite
from magnoliasill.takeovers.plans import Phase, Progress
from magnoliasill.takeovers.records import Record, RouteReport, list_rollouts, name_record_key
from magnoliasill.tool.rollout_commands import describe_record, read_records

from ..takeover_faults import LENGTH_S, reach_stage, start_takeover

EVIDENCE = {"view": RouteReport(1_000, 40, 9, 1, 0, 3, 2e6, 15.0)}


def build_record(progress: Progress) -> Record:
    times = (1_000.0, 1_060.0)
    return Record(
        "lessons", "r1", "r2", *times, progress, 2, "d-1", 1_030.0, (0.9, 0.03), EVIDENCE, []
    )


class RolloutsCommandTest(testtools.TestCase):
    """The records that `magnoliasill rollouts` reads and the lines that it prints."""

    def test_running(self) -> None:
        lines = describe_record(build_record(Progress("id", stage=4, trial="lagos")), 1_040.0, True)
        text = "\n".join(lines)
        for part in ("running", "90.0% in lagos", "3.0% elsewhere", "20 s left", "9 failed"):
            self.assertIn(part, text)

    def test_reversed_says_why(self) -> None:
        progress = Progress("id", Phase.REVERSED, reason="failures on route view")
        self.assertIn(
            "failures on route view", describe_record(build_record(progress), 0, False)[0]
        )

    def test_reads_one_or_all_and_skips_what_is_no_record(self) -> None:
        fake_store = FakeStore()
        store = build_local_store(fake_store, lambda: 0.0)
        record = build_record(Progress("id"))
        store(StoreWrite("w", name_record_key("lessons"), msgspec.json.encode(record), 0))
        store(StoreWrite("w", name_record_key("other"), b"{", 0))
        self.assertEqual([record], read_records(store))
        self.assertEqual([record], read_records(store, "lessons"))
        self.assertEqual([], read_records(store, "absent"))

    def test_reports_of_daemons(self) -> None:
        scene, _ = start_takeover()
        reach_stage(scene, 2)
        reports = [list_rollouts(node)[0] for node in scene.network.nodes.values()]
        self.assertEqual([True], [report.controls for report in reports if report.controls])
        self.assertEqual({"view", "enrol"}, set(reports[0].shares))
        self.assertLess(reports[0].finish_by - reports[0].start_at, LENGTH_S + 1.0)
