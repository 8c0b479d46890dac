"""Tests of the caller path with real processes: kill, drain, cancellation, deadlines."""

from __future__ import annotations

import socket
import tempfile
import threading
from pathlib import Path

import testtools
import urllib3

from fakes.processes import (
    HOST,
    ROOT,
    list_serving,
    post_json,
    read_json,
    read_version,
    run_tool,
    start_backend,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)

WAIT_S = 60.0
SLOW_MS = 3_000
STUCK_MS = 60_000
LONG_PATH = "/lessons/1"  # its route's own deadline ends a call after 10 s
CANCEL_WAIT_S = 8.0  # a run that only the deadline ends is still going on by then


class CallPathTest(testtools.TestCase):
    """Two daemons, two backend servers of one service."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = start_fleet(Path(folder.name))
        self.addCleanup(stop_fleet, self.fleet)
        first = start_daemon(self.fleet, "a-1", "a")
        second = start_daemon(self.fleet, "a-2", "a", f"{HOST}:{first.peer_port}")
        self.daemons = [first, second]
        self.servers = [
            f"{HOST}:{start_backend(self.fleet, daemon, 'lessons', 'r1')}"
            for daemon in self.daemons
        ]
        folder = str(ROOT / "examples" / "ikenna" / "services")
        self.assertEqual(0, run_tool("publish", folder, "--store", self.fleet.store_url).returncode)
        wait_until(lambda: all(self._is_ready(d) for d in self.daemons), WAIT_S, "ready")

    def test_killed_server_loses_no_call(self) -> None:
        self.daemons[1].backend.kill()
        self.daemons[1].backend.wait()
        statuses = [self._call(self.daemons[0].caller).status for _ in range(60)]
        self.assertEqual([200] * 60, statuses)

    def test_draining_server_gets_no_new_work(self) -> None:
        post_json(self.servers[1], "/control/drain", {})
        statuses = [self._call(self.daemons[0].caller).status for _ in range(60)]
        self.assertEqual([200] * 60, statuses)
        self.assertEqual(0, read_json(self.servers[1], "/control/runs")["calls"])
        wait_until(lambda: self._count_serving() == 1, WAIT_S, "drain is known")
        self.assertEqual(0, read_json(self.servers[1], "/control/runs")["calls"])

    def test_disconnected_caller_cancels_the_run(self) -> None:
        for server in self.servers:
            post_json(server, "/control/faults", {"delay_ms": STUCK_MS})
        host, _, port = self.daemons[0].caller.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        caller.sendall(f"GET {LONG_PATH} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        wait_until(lambda: self._sum("calls") == 1, WAIT_S, "run begun")
        caller.close()
        wait_until(lambda: self._sum("cancelled") == 1, CANCEL_WAIT_S, "run cancelled")
        dump = read_json(self.daemons[0].admin, "/v1/state")
        self.assertEqual([0], sorted({entry["in_flight"] for entry in dump["upstreams"]}))

    def test_deadlines(self) -> None:
        for server in self.servers:
            post_json(server, "/control/faults", {"delay_ms": STUCK_MS})
        for text, status, code in (("0", 504, "MS-512"), ("soon", 400, "MS-513")):
            answer = self._call(self.daemons[0].caller, {"X-Deadline-Ms": text})
            self.assertEqual((status, code), (answer.status, answer.json()["code"]))
        self.assertEqual(0, self._sum("calls"))
        caller, path = self.daemons[0].caller, LONG_PATH
        answer = self._call(caller, {"X-Deadline-Ms": "300"}, path)
        self.assertIn(answer.status, (502, 504))
        wait_until(self._has_stopped, CANCEL_WAIT_S, "the server stopped at the deadline")

    def test_overload_is_refused_at_once_with_a_spread_return(self) -> None:
        for server in self.servers:
            post_json(server, "/control/faults", {"delay_ms": SLOW_MS // 2})
        answers: list[urllib3.BaseHTTPResponse] = []

        def call() -> None:
            answers.append(self._call(self.daemons[0].caller))

        callers = [threading.Thread(target=call) for _ in range(60)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        refused = [answer for answer in answers if answer.status == 503]
        self.assertEqual(60, len(answers))
        self.assertGreaterEqual(len(refused), 60 - 4 * 10)
        self.assertEqual({"MS-511"}, {answer.json()["code"] for answer in refused})
        self.assertEqual({"no"}, {answer.json()["ran"] for answer in refused})
        delays = {int(answer.headers["Retry-After"]) for answer in refused}
        self.assertGreater(len(delays), 1)
        self.assertEqual(60 - len(refused), self._sum("calls"))

    def _call(
        self, caller: str, headers: dict[str, str] | None = None, path: str = "/lessons"
    ) -> object:
        url = f"http://{caller}{path}"
        return urllib3.request("GET", url, headers=headers, retries=False, timeout=10)

    def _has_stopped(self) -> bool:
        return self._sum("expired") + self._sum("cancelled") == self._sum("calls") > 0

    def _sum(self, name: str) -> int:
        return sum(read_json(server, "/control/runs")[name] for server in self.servers)

    def _is_ready(self, daemon: object) -> bool:
        return read_version(daemon) == 1 and self._count_serving(daemon) == 2

    def _count_serving(self, daemon: object = None) -> int:
        return len(list_serving(daemon or self.daemons[0]))
