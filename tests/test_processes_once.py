"""Tests with real processes: at-most-once execution, crashing requests, and graceful stops."""

from __future__ import annotations

import signal
import socket
import tempfile
import threading
import time
import uuid
from pathlib import Path
from typing import Any

import msgspec
import testtools
import urllib3

from fakes.processes import (
    DaemonProcess,
    post_json,
    read_json,
    read_version,
    restart_daemon,
    run_tool,
    start_backend,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)
from fakes.store import Faults

WAIT_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.05
FREEZE_S = 4.0  # longer than the lease of a key range
PROGRESS_CALLS = 10  # calls that must end between two faults
CRASH_MARKER = "crash me"
NOTICES_METRIC = 'magnoliasill_messages_received_total{kind="CrashNotice"}'
SERVICE = """
service = "fees"
team = "money"
serving = "r1"

[[routes]]
name = "pay"
method = "POST"
path = "/fees"
idempotent = false

[[routes]]
name = "put"
method = "PUT"
path = "/fees"

[[releases]]
name = "r1"
cold_start_ms = 0
"""


class OnceTest(testtools.TestCase):
    """Four daemons in two data centres, each with a backend server of one service."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        services = Path(folder.name) / "services"
        services.mkdir()
        (services / "fees.toml").write_text(SERVICE)
        self.fleet = start_fleet(Path(folder.name))
        self.addCleanup(stop_fleet, self.fleet)
        first = start_daemon(self.fleet, "a-1", "a")
        seeds = f"127.0.0.1:{first.peer_port}"
        others = [start_daemon(self.fleet, n, n[0], seeds) for n in ("a-2", "b-1", "b-2")]
        self.daemons = [first, *others]
        for daemon in self.daemons:
            start_backend(self.fleet, daemon, "fees", "r1", work_ms=20)
        done = run_tool("publish", str(services), "--store", self.fleet.store_url)
        self.assertEqual(0, done.returncode, done.stderr)
        wait_until(lambda: all(map(self._is_ready, self.daemons)), WAIT_TIMEOUT_S, "readiness")

    def _is_ready(self, daemon: DaemonProcess) -> bool:
        if read_version(daemon) != 1:
            return False
        state = read_json(daemon.admin, "/v1/state")
        records = [state["own"], *state["members"]]
        return sum(record["serving"] for record in records) == len(self.daemons)

    def _call(self, daemon: DaemonProcess, key: str, body: str = "x", method: str = "POST") -> Any:
        headers = {"Idempotency-Key": key}
        try:
            answer = urllib3.request(
                method,
                f"http://{daemon.caller}/fees",
                headers=headers,
                body=body.encode(),
                retries=False,
                timeout=10,
            )
        except urllib3.exceptions.HTTPError as error:
            return 0, {"code": type(error).__name__}
        return answer.status, msgspec.json.decode(answer.data)

    def _count_runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for daemon in self.daemons:
            found = read_json(f"127.0.0.1:{daemon.backend_port}", "/control/runs")["runs"]
            for key, count in found.items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def _call_until_final(
        self, key: str, turn: int, codes: list[str] | None = None
    ) -> tuple[int, Any]:
        for attempt in range(200):
            daemon = self.daemons[(turn + attempt) % len(self.daemons)]
            status, body = self._call(daemon, key)
            if status in (200, 502):
                return status, body
            if codes is not None:
                codes.append(body["code"])
            time.sleep(RETRY_DELAY_S)
        return status, body

    def test_at_most_once_while_daemons_and_the_store_fail(self) -> None:
        results: dict[str, tuple[int, Any]] = {}
        codes: list[str] = []
        done = threading.Event()

        def call_until_done(turn: int) -> None:
            while not done.is_set():
                key = str(uuid.uuid4())
                results[key] = self._call_until_final(key, turn, codes)

        callers = [threading.Thread(target=call_until_done, args=(turn,)) for turn in range(4)]
        for caller in callers:
            caller.start()
        self.addCleanup(done.set)
        for fault in (self._kill, self._freeze, self._lose_answers, self._stop_store):
            count = len(results)
            wait_until(
                lambda n=count: len(results) > n + PROGRESS_CALLS, WAIT_TIMEOUT_S, "progress"
            )
            codes.clear()
            fault(codes)
        count = len(results)
        wait_until(
            lambda: len(results) > count + PROGRESS_CALLS, WAIT_TIMEOUT_S, "progress at the end"
        )
        done.set()
        for caller in callers:
            caller.join(WAIT_TIMEOUT_S)
        runs = self._count_runs()
        self.assertLessEqual(max(runs.values()), 1)
        for key, (status, body) in results.items():
            if status == 200:
                self.assertEqual((1, key), (runs.get(key, 0), body["key"]))
            else:
                self.assertIn(body["code"], ("MS-504", "MS-521"))

    def _count_notices(self, daemon: Any) -> float:
        url = f"http://{daemon.admin}/metrics"
        lines = urllib3.request("GET", url, retries=False, timeout=10).data.decode().splitlines()
        found = [line for line in lines if line.startswith(NOTICES_METRIC)]
        return float(found[0].split()[-1]) if found else 0.0

    def _kill(self, codes: list[str]) -> None:
        for target_daemon in self.daemons[:2]:
            target_daemon.process.kill()
            target_daemon.process.wait()
            restart_daemon(target_daemon)
            wait_until(lambda v=target_daemon: self._is_ready(v), WAIT_TIMEOUT_S, "restart")

    def _freeze(self, codes: list[str]) -> None:
        target_daemon = self.daemons[2]
        target_daemon.process.send_signal(signal.SIGSTOP)
        started = time.monotonic()
        try:
            wait_until(
                lambda: time.monotonic() - started > FREEZE_S,
                WAIT_TIMEOUT_S,
                "the end of the pause",
            )
        finally:
            target_daemon.process.send_signal(signal.SIGCONT)
        wait_until(lambda: self._is_ready(target_daemon), WAIT_TIMEOUT_S, "resume")

    def _lose_answers(self, codes: list[str]) -> None:
        post_json(self._store(), "/control/faults", Faults(lose_answers=6))

    def _stop_store(self, codes: list[str]) -> None:
        self._set_outage(True)
        wait_until(lambda: "MS-524" in codes, WAIT_TIMEOUT_S, "a refusal")
        self._set_outage(False)

    def _set_outage(self, outage: bool) -> None:
        post_json(self._store(), "/control/faults", Faults(refuse=503 if outage else 0))

    def _store(self) -> str:
        return f"127.0.0.1:{self.fleet.store_port}"

    def test_platform_down(self) -> None:
        self.assertEqual(200, self._call(self.daemons[0], "before")[0])
        self._set_outage(True)
        for daemon in self.daemons:
            self.assertEqual(200, self._call(daemon, "", method="PUT")[0])
            status, body = self._call(daemon, "during")
            self.assertEqual((503, "MS-524", "no"), (status, body["code"], body["ran"]))
        self._set_outage(False)
        self.assertEqual(200, self._call_until_final("during", 0)[0])
        self.assertEqual({"before": 1, "during": 1}, self._count_runs())
        states = [read_json(daemon.admin, "/v1/state")["claims"] for daemon in self.daemons]
        self.assertEqual(2, sum(state["own"].get("finished", 0) for state in states))
        self.assertLessEqual(1, sum(state["records"] for state in states))

    def test_crashing_request(self) -> None:
        for daemon in self.daemons:
            address = f"127.0.0.1:{daemon.backend_port}"
            post_json(address, "/control/faults", {"crash_marker": CRASH_MARKER})
        local = self.daemons[:2]
        codes = []
        for turn in range(12):
            other = local[1 - turn % 2]
            notices = self._count_notices(other)
            _, body = self._call(local[turn % 2], "", CRASH_MARKER, "PUT")
            codes.append(body["code"])
            if body["code"] != "MS-528":
                wait_until(
                    lambda n=notices, d=other: self._count_notices(d) > n, WAIT_TIMEOUT_S, "notice"
                )
        self.assertEqual("MS-528", codes[-1], codes)
        crashed = [d.name for d in self.daemons if d.backend.poll() is not None]
        self.assertLessEqual(len(crashed), 2, codes)
        self.assertEqual(200, self._call(local[0], "", "harmless", "PUT")[0])

    def test_stop_cuts_off_no_request(self) -> None:
        target_daemon = self.daemons[0]
        for daemon in self.daemons:
            address = f"127.0.0.1:{daemon.backend_port}"
            post_json(address, "/control/faults", {"delay_ms": 1000})
        sock = socket.create_connection(("127.0.0.1", target_daemon.caller_port))
        sock.settimeout(WAIT_TIMEOUT_S)
        sock.sendall(b"PUT /fees HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
        wait_until(
            lambda: read_json(target_daemon.admin, "/v1/state")["open_calls"] == 1,
            WAIT_TIMEOUT_S,
            "the call",
        )
        target_daemon.process.send_signal(signal.SIGTERM)
        answer = b""
        while chunk := sock.recv(65_536):
            answer += chunk
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200"), answer)
        self.assertIn(b"connection: close", head.lower())
        self.assertEqual("fees", msgspec.json.decode(body)["service"])
        self.assertEqual(0, target_daemon.process.wait(WAIT_TIMEOUT_S))
