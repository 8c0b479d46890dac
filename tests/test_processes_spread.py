"""Tests of configuration distribution and membership with real daemons and faults."""

from __future__ import annotations

import os
import signal
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import testtools
import urllib3

from fakes.processes import (
    DaemonProcess,
    post_json,
    read_json,
    read_version,
    restart_daemon,
    start_backend,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)
from magnoliasill.publishing.publisher import ChangeSet, publish, read_head
from magnoliasill.store import connect_store

from .builders import build_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliasill.versions.manifest import Head

TIMEOUT_S = 40.0
SERVICE = "lessons"


class SpreadTest(testtools.TestCase):
    """Faults in a fleet of 2 data centres with 3 daemons each."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = start_fleet(Path(folder.name))
        self.addCleanup(stop_fleet, self.fleet)
        self.store = connect_store(self.fleet.store_url, 5.0)
        seeds = ""
        for data_centre in ("a", "b"):
            for number in (1, 2, 3):
                daemon = start_daemon(self.fleet, f"{data_centre}-{number}", data_centre, seeds)
                seeds = seeds or f"127.0.0.1:{daemon.peer_port}"
        self.daemons = list(self.fleet.daemons.values())
        self.publish(1)
        self.wait_for_version(1, self.daemons)
        self.wait(lambda: all(self.count_alive(d) == 5 for d in self.daemons), "membership")

    def test_paused_relay(self) -> None:
        """A relay whose lease expired while it was suspended resumes with the newest version."""
        relays = [d for d in self.daemons if self.read(d)["relay_slot"] is not None]
        target_daemon = relays[0]
        others = [daemon for daemon in self.daemons if daemon is not target_daemon]
        os.kill(target_daemon.process.pid, signal.SIGSTOP)
        self.publish(2)
        self.wait_for_version(2, others)
        name = target_daemon.name
        self.wait(
            lambda: all(self.find_status(d, name) == "failed" for d in others), "failure detected"
        )
        self.publish(3)
        self.wait_for_version(3, others)
        os.kill(target_daemon.process.pid, signal.SIGCONT)
        self.wait_for_version(3, [target_daemon])
        self.wait(
            lambda: all(self.find_status(d, name) == "alive" for d in others), "recovery detected"
        )

    def test_restart_without_platform(self) -> None:
        """A daemon that restarts while the store is down gets the configuration from its peers."""
        self.publish(2)
        self.wait_for_version(2, self.daemons)
        self.set_outage(True)
        target_daemon = self.daemons[1]
        target_daemon.process.kill()
        target_daemon.process.wait()
        restart_daemon(target_daemon)
        versions_seen: list[int] = []

        def has_recovered() -> bool:
            versions_seen.append(read_version(target_daemon))
            return versions_seen[-1] == 2

        self.wait(has_recovered, "recovery")
        self.assertEqual({0, 2}, {0, *versions_seen})

    def test_dead_backend_server(self) -> None:
        """Daemons stop listing a backend server whose process was killed."""
        daemon = self.daemons[0]
        start_backend(self.fleet, daemon, SERVICE, "r0")
        self.wait(
            lambda: all(self.count_serving(d) == 1 for d in self.daemons), "server advertised"
        )
        daemon.backend.kill()
        daemon.backend.wait()
        self.wait(lambda: all(self.count_serving(d) == 0 for d in self.daemons), "server removed")

    def test_claim_answer_lost(self) -> None:
        """All daemons restart while responses to store writes are lost."""
        post_json(f"127.0.0.1:{self.fleet.store_port}", "/control/faults", {"lose_answers": 4})
        for daemon in self.daemons:
            daemon.process.kill()
            daemon.process.wait()
            restart_daemon(daemon)
        self.wait_for_version(1, self.daemons)

    def publish(self, version: int) -> Head:
        head, _ = read_head(self.store)
        base = head.services if head is not None else {}
        services = {SERVICE: build_service(SERVICE, release=f"r{version}")}
        published_at = datetime.now(UTC)
        request = ChangeSet(f"test-{version}", services, base)
        return publish(self.store, request, published_at, lambda attempt: time.sleep(0.1))

    def set_outage(self, outage: bool) -> None:
        post_json(
            f"127.0.0.1:{self.fleet.store_port}",
            "/control/faults",
            {"refuse": 503 if outage else 0},
        )

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        wait_until(condition, TIMEOUT_S, what)

    def wait_for_version(self, version: int, daemons: list[DaemonProcess]) -> None:
        self.wait(lambda: all(read_version(d) == version for d in daemons), f"version {version}")

    def read(self, daemon: DaemonProcess) -> Any:
        try:
            return read_json(daemon.admin, "/v1/state")
        except urllib3.exceptions.HTTPError:
            return {"own": {"serving": False}, "members": [], "relay_slot": None}

    def count_alive(self, daemon: DaemonProcess) -> int:
        return sum(member["status"] == "alive" for member in self.read(daemon)["members"])

    def count_serving(self, daemon: DaemonProcess) -> int:
        state = self.read(daemon)
        return sum(record["serving"] for record in [state["own"], *state["members"]])

    def find_status(self, daemon: DaemonProcess, name: str) -> str:
        members = self.read(daemon)["members"]
        return next((member["status"] for member in members if member["name"] == name), "")
