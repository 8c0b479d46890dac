"""Tests of requests from callers: malformed ones are rejected, paths are forwarded unchanged."""

from __future__ import annotations

import socket

import eventlet
import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.caller_application import build_application
from magnoliasill.calls.caller_protocol import CallerProtocol

from ..http_helpers import (
    TIMEOUT_S,
    build_proxy,
    exchange_bytes,
    read_request,
    serve_bytes,
    serve_locally,
)


def frame(line: str, *headers: str, body: str = "") -> bytes:
    """Return the bytes of a request with `Connection: close`."""
    lines = [line, "Host: x", "Connection: close", *headers, "", body]
    return "\r\n".join(lines).encode()


class BadInputTest(WithScenarios, testtools.TestCase):
    """Each malformed request gets a status and an error code and is not forwarded."""

    scenarios = [
        (name, {"data": data, "status": status, "code": code})
        for name, data, status, code in (
            ("negative length", frame("PUT /fees HTTP/1.1", "Content-Length: -1"), 400, 525),
            ("text length", frame("PUT /fees HTTP/1.1", "Content-Length: ten"), 400, 525),
            ("signed length", frame("PUT /fees HTTP/1.1", "Content-Length: +3"), 400, 525),
            (
                "two lengths",
                frame("PUT /fees HTTP/1.1", "Content-Length: 3", "Content-Length: 4", body="abc"),
                400,
                525,
            ),
            (
                "length and chunks",
                frame(
                    "PUT /fees HTTP/1.1",
                    "Content-Length: 3",
                    "Transfer-Encoding: chunked",
                    body="0\r\n\r\n",
                ),
                400,
                525,
            ),
            ("unknown coding", frame("PUT /fees HTTP/1.1", "Transfer-Encoding: zip"), 400, 525),
            (
                "bad chunk",
                frame("PUT /fees HTTP/1.1", "Transfer-Encoding: chunked", body="zz\r\nabc\r\n"),
                400,
                525,
            ),
            (
                "chunks too long",
                frame(
                    "PUT /fees HTTP/1.1",
                    "Transfer-Encoding: chunked",
                    body=f"c8\r\n{'x' * 200}\r\n0\r\n\r\n",
                ),
                413,
                507,
            ),
            (
                "chunks cut short",
                frame("PUT /fees HTTP/1.1", "Transfer-Encoding: chunked", body="a\r\nabc"),
                400,
                525,
            ),
            (
                "body too long",
                frame("PUT /fees HTTP/1.1", "Content-Length: 101", body="x" * 101),
                413,
                507,
            ),
            (
                "body cut short",
                frame("PUT /fees HTTP/1.1", "Content-Length: 50", body="x" * 10),
                400,
                525,
            ),
            ("long header", frame("GET /fees HTTP/1.1", f"X-A: {'a' * 9000}"), 431, 526),
            (
                "many headers",
                frame("GET /fees HTTP/1.1", *(f"X-{n}: {'a' * 900}" for n in range(90))),
                431,
                526,
            ),
            ("long target", frame(f"GET /{'a' * 9000} HTTP/1.1"), 414, 527),
            ("no request", b"nonsense\r\n\r\n", 400, 525),
            ("missing key", frame("POST /fees HTTP/1.1", "Content-Length: 0"), 400, 506),
            ("unknown route", frame("GET /nothing HTTP/1.1"), 404, 501),
        )
    ]

    def test_refused(self) -> None:
        forwarded: list[bytes] = []
        backend = serve_bytes(lambda sock: forwarded.append(read_request(sock)))
        address = serve_locally(build_application(build_proxy(backend)), CallerProtocol)
        status, body = exchange_bytes(address, self.data, close_sending=True)
        self.assertEqual((self.status, f"MS-{self.code}"), (status, body and body["code"]))
        self.assertEqual("no", body["ran"])
        self.assertEqual([], forwarded)


class TruncatedHeadTest(testtools.TestCase):
    """Guards against running a request whose connection ended within its head."""

    def test_no_prefix_is_forwarded_or_answered(self) -> None:
        forwarded: list[bytes] = []
        backend = serve_bytes(lambda sock: forwarded.append(read_request(sock)))
        address = serve_locally(build_application(build_proxy(backend)), CallerProtocol)
        data = frame("PUT /fees HTTP/1.1", "Content-Length: 0")
        for length in range(len(data) - 1):
            with eventlet.Timeout(TIMEOUT_S), eventlet.connect(address) as sock:
                sock.sendall(data[:length])
                sock.shutdown(socket.SHUT_WR)
                self.assertEqual(b"", sock.recv(1), data[:length])
        self.assertEqual([], forwarded)


class ChunkedTest(testtools.TestCase):
    """A request with a chunked body."""

    def test_forwarded_whole(self) -> None:
        received: list[bytes] = []

        def application(environ: dict, start_response: object) -> list[bytes]:
            received.append(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
            start_response("200 OK", [("Content-Type", "application/json")])
            return [b"{}"]

        host, port = serve_locally(application)
        proxy = build_proxy(f"{host}:{port}")
        address = serve_locally(build_application(proxy), CallerProtocol)
        data = frame(
            "PUT /fees HTTP/1.1",
            "Transfer-Encoding: chunked",
            body="3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        )
        self.assertEqual((200, {}), exchange_bytes(address, data))
        self.assertEqual([b"abcde"], received)


class EncodedPathTest(WithScenarios, testtools.TestCase):
    """Paths are routed and forwarded without being decoded; dot segments are rejected."""

    scenarios = [
        (target, {"target": target, "status": status})
        for target, status in (
            ("/receipts/a%20b", 200),
            ("/receipts/a%2Fb/..%2Fc", 200),
            ("/receipts/%C3%B1?q=%20%26", 200),
            ("/receipts/a;v=1", 200),
            ("/%66ees", 404),
            ("/receipts/../fees", 400),
            ("/receipts/%2E%2e/fees", 400),
        )
    ]

    def test_passed_on_as_written(self) -> None:
        lines: list[str] = []

        def handle(sock: object) -> None:
            lines.append(read_request(sock).split(b"\r\n")[0].decode())
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            sock.close()

        application = build_application(build_proxy(serve_bytes(handle)))
        address = serve_locally(application, CallerProtocol)
        status, _ = exchange_bytes(address, frame(f"GET {self.target} HTTP/1.1"))
        self.assertEqual(self.status, status)
        expected = [f"GET {self.target} HTTP/1.1"] if status == 200 else []
        self.assertEqual(expected, lines)
