"""Tests of a backend server with odd answers, through two sidecars to a caller.

Guards against a caller that gets, as the server's answer, a body that was not the server's or a
line that is no field.
"""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from ..odd_answers import BODY, ODD_FRAMING, ODD_LINES, ODD_NAMES, USUAL, Answer, name_answers
from . import fleet as harness
from .fleet import SIGNATURE, build_rule, open_fleet, put_configuration

MAX_REASON_CHARACTERS = 600


class AnswerCase(testtools.TestCase):
    """A caller of one sidecar, whose request runs once at most, at the server of another one."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["shop", "web"])
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 5, build_rule("shop", kind="non_idempotent"))
        harness.wait_ready(self.fleet)
        self.server = self.fleet.servers[0]

    def call(
        self, answer: Answer | None, identifier: str = "a-1"
    ) -> tuple[int, dict[str, str], bytes]:
        """Return what the caller gets where the server answers so, or in its own way if None."""

        def behave(server: harness.Server, attempt: str) -> bytes | None:
            self.used_connections = set(server.connections)
            fields = f"Attempt-Id: {attempt}\r\n{SIGNATURE[0]}: {SIGNATURE[1]}\r\n".encode()
            return None if answer is None else answer.encode(fields)

        self.server.behave = behave
        return harness.send(self.fleet, 1, "/shop/x", identifier)


class OddAnswerTest(WithScenarios, AnswerCase):
    scenarios = name_answers((*ODD_FRAMING, *ODD_LINES, *ODD_NAMES))

    # 30 of 41 such answers were passed on, with the server's signature
    def test_its_outcome_is_unknown_and_the_next_one_is_true(self) -> None:
        status, headers, _ = self.call(self.answer)
        self.assertEqual(502, status)
        self.assertNotIn(SIGNATURE[0].lower(), headers)
        self.assertEqual(1, self.server.runs["a-1"])
        (reason,) = (
            event["reason"] for event in self.fleet.events if event["event"] == "gate_failed"
        )
        self.assertIn("MalformedResponseError", reason)
        self.assertTrue(reason.isascii() and reason.isprintable(), reason)
        self.assertLess(len(reason), MAX_REASON_CHARACTERS)
        used = self.used_connections
        harness.wait_for(lambda: not used & self.server.connections, "the connection is still open")
        status, _, body = self.call(None, "a-2")
        self.assertEqual((200, b"made by i-1"), (status, body))


class UsualAnswerTest(WithScenarios, AnswerCase):
    scenarios = name_answers(USUAL)

    def test_it_reaches_the_caller(self) -> None:
        status, headers, body = self.call(self.answer)
        self.assertEqual((200, BODY), (status, body))
        self.assertEqual(SIGNATURE[1], headers[SIGNATURE[0].lower()])


class LogTest(WithScenarios, AnswerCase):
    scenarios = [
        (named, {"line": line, "named": named})
        for line, named in (
            (b"Content-Length: +31", "'+31'"),
            (b"Transfer-Encoding: gzip", "'gzip'"),
            (b"X-A: a\x00b", r"X-A: a\\x00b"),
            (b"X A: 1", "X A: 1"),
            (b"no colon" + b"x" * 1000, "no colon" + "x" * 72 + "'"),
        )
    ]

    # who looks for the cause finds the line
    def test_it_names_the_line(self) -> None:
        self.call(Answer(self.line + b"\r\n\r\n" + BODY))
        reasons = [
            event["reason"]
            for event in self.fleet.events
            if event["event"] in ("gate_failed", "attempt_failed")
        ]
        self.assertEqual(2, len(reasons))
        for reason in reasons:
            self.assertIn(self.named, reason)
