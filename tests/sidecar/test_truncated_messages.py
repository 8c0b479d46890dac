"""Tests of answers and requests whose connection ends before they are whole.

Guards against an answer that breaks off within its head and reaches the caller as a success with an
empty or short body, and against a request that breaks off and is run all the same.
"""

from __future__ import annotations

import socket
from time import monotonic
from typing import Any

import eventlet
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testscenarios import WithScenarios

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.sidecar.header_parser import install_head_parser
from magnoliasill.sidecar.http_exchange import BrokenError, Message, Reply, exchange
from magnoliasill.sidecar.protocol import build_protocol, serve_port

from ..http_helpers import read_request, serve_bytes

TIMEOUT_S = 10.0
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: t\r\n"
ANSWERS = {
    "length": HEAD + b"Content-Length: 12\r\n\r\nabcdefghijkl",
    "no body": HEAD + b"Content-Length: 0\r\n\r\n",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n10\r\n" + b"f" * 16 + b"\r\n"
    b"0\r\n\r\n",
    "trailer": HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n",
}
REQUESTS = {
    "no body": b"GET /x HTTP/1.1\r\nHost: x\r\nAttempt-Id: a\r\n\r\n",
    "length": b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nAttempt-Id: a\r\n\r\nabc",
    "chunks": b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0a\r\n0123456789\r\n0\r\n\r\n",
}
MESSAGE = Message("POST", "/x", [("Host", "x"), ("Attempt-Id", "a")], b"abc")


def exchange_with(parts: list[bytes]) -> Reply:
    """Return the reply to a request that is answered with some bytes, then closed."""

    def handle(sock: Any) -> None:
        read_request(sock)
        for part in parts:
            sock.sendall(part)
            eventlet.sleep(0)
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(65_536):
            pass

    pool = ConnectionPool()
    with eventlet.Timeout(TIMEOUT_S):
        return exchange(pool, serve_bytes(handle), MESSAGE, monotonic() + TIMEOUT_S, False)


def split_at(data: bytes, position: int) -> list[bytes]:
    """Return the bytes in two parts."""
    return [data[:position], data[position:]]


class AnswerTest(WithScenarios, testtools.TestCase):
    scenarios = [(name, {"answer": answer}) for name, answer in ANSWERS.items()]

    def setUp(self) -> None:
        super().setUp()
        install_head_parser()

    def test_whole_at_any_split(self) -> None:
        body = exchange_with([self.answer]).body

        @settings(max_examples=20, deadline=None, database=None, derandomize=True)
        @given(st.integers(0, len(self.answer)))
        def check(position: int) -> None:
            self.assertEqual(body, exchange_with(split_at(self.answer, position)).body)

        check()

    def test_no_prefix_is_a_whole_answer(self) -> None:
        for length in range(len(self.answer)):
            with testtools.ExpectedException(BrokenError):
                print(exchange_with([self.answer[:length]]), length)


class FramingTest(WithScenarios, testtools.TestCase):
    scenarios = [
        (header, {"header": header})
        for header in ("Content-Length: 12x", "Content-Length: -2", "Transfer-Encoding: gzip")
    ]

    def test_a_body_of_unclear_length_is_no_whole_answer(self) -> None:
        answer = HEAD + f"{self.header}\r\n\r\nab".encode()
        self.assertRaises(BrokenError, exchange_with, [answer])


class RequestTest(WithScenarios, testtools.TestCase):
    scenarios = [(name, {"request": request}) for name, request in REQUESTS.items()]

    def setUp(self) -> None:
        super().setUp()
        install_head_parser()
        self.bodies: list[bytes] = []
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = listener.getsockname()
        thread = eventlet.spawn(
            serve_port, listener, self.run_application, build_protocol(lambda: 5)
        )
        self.addCleanup(thread.kill)

    def run_application(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        wanted = int(environ.get("CONTENT_LENGTH") or 0)
        chunked = "HTTP_TRANSFER_ENCODING" in environ
        body = environ["wsgi.input"].read(100 if chunked else wanted)
        if chunked or len(body) == wanted:
            self.bodies.append(body)
        start_response("200 OK", [("Content-Length", "0"), ("Connection", "close")])
        return []

    def send(self, data: bytes) -> bytes:
        with eventlet.Timeout(TIMEOUT_S), eventlet.connect(self.address) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            answer = b""
            while part := sock.recv(65_536):
                answer += part
            return answer

    def test_no_prefix_is_a_whole_request(self) -> None:
        for length in range(len(self.request)):
            self.send(self.request[:length])
            self.assertEqual([], self.bodies, self.request[:length])

    def test_a_cut_head_is_not_answered(self) -> None:
        for length in range(self.request.index(b"\r\n\r\n") + 3):
            self.assertEqual(b"", self.send(self.request[:length]), self.request[:length])

    def test_whole(self) -> None:
        self.assertIn(b"200 OK", self.send(self.request))
        self.assertEqual(1, len(self.bodies))
