"""Tests of answers in each port that reads some: what the RFCs forbid is none, what they allow is.

Guards against an answer in trouble that is passed on with a body that was not the server's, or with
a line that is no field.
"""

from __future__ import annotations

from time import monotonic

import testtools
from testscenarios import WithScenarios, multiply_scenarios

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.sidecar.http_exchange import Message, exchange

from ..odd_answers import (
    BODY,
    ODD_FRAMING,
    ODD_LINES,
    ODD_NAMES,
    USUAL,
    USUAL_UNTIL_THE_END,
    USUAL_WITHOUT_BODY,
    Answer,
    build_chunked,
    name_answers,
)
from .answer_ports import TIMEOUT_S, PortCase, ask_own_interface, ask_server, serve_answer


def multiply(answers: tuple[Answer, ...]) -> list[tuple[str, dict[str, object]]]:
    """Return the scenarios of all answers at all ports."""
    return multiply_scenarios(PortCase.scenarios, name_answers(answers))


class RefusedCase(PortCase):
    answer: Answer

    def check(self) -> None:
        self.assertIsNone(self.ask(serve_answer(self.answer.encode())))


class OddFramingTest(RefusedCase):
    scenarios = multiply(ODD_FRAMING)

    # `+5` and `1_0` cut the body, `gzip` was ignored, and the two bytes after a chunk were dropped
    def test_it_is_no_answer(self) -> None:
        self.check()


class OddLineTest(RefusedCase):
    scenarios = multiply(ODD_LINES)

    # the own interface ended the head there; elsewhere a value with NUL or a bare CR was passed on
    def test_it_is_no_answer(self) -> None:
        self.check()


class OddNameTest(RefusedCase):
    scenarios = multiply(ODD_NAMES)

    # the line was passed on, and `Content Length` made the body what came until the end
    def test_it_is_no_answer(self) -> None:
        self.check()


class UsualAnswerTest(PortCase):
    scenarios = multiply(USUAL)

    def test_it_is_an_answer(self) -> None:
        self.assertEqual((200, BODY), self.ask(serve_answer(self.answer.encode())))


class UntilTheEndTest(PortCase):
    scenarios = multiply(USUAL_UNTIL_THE_END)

    def test_it_is_an_answer_but_in_the_own_interface(self) -> None:
        expected = None if self.ask is ask_own_interface else (200, BODY)
        self.assertEqual(expected, self.ask(serve_answer(self.answer.encode())))


class HeadTest(WithScenarios, testtools.TestCase):
    scenarios = name_answers((USUAL[0], USUAL_UNTIL_THE_END[0], build_chunked()))

    def test_it_has_no_body(self) -> None:
        address = serve_answer(self.answer.encode().removesuffix(BODY))
        message = Message("HEAD", "/x", [("Host", "x")], None)
        reply = exchange(ConnectionPool(), address, message, monotonic() + TIMEOUT_S, False)
        self.assertEqual((200, b"", None), (reply.status, reply.body, reply.remaining_chunks))


class WithoutBodyTest(PortCase):
    scenarios = [
        scenario
        for scenario in multiply(USUAL_WITHOUT_BODY)
        if scenario[1]["ask"] in (ask_server, ask_own_interface)
    ]

    def test_it_is_an_answer(self) -> None:
        status, body = self.ask(serve_answer(self.answer.encode()))
        self.assertIn(status, (204, 304))
        self.assertEqual(b"", body)
