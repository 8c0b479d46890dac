"""End-to-end tests with the daemon and the command-line tool as processes."""

from __future__ import annotations

import subprocess
import tempfile
from pathlib import Path

import testtools
import urllib3

from fakes.processes import (
    ROOT,
    find_ports,
    list_serving,
    read_json,
    read_version,
    run_tool,
    start_backend,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)

TIMEOUT_S = 60.0
SERVICES = ("lessons", "assessments", "media", "certs")


class WholePathTest(testtools.TestCase):
    """Publishing, serving requests and stopping, and errors of the programs."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = start_fleet(Path(folder.name))
        self.addCleanup(lambda: stop_fleet(self.fleet) if self.fleet else None)

    def test_whole_path(self) -> None:
        daemons = [
            start_daemon(self.fleet, f"{data_centre}-{number}", data_centre)
            for data_centre in ("lagos", "abuja")
            for number in (1, 2)
        ]
        for daemon, service in zip(daemons, SERVICES, strict=True):
            start_backend(self.fleet, daemon, service, "r1")
        folder = str(ROOT / "examples" / "ikenna" / "services")
        published = run_tool("publish", folder, "--store", self.fleet.store_url)
        self.assertEqual(0, published.returncode, published.stderr)
        wait_until(lambda: all(read_version(d) == 1 for d in daemons), TIMEOUT_S, "convergence")
        wait_until(
            lambda: all(self._knows_all_services(d) for d in daemons), TIMEOUT_S, "membership"
        )
        for daemon in daemons:
            response = self._call(daemon.caller, "GET", "/lessons")
            self.assertEqual(200, response.status)
            self.assertEqual("r1", response.headers["X-Release"])
        statuses = [
            self._call(daemon.caller, "POST", "/assessments/submissions", key="k1").status
            for daemon in daemons
        ]
        self.assertEqual(200, statuses[0])
        runs = read_json(f"127.0.0.1:{daemons[1].backend_port}", "/control/runs")
        self.assertEqual({"k1": 1}, runs["runs"])
        fleet, self.fleet = self.fleet, None
        self.assertEqual([], stop_fleet(fleet))

    def test_clear_errors(self) -> None:
        unused_address = f"http://127.0.0.1:{find_ports(1)[0]}"
        folder = str(ROOT / "examples" / "ikenna" / "services")
        for arguments, code in (
            (("publish", folder, "--store", unused_address), "MS-302"),
            (("check", str(ROOT / "docs")), "MS-201"),
            (("status", "--store", "nowhere"), "MS-101"),
            (("dump", unused_address.removeprefix("http://")), "MS-602"),
        ):
            result = run_tool(*arguments)
            self.assertNotEqual(0, result.returncode)
            self.assertIn(code, result.stderr)

    def test_port_in_use(self) -> None:
        first = start_daemon(self.fleet, "a-1", "a")
        wait_until(
            lambda: first.log_path.read_text().count('"number": 1001') == 1, TIMEOUT_S, "start"
        )
        second = subprocess.run(first.command, cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(2, second.returncode)
        self.assertIn("MS-103", second.stderr)
        self.assertIn("--caller-port", second.stderr)

    def _knows_all_services(self, daemon: object) -> bool:
        return {record["service"] for record in list_serving(daemon)} == set(SERVICES)

    def _call(self, caller: str, method: str, path: str, key: str = "") -> object:
        headers = {"Idempotency-Key": key} if key else {}
        url = f"http://{caller}{path}"
        return urllib3.request(method, url, headers=headers, retries=False, timeout=10)
