"""Tests of requests that pass through two sidecars, over real connections."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import eventlet
import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.cancellation import CallerDisconnectedError, WatchedCall
from magnoliasill.mesh.evidence import RouteCounts
from magnoliasill.mesh.hop_headers import (
    CALL_HEADER,
    GateReport,
    HopCall,
    encode_header_value,
)
from magnoliasill.mesh.loop_lag import HIGH_LAG_S
from magnoliasill.mesh.takeovers import Phase, Takeover
from magnoliasill.sidecar import caller_port, daemon, gate_port, load_shedding
from magnoliasill.sidecar.gate_port import handle_gate_request
from magnoliasill.sidecar.http_exchange import Message

if TYPE_CHECKING:
    from magnoliasill.sidecar.state import Sidecar

from . import fleet as harness
from .fleet import build_answer, build_rule, open_fleet, put_configuration, send, wait_for

LONG_BYTES = 600_000


class CallCase(testtools.TestCase):
    services = ("shop", "stock")
    rules = (build_rule("shop"), build_rule("stock"))

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(list(self.services))
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 3, *self.rules)
        harness.wait_ready(self.fleet)
        self.shop, self.stock = self.fleet.servers[:2]


class PathTest(CallCase):
    def test_own_server_and_another_vm(self) -> None:
        self.assertEqual(b"made by i-1", send(self.fleet, 0, "/shop/x")[2])
        self.assertEqual(b"made by i-2", send(self.fleet, 0, "/stock/x")[2])

    def test_what_the_server_sees(self) -> None:
        extra = (
            "X-Own: 1\r\nX-Own: 2\r\nCaller-Service: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
        )
        send(self.fleet, 0, "/stock//a%2Fb/../c?q=%20&", "id-7", "POST", b"abc", extra=extra)
        method, target, headers, body = self.stock.requests[0]
        self.assertEqual(("POST", "/stock//a%2Fb/../c?q=%20&", b"abc"), (method, target, body))
        self.assertEqual("id-7", headers["attempt-id"])
        self.assertEqual("shop", headers["caller-service"])
        self.assertEqual("i-2", headers["target-instance"])
        self.assertEqual("shop.example", headers["host"])
        self.assertLessEqual(int(headers["request-deadline"]), 2000)
        self.assertNotIn("x-hop", headers)
        self.assertNotIn("magnoliasill-call", headers)

    def test_repeated_headers_stay(self) -> None:
        seen: list[str] = []
        self.stock.behave = lambda server, identifier: seen.append(identifier)
        send(self.fleet, 0, "/stock/x", extra="X-Own: 1\r\nX-Own: 2\r\n")
        # The fake server keeps only the last of several headers with one name.
        self.assertEqual("2", self.stock.requests[0][2]["x-own"])

    def test_answer_is_returned_as_it_is(self) -> None:
        self.stock.behave = lambda server, identifier: build_answer(
            identifier, b"no", "409 Conflict", "X-Answer: yes\r\n"
        )
        status, headers, body = send(self.fleet, 0, "/stock/x", "id-8")
        self.assertEqual((409, b"no"), (status, body))
        self.assertEqual("test.00", headers["response-signature"])
        self.assertEqual("yes", headers["x-answer"])
        self.assertNotIn("magnoliasill-report", headers)

    def test_unknown_route_and_host(self) -> None:
        self.assertEqual(404, send(self.fleet, 0, "/none/x")[0])

    def test_chunked_body(self) -> None:
        head = (
            "POST /stock/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: c-1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        address = self.fleet.sidecars[0].sidecar.settings.callers
        self.assertEqual(200, harness.call(address, head, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")[0])
        self.assertEqual(b"abcde", self.stock.requests[0][3])

    def test_long_bodies_both_ways(self) -> None:
        answer = b"y" * LONG_BYTES
        self.stock.behave = lambda server, identifier: build_answer(identifier, answer)
        body = b"x" * LONG_BYTES
        status, _, received = send(self.fleet, 0, "/stock/x", method="POST", body=body)
        self.assertEqual((200, LONG_BYTES), (status, len(received)))
        self.assertEqual(body, self.stock.requests[0][3])
        wait_for(
            lambda: self.fleet.sidecars[1].sidecar.gate.running == 0, "the slot was not released"
        )

    def test_body_over_the_limit(self) -> None:
        status = send(self.fleet, 0, "/stock/x", method="POST", body=b"x" * 2_000_001)[0]
        self.assertEqual(413, status)
        self.assertEqual([], self.stock.requests)

    def test_several_requests_on_one_connection(self) -> None:
        with harness.connect(self.fleet.sidecars[0].sidecar.settings.callers) as sock:
            file = sock.makefile("rb")
            for number in range(3):
                head = f"GET /stock/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: k{number}\r\n"
                sock.sendall(f"{head}\r\n".encode())
                status, headers, _ = harness.read_answer(file)
                self.assertEqual((200, f"k{number}"), (status, headers["attempt-id"]))

    def test_no_configuration_yet_is_no_404(self) -> None:
        fresh = open_fleet(["shop"])
        self.addCleanup(harness.close_fleet, fresh)
        self.assertEqual(503, send(fresh, 0, "/shop/x")[0])
        self.assertEqual(503, self._get_readiness_status(fresh, 0))
        self.assertEqual(200, self._get_readiness_status(self.fleet, 0))

    def _get_readiness_status(self, fleet: harness.Fleet, index: int) -> int:
        address = fleet.sidecars[index].sidecar.settings.readiness
        return harness.call(address, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")[0]


class SpoiledAnswerTest(CallCase):
    """A response that is incomplete, unsigned or to another request never counts as a success."""

    rules = (build_rule("shop"), build_rule("stock", kind="non_idempotent"))

    def respond_with(self, build: object) -> tuple[int, dict[str, str], bytes]:
        self.stock.behave = lambda server, identifier: build(identifier)
        return send(self.fleet, 0, "/stock/x", "s-1", "POST", b"abc")

    def test_cut_short(self) -> None:
        status = self.respond_with(
            lambda identifier: build_answer(identifier, b"abcdef")[:-3] + b"!close"[:0]
        )[0:1]
        self.assertIn(status[0], (502, 504))

    def test_cut_short_and_closed(self) -> None:
        status = self.respond_with(
            lambda identifier: build_answer(identifier, b"abcdef")[:-3] + b"!end"
        )
        self.assertEqual(502, status[0])

    def assert_no_success(self, answer: bytes) -> None:
        try:
            status = self.respond_with(lambda identifier: answer)[0]
        except (EOFError, ValueError, OSError):
            return  # the caller sees that the answer is incomplete
        self.assertEqual(502, status)

    def test_a_long_answer_that_breaks_off_does_not_look_complete(self) -> None:
        for ending in (b"!end", b"!reset"):
            self.assert_no_success(build_answer("s-1", b"y" * LONG_BYTES)[:-1000] + ending)

    def test_a_long_chunked_answer_that_breaks_off_does_not_look_complete(self) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: s-1\r\nResponse-Signature: t\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        chunk = b"%x\r\n%b\r\n" % (LONG_BYTES, b"y" * LONG_BYTES)
        for ending in (b"!end", b"!reset"):
            self.assert_no_success(head + chunk + ending)

    def test_no_http(self) -> None:
        self.assertEqual(502, self.respond_with(lambda identifier: b"\x00garbage\r\n\r\n!close")[0])

    def test_unsigned(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nAttempt-Id: s-1\r\nContent-Length: 2\r\n\r\nok"
        self.assertEqual(502, self.respond_with(lambda identifier: answer)[0])

    def test_encoded(self) -> None:
        extra = "Content-Encoding: gzip\r\n"
        self.assertEqual(
            502,
            self.respond_with(lambda identifier: build_answer(identifier, b"x", extra=extra))[0],
        )

    def test_of_another_request(self) -> None:
        self.assertIn(
            self.respond_with(lambda identifier: build_answer("other", b"x") + b"!close")[0],
            (502, 504),
        )

    def test_late_extra_answer_is_passed_over(self) -> None:
        self.stock.behave = lambda server, identifier: (
            build_answer("other", b"stray") + build_answer(identifier, b"right")
        )
        self.assertEqual((200, b"right"), send(self.fleet, 0, "/stock/x", "s-2")[::2])

    def test_extra_answer_does_not_reach_the_next_request(self) -> None:
        self.stock.behave = lambda server, identifier: build_answer(identifier, b"one") * 2
        self.assertEqual(b"one", send(self.fleet, 0, "/stock/x", "s-3")[2])
        self.stock.behave = None
        status, headers, _ = send(self.fleet, 0, "/stock/x", "s-4")
        self.assertEqual((200, "s-4"), (status, headers["attempt-id"]))

    def test_without_a_length_ends_with_its_connection(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: s-5\r\nResponse-Signature: t\r\n\r\n"
        self.stock.behave = lambda server, identifier: head + b"all!close"
        status, _, body = send(self.fleet, 0, "/stock/x", "s-5")
        self.assertEqual((200, b"all!close"), (status, body))

    def test_without_a_length_and_reset_on_the_way(self) -> None:
        """Guards against reading a connection reset as the end of a response without a length."""
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: s-6\r\nResponse-Signature: t\r\n\r\n"
        self.stock.behave = lambda server, identifier: head + b"only a part!reset"
        self.assertEqual(502, send(self.fleet, 0, "/stock/x", "s-6", "POST", b"abc")[0])


REFUSALS = {
    "503": b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "421": b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
    "429": b"HTTP/1.1 429 Slow\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
}


class RepeatedRefusalTest(WithScenarios, CallCase):
    """Guards against a copy of an earlier refusal that is taken for the answer of what runs now.

    The caller was told that its request had not run, or the request ran at a second server.
    """

    services = ("shop", "stock", "stock")
    rules = (build_rule("shop", kind="non_idempotent"), build_rule("stock"))
    scenarios = [
        (f"{name}, cut at {split}", {"refusal": refusal, "split": split})
        for name, refusal in REFUSALS.items()
        for split in (0, 1, 20, len(refusal))
    ]

    def assert_true_answer(self, identifier: str, status: int) -> None:
        runs = sum(server.runs[identifier] for server in self.fleet.servers)
        self.assertEqual((200, 1), (status, runs))

    def test_before_the_true_answer(self) -> None:
        self.assertEqual(200, send(self.fleet, 1, "/shop/x", "f-0", "POST", b"abc")[0])

        def behave(server: harness.Server, identifier: str) -> bytes:
            for sock in server.connections:
                sock.sendall(self.refusal[: self.split])
            eventlet.sleep(0.01)
            return self.refusal[self.split :] + build_answer(identifier, b"right")

        self.shop.behave = behave
        status = send(self.fleet, 1, "/shop/x", "f-1", "POST", b"abc")[0]
        self.assert_true_answer("f-1", status)

    def test_of_a_refused_request_on_its_connection(self) -> None:
        self.shop.behave = lambda server, identifier: self.refusal
        self.assertEqual(503, send(self.fleet, 1, "/shop/x", "f-2", "POST", b"abc")[0])
        self.shop.behave = lambda server, identifier: (
            self.refusal + build_answer(identifier, b"right")
            if len(server.connections) > 1
            else build_answer(identifier, b"right")
        )
        status = send(self.fleet, 1, "/shop/x", "f-3", "POST", b"abc")[0]
        self.assert_true_answer("f-3", status)

    def test_nothing_follows(self) -> None:
        self.assertEqual(200, send(self.fleet, 1, "/shop/x", "f-4", "POST", b"abc")[0])
        self.shop.behave = lambda server, identifier: self.refusal + b"!end"
        self.assertEqual(502, send(self.fleet, 1, "/shop/x", "f-5", "POST", b"abc")[0])


class RepeatTest(CallCase):
    """Which requests are retried, on which servers, and how often."""

    services = ("shop", "stock", "stock")
    rules = (build_rule("shop", kind="non_idempotent"), build_rule("stock"))

    def break_connections(self, server: harness.Server) -> None:
        server.behave = lambda backend, identifier: b""

    def test_idempotent_goes_to_another_server(self) -> None:
        for server in self.fleet.servers[1:]:
            server.behave = lambda backend, identifier: (
                b"!close" if sum(s.runs[identifier] for s in self.fleet.servers) < 2 else None
            )
        self.assertEqual(200, send(self.fleet, 0, "/stock/x", "r-1")[0])
        self.assertEqual([1, 1], [server.runs["r-1"] for server in self.fleet.servers[1:]])

    def test_never_more_servers_than_the_route_allows(self) -> None:
        for server in self.fleet.servers[1:]:
            server.behave = lambda backend, identifier: build_answer(
                identifier, b"", "500 Internal Server Error"
            )
        self.assertEqual(500, send(self.fleet, 0, "/stock/x", "r-2")[0])
        self.assertEqual(2, sum(server.runs["r-2"] for server in self.fleet.servers))

    def test_what_must_not_be_repeated_is_not(self) -> None:
        self.shop.behave = lambda backend, identifier: b"!close"
        status = send(self.fleet, 1, "/shop/x", "r-3", "POST", b"abc")[0]
        self.assertEqual((502, 1), (status, self.shop.runs["r-3"]))

    def test_a_server_that_did_not_run_it_costs_nothing(self) -> None:
        not_run_response = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        self.shop.behave = lambda backend, identifier: not_run_response
        status, headers, _ = send(self.fleet, 1, "/shop/x", "r-4", "POST", b"abc")
        self.assertEqual(503, status)
        self.assertGreater(float(headers["retry-after"]), 0)
        self.assertLess(float(headers["retry-after"]), 2 / 3)

    def test_a_server_that_is_gone_is_not_run(self) -> None:
        self.shop.listener.close()
        eventlet.sleep(0)
        for connections in self.fleet.sidecars[0].sidecar.server_connections.idle.values():
            connections.clear()
        self.assertEqual(503, send(self.fleet, 1, "/shop/x", "r-5", "POST", b"abc")[0])

    def test_budget_over_many_failures(self) -> None:
        for server in self.fleet.servers[1:]:
            server.behave = lambda backend, identifier: build_answer(
                identifier, b"", "500 Internal Server Error"
            )
        for number in range(200):
            send(self.fleet, 0, "/stock/x", f"b-{number}")
        arrivals = sum(sum(server.runs.values()) for server in self.fleet.servers)
        bounds = self.fleet.sidecars[0].sidecar.settings.bounds
        allowed = bounds.repeat_ratio * 200 + bounds.repeat_extra
        self.assertLessEqual(arrivals - 200, allowed)
        self.assertGreater(arrivals - 200, 0)


class ThreeServersTest(CallCase):
    """The route's limit on attempts ends a request although untried servers are left."""

    services = ("stock", "stock", "stock", "shop", "shop")
    rules = (build_rule("shop", kind="non_idempotent"), build_rule("stock"))

    def test_never_more_servers_than_the_route_allows(self) -> None:
        for server in self.fleet.servers[:3]:
            server.behave = lambda backend, identifier: build_answer(
                identifier, b"", "500 Internal Server Error"
            )
        self.assertEqual(500, send(self.fleet, 3, "/stock/x", "n-1")[0])
        self.assertEqual(2, sum(server.runs["n-1"] for server in self.fleet.servers))

    def test_what_must_not_be_repeated_is_not(self) -> None:
        for server in self.fleet.servers[3:]:
            server.behave = lambda backend, identifier: b"!close"
        for number in range(10):
            status = send(self.fleet, 0, "/shop/x", f"n-{number}", "POST", b"abc")[0]
            self.assertEqual(502, status)
            runs = sum(server.runs[f"n-{number}"] for server in self.fleet.servers)
            self.assertEqual(1, runs)


class GateTest(CallCase):
    """Requests that a gate decides by itself, whatever other sidecars know."""

    def request_gate(self, **changes: object) -> GateReport:
        call = HopCall(
            identifier="g-1",
            service="stock",
            instance="i-2",
            calling_service="shop",
            route="r-stock",
            idempotent=True,
            nested=False,
            priority=1,
            time_left_s=1.0,
            target_left_s=1.0,
            late=False,
        )
        message = Message("GET", "/stock/x", [("Host", "x"), ("Attempt-Id", "g-1")], None)
        sidecar = self.fleet.sidecars[1].sidecar
        return handle_gate_request(sidecar, attrs.evolve(call, **changes), message).report

    def test_passed_on(self) -> None:
        self.assertEqual("yes", self.request_gate().ran)

    def test_another_incarnation_or_service_is_meant(self) -> None:
        for changes in ({"instance": "i-0"}, {"service": "shop"}):
            report = self.request_gate(**changes)
            self.assertEqual(("no", "other_instance"), (report.ran, report.reason))
        self.assertEqual([], self.stock.requests)

    def test_a_release_that_was_taken_back(self) -> None:
        sidecar = self.fleet.sidecars[1].sidecar
        sidecar.takeovers["stock"] = (Takeover("stock", "v1", 1, Phase.TAKEN_BACK), 1)
        self.assertEqual(
            ("no", "release_withheld"), (self.request_gate().ran, self.request_gate().reason)
        )
        self.assertEqual([], self.stock.requests)

    def test_a_release_that_fails_by_its_own_counts(self) -> None:
        sidecar = self.fleet.sidecars[1].sidecar
        sidecar.takeovers["stock"] = (Takeover("stock", "v1", 1, share=0.06), 1)
        sidecar.route_counts["r-stock"] = RouteCounts(30, 20)
        self.assertEqual("release_withheld", self.request_gate().reason)

    def test_a_connection_that_broke_is_no_evidence_against_a_release(self) -> None:
        """Guards against rolling back a good release because responses were lost on the way."""
        sidecar = self.fleet.sidecars[1].sidecar
        self.stock.behave = lambda server, identifier: b"!close"
        self.assertEqual("unknown", self.request_gate().ran)
        self.assertEqual({}, sidecar.route_counts)
        self.assertGreater(sidecar.gate.failing, 0)
        self.stock.behave = lambda server, i: build_answer(i, b"", "500 Broken")
        self.request_gate()
        self.assertEqual(1, sidecar.route_counts["r-stock"].failures)

    def test_a_second_time(self) -> None:
        self.assertEqual("yes", self.request_gate(idempotent=False).ran)
        self.assertEqual("unknown", self.request_gate(idempotent=False).ran)
        self.assertEqual(1, self.stock.runs["g-1"])


class ThinLinkTest(CallCase):
    """Guards against small answers that wait behind large ones on the link of their VM."""

    LARGE = b"x" * 60_000

    def test_a_small_answer_overtakes_large_ones(self) -> None:
        sidecar = self.fleet.sidecars[1].sidecar
        sidecar.settings = attrs.evolve(sidecar.settings, link_mbps=2.0)
        self.stock.behave = lambda server, identifier: build_answer(
            identifier, self.LARGE if identifier.startswith("large") else b"small"
        )
        ended: list[str] = []

        def ask(identifier: str) -> None:
            status, _, body = send(self.fleet, 0, "/stock/x", identifier)
            whole = self.LARGE if identifier.startswith("large") else b"small"
            self.assertEqual((200, whole), (status, body))
            ended.append(identifier)

        threads = [eventlet.spawn(ask, f"large-{number}") for number in range(2)]
        wait_for(lambda: sidecar.egress.free_at > time.monotonic() + 0.3, "the link is free")
        ask("small")
        for thread in threads:
            thread.wait()
        self.assertEqual(["small", "large-0", "large-1"], ended[:1] + sorted(ended[1:]))

    def test_a_caller_that_does_not_read_holds_up_no_other(self) -> None:
        """Guards against a hop to a partitioned VM that blocks all large answers."""
        large = b"x" * 8_000_000
        sidecar = self.fleet.sidecars[1].sidecar
        sidecar.settings = attrs.evolve(sidecar.settings, link_mbps=10_000.0)
        self.stock.behave = lambda server, identifier: build_answer(
            identifier, large if identifier == "silent" else self.LARGE
        )
        record = sidecar.members.records["vm-2"]
        call = HopCall(
            "silent", "stock", record.instance, "shop", "r-stock", True, False, 1, 5.0, 5.0, True
        )
        head = "GET /stock/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: silent\r\n"
        head += f"{CALL_HEADER}: {encode_header_value(call)}\r\n\r\n"
        with harness.connect(record.gate) as sock:
            sock.sendall(head.encode())
            wait_for(lambda: self.stock.runs["silent"], "the request did not run")
            eventlet.sleep(0.1)
            status, _, body = send(self.fleet, 0, "/stock/x", "other")
        self.assertEqual((200, self.LARGE), (status, body))


class LeavingTest(CallCase):
    services = ("shop", "stock", "stock")

    def test_nothing_arrives_after_the_acknowledgement(self) -> None:
        self.assertEqual(200, harness.send_heartbeat(self.fleet, 1, "draining"))
        for number in range(20):
            self.assertEqual(200, send(self.fleet, 0, "/stock/x", f"d-{number}")[0])
        self.assertEqual(0, sum(self.stock.runs.values()))

    def test_work_in_progress_is_finished(self) -> None:
        self.shop.work_s = 0.3
        running = eventlet.spawn(send, self.fleet, 1, "/shop/x", "d-1")
        wait_for(lambda: self.shop.running == 1, "the request is not running")
        harness.send_heartbeat(self.fleet, 0, "draining")
        self.assertEqual(200, running.wait()[0])

    def test_acknowledged_while_the_store_is_away(self) -> None:
        self.fleet.fake_store.faults.refuse = 503
        self.assertEqual(200, harness.send_heartbeat(self.fleet, 1, "draining"))
        self.assertEqual(200, send(self.fleet, 0, "/stock/x", "d-2")[0])
        self.assertEqual(0, self.stock.runs["d-2"])

    def test_unreadable_heartbeats_change_nothing(self) -> None:
        control = self.fleet.sidecars[1].sidecar.settings.control
        for data in (b"", b"{", b"[]", b"\xff\xfe", b'{"status":{"state":"draining"}}'):
            head = f"PUT /-/instances/i-2 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n"
            self.assertEqual(400, harness.call(control, head + "\r\n", data)[0])
        self.assertEqual(400, harness.send_heartbeat(self.fleet, 1, "odd"))
        send(self.fleet, 1, "/stock/x", "d-3")
        self.assertEqual(1, sum(server.runs["d-3"] for server in self.fleet.servers))


class ServerNoticeTest(CallCase):
    """Guards against servers that get work against what their responses say (incident LIMIT)."""

    services = ("shop", "stock", "stock")

    def test_a_limit_named_in_a_response(self) -> None:
        for server in self.fleet.servers[1:]:
            server.limit = "1"
        started = time.monotonic()
        for number in range(60):
            send(self.fleet, number % 2, "/stock/x", f"n-{number}")
        allowed = 1.5 * (time.monotonic() - started) + 5
        for server in self.fleet.servers[1:]:
            self.assertLessEqual(len(server.requests), allowed)

    def test_a_server_whose_response_says_that_it_leaves(self) -> None:
        self.stock.leaving = True
        for number in range(30):
            self.assertEqual(200, send(self.fleet, number % 2, "/stock/x", f"n-{number}")[0])
        self.assertLessEqual(len(self.stock.requests), 1)

    def test_a_spoiled_response_says_nothing(self) -> None:
        self.stock.behave = lambda server, identifier: (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {identifier}\r\nServer-Leaving: 1\r\n"
            "Server-Limit: 0.3\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        for number in range(20):
            send(self.fleet, number % 2, "/stock/x", f"s-{number}")
        self.stock.behave = None
        backend = self.fleet.sidecars[1].sidecar.backend
        self.assertEqual((None, None), (backend.leaving_at, backend.limit_per_s))
        self.assertGreater(len(self.stock.requests), 0)

    def test_a_421_of_another_server_says_nothing_of_the_one_that_was_meant(self) -> None:
        self.stock.instance, self.stock.leaving, self.stock.limit = "i-other", True, "0.001"
        for number in range(10):
            send(self.fleet, 0, "/stock/x", f"n-{number}")
        self.stock.instance, self.stock.leaving, self.stock.limit = "i-2", False, None
        before = len(self.stock.requests)
        for number in range(40):
            self.assertEqual(200, send(self.fleet, number % 2, "/stock/x", f"m-{number}")[0])
            eventlet.sleep(0.01)
        self.assertGreater(len(self.stock.requests), before)


class CancelTest(CallCase):
    def test_a_caller_that_left_ends_the_work(self) -> None:
        self.stock.work_s = 0.5
        sock = harness.connect(self.fleet.sidecars[0].sidecar.settings.callers)
        sock.sendall(b"GET /stock/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: g-1\r\n\r\n")
        wait_for(lambda: self.stock.running == 1, "the request is not running")
        sock.close()
        wait_for(lambda: self.stock.cancelled == 1, "the running request was not cancelled")

    def test_what_waits_for_a_caller_that_left_never_runs(self) -> None:
        self.fleet.sidecars[1].sidecar.gate.slots = 1
        self.stock.work_s = 0.5
        first = eventlet.spawn(send, self.fleet, 0, "/stock/x", "g-2", deadline_ms=5000)
        wait_for(lambda: self.stock.running == 1, "the request is not running")
        sock = harness.connect(self.fleet.sidecars[0].sidecar.settings.callers)
        sock.sendall(b"GET /stock/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: g-3\r\n\r\n")
        gate = self.fleet.sidecars[1].sidecar.gate
        wait_for(lambda: len(gate.waiting) == 1, "the second request is not queued")
        sock.close()
        wait_for(lambda: len(gate.waiting) == 0, "the cancelled request is still queued")
        self.assertEqual(200, first.wait()[0])
        self.assertEqual(0, self.stock.runs["g-3"])


class LateLoopTest(CallCase):
    """The checks that end requests come too late, as in a process with long turns."""

    def setUp(self) -> None:
        self.patch(daemon, "cancel_disconnected", lambda calls, now: 0)
        super().setUp()
        self.sidecar = self.fleet.sidecars[0].sidecar

    def send_and_leave(self, identifier: str) -> None:
        sock = harness.connect(self.sidecar.settings.callers)
        head = f"GET /shop/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {identifier}\r\n\r\n"
        sock.sendall(head.encode())
        wait_for(lambda: self.sidecar.gate.waiting, "the request is not queued")
        sock.close()

    # requests were sent on up to 1.4 s after their callers had left
    def test_a_request_whose_caller_has_left_is_not_sent_on(self) -> None:
        self.sidecar.gate.slots = 1
        self.shop.work_s = 0.2
        first = eventlet.spawn(send, self.fleet, 0, "/shop/x", "l-1")
        wait_for(lambda: self.shop.running == 1, "the request is not running")
        self.send_and_leave("l-2")
        self.assertEqual(200, first.wait()[0])
        wait_for(lambda: not self.sidecar.open_callers, "the request has not ended")
        self.assertEqual((0, 0), (self.shop.runs["l-2"], self.sidecar.gate.running))

    def test_nor_to_another_vm(self) -> None:
        left = []

        def check_caller() -> None:
            left.append(True)
            raise CallerDisconnectedError

        self.patch(WatchedCall, "check_connected", lambda call: check_caller())
        with harness.connect(self.sidecar.settings.callers) as sock:
            sock.sendall(b"GET /stock/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: l-3\r\n\r\n")
            wait_for(lambda: left, "the caller was not checked")
        self.assertEqual([], self.stock.requests)

    # a request that got its slot in time was sent on after its deadline, when its turn came
    def test_a_request_whose_deadline_has_passed_is_not_sent_on(self) -> None:
        def wait_for_slot(sidecar: Sidecar, call: HopCall, now: float, *_: float) -> str:
            sidecar.gate.running += 1
            sidecar.gate.running_new += 1
            while sidecar.clock() < now + call.time_left_s:
                eventlet.sleep(0.01)
            return ""

        self.patch(gate_port, "_wait_for_slot", wait_for_slot)
        status, headers, _ = send(self.fleet, 0, "/shop/x", "l-4", deadline_ms=100)
        self.assertEqual(503, status)
        self.assertIn("retry-after", headers)
        self.assertEqual([], self.shop.requests)

    # a process that was late took in what it could not serve, until nothing was served at all
    def test_new_requests_are_refused_at_once_while_the_loop_is_late(self) -> None:
        self.patch(load_shedding, "find_own_lag", lambda sidecar: HIGH_LAG_S)
        status, headers, _ = send(self.fleet, 0, "/shop/x", "l-5")
        self.assertEqual(503, status)
        self.assertIn("retry-after", headers)
        self.assertEqual([], self.shop.requests)

    def test_a_request_that_another_waits_for_is_served_if_there_is_time(self) -> None:
        self.sidecar.running_requests["l-6"] = False
        self.patch(load_shedding, "find_own_lag", lambda sidecar: HIGH_LAG_S)
        self.assertEqual(200, send(self.fleet, 0, "/shop/x", "l-6.1")[0])
        self.assertEqual(503, send(self.fleet, 0, "/shop/x", "l-6.2", deadline_ms=1000)[0])

    # the time left counted from when a request was read, not from when it arrived
    def test_the_wait_for_a_turn_counts_as_time_that_has_passed(self) -> None:
        for module in (caller_port, gate_port):
            self.patch(module, "find_own_lag", lambda sidecar: 0.3)
        send(self.fleet, 0, "/stock/x", "l-7", deadline_ms=1500)
        self.assertLessEqual(int(self.stock.requests[0][2]["request-deadline"]), 900)


class LoadTest(CallCase):
    def test_slots_are_never_exceeded(self) -> None:
        self.fleet.sidecars[1].sidecar.gate.slots = 3
        self.stock.work_s = 0.03
        pool = eventlet.GreenPool()
        statuses = list(
            pool.imap(lambda n: send(self.fleet, n % 2, "/stock/x", f"l-{n}")[0], range(60))
        )
        self.assertLessEqual(self.stock.most_running, 3)
        self.assertEqual(set(), set(statuses) - {200, 503})
        ran = sum(self.stock.runs.values())
        self.assertEqual(ran, statuses.count(200))
