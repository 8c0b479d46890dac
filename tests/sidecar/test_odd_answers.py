"""Tests of a backend server with odd answers, through two sidecars to a caller.

Guards against a caller that gets, as the server's answer, a body that was not the server's or a
line that is no field.
"""

from __future__ import annotations

import io
from time import monotonic
from typing import Any
from unittest import mock

import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.sidecar import forwarding
from magnoliasill.sidecar.bodies import LongBody
from magnoliasill.sidecar.http_exchange import BrokenError, Message, NotSentError, exchange

from ..calls.answer_ports import serve_answer
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

    # 119 of these answers were passed on, with the server's signature
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


class UnsentBodyTest(WithScenarios, testtools.TestCase):
    """A gate that answers oddly, perhaps that the request ran before, and asks for no body."""

    scenarios = name_answers((ODD_FRAMING[0], ODD_LINES[0], ODD_NAMES[0]))

    def send(self, answer: bytes) -> None:
        body = LongBody(b"x" * 10, io.BytesIO(b"y" * 10), 20, 100)
        message = Message("POST", "/x", [("Host", "x")], body, expects_continue=True)
        exchange(ConnectionPool(), serve_answer(answer), message, monotonic() + 5.0, False)

    # it was taken for not run
    def test_the_outcome_is_unknown(self) -> None:
        self.assertRaises(BrokenError, self.send, self.answer.encode())

    def test_nothing_ran_if_the_connection_just_ended(self) -> None:
        self.assertRaises(NotSentError, self.send, b"HTTP/1.1 502 Odd\r\n")


class OddGateTest(testtools.TestCase):
    """A caller whose request has two gates to go to, of which each answers in such a way."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["shop", "shop", "web"])
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 5, build_rule("shop", kind="non_idempotent"))
        harness.wait_ready(self.fleet)

    # it was sent to the next gate
    def test_the_request_is_not_sent_again(self) -> None:
        address, attempts = serve_answer(ODD_LINES[0].encode()), []

        def exchange_oddly(pool: ConnectionPool, gate: str, *args: Any, **options: Any) -> Any:
            attempts.append(gate)
            return exchange(pool, address, *args, **options)

        with (
            mock.patch.object(forwarding, "exchange", exchange_oddly),
            mock.patch.object(forwarding, "_is_asked_for", lambda body, member: True),
        ):
            status, _, _ = harness.send(self.fleet, 2, "/shop/x", "a-1", "POST", b"abc")
        self.assertEqual((502, 1), (status, len(attempts)))
        events = [event["event"] for event in self.fleet.events]
        self.assertNotIn("request_suspected", events)
