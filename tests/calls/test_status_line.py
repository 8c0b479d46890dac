"""Tests of odd status lines in each port that reads answers.

Guards against an answer whose status is none of the protocol, such as 000, that is passed on as an
answer, and against an interim response that is taken for the final one.
"""

from __future__ import annotations

from testscenarios import multiply_scenarios

from ..odd_answers import BODY
from .answer_ports import PortCase, serve_answer

REST = b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
ODD_LINES = (
    *(
        f"HTTP/1.1 {status} Odd"
        for status in (
            *("000", "0", "099", "20", "1000", "600", "777", "999", "-200", "+200", "2_00"),
            *("00200", "200.0", "0x1f", "abc", "\u0662\u0660\u0660".encode().decode("latin-1")),
        )
    ),
    *("HTTP/1.x 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1"),
    *("HTTP/1.1 101 Switching Protocols", "200 OK", "http/1.1 200 OK", "ICY 200 OK"),
)
INTERIM_LINES = ("100 Continue", "102 Processing", "103 Early Hints", "199 Odd")
USUAL_LINES = ("HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK")


class OddLineTest(PortCase):
    scenarios = multiply_scenarios(
        PortCase.scenarios, [(repr(line), {"line": line}) for line in ODD_LINES]
    )

    # 600 to 999, +200 and 101 were passed on as answers
    def test_it_is_no_answer(self) -> None:
        self.assertIsNone(self.ask(serve_answer(f"{self.line}\r\n".encode("latin-1") + REST)))


class InterimResponseTest(PortCase):
    scenarios = multiply_scenarios(
        PortCase.scenarios, [(line, {"line": line}) for line in INTERIM_LINES]
    )

    # 102 and 103 were taken for the final answer, which was lost
    def test_the_final_answer_counts(self) -> None:
        interim = f"HTTP/1.1 {self.line}\r\nLink: </x>\r\n\r\n".encode()
        answer = 2 * interim + b"HTTP/1.1 200 OK\r\n" + REST
        self.assertEqual((200, BODY), self.ask(serve_answer(answer)))

    def test_without_end(self) -> None:
        interim = f"HTTP/1.1 {self.line}\r\nLink: </x>\r\n\r\n".encode()
        self.assertIsNone(self.ask(serve_answer(100 * interim)))

    def test_an_odd_line_after_it_is_no_answer(self) -> None:
        interim = f"HTTP/1.1 {self.line}\r\n\r\n".encode()
        self.assertIsNone(self.ask(serve_answer(interim + b"HTTP/1.1 000 Odd\r\n" + REST)))


class UsualLineTest(PortCase):
    scenarios = multiply_scenarios(
        PortCase.scenarios, [(repr(line), {"line": line}) for line in USUAL_LINES]
    )

    def test_it_is_an_answer(self) -> None:
        answer = f"{self.line}\r\n".encode() + REST
        self.assertEqual((200, BODY), self.ask(serve_answer(answer)))
