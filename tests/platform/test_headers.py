"""Tests of the platform's headers."""

from __future__ import annotations

import testtools

from magnoliasill.platform.headers import (
    add_sidecar_headers,
    parse_caller_headers,
    parse_response_headers,
    remove_sidecar_headers,
)


class RequestTest(testtools.TestCase):
    def test_read(self) -> None:
        marks = parse_caller_headers([("attempt-id", "a"), ("REQUEST-DEADLINE", "1200")])
        self.assertEqual(("a", 1.2), (marks.identifier, marks.time_left_s))

    def test_malformed_time_counts_as_none(self) -> None:
        for text in ("soon", "", "-5", "nan", "inf", "1e999"):
            self.assertIsNone(parse_caller_headers([("Request-Deadline", text)]).time_left_s, text)

    def test_marks_of_callers_are_replaced(self) -> None:
        sent = [("caller-service", "forged"), ("Target-Instance", "x"), ("X-Own", "1")]
        marked = add_sidecar_headers(remove_sidecar_headers(sent), 0.25, "i-1", "shop")
        self.assertEqual(
            [
                ("X-Own", "1"),
                ("Request-Deadline", "250"),
                ("Target-Instance", "i-1"),
                ("Caller-Service", "shop"),
            ],
            marked,
        )

    def test_time_that_is_over_is_still_a_time(self) -> None:
        self.assertIn(("Request-Deadline", "1"), add_sidecar_headers([], -3.0, "i", "s"))


class AnswerTest(testtools.TestCase):
    def test_marks(self) -> None:
        found = [("Attempt-Id", "a"), ("response-signature", "s"), ("Server-Load", "3, 1,9")]
        marks = parse_response_headers(200, found)
        self.assertEqual(("a", True, False), (marks.identifier, marks.signed, marks.not_run))
        self.assertEqual((3, 1), (marks.running, marks.waiting))

    def test_not_run(self) -> None:
        self.assertTrue(parse_response_headers(503, [("not-executed", "1")]).not_run)
        self.assertTrue(parse_response_headers(421, []).not_run)
        self.assertFalse(parse_response_headers(503, []).not_run)

    def test_malformed_load_says_nothing(self) -> None:
        for text in ("", "3", "3,1", "a,b,c", "-1,0,9"):
            self.assertIsNone(parse_response_headers(200, [("Server-Load", text)]).running, text)
