"""Tests of exchanges: late, truncated, duplicate and long responses, and dead connections."""

from __future__ import annotations

import time
import tracemalloc
from collections import Counter
from typing import Any

import attrs
import eventlet
import testtools
import urllib3
from testscenarios import WithScenarios

from magnoliasill.calls.call import Call
from magnoliasill.calls.caller_application import build_application
from magnoliasill.calls.caller_protocol import CallerProtocol
from magnoliasill.calls.connections import CONNECT_TIMEOUT_S, ConnectionPool, is_open
from magnoliasill.calls.exchange import PROBE_TIMEOUT_S, SILENCE_TIMEOUT_S, exchange_call
from magnoliasill.core.outcomes import OutcomeKind

from ..http_helpers import TIMEOUT_S, build_proxy, read_request, serve_bytes, serve_locally

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
DEADLINE_S = 5.0
MB = 1_000_000


def build_call(path: str = "/fees", new_connection: bool = False) -> Call:
    """Return a call without a body."""
    return Call("GET", path, path, {}, None, "", time.monotonic() + DEADLINE_S, new_connection)


class AnswerTest(WithScenarios, testtools.TestCase):
    """What a backend server may send, and whether it counts as a complete response."""

    scenarios = [
        (name, {"data": data, "kind": kind, "timeout_s": timeout_s})
        for name, data, kind, timeout_s in (
            ("whole", OK, OutcomeKind.SUCCEEDED, 5.0),
            ("cut short", OK[:-1], OutcomeKind.BROKEN, 5.0),
            ("cut in the head", OK[:20], OutcomeKind.BROKEN, 5.0),
            ("nothing", b"", OutcomeKind.BROKEN, 5.0),
            (
                "chunks",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                OutcomeKind.SUCCEEDED,
                5.0,
            ),
            (
                "chunks cut between",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                OutcomeKind.BROKEN,
                5.0,
            ),
            (
                "chunks cut inside",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
                OutcomeKind.BROKEN,
                5.0,
            ),
            ("until the end", b"HTTP/1.0 200 OK\r\n\r\nok", OutcomeKind.BROKEN, 5.0),
            ("no HTTP", b"nonsense\r\n\r\n", OutcomeKind.BROKEN, 5.0),
            (
                "two lengths",
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                OutcomeKind.BROKEN,
                5.0,
            ),
            ("never", None, OutcomeKind.TIMED_OUT, 0.1),
        )
    ]

    def test_kind(self) -> None:
        def handle(sock: Any) -> None:
            read_request(sock)
            if self.data is None:
                eventlet.sleep(TIMEOUT_S)
            sock.sendall(self.data)
            sock.close()

        pool = ConnectionPool()
        with eventlet.Timeout(TIMEOUT_S):
            result = exchange_call(pool, serve_bytes(handle), build_call(), self.timeout_s)
        self.assertEqual(self.kind, result.kind, result.problem)
        if self.kind is OutcomeKind.SUCCEEDED:
            self.assertEqual(b"ok", result.response.body)
        else:
            self.assertIsNone(result.response)
            self.assertEqual({}, pool.idle)


class PrefixTest(WithScenarios, testtools.TestCase):
    """Guards against taking an answer that breaks off within its head or chunks for a whole one."""

    scenarios = [
        (name, {"answer": b"HTTP/1.1 200 OK\r\nX-Own: 1\r\n" + rest})
        for name, rest in (
            ("length", b"Content-Length: 12\r\n\r\nabcdefghijkl"),
            ("no body", b"Content-Length: 0\r\n\r\n"),
            ("chunks", b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n"),
        )
    ]

    def test_no_prefix_is_a_whole_answer(self) -> None:
        for length in range(len(self.answer)):

            def handle(sock: Any, length: int = length) -> None:
                read_request(sock)
                sock.sendall(self.answer[:length])
                sock.close()

            with eventlet.Timeout(TIMEOUT_S):
                result = exchange_call(
                    ConnectionPool(), serve_bytes(handle), build_call(), DEADLINE_S
                )
            self.assertEqual(OutcomeKind.BROKEN, result.kind, self.answer[:length])


class ConnectTest(testtools.TestCase):
    """A failure to connect is `UNREACHABLE`: the call certainly did not run."""

    def test_no_listener(self) -> None:
        listener = eventlet.listen(("127.0.0.1", 0))
        host, port = listener.getsockname()
        listener.close()
        result = exchange_call(ConnectionPool(), f"{host}:{port}", build_call(), DEADLINE_S)
        self.assertEqual(OutcomeKind.UNREACHABLE, result.kind)

    def test_answer_may_take_longer_than_connecting(self) -> None:
        def handle(sock: Any) -> None:
            read_request(sock)
            eventlet.sleep(CONNECT_TIMEOUT_S * 1.5)
            sock.sendall(OK)

        result = exchange_call(ConnectionPool(), serve_bytes(handle), build_call(), DEADLINE_S)
        self.assertEqual(OutcomeKind.SUCCEEDED, result.kind, result.problem)

    def test_no_answer_to_connecting(self) -> None:
        listener = eventlet.listen(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        fillers = [eventlet.spawn(eventlet.connect, (host, port)) for _ in range(3)]
        self.addCleanup(lambda: [filler.kill() for filler in fillers])
        eventlet.sleep(0)
        started = time.monotonic()
        result = exchange_call(ConnectionPool(), f"{host}:{port}", build_call(), DEADLINE_S)
        self.assertEqual(OutcomeKind.UNREACHABLE, result.kind, result.problem)
        self.assertLess(time.monotonic() - started, DEADLINE_S)


class ReuseTest(testtools.TestCase):
    """A connection is reused only if its last response was read completely and nothing follows."""

    def test_copy_of_a_refusal_is_not_taken(self) -> None:
        """Guards against a refusal that is written again before the answer of the next call."""
        refusal = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

        def handle(sock: Any) -> None:
            for number in range(2):
                if not read_request(sock):
                    return
                refuses = not refused
                refused.append(True)
                sock.sendall(refusal if refuses else refusal * number + OK)

        refused: list[bool] = []
        pool, address = ConnectionPool(), serve_bytes(handle)
        kinds = [exchange_call(pool, address, build_call(), DEADLINE_S).kind for _ in range(2)]
        self.assertEqual([OutcomeKind.SHED, OutcomeKind.SUCCEEDED], kinds)

    def test_second_answer_is_not_taken(self) -> None:
        connections: Counter[str] = Counter()

        def handle(sock: Any) -> None:
            connections["opened"] += 1
            number = connections["opened"]
            while read_request(sock):
                body = f"{number}".encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)
                eventlet.sleep(0.05)
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")

        pool, address = ConnectionPool(), serve_bytes(handle)
        with eventlet.Timeout(TIMEOUT_S):
            first = exchange_call(pool, address, build_call(), DEADLINE_S)
            (connection,) = pool.idle[address]
            while is_open(connection):
                eventlet.sleep(0.01)
            second = exchange_call(pool, address, build_call(), DEADLINE_S)
        self.assertEqual((b"1", b"2"), (first.response.body, second.response.body))

    def test_late_answer_is_not_taken(self) -> None:
        send_late = eventlet.Event()

        def handle(sock: Any) -> None:
            while request := read_request(sock):
                if b"/late" in request:
                    send_late.wait()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + request[4:9])

        pool, address = ConnectionPool(), serve_bytes(handle)
        with eventlet.Timeout(TIMEOUT_S):
            late = exchange_call(pool, address, build_call("/late"), 0.1)
            send_late.send()
            other = exchange_call(pool, address, build_call("/next"), DEADLINE_S)
        self.assertEqual(OutcomeKind.TIMED_OUT, late.kind)
        self.assertEqual(b"/next", other.response.body)

    def test_fresh_connection(self) -> None:
        opened: list[Any] = []

        def handle(sock: Any) -> None:
            opened.append(sock)
            while read_request(sock):
                sock.sendall(OK)

        pool, address = ConnectionPool(), serve_bytes(handle)
        for new_connection, count in ((False, 1), (False, 1), (True, 2)):
            exchange_call(pool, address, build_call(new_connection=new_connection), DEADLINE_S)
            self.assertEqual(count, len(opened))


@attrs.define
class Middlebox:
    """Forwards TCP connections, and can drop its state of those that are open.

    Attributes:
        target: The `ip:port` to which it forwards.
        epoch: Incremented to drop the state of every open connection.
        opened: Number of connections by epoch.
    """

    target: str
    epoch: int = 0
    opened: Counter[int] = attrs.field(factory=Counter)

    def handle(self, sock: Any) -> None:
        """Forward a connection until its state is dropped."""
        epoch = self.epoch
        self.opened[epoch] += 1
        host, _, port = self.target.rpartition(":")
        other = eventlet.connect((host, int(port)))
        eventlet.spawn(self._pump, other, sock, epoch)
        self._pump(sock, other, epoch)

    def _pump(self, source: Any, sink: Any, epoch: int) -> None:
        while data := source.recv(65_536):
            if self.epoch == epoch:
                sink.sendall(data)


class SilentTest(testtools.TestCase):
    """A middlebox silently drops open connections while new ones work; or the server is slow."""

    def setUp(self) -> None:
        super().setUp()
        self.delay_s = 0.0

        def handle(sock: Any) -> None:
            while request := read_request(sock):
                if b"/healthz" not in request:
                    eventlet.sleep(self.delay_s)
                sock.sendall(OK)

        self.box = Middlebox(serve_bytes(handle))
        self.address = serve_bytes(self.box.handle)
        self.pool = ConnectionPool()
        calls = [eventlet.spawn(self._call) for _ in range(4)]
        kinds = {call.wait().kind for call in calls}
        self.assertEqual({OutcomeKind.SUCCEEDED}, kinds)
        self.assertEqual(4, len(self.pool.idle[self.address]))

    def _call(self) -> Any:
        return exchange_call(self.pool, self.address, build_call(), DEADLINE_S)

    def test_found_and_dropped_with_older_ones(self) -> None:
        self.box.epoch += 1
        started = time.monotonic()
        with eventlet.Timeout(TIMEOUT_S):
            found = self._call()
            took_s = time.monotonic() - started
            after = self._call()
        self.assertEqual((OutcomeKind.BROKEN, "silent connection"), (found.kind, found.problem))
        self.assertLess(took_s, DEADLINE_S)
        self.assertGreater(took_s, SILENCE_TIMEOUT_S)
        self.assertEqual(OutcomeKind.SUCCEEDED, after.kind)
        self.assertEqual(1, len(self.pool.idle[self.address]))

    def test_slow_server_is_not_silent(self) -> None:
        self.delay_s = SILENCE_TIMEOUT_S + 2 * PROBE_TIMEOUT_S
        with eventlet.Timeout(TIMEOUT_S):
            self.assertEqual(OutcomeKind.SUCCEEDED, self._call().kind)


class LongAnswerTest(WithScenarios, testtools.TestCase):
    """Long responses are streamed; a truncated one ends the caller's connection early."""

    scenarios = [
        (f"{name}, {framing}", {"framing": framing, "sent": sent})
        for name, sent in (("whole", 1.0), ("broken", 0.5))
        for framing in ("length", "chunks")
    ]
    size = 40 * MB

    def test_bounded_and_never_complete_when_broken(self) -> None:
        chunk = bytes(100_000)
        count = int(self.size / len(chunk) * self.sent)

        def handle(sock: Any) -> None:
            read_request(sock)
            if self.framing == "length":
                sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {self.size}\r\n\r\n".encode())
                for _ in range(count):
                    sock.sendall(chunk)
            else:
                sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                for _ in range(count):
                    sock.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))
                if self.sent == 1.0:
                    sock.sendall(b"0\r\n\r\n")
            sock.close()

        proxy = build_proxy(serve_bytes(handle))
        host, port = serve_locally(build_application(proxy), CallerProtocol)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        received, problem = 0, None
        with eventlet.Timeout(TIMEOUT_S):
            response = urllib3.request(
                "GET", f"http://{host}:{port}/fees", preload_content=False, retries=False
            )
            try:
                for received_chunk in response.stream(65_536):
                    received += len(received_chunk)
            except urllib3.exceptions.HTTPError as error:
                problem = error
        self.assertLess(tracemalloc.get_traced_memory()[1], 10 * MB)
        self.assertEqual(self.sent == 1.0, problem is None)
        self.assertEqual(self.sent == 1.0, received == self.size)
