"""Tests of the forwarder with faults at each attempt, a virtual clock and a fake exchange."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import testtools
from testscenarios import WithScenarios

from magnoliasill.balancing.retries import MAX_ATTEMPTS, MAX_RETRY_TOKENS, RETRY_RATIO
from magnoliasill.calls.call import Call
from magnoliasill.calls.cancellation import CallerDisconnectedError
from magnoliasill.calls.dispatch import list_tracked_upstreams
from magnoliasill.calls.exchange import CallResponse, ExchangeResult
from magnoliasill.calls.forwarder import forward_call
from magnoliasill.calls.proxy_state import Proxy
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

ENDINGS_AFTER_START = frozenset({"ok", "failed", "broken", "timed out", "cut short"})
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
class ForwarderHarness:
    """A proxy whose exchanges end as scripted.

    Attributes:
        behaviour: Returns a key of `KINDS` by server address and number of the attempt.
        now: The virtual clock, in seconds.
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
        ending = self.behaviour(address, len(self.sent))
        self.sent.append(address)
        self.headers.append(dict(call.headers))
        self.ran += ending in ENDINGS_AFTER_START
        self.now += timeout_s if ending == "timed out" else 0.01
        status = {"ok": 200, "failed": 500, "shed": 503, "draining": 503}.get(ending)
        response = CallResponse(status, "", HEADERS.get(ending, []), b"x") if status else None
        return ExchangeResult(KINDS[ending], response, ending)

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


def iter_chunks(count: int) -> Iterator[bytes]:
    """Yield chunks of a response body."""
    for _ in range(count):
        yield b"x"


def build_harness(
    behaviour: Callable[[str, int], str],
    data_centres: Sequence[str] = ("a", "a", "a", "a"),
    **limits: int,
) -> ForwarderHarness:
    """Return a harness with one backend server for each item of `data_centres`."""
    harness = ForwarderHarness(behaviour)
    node = Node(MemberRecord("own", "a", "10.9.0.1:1", 1), random.Random(7))
    records = [
        MemberRecord(
            name=f"d{number}",
            data_centre=data_centre,
            peer_address=f"10.0.0.{number}:1",
            incarnation=1,
            service="gallery",
            release="r1",
            server_address=f"10.0.0.{number}:80",
            serving=True,
        )
        for number, data_centre in enumerate(data_centres)
    ]
    merge_records(node, harness.now, records)
    harness.service = ServiceFile(
        "gallery",
        "team",
        [Route("view", "GET", "/view")],
        [Release("r1", cold_start_ms=0)],
        "r1",
        limits=Limits(**{"queue_wait_ms": 0, **limits}),
    )
    harness.proxy = Proxy(node, lambda action: None, build_metrics())
    harness.proxy.exchange = harness.exchange
    harness.proxy.clock = lambda: harness.now
    return harness


class LateTurnTest(testtools.TestCase):
    """A call whose turn comes after its deadline, or after its caller has left."""

    def setUp(self) -> None:
        super().setUp()
        self.harness = build_harness(lambda address, attempt: "ok")

    def forward(self, **changes: object) -> CallResponse:
        call = Call("GET", "/view", "/view", {}, None, "", self.harness.now + 5.0)
        route = Route("view", "GET", "/view", idempotent=True)
        target = RouteTarget(self.harness.service, route)
        return forward_call(self.harness.proxy, target, attrs.evolve(call, **changes))

    # it was sent to a backend server with a time-out of a millisecond
    def test_a_call_past_its_deadline_is_refused(self) -> None:
        error = self.assertRaises(CallError, self.forward, deadline=self.harness.now)
        self.assertEqual((ErrorCode.OVERLOADED, []), (error.code, self.harness.sent))

    def test_a_call_whose_caller_has_left_is_not_sent(self) -> None:
        def check_caller() -> None:
            raise CallerDisconnectedError

        self.assertRaises(CallerDisconnectedError, self.forward, check_caller=check_caller)
        upstreams = list_tracked_upstreams(self.harness.proxy.dispatcher)
        in_flight = sum(upstream.in_flight for upstream in upstreams)
        self.assertEqual(([], 0), (self.harness.sent, in_flight))


class FaultMatrixTest(WithScenarios, testtools.TestCase):
    """Every pair of endings of the first two attempts, on idempotent and other routes."""

    scenarios = [
        (f"{first}-{second}-{idempotent}", {"ends": (first, second), "idempotent": idempotent})
        for first in KINDS
        for second in KINDS
        for idempotent in (True, False)
    ]

    def test_verdict_is_true(self) -> None:
        harness = build_harness(lambda _, number: self.ends[min(number, 1)])
        error = harness.refusal(idempotent=self.idempotent)
        self.assertEqual(len(harness.sent), len(set(harness.sent)), "the same server twice")
        self.assertLessEqual(len(harness.sent), MAX_ATTEMPTS)
        if not self.idempotent:
            self.assertLessEqual(harness.ran, 1)
        if error is None:
            self.assertGreaterEqual(harness.ran, 1)
            return
        if error.code is not ErrorCode.OUTCOME_UNKNOWN:
            self.assertEqual(0, harness.ran, f"{error.code} although it may have run")
            self.assertGreaterEqual(error.retry_after_s, 1)
        else:
            self.assertGreaterEqual(harness.ran, 1)


class ForwarderTest(testtools.TestCase):
    """Retries, retry budgets, draining, ejection, data centres, headers and slots."""

    def test_killed_server_costs_no_call(self) -> None:
        harness = build_harness(
            lambda address, _: "unreachable" if address == "10.0.0.0:80" else "ok"
        )
        for _ in range(200):
            self.assertEqual(200, harness.call(idempotent=False).status)
        self.assertLess(harness.sent.count("10.0.0.0:80"), 20)

    def test_retry_storm_is_bounded_by_the_budget(self) -> None:
        harness = build_harness(lambda *_: "broken", ["a"] * 30)
        calls = 300
        for _ in range(calls):
            self.assertIsNotNone(harness.refusal())
            harness.now += 0.2
        self.assertLessEqual(len(harness.sent) - calls, MAX_RETRY_TOKENS + calls * RETRY_RATIO)

    def test_retry_of_a_retry_is_not_repeated(self) -> None:
        harness = build_harness(lambda *_: "broken")
        harness.refusal(**{"X-Attempt": "2"})
        self.assertEqual(1, len(harness.sent))
        self.assertEqual("2", harness.headers[0]["X-Attempt"])

    def test_draining_server_gets_no_more_work(self) -> None:
        harness = build_harness(lambda address, _: "draining" if address == "10.0.0.0:80" else "ok")
        for _ in range(300):
            harness.call()
            harness.now += 0.01
        self.assertEqual(1, harness.sent.count("10.0.0.0:80"))

    def test_other_data_centres_only_without_local_room(self) -> None:
        harness = build_harness(lambda *_: "ok", ["a", "b", "b"])
        for _ in range(50):
            harness.call()
        self.assertEqual({"10.0.0.0:80"}, set(harness.sent))
        harness.behaviour = lambda address, _: "shed" if address == "10.0.0.0:80" else "ok"
        for _ in range(50):
            self.assertEqual(200, harness.call().status)
        self.assertEqual({"10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"}, set(harness.sent))

    def test_failing_server_is_ejected_and_tried_again_later(self) -> None:
        harness = build_harness(lambda address, _: "failed" if address == "10.0.0.0:80" else "ok")
        for _ in range(200):
            harness.call()
            harness.now += 0.01
        self.assertLess(harness.sent.count("10.0.0.0:80"), 20)
        harness.behaviour = lambda *_: "ok"
        harness.now += 10.0
        before = harness.sent.count("10.0.0.0:80")
        for _ in range(100):
            harness.call()
        self.assertGreater(harness.sent.count("10.0.0.0:80"), before + 10)

    def test_failure_of_all_ejects_a_bounded_part(self) -> None:
        harness = build_harness(lambda *_: "failed", ["a"] * 6)
        for _ in range(600):
            harness.call()
            harness.now += 0.01
        last = set(harness.sent[-200:])
        self.assertGreaterEqual(len(last), 4)

    def test_short_deadlines_of_callers_blame_no_server(self) -> None:
        harness = build_harness(lambda *_: "timed out", ["a"] * 3)
        for _ in range(100):
            route = Route("view", "GET", "/view", idempotent=False)
            call = Call("GET", "/view", "/view", {}, None, "", harness.now + 0.005)
            target = RouteTarget(harness.service, route)
            self.assertRaises(CallError, forward_call, harness.proxy, target, call)
        entries = harness.proxy.dispatcher.load.upstreams.entries.values()
        self.assertEqual([0.0] * 3, [entry.ejected_until for entry in entries])
        self.assertEqual([5.0] * 3, [entry.limit for entry in entries])

    def test_remaining_deadline_is_passed_on(self) -> None:
        harness = build_harness(lambda _, number: "ok" if number else "shed")
        harness.call()
        self.assertEqual(["5000", "4990"], [h["X-Deadline-Ms"] for h in harness.headers])
        self.assertEqual([None, "2"], [h.get("X-Attempt") for h in harness.headers])

    def test_no_server(self) -> None:
        harness = build_harness(lambda *_: "ok", [])
        self.assertIs(ErrorCode.NO_SERVER, harness.refusal().code)

    def test_answer_in_pieces_keeps_its_slot_until_it_is_read_or_dropped(self) -> None:
        harness = build_harness(lambda *_: "ok", ["a"])
        entries = harness.proxy.dispatcher.load.upstreams.entries
        buffered_exchange = harness.proxy.exchange
        for read in (True, False):
            remaining = iter_chunks(3)
            response = CallResponse(200, "", [], b"x", remaining)
            harness.proxy.exchange = lambda *a, response=response: attrs.evolve(
                buffered_exchange(*a), response=response
            )
            response = harness.call()
            self.assertEqual([1], [entry.in_flight for entry in entries.values()])
            if read:
                self.assertEqual(3, len(list(response.remaining_chunks)))
            harness.proxy.exchange = buffered_exchange
            del response, remaining
            self.assertEqual([0], [entry.in_flight for entry in entries.values()])

    def test_frozen_server_is_left_after_few_timeouts(self) -> None:
        harness = build_harness(
            lambda address, _: "timed out" if address == "10.0.0.0:80" else "ok"
        )
        for _ in range(300):
            harness.refusal(idempotent=False)
            harness.now += 0.02
        self.assertLessEqual(harness.sent.count("10.0.0.0:80"), 6)
