"""Tests of a backend server with odd status lines, through two sidecars to a caller.

Guards against a caller that gets an answer whose status is none of the protocol, and against one
that loses the real answer behind an interim response.
"""

from __future__ import annotations

from typing import Any

import testtools
from testscenarios import WithScenarios

from . import fleet as harness
from .fleet import SIGNATURE, build_answer, build_rule, open_fleet, put_configuration

HEAD = "GET /shop/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a-1\r\n\r\n"


class StatusCase(testtools.TestCase):
    """A caller of one sidecar, whose requests run at the server of another one."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["shop", "web"])
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 5, build_rule("shop", kind="non_idempotent"))
        harness.wait_ready(self.fleet)

    def call(self, before: bytes, status: str) -> tuple[int, dict[str, str], bytes]:
        """Return what the caller gets where the server answers with a status, after some bytes."""

        def behave(_server: Any, identifier: str) -> bytes:
            return before + build_answer(identifier, b"whole", status)

        self.fleet.servers[0].behave = behave
        return harness.call(self.fleet.sidecars[1].sidecar.settings.callers, HEAD)


class OddStatusTest(WithScenarios, StatusCase):
    scenarios = [
        (status, {"status": status}) for status in ("000", "099", "600", "999", "+200", "2_00")
    ]

    # with 600 to 999 the caller got that status, with the server's signature
    def test_the_caller_hears_that_the_outcome_is_unknown(self) -> None:
        status, headers, _ = self.call(b"", f"{self.status} Odd")
        self.assertEqual(502, status)
        self.assertNotIn(SIGNATURE[0].lower(), headers)
        self.assertEqual(1, self.fleet.servers[0].runs["a-1"])

    # who looks for the cause finds the status line
    def test_the_log_names_the_status_line(self) -> None:
        self.call(b"", f"{self.status} Odd")
        reasons = [
            event["reason"] for event in self.fleet.events if event["event"] == "gate_failed"
        ]
        self.assertEqual(1, len(reasons))
        self.assertIn(f"HTTP/1.1 {self.status} Odd", reasons[0])


class InterimStatusTest(WithScenarios, StatusCase):
    scenarios = [
        (line, {"line": line}) for line in ("100 Continue", "102 Processing", "103 Early Hints")
    ]

    # the caller got 102 or 103 as the whole answer
    def test_the_caller_gets_the_final_answer(self) -> None:
        interim = f"HTTP/1.1 {self.line}\r\nLink: </x>\r\n\r\n".encode()
        status, headers, body = self.call(2 * interim, "200 OK")
        self.assertEqual((200, b"whole"), (status, body))
        self.assertEqual(SIGNATURE[1], headers[SIGNATURE[0].lower()])
