"""Tests of VMs whose links can't carry all that is sent to their backend servers."""

from __future__ import annotations

import testtools
from testscenarios import WithScenarios

from magnoliasill.sidecar.http_exchange import BETWEEN_VMS_TIMEOUTS

from .simulated_calls import (
    CallFleet,
    SimulatedVm,
    limit_link,
    open_call_fleet,
    run_until,
    start_callers,
)

LINK_MBPS = 10.0
UPLOAD_BYTES = 60_000  # 48 ms on that link
RECEIVERS = 3
SENDERS = 9
CAPACITY_PER_S = RECEIVERS * LINK_MBPS * 1e6 / 8 / UPLOAD_BYTES
PLAYED_S = 12.0
MIN_SERVED_SHARE = 0.7  # of what the links can carry


class UploadsTest(WithScenarios, testtools.TestCase):
    """Uploads from many VMs to the servers of one service, at multiples of what its links carry."""

    scenarios = [
        (f"{load}-{seed}", {"load": load, "seed": seed})
        for load in (0.7, 1.2, 2.5)
        for seed in (1, 2)
    ]
    load: float
    seed: int

    def play(self) -> tuple[CallFleet, list[SimulatedVm]]:
        fleet = open_call_fleet(self.seed, ["records"] * RECEIVERS + ["front"] * SENDERS)
        receivers = [vm for vm in fleet.vms.values() if vm.server.service == "records"]
        for vm in receivers:
            limit_link(fleet, vm.sidecar.settings.name, LINK_MBPS)
        until = fleet.now + PLAYED_S
        start_callers(
            fleet,
            "records",
            self.load * CAPACITY_PER_S,
            until,
            idempotent=False,
            deadline_s=4.0,
            target_s=1.5,
            body=b"u" * UPLOAD_BYTES,
        )
        run_until(fleet, until + 4.0)
        return fleet, receivers

    # a VM beside a server of uploads reached no other for seconds, so its configuration was late
    def test_connections_are_not_kept_waiting_and_uploads_are_served(self) -> None:
        fleet, receivers = self.play()
        self.assertEqual([], fleet.failures)
        longest_s = max(vm.longest_delay_s for vm in receivers)
        self.assertLess(longest_s, BETWEEN_VMS_TIMEOUTS.connect_s)
        expected = min(self.load, 1.0) * CAPACITY_PER_S * PLAYED_S
        self.assertLess(MIN_SERVED_SHARE * expected, fleet.outcomes["in_time"])
