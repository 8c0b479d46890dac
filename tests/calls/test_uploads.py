"""Tests of long request bodies: memory is bounded, and truncated bodies are never completed."""

from __future__ import annotations

import socket
import tracemalloc
from typing import Any

import eventlet
import msgspec
import testtools

from magnoliasill.calls.caller_application import build_application
from magnoliasill.calls.caller_protocol import CallerProtocol

from ..http_helpers import TIMEOUT_S, build_proxy, exchange_bytes, serve_bytes, serve_locally

SIZE = 30_000_000
CHUNK = bytes(100_000)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
SHED = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\n{}"


class UploadTest(testtools.TestCase):
    """A caller sends a long body through a proxy with one backend server."""

    def setUp(self) -> None:
        super().setUp()
        self.received: list[int] = []
        self.response = OK
        self.respond_after = SIZE
        proxy = build_proxy(serve_bytes(self._handle), max_body_bytes=SIZE)
        self.address = serve_locally(build_application(proxy), CallerProtocol)

    def _handle(self, sock: Any) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(4_096)
        size = len(data.partition(b"\r\n\r\n")[2])
        while size < self.respond_after and (chunk := sock.recv(65_536)):
            size += len(chunk)
        self.received.append(size)
        if size >= self.respond_after:
            sock.sendall(self.response)
        while sock.recv(65_536):
            pass

    def _send(self, size: int) -> tuple[int, Any]:
        with eventlet.Timeout(TIMEOUT_S):
            sock = eventlet.connect(self.address)
            head = f"PUT /fees HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {SIZE}"
            sock.sendall(head.encode() + b"\r\n\r\n")
            for _ in range(size // len(CHUNK)):
                sock.sendall(CHUNK)
            sock.shutdown(socket.SHUT_WR)
            response = b""
            while chunk := sock.recv(65_536):
                response += chunk
        head, _, body = response.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), msgspec.json.decode(body)

    def test_bounded(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual((200, {}), self._send(SIZE))
        self.assertLess(tracemalloc.get_traced_memory()[1], SIZE / 3)
        self.assertEqual([SIZE], self.received)

    def test_cut_short(self) -> None:
        status, body = self._send(SIZE // 2)
        self.assertEqual((502, "MS-504"), (status, body["code"]))
        while not self.received:
            eventlet.sleep(0)
        self.assertLess(self.received[0], SIZE)

    def test_shed_is_told_as_not_run(self) -> None:
        self.response = SHED
        status, body = self._send(SIZE)
        self.assertEqual((503, "no"), (status, body["ran"]))
        self.assertEqual([SIZE], self.received)

    def test_chunks_beyond_the_bound(self) -> None:
        chunk = b"%x\r\n%b\r\n" % (5_000_000, bytes(5_000_000))
        data = b"PUT /fees HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        status, body = exchange_bytes(self.address, data + chunk + b"0\r\n\r\n")
        self.assertEqual((413, "MS-507", []), (status, body["code"], self.received))
