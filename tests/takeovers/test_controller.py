"""Takeovers of good releases under faults of the controller, the network and the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import testtools
from testscenarios import WithScenarios

from magnoliasill.core.engine import step
from magnoliasill.core.events import StoreAnswered, StoreEntry
from magnoliasill.takeovers.controller import WRITE
from magnoliasill.takeovers.plans import Phase

from ..simulated_network import start_node
from ..takeover_faults import FAULTS, LENGTH_S, SETTLE_S, STEPS, reach_stage, start_takeover
from ..takeover_network import build_simulation, publish_plain, publish_takeover

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..takeover_network import TakeoverSimulation


class GoodReleaseTest(WithScenarios, testtools.TestCase):
    """The takeover of a good release completes before its deadline, whichever fault occurs."""

    scenarios = [
        (f"{step}/{fault}", {"stage": stage, "fault": inject})
        for step, stage in STEPS.items()
        for fault, inject in FAULTS.items()
    ]
    stage: int
    fault: Callable[[TakeoverSimulation], None]

    def test_completed_in_time(self) -> None:
        simulation, violations = start_takeover()
        finish_by = simulation.network.now - 1.0 + LENGTH_S
        reach_stage(simulation, self.stage)
        self.fault(simulation)
        simulation.network.run_until(
            lambda: simulation.record is not None
            and simulation.record.progress.phase is Phase.COMPLETED,
            finish_by - simulation.network.now,
        )
        self.assertEqual(
            Phase.COMPLETED, simulation.record.progress.phase, simulation.record.progress
        )
        simulation.network.run(SETTLE_S)
        self.assertEqual({Phase.COMPLETED}, simulation.phases())
        self.assertEqual([], violations)
        self.assertEqual([], simulation.network.violations)


class OperatorTest(testtools.TestCase):
    """Configurations that are published during or after a takeover."""

    def test_cancel(self) -> None:
        simulation, _ = start_takeover()
        reach_stage(simulation, 4)
        publish_plain(simulation, "r1")
        simulation.network.run(6.0)
        calls = len(simulation.new_calls)
        simulation.network.run(SETTLE_S)
        self.assertEqual(calls, len(simulation.new_calls))

    def test_replace_starts_anew(self) -> None:
        simulation, _ = start_takeover()
        reach_stage(simulation, 4)
        publish_takeover(simulation, 90.0)
        simulation.network.run(6.0)
        self.assertLess(simulation.record.progress.stage, 2)
        simulation.network.run(90.0)
        self.assertEqual(Phase.COMPLETED, simulation.record.progress.phase)

    def test_a_stopped_takeover_stays_stopped_when_published_again(self) -> None:
        simulation, _ = start_takeover()
        start = simulation.network.now - 1.0
        reach_stage(simulation, 2)
        simulation.is_bad = lambda now: True
        simulation.network.run(20.0)
        self.assertEqual({Phase.REVERSED}, simulation.phases())
        publish_plain(simulation, "r1")
        simulation.network.run(5.0)
        simulation.is_bad = lambda now: False
        calls = len(simulation.new_calls)
        simulation.network.now, now = start, simulation.network.now
        publish_takeover(simulation)
        simulation.network.now = now
        simulation.network.run(20.0)
        self.assertEqual(calls, len(simulation.new_calls))

    def test_a_restarted_daemon_learns_the_outcome(self) -> None:
        simulation, _ = start_takeover()
        simulation.network.run(LENGTH_S)
        self.assertEqual({Phase.COMPLETED}, simulation.phases())
        start_node(simulation.network, "d1-3")
        simulation.network.run(8.0)
        self.assertEqual({Phase.COMPLETED}, simulation.phases())

    def test_no_server_of_the_new_release(self) -> None:
        simulation = build_simulation()
        for index in (0, 1):
            simulation.network.nodes[f"d{index}-2"].own = attrs.evolve(
                simulation.network.nodes[f"d{index}-2"].own, service=""
            )
        simulation.network.run(6.0)
        publish_takeover(simulation)
        simulation.network.run(LENGTH_S + SETTLE_S)
        self.assertEqual([], simulation.new_calls)
        self.assertEqual(Phase.REVERSED, simulation.record.progress.phase)


class RefusedWriteTest(testtools.TestCase):
    """A failed compare-and-swap means that another daemon has become the controller."""

    def test_the_loser_stops_deciding_and_adopts_nothing(self) -> None:
        simulation, _ = start_takeover()
        reach_stage(simulation, 2)
        (name,) = simulation.controllers()
        node = simulation.network.nodes[name]
        (takeover,) = node.takeovers.active.values()
        before = takeover.progress
        takeover.control.proposed = attrs.evolve(before, stage=before.stage + 1)
        purpose = f"{WRITE}/{takeover.plan.takeover_id}"
        rival = StoreEntry("rival", b"{}", takeover.control.revision + 1)
        step(node, simulation.network.now, StoreAnswered(purpose, False, (rival,)))
        self.assertFalse(takeover.control.holding)
        self.assertEqual(before, takeover.progress)
        self.assertIsNone(takeover.control.proposed)
