"""Tests of forwarding: steps of a call x faults, with a virtual clock and a fake exchange."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import testtools
from testscenarios import WithScenarios

from magnoliasill.balancing.retries import BUDGET_CAP, BUDGET_SHARE, MAX_ATTEMPTS
from magnoliasill.calls.call import Call
from magnoliasill.calls.exchange import CallResponse, ExchangeResult
from magnoliasill.calls.forwarder import forward_call
from magnoliasill.calls.serving import Proxy
from magnoliasill.codes import ErrorCode
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.core.outcomes import OutcomeKind
from magnoliasill.errors import CallError
from magnoliasill.membership.membership import merge_records
from magnoliasill.process.metrics import build_metrics
from magnoliasill.versions.routing import RouteTarget
from magnoliasill.versions.service_file import Limits, Release, Route, ServiceFile

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

RUNNING = frozenset({"ok", "failed", "broken", "timed out", "cut short"})
KINDS = {
    "ok": OutcomeKind.SUCCEEDED,
    "failed": OutcomeKind.FAILED,
    "shed": OutcomeKind.SHED,
    "draining": OutcomeKind.SHED,
    "unreachable": OutcomeKind.UNREACHABLE,
    "broken": OutcomeKind.BROKEN,
    "cut short": OutcomeKind.BROKEN,
    "timed out": OutcomeKind.TIMED_OUT,
}
HEADERS = {"draining": [("X-Draining", "1")]}


@attrs.define
class Bench:
    """A proxy whose exchanges follow a script.

    Attributes:
        behaviour: Says how a server ends an attempt, by its address and the attempt's number.
        now: The virtual clock.
        sent: Addresses in the order of the attempts.
        ran: Attempts that a backend server began to run.
    """

    behaviour: Callable[[str, int], str]
    now: float = 1_000.0
    sent: list[str] = attrs.field(factory=list)
    ran: int = 0
    headers: list[dict[str, str]] = attrs.field(factory=list)
    proxy: Proxy = attrs.field(init=False)
    service: ServiceFile = attrs.field(init=False)

    def exchange(self, _: object, address: str, call: Call, timeout_s: float) -> ExchangeResult:
        what = self.behaviour(address, len(self.sent))
        self.sent.append(address)
        self.headers.append(dict(call.headers))
        self.ran += what in RUNNING
        self.now += timeout_s if what == "timed out" else 0.01
        status = {"ok": 200, "failed": 500, "shed": 503, "draining": 503}.get(what)
        answer = CallResponse(status, "", HEADERS.get(what, []), b"x") if status else None
        return ExchangeResult(KINDS[what], answer, what)

    def call(self, idempotent: bool = True, **headers: str) -> CallResponse:
        route = Route("view", "GET", "/view", idempotent=idempotent)
        call = Call("GET", "/view", "/view", dict(headers), None, "", self.now + 5.0)
        return forward_call(self.proxy, RouteTarget(self.service, route), call)

    def refusal(self, **options: object) -> CallError | None:
        try:
            self.call(**options)
        except CallError as error:
            return error
        return None


def iter_pieces(count: int) -> Iterator[bytes]:
    """Yield pieces of an answer."""
    for _ in range(count):
        yield b"x"


def build_bench(
    behaviour: Callable[[str, int], str],
    places: Sequence[str] = ("a", "a", "a", "a"),
    **limits: int,
) -> Bench:
    """Return a bench with one backend server for each named data centre."""
    bench = Bench(behaviour)
    node = Node(MemberRecord("own", "a", "10.9.0.1:1", 1), random.Random(7))
    records = [
        MemberRecord(
            name=f"d{number}",
            data_centre=place,
            peer_address=f"10.0.0.{number}:1",
            incarnation=1,
            service="gallery",
            release="r1",
            server_address=f"10.0.0.{number}:80",
            serving=True,
        )
        for number, place in enumerate(places)
    ]
    merge_records(node, bench.now, records)
    bench.service = ServiceFile(
        "gallery",
        "team",
        [Route("view", "GET", "/view")],
        [Release("r1", cold_start_ms=0)],
        "r1",
        limits=Limits(**{"queue_wait_ms": 0, **limits}),
    )
    bench.proxy = Proxy(node, lambda action: None, build_metrics())
    bench.proxy.exchange = bench.exchange
    bench.proxy.clock = lambda: bench.now
    return bench


class FaultMatrixTest(WithScenarios, testtools.TestCase):
    """Every first end x every second end x both kinds of route."""

    scenarios = [
        (f"{first}-{second}-{idempotent}", {"ends": (first, second), "idempotent": idempotent})
        for first in KINDS
        for second in KINDS
        for idempotent in (True, False)
    ]

    def test_verdict_is_true(self) -> None:
        bench = build_bench(lambda _, number: self.ends[min(number, 1)])
        error = bench.refusal(idempotent=self.idempotent)
        self.assertEqual(len(bench.sent), len(set(bench.sent)), "the same server twice")
        self.assertLessEqual(len(bench.sent), MAX_ATTEMPTS)
        if not self.idempotent:
            self.assertLessEqual(bench.ran, 1)
        if error is None:
            self.assertGreaterEqual(bench.ran, 1)
            return
        if error.code is not ErrorCode.OUTCOME_UNKNOWN:
            self.assertEqual(0, bench.ran, f"{error.code} although it may have run")
            self.assertGreaterEqual(error.retry_after_s, 1)
        else:
            self.assertGreaterEqual(bench.ran, 1)


class ForwarderTest(testtools.TestCase):
    """Retries, budgets, draining, data centres and headers."""

    def test_killed_server_costs_no_call(self) -> None:
        bench = build_bench(lambda address, _: "unreachable" if address == "10.0.0.0:80" else "ok")
        for _ in range(200):
            self.assertEqual(200, bench.call(idempotent=False).status)
        self.assertLess(bench.sent.count("10.0.0.0:80"), 20)

    def test_retry_storm_is_bounded_by_the_budget(self) -> None:
        bench = build_bench(lambda *_: "broken", ["a"] * 30)
        calls = 300
        for _ in range(calls):
            self.assertIsNotNone(bench.refusal())
            bench.now += 0.2
        self.assertLessEqual(len(bench.sent) - calls, BUDGET_CAP + calls * BUDGET_SHARE)

    def test_retry_of_a_retry_is_not_repeated(self) -> None:
        bench = build_bench(lambda *_: "broken")
        bench.refusal(**{"X-Attempt": "2"})
        self.assertEqual(1, len(bench.sent))
        self.assertEqual("2", bench.headers[0]["X-Attempt"])

    def test_draining_server_gets_no_more_work(self) -> None:
        bench = build_bench(lambda address, _: "draining" if address == "10.0.0.0:80" else "ok")
        for _ in range(300):
            bench.call()
            bench.now += 0.01
        self.assertEqual(1, bench.sent.count("10.0.0.0:80"))

    def test_other_data_centres_only_without_local_room(self) -> None:
        bench = build_bench(lambda *_: "ok", ["a", "b", "b"])
        for _ in range(50):
            bench.call()
        self.assertEqual({"10.0.0.0:80"}, set(bench.sent))
        bench.behaviour = lambda address, _: "shed" if address == "10.0.0.0:80" else "ok"
        for _ in range(50):
            self.assertEqual(200, bench.call().status)
        self.assertEqual({"10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"}, set(bench.sent))

    def test_failing_server_is_ejected_and_tried_again_later(self) -> None:
        bench = build_bench(lambda address, _: "failed" if address == "10.0.0.0:80" else "ok")
        for _ in range(200):
            bench.call()
            bench.now += 0.01
        self.assertLess(bench.sent.count("10.0.0.0:80"), 20)
        bench.behaviour = lambda *_: "ok"
        bench.now += 10.0
        before = bench.sent.count("10.0.0.0:80")
        for _ in range(100):
            bench.call()
        self.assertGreater(bench.sent.count("10.0.0.0:80"), before + 10)

    def test_failure_of_all_ejects_a_bounded_part(self) -> None:
        bench = build_bench(lambda *_: "failed", ["a"] * 6)
        for _ in range(600):
            bench.call()
            bench.now += 0.01
        last = set(bench.sent[-200:])
        self.assertGreaterEqual(len(last), 4)

    def test_short_deadlines_of_callers_blame_no_server(self) -> None:
        bench = build_bench(lambda *_: "timed out", ["a"] * 3)
        for _ in range(100):
            route = Route("view", "GET", "/view", idempotent=False)
            call = Call("GET", "/view", "/view", {}, None, "", bench.now + 0.005)
            target = RouteTarget(bench.service, route)
            self.assertRaises(CallError, forward_call, bench.proxy, target, call)
        entries = bench.proxy.dispatcher.load.upstreams.entries.values()
        self.assertEqual([0.0] * 3, [entry.ejected_until for entry in entries])
        self.assertEqual([5.0] * 3, [entry.limit for entry in entries])

    def test_remaining_deadline_is_passed_on(self) -> None:
        bench = build_bench(lambda _, number: "ok" if number else "shed")
        bench.call()
        self.assertEqual(["5000", "4990"], [h["X-Deadline-Ms"] for h in bench.headers])
        self.assertEqual([None, "2"], [h.get("X-Attempt") for h in bench.headers])

    def test_no_server(self) -> None:
        bench = build_bench(lambda *_: "ok", [])
        self.assertIs(ErrorCode.NO_SERVER, bench.refusal().code)

    def test_answer_in_pieces_keeps_its_slot_until_it_is_read_or_dropped(self) -> None:
        bench = build_bench(lambda *_: "ok", ["a"])
        entries = bench.proxy.dispatcher.load.upstreams.entries
        whole = bench.proxy.exchange
        for read in (True, False):
            rest = iter_pieces(3)
            answer = CallResponse(200, "", [], b"x", rest)
            bench.proxy.exchange = lambda *a, answer=answer: attrs.evolve(
                whole(*a), response=answer
            )
            answer = bench.call()
            self.assertEqual([1], [entry.in_flight for entry in entries.values()])
            if read:
                self.assertEqual(3, len(list(answer.remaining_chunks)))
            bench.proxy.exchange = whole
            del answer, rest
            self.assertEqual([0], [entry.in_flight for entry in entries.values()])

    def test_frozen_server_is_left_after_few_timeouts(self) -> None:
        bench = build_bench(lambda address, _: "timed out" if address == "10.0.0.0:80" else "ok")
        for _ in range(300):
            bench.refusal(idempotent=False)
            bench.now += 0.02
        self.assertLessEqual(bench.sent.count("10.0.0.0:80"), 6)
