"""Tests of backend servers that send bytes without end, until the sidecar closes."""

from __future__ import annotations

import resource
import time
from typing import TYPE_CHECKING, Any

import eventlet
import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.sidecar.http_exchange import BrokenError, Message, exchange

if TYPE_CHECKING:
    from collections.abc import Iterator

DEADLINE_S = 0.6
# A read in progress ends within this after the deadline also on a busy machine; without a deadline
# for the whole answer, the exchange would never end.
MAX_DELAY_S = 5.0
MAX_GROWTH_KB = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n"


def repeat(piece: bytes, pause_s: float = 0.0) -> Iterator[bytes]:
    """Yield the same bytes without end."""
    while True:
        yield piece
        eventlet.sleep(pause_s)


def chunk(size: int) -> bytes:
    """Return a chunk of a body in chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


def send_after(start: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the start of an answer, then the rest."""
    yield start
    yield from rest


ANSWERS = {
    "status-line": lambda: repeat(b"x" * 4096),
    "status-line-in-drops": lambda: repeat(b"x", 0.05),
    "headers": lambda: send_after(HEAD, repeat(b"X-Header: y\r\n")),
    "headers-in-drops": lambda: send_after(HEAD, repeat(b"X", 0.05)),
    "interim-responses": lambda: repeat(b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "interim-responses-in-drops": lambda: repeat(b"HTTP/1.1 100 Continue\r\n\r\n", 0.05),
    "interim-headers": lambda: send_after(
        b"HTTP/1.1 100 Continue\r\n", repeat(b"X-Header: y\r\n", 0.001)
    ),
    "body-without-length": lambda: send_after(HEAD + b"\r\n", repeat(b"x" * 65_536)),
    "body-in-drops": lambda: send_after(HEAD + b"Content-Length: 9000\r\n\r\n", repeat(b"x", 0.05)),
    "chunks": lambda: send_after(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n", repeat(chunk(65_536))
    ),
    "chunk-size": lambda: send_after(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n", repeat(b"0" * 4096, 0.01)
    ),
    "trailers": lambda: send_after(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat(b"X-Trailer: y\r\n" * 100)
    ),
    "body-of-another-answer": lambda: send_after(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeat(chunk(65_536)),
    ),
    "unsolicited-answers": lambda: repeat(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n" * 100
    ),
}


class EndlessAnswerTest(WithScenarios, testtools.TestCase):
    """A backend server whose bytes never make a complete answer."""

    scenarios = [(name, {"build_answer": answer}) for name, answer in ANSWERS.items()]
    build_answer: Any

    def setUp(self) -> None:
        super().setUp()
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        thread = eventlet.spawn(eventlet.serve, self.listener, self.serve)
        self.addCleanup(thread.kill)
        self.closed = eventlet.Event()

    def serve(self, sock: Any, _address: Any) -> None:
        try:
            sock.recv(65_536)
            for piece in self.build_answer():
                sock.sendall(piece)
        except OSError:
            if not self.closed.ready():
                self.closed.send()

    # a deadline of each read let an answer last as long as bytes arrived, and grow without bound
    def test_it_ends_at_the_deadline_within_bounded_memory(self) -> None:
        host, port = self.listener.getsockname()
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started = time.monotonic()
        message = Message("GET", "/x", [("Host", "shop")], None)

        def is_answer(_status: int, headers: list[tuple[str, str]]) -> bool:
            return ("Attempt-Id", "a-1") in headers

        def read_answer() -> bytes:
            reply = exchange(
                ConnectionPool(), f"{host}:{port}", message, started + DEADLINE_S, True, is_answer
            )
            for _ in reply.remaining_chunks or ():
                pass
            return reply.body

        with eventlet.Timeout(DEADLINE_S + MAX_DELAY_S):
            self.assertRaises((BrokenError, OSError), read_answer)
            self.closed.wait()
        growth_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        self.assertLessEqual(growth_kb, MAX_GROWTH_KB)
