"""Tests of servers and sidecars that send bytes without end, until this sidecar closes."""

from __future__ import annotations

import io
import resource
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import eventlet
import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.sidecar.bodies import LongBody
from magnoliasill.sidecar.http_exchange import BrokenError, Message, NotSentError, exchange
from magnoliasill.sidecar.member_requests import request_from_member
from magnoliasill.sidecar.metrics import Meters

from ..endless_answers import ANSWERS, serve_endless

if TYPE_CHECKING:
    from collections.abc import Callable

DEADLINE_S = 0.6
# A read in progress ends within this after the deadline also on a busy machine; without a deadline
# for the whole answer, the exchange would never end.
MAX_DELAY_S = 5.0
MAX_GROWTH_KB = 64 * 1024


class EndlessCase(WithScenarios, testtools.TestCase):
    """Another process whose bytes never make a complete answer."""

    scenarios = [(name, {"build_answer": answer}) for name, answer in ANSWERS.items()]
    build_answer: Any

    def setUp(self) -> None:
        super().setUp()
        self.server = serve_endless(self.build_answer)
        self.addCleanup(self.server.stop)

    def check_bounds(self, call: Callable[[], None]) -> None:
        """Make a call; check that it ends in time, in bounded memory, with a closed connection."""
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        with eventlet.Timeout(DEADLINE_S + MAX_DELAY_S, AssertionError("it did not end")):
            call()
            self.server.closed.wait()
        growth_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
        self.assertLessEqual(growth_kb, MAX_GROWTH_KB)

    def read_answer(self, message: Message) -> bytes:
        """Send a request and read its whole answer."""

        def is_answer(_status: int, headers: list[tuple[str, str]]) -> bool:
            return ("Attempt-Id", "a-1") in headers

        deadline = time.monotonic() + DEADLINE_S
        reply = exchange(ConnectionPool(), self.server.address, message, deadline, True, is_answer)
        for _ in reply.remaining_chunks or ():
            pass
        return reply.body


class EndlessAnswerTest(EndlessCase):
    """A backend server."""

    # a deadline of each read let an answer last as long as bytes arrived, and grow without bound
    def test_it_ends_at_the_deadline_within_bounded_memory(self) -> None:
        message = Message("GET", "/x", [("Host", "shop")], None)
        self.check_bounds(
            lambda: self.assertRaises((BrokenError, OSError), self.read_answer, message)
        )


class EndlessUploadAnswerTest(EndlessCase):
    """A gate or a server that answers before the body of an upload was sent."""

    scenarios = [
        (f"{name}-{'asked' if asked else 'unasked'}", {"build_answer": answer, "asked": asked})
        for name, answer in ANSWERS.items()
        for asked in (True, False)
    ]
    asked: bool

    # neither the wait to be asked for the body nor the early answer may outlast the deadline
    def test_it_ends_at_the_deadline_within_bounded_memory(self) -> None:
        body = LongBody(b"x" * 262_144, io.BytesIO(b"y" * 1_000_000), 1_262_144, 2_000_000)
        message = Message("POST", "/x", [("Host", "shop")], body, expects_continue=self.asked)
        errors = (BrokenError, NotSentError, OSError)
        self.check_bounds(lambda: self.assertRaises(errors, self.read_answer, message))


class EndlessMemberAnswerTest(EndlessCase):
    """Another sidecar that is asked for changes, counts or notices."""

    # its answer was kept whole, whatever arrived until the deadline
    def test_it_ends_at_the_deadline_within_bounded_memory(self) -> None:
        sidecar: Any = SimpleNamespace(
            control_connections=ConnectionPool(), clock=time.monotonic, meters=Meters()
        )
        member: Any = SimpleNamespace(gate=self.server.address)
        self.check_bounds(
            lambda: self.assertIsNone(request_from_member(sidecar, member, "/x", DEADLINE_S, dict))
        )
