"""Tests of what a sidecar knows of the rate limits of remote backend servers."""

from __future__ import annotations

import testtools

from magnoliasill.mesh.members import MAX_NOTICES, MemberTable, find_notice
from magnoliasill.mesh.server_notices import ServerNotice, find_turn_wait, record_limit, use_turn


class TurnTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.notice = ServerNotice()

    def test_without_a_limit_there_is_no_wait(self) -> None:
        use_turn(self.notice, 5.0)
        self.assertEqual(0.0, find_turn_wait(self.notice, 5.0))

    def test_requests_without_a_report_yet_keep_the_last_distance(self) -> None:
        record_limit(self.notice, 4.0, 0.0, 0.5, 10.0)
        self.assertAlmostEqual(0.5, find_turn_wait(self.notice, 10.0))
        use_turn(self.notice, 10.6)
        self.assertAlmostEqual(0.5, find_turn_wait(self.notice, 10.6))
        use_turn(self.notice, 10.6)
        self.assertAlmostEqual(1.0, find_turn_wait(self.notice, 10.6))

    def test_the_end_of_a_limit_ends_the_wait(self) -> None:
        record_limit(self.notice, 0.5, 0.0, 2.0, 10.0)
        record_limit(self.notice, None, 0.0, 0.0, 10.1)
        self.assertEqual(0.0, find_turn_wait(self.notice, 10.1))

    def test_a_turn_at_once_still_leaves_the_distance_of_the_limit(self) -> None:
        record_limit(self.notice, 4.0, 0.0, 0.0, 10.0)
        use_turn(self.notice, 10.0)
        self.assertAlmostEqual(0.25, find_turn_wait(self.notice, 10.0))


class TableTest(testtools.TestCase):
    def test_memory_is_bounded(self) -> None:
        table = MemberTable()
        for number in range(2 * MAX_NOTICES):
            find_notice(table, f"i-{number}", 1)
        self.assertEqual(MAX_NOTICES, len(table.notices))

    def test_incarnations_of_one_identifier_are_told_apart(self) -> None:
        table = MemberTable()
        find_notice(table, "i", 1).limit_per_s = 3.0
        self.assertIsNone(find_notice(table, "i", 2).limit_per_s)
        self.assertEqual(3.0, find_notice(table, "i", 1).limit_per_s)
