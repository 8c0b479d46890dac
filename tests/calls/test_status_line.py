"""Tests of odd status lines in each port that reads answers.

Guards against an answer whose status is none of the protocol, such as 000, that is passed on as an
answer, and against an interim response that is taken for the final one.
"""

from __future__ import annotations

import io
from time import monotonic
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import eventlet
import testtools
from testscenarios import WithScenarios, multiply_scenarios

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.calls.exchange import exchange_call
from magnoliasill.core.outcomes import OutcomeKind
from magnoliasill.errors import StoreError
from magnoliasill.platform.store import connect_client
from magnoliasill.sidecar.bodies import LongBody
from magnoliasill.sidecar.header_parser import install_head_parser
from magnoliasill.sidecar.http_exchange import BrokenError, Message, NotSentError, exchange
from magnoliasill.sidecar.member_requests import request_from_member
from magnoliasill.sidecar.metrics import Meters

from ..http_helpers import read_request, serve_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_S = 10.0
BODY = b'{"items":[],"store_revision":7}'
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


def serve_answer(answer: bytes) -> str:
    """Answer each request with some bytes, then close; return `ip:port`."""

    def handle(sock: Any) -> None:
        read_request(sock)
        sock.sendall(answer)
        eventlet.sleep(0.05)

    return serve_bytes(handle)


def ask_server(address: str) -> tuple[int, bytes] | None:
    """Return the status and body that a gate or server answers, or None."""
    message = Message("GET", "/x", [("Host", "x")], None)
    try:
        reply = exchange(ConnectionPool(), address, message, monotonic() + TIMEOUT_S, False)
    except BrokenError:
        return None
    return reply.status, reply.body


def ask_for_body(address: str) -> tuple[int, bytes] | None:
    """Return the same where a long body is sent only once it is asked for."""
    body = LongBody(b"x" * 10, io.BytesIO(b"y" * 10), 20, 100)
    message = Message("POST", "/x", [("Host", "x")], body, expects_continue=True)
    try:
        reply = exchange(ConnectionPool(), address, message, monotonic() + TIMEOUT_S, False)
    except (BrokenError, NotSentError):
        return None
    return reply.status, reply.body


def ask_member(address: str) -> tuple[int, bytes] | None:
    """Return the same for what another sidecar answers."""
    sidecar: Any = SimpleNamespace(
        control_connections=ConnectionPool(), clock=monotonic, meters=Meters()
    )
    member: Any = SimpleNamespace(gate=address)
    answer = request_from_member(sidecar, member, "/x", TIMEOUT_S, dict)
    return None if answer is None else (200, BODY)


def ask_store(address: str) -> tuple[int, bytes] | None:
    """Return the same for what the store answers."""
    try:
        page = connect_client(address, TIMEOUT_S).read_page("")
    except StoreError:
        return None
    return (200, BODY) if page.revision == 7 else None


def ask_own_interface(address: str) -> tuple[int, bytes] | None:
    """Return the same for a backend server of the own interface."""
    call: Any = SimpleNamespace(
        method="GET", target="/x", headers={"Host": "x"}, body=None, new_connection=False
    )
    result = exchange_call(ConnectionPool(), address, call, TIMEOUT_S)
    if result.kind is not OutcomeKind.SUCCEEDED:
        return None
    return result.response.status, result.response.body


class PortCase(WithScenarios, testtools.TestCase):
    """A port that reads answers."""

    scenarios = [
        (ask.__name__, {"ask": staticmethod(ask)})
        for ask in (ask_server, ask_for_body, ask_member, ask_store, ask_own_interface)
    ]
    ask: Callable[[str], tuple[int, bytes] | None]

    def setUp(self) -> None:
        super().setUp()
        install_head_parser()


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
