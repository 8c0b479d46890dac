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
