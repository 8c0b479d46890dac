"""Tests of requests to other sidecars."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import testtools

from magnoliasill.sidecar import member_requests
from magnoliasill.sidecar.http_exchange import Reply


class LongResponseTest(testtools.TestCase):
    """A response that is longer than what is buffered, such as a snapshot for many VMs."""

    def request(self, chunks: Any) -> list[int] | None:
        reply = Reply(200, "OK", [], b"[1, 2", chunks)
        self.patch(member_requests, "exchange", lambda *_: reply)
        sidecar = SimpleNamespace(clock=lambda: 0.0, peer_connections=None)
        member = SimpleNamespace(gate="10.0.0.1:1")
        return member_requests.request_from_member(sidecar, member, "/x", 1.0, list[int])

    # its end was cut off, so that a relay's snapshot counted as no response
    def test_it_is_read_to_its_end(self) -> None:
        self.assertEqual([1, 2, 3, 4], self.request(iter([b", 3", b", 4]"])))

    def test_one_that_breaks_off_is_none(self) -> None:
        def break_off() -> Any:
            yield b", 3"
            raise OSError("connection reset")

        self.assertIsNone(self.request(break_off()))
