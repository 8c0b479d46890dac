"""Rollback of bad releases while daemons, the network or the platform fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import testtools
from testscenarios import WithScenarios

from magnoliasill.takeovers.plans import Phase
from magnoliasill.takeovers.rollout import is_lowered

from ..takeover_faults import FAULTS, LENGTH_S, SETTLE_S, STEPS, reach_stage, start_takeover
from ..takeover_network import SERVICE

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..takeover_network import TakeoverSimulation


class BadReleaseTest(WithScenarios, testtools.TestCase):
    """A release that turns bad is rolled back on every daemon, whichever fault occurs meanwhile."""

    scenarios = [
        (f"{step}/{fault}", {"stage": STEPS[step], "fault": inject})
        for step in ("ramp", "full")
        for fault, inject in FAULTS.items()
    ]
    stage: int
    fault: Callable[[TakeoverSimulation], None]

    def test_taken_back(self) -> None:
        simulation, violations = start_takeover()
        reach_stage(simulation, self.stage)
        bad_from = simulation.network.now
        simulation.is_bad = lambda now: now >= bad_from
        self.fault(simulation)
        elapsed_s = simulation.network.run_until(
            lambda: simulation.phases() == {Phase.REVERSED}, LENGTH_S
        )
        self.assertLess(elapsed_s, LENGTH_S)
        simulation.network.run(SETTLE_S)
        self.assertEqual({Phase.REVERSED}, simulation.phases())
        self.assertEqual(Phase.REVERSED, simulation.record.progress.phase)
        self.assertLessEqual(simulation.last_new_call() - bad_from, 20.0)
        self.assertEqual([], violations)


class PartitionTest(testtools.TestCase):
    """Takeovers while the platform's store is down or a data centre is partitioned."""

    def test_stops_while_the_platform_is_down(self) -> None:
        simulation, _ = start_takeover()
        reach_stage(simulation, 4)
        simulation.network.store.faults.refuse = 503
        bad_from = simulation.network.now
        simulation.is_bad = lambda now: now >= bad_from
        simulation.network.run(6.0)
        self.assertEqual({Phase.REVERSED}, simulation.phases())
        simulation.network.store.faults.refuse = 0
        simulation.network.run(SETTLE_S)
        self.assertEqual(Phase.REVERSED, simulation.record.progress.phase)

    def test_a_cut_off_data_centre_stops_alone_and_never_raises(self) -> None:
        simulation, violations = start_takeover()
        network = simulation.network
        reach_stage(simulation, 2)
        data_centre = "d1" if simulation.controllers()[0].startswith("d0") else "d0"
        inside = {name for name in network.nodes if name.startswith(data_centre)}
        network.partitions.append(
            lambda a, b: (a.data_centre == data_centre) != (b.data_centre == data_centre)
        )
        network.nodes_without_store.update(inside)
        network.run(1.0)
        stage = max(network.nodes[name].takeovers.active[SERVICE].progress.stage for name in inside)
        network.run(10.0)
        for name in inside:
            self.assertEqual(stage, network.nodes[name].takeovers.active[SERVICE].progress.stage)
        simulation.is_bad = lambda now: True
        network.run(20.0)
        for name in inside:
            progress = network.nodes[name].takeovers.active[SERVICE].progress
            self.assertTrue(progress.phase is Phase.REVERSED or is_lowered(progress), progress)
        network.partitions.clear()
        network.nodes_without_store.clear()
        network.run(SETTLE_S)
        self.assertEqual({Phase.REVERSED}, simulation.phases())
        self.assertEqual([], violations)

    def test_without_the_platform_nothing_starts_and_the_old_release_serves(self) -> None:
        simulation, _ = start_takeover()
        simulation.network.run(1.0)
        reach_stage(simulation, 1)
        simulation.network.store.faults.refuse = 503
        simulation.network.run(LENGTH_S + 5.0)
        calls = len(simulation.new_calls)
        simulation.network.run(10.0)
        self.assertEqual(calls, len(simulation.new_calls))
        simulation.network.store.faults.refuse = 0
        simulation.network.run(SETTLE_S)
        self.assertEqual(Phase.REVERSED, simulation.record.progress.phase)
