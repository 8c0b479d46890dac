"""Tests of a planned stop while callers go on using their open connections."""

from __future__ import annotations

from collections import Counter

import eventlet
import testtools

from magnoliasill.mesh.settings import Bounds
from magnoliasill.sidecar.daemon import stop_sidecar

from . import fleet as harness
from .fleet import build_rule, open_fleet, put_configuration

CALLERS = 24
WORK_S = 0.05


class StopUnderLoadTest(testtools.TestCase):
    """Guards against requests that a stopping process has read and leaves without an answer."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["shop", "stock", "stock"], Bounds(grace_s=4.0), work_s=WORK_S)
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 3, build_rule("shop"), build_rule("stock"))
        harness.wait_ready(self.fleet)
        self.ends: Counter[str] = Counter()
        self.stopped = False

    def call_until_closed(self, caller: int, index: int) -> None:
        """Send requests through a sidecar on kept connections, as long as it accepts any."""
        address = self.fleet.sidecars[index].sidecar.settings.callers
        number = 0
        while not self.stopped:
            try:
                sock = harness.connect(address)
            except OSError:
                self.ends["no connection"] += 1
                return
            with sock:
                file = sock.makefile("rb")
                closing = False
                while not closing:
                    number += 1
                    closing = self.call_once(sock, file, f"{caller}-{number}")
                    closing = closing or (self.stopped and index > 0)

    def call_once(self, sock: object, file: object, identifier: str) -> bool:
        path = "/shop/x" if identifier.endswith(("0", "5")) else "/stock/x"
        head = f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {identifier}\r\n"
        try:
            sock.sendall(f"{head}Request-Deadline: 1000\r\n\r\n".encode())
            status, headers, _ = harness.read_answer(file)
        except (OSError, EOFError, IndexError):
            ran = any(server.runs[identifier] for server in self.fleet.servers)
            self.ends["cut while it ran" if ran else "closed before it was read"] += 1
            return True
        self.ends[str(status)] += 1
        return headers.get("connection", "").lower() == "close"

    def test_every_request_that_was_read_is_answered(self) -> None:
        callers = [eventlet.spawn(self.call_until_closed, number, 0) for number in range(CALLERS)]
        eventlet.sleep(0.3)
        stop_sidecar(self.fleet.sidecars[0])
        self.stopped = True
        for caller in callers:
            caller.wait()
        self.assertEqual(0, self.ends["cut while it ran"], self.ends)
        self.assertEqual(
            set(), set(self.ends) - {"200", "503", "no connection", "closed before it was read"}
        )
        self.assertGreater(self.ends["200"], CALLERS)
        self.assertEqual(0, self.fleet.sidecars[0].sidecar.open_requests)

    def test_requests_of_other_sidecars_to_its_gate_are_answered(self) -> None:
        callers = [eventlet.spawn(self.call_until_closed, number, 1) for number in range(CALLERS)]
        eventlet.sleep(0.3)
        stop_sidecar(self.fleet.sidecars[0])
        self.stopped = True
        for caller in callers:
            caller.wait()
        self.assertEqual(set(), set(self.ends) - {"200", "503"}, self.ends)
        self.assertGreater(self.ends["200"], CALLERS)
        runs = sum(self.fleet.servers[0].runs.values())
        self.assertGreater(runs, 0)


class LateRequestsTest(testtools.TestCase):
    """Guards against requests that are taken late in the grace period and cut off at its end.

    Among them were requests that must not be repeated. Each request is either answered by its
    backend server, or refused as not run and then has not run.
    """

    def start(self, grace_s: float, work_s: float) -> None:
        self.fleet = open_fleet(["shop", "stock"], Bounds(grace_s=grace_s), work_s=work_s)
        self.addCleanup(harness.close_fleet, self.fleet)
        rules = [build_rule(name, kind="non_idempotent") for name in ("shop", "stock")]
        for rule in rules:
            rule["route_action"]["timeout_s"] = 12.0
        put_configuration(self.fleet, 3, *rules)
        harness.wait_ready(self.fleet)

    def call_at(self, second: float, index: int, path: str, identifier: str) -> None:
        eventlet.sleep(second)
        try:
            status = harness.send(
                self.fleet, index, path, identifier, "POST", b"abc", deadline_ms=12_000
            )[0]
        except (OSError, EOFError, IndexError):
            status = 0
        runs = sum(server.runs[identifier] for server in self.fleet.servers)
        self.ends.append((status, runs))

    def stop_among_calls(self, grace_s: float, work_s: float, index: int, path: str) -> None:
        self.start(grace_s, work_s)
        self.ends: list[tuple[int, int]] = []
        self.call_at(0.0, index, path, "learned")
        calls = [
            eventlet.spawn(self.call_at, grace_s * part / 10, index, path, f"late-{part}")
            for part in range(10)
        ]
        eventlet.sleep(0)
        stop_sidecar(self.fleet.sidecars[0])
        cut = self.fleet.sidecars[0].sidecar.open_requests
        for call in calls:
            call.wait()
        self.assertEqual(0, cut, "requests are open when the process ends")
        self.assertEqual(11, len(self.ends))
        self.assertEqual(set(), set(self.ends) - {(200, 1), (503, 0), (0, 0)}, self.ends)

    def test_slow_requests_of_its_own_callers(self) -> None:
        self.stop_among_calls(4.0, 1.5, 0, "/stock/x")
        self.assertIn((503, 0), self.ends)

    def test_slow_requests_to_its_gate(self) -> None:
        self.stop_among_calls(4.0, 1.5, 1, "/shop/x")

    def test_slow_requests_to_its_own_server(self) -> None:
        self.stop_among_calls(4.0, 1.5, 0, "/shop/x")

    def test_a_short_grace_period(self) -> None:
        self.stop_among_calls(1.0, 0.2, 0, "/stock/x")

    def test_a_request_that_outlasts_the_grace_period_is_answered(self) -> None:
        self.start(1.0, 3.0)
        self.ends = []
        call = eventlet.spawn(self.call_at, 0.0, 0, "/stock/x", "long")
        eventlet.sleep(0.2)
        stop_sidecar(self.fleet.sidecars[0])
        self.assertEqual(0, self.fleet.sidecars[0].sidecar.open_requests)
        call.wait()
        self.assertEqual([(502, 1)], self.ends)
