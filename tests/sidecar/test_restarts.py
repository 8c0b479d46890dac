"""Tests of what a sidecar still heeds after its process was replaced by another."""

from __future__ import annotations

import testtools

from magnoliasill.mesh.backend import accepts_requests
from magnoliasill.mesh.planned_stop import plan_stop

from . import fleet as harness
from .fleet import build_rule, open_fleet, put_configuration, send, wait_for

LEAVER = 1  # the position of the sidecar that is restarted


class RestartTest(testtools.TestCase):
    """Guards against servers that left and are in use again after a restart of their sidecar."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["shop", "stock", "stock"])
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 3, build_rule("shop"), build_rule("stock"))
        harness.wait_ready(self.fleet)
        self.server = self.fleet.servers[LEAVER]

    def wait_withdrawn(self) -> None:
        sidecar = self.fleet.sidecars[0].sidecar
        wait_for(lambda: sidecar.members.records["vm-2"].server_leaving, "still in the store")

    def assert_not_used(self) -> None:
        before = len(self.server.requests)
        for number in range(20):
            status = send(self.fleet, number % 3, "/stock/x", f"r-{len(self.fleet.events)}")[0]
            self.assertEqual(200, status)
        self.assertEqual(before, len(self.server.requests))

    def restart(self, read_first: bool) -> None:
        harness.restart_sidecar(self.fleet, LEAVER)
        sidecar = self.fleet.sidecars[LEAVER].sidecar
        if read_first:
            wait_for(lambda: "vm-2" in sidecar.members.records, "the record was not read")
        harness.send_heartbeat(self.fleet, LEAVER)
        wait_for(lambda: not accepts_requests(sidecar.backend), "the server is in use again")
        wait_for(lambda: sidecar.table is not None, "there is no configuration")

    def test_after_draining_was_acknowledged(self) -> None:
        for read_first in (True, False):
            harness.send_heartbeat(self.fleet, LEAVER, "draining")
            self.wait_withdrawn()
            self.restart(read_first)
            self.assert_not_used()

    def test_after_its_responses_said_so(self) -> None:
        self.server.leaving = True
        for number in range(20):
            send(self.fleet, number % 3, "/stock/x", f"n-{number}")
        self.wait_withdrawn()
        self.server.leaving = False  # only the memory of it can keep requests away
        self.restart(read_first=True)
        self.assert_not_used()

    def test_a_delayed_heartbeat_of_an_earlier_incarnation(self) -> None:
        harness.send_heartbeat(self.fleet, LEAVER, born=7)
        wait_for(
            lambda: self.fleet.sidecars[0].sidecar.members.records["vm-2"].born == 7, "not stored"
        )
        harness.restart_sidecar(self.fleet, LEAVER)
        sidecar = self.fleet.sidecars[LEAVER].sidecar
        wait_for(lambda: "vm-2" in sidecar.members.records, "the record was not read")
        self.assertEqual(200, harness.send_heartbeat(self.fleet, LEAVER, born=3))
        self.assertFalse(accepts_requests(sidecar.backend))
        harness.send_heartbeat(self.fleet, LEAVER, born=7)
        self.assertTrue(accepts_requests(sidecar.backend))

    def test_a_sidecar_that_stopped_as_planned_serves_again(self) -> None:
        running = self.fleet.sidecars[LEAVER]
        running.sidecar.stop_schedule = plan_stop(running.sidecar.clock() - 60.0, 6.0)
        running.sidecar.wake_registration()
        sidecar = self.fleet.sidecars[0].sidecar
        wait_for(lambda: sidecar.members.records["vm-2"].leaving, "it does not leave")
        harness.restart_sidecar(self.fleet, LEAVER)
        harness.send_heartbeat(self.fleet, LEAVER)
        wait_for(lambda: not sidecar.members.records["vm-2"].leaving, "it does not return")
        self.assertTrue(accepts_requests(self.fleet.sidecars[LEAVER].sidecar.backend))
