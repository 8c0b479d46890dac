"""Tests of the sidecar as a process: start, reload of the settings file, and shutdown."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import eventlet
import msgspec
import testtools
import tomli_w
from eventlet.green import subprocess

from magnoliasill.mesh.records import MEMBER_PREFIX

from . import fleet as harness
from .fleet import build_rule, open_fleet, put_configuration, wait_for

EXIT_REFUSED = 2


class ProcessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "boot.toml"
        self.log = Path(folder.name) / "log"
        self.fleet = open_fleet(["shop"])
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 3, build_rule("shop", kind="non_idempotent"))

    def start(self) -> Any:
        """Replace the fleet's sidecar by a process on the same addresses."""
        running = self.fleet.sidecars[0]
        for thread in (*running.loops, *running.servers):
            thread.kill()
        for sock in running.sockets:
            sock.close()
        self.write_settings()
        return self.run_process()

    def write_settings(self, **changes: Any) -> None:
        settings = self.fleet.sidecars[0].sidecar.settings
        fields = {
            "node_name": settings.name,
            "ip": settings.gate.partition(":")[0],
            "zone": settings.data_centre,
            "port_range": [7620, 7635],
            "bounds": ["grace_s=6"],
            "app_addr": settings.server,
            "service_name": settings.service,
            "listen_addrs": {
                "inbound": settings.gate,
                "outbound": settings.callers,
                "ready": settings.readiness,
                "control": settings.control,
            },
            "platform": {"address": settings.store},
            **changes,
        }
        self.path.write_text(tomli_w.dumps(fields), encoding="utf-8")

    def run_process(self) -> Any:
        environment = {**os.environ, "MAGNOLIASILL_BOOT": str(self.path)}
        log = self.log.open("wb")
        self.addCleanup(log.close)
        process = subprocess.Popen(
            [sys.executable, "-m", "magnoliasill"], env=environment, stdout=log
        )
        self.addCleanup(lambda: process.poll() is None and process.kill())
        return process

    def read_events(self) -> list[dict[str, Any]]:
        return [msgspec.json.decode(line) for line in self.log.read_bytes().splitlines()]

    def wait_event(self, name: str) -> dict[str, Any]:
        def find() -> dict[str, Any] | None:
            return next((e for e in self.read_events() if e["event"] == name), None)

        wait_for(lambda: find() is not None, f"no event {name}")
        return find()

    def test_stops_after_the_request_in_progress(self) -> None:
        process = self.start()
        self.wait_event("configuration_applied")
        harness.send_heartbeat(self.fleet, 0, born=2)
        self.wait_event("registration_changed")
        key = MEMBER_PREFIX + self.fleet.sidecars[0].sidecar.settings.name
        revision = self.fleet.fake_store.items[key]["revision"]
        wait_for(
            lambda: any(
                found["event"] == "member_changed" and found["revision"] >= revision
                for found in self.read_events()
            ),
            "the sidecar has not seen its own record",
        )
        server = self.fleet.servers[0]
        server.work_s = 1.0
        sent = eventlet.spawn(harness.send, self.fleet, 0, "/shop/x", "p-1", "POST", b"abc")
        wait_for(lambda: server.running == 1, "the request is not running")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(200, sent.wait()[0])
        self.assertEqual(0, process.wait())
        self.assertEqual(0, self.wait_event("daemon_stopped")["open_calls"])

    def test_a_changed_file_is_taken_over_and_a_broken_one_is_not(self) -> None:
        process = self.start()
        self.wait_event("configuration_applied")
        self.write_settings(bounds=["grace_s=4"])
        self.wait_event("settings_reloaded")
        self.path.write_text("= broken", encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        self.assertIn("can't be read", self.wait_event("settings_refused")["reason"])
        self.assertIsNone(process.poll())

    def test_settings_that_can_not_be_read_end_it(self) -> None:
        self.path.write_text("= broken", encoding="utf-8")
        process = self.run_process()
        self.assertEqual(EXIT_REFUSED, process.wait())
        self.assertIn("can't be read", self.wait_event("daemon_refused")["reason"])
