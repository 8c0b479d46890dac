"""Tests of takeovers of good releases: every fault of the controller at every step."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import testtools
from testscenarios import WithScenarios

from magnoliasill.core.engine import step
from magnoliasill.core.events import StoreAnswered, StoreEntry
from magnoliasill.takeovers.controller import WRITE
from magnoliasill.takeovers.plans import Phase

from ..network import start_node
from ..takeover_faults import FAULTS, LENGTH_S, SETTLE_S, STEPS, reach_stage, start_takeover
from ..takeover_network import build_scene, publish_plain, publish_takeover

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..takeover_network import Scene


class GoodReleaseTest(WithScenarios, testtools.TestCase):
    """A good release is completed in time, whatever happens to its controller."""

    scenarios = [
        (f"{step}/{fault}", {"stage": stage, "fault": act})
        for step, stage in STEPS.items()
        for fault, act in FAULTS.items()
    ]
    stage: int
    fault: Callable[[Scene], None]

    def test_completed_in_time(self) -> None:
        scene, breaches = start_takeover()
        finish_by = scene.network.now - 1.0 + LENGTH_S
        reach_stage(scene, self.stage)
        self.fault(scene)
        scene.network.run_until(
            lambda: scene.record is not None and scene.record.progress.phase is Phase.COMPLETED,
            finish_by - scene.network.now,
        )
        self.assertEqual(Phase.COMPLETED, scene.record.progress.phase, scene.record.progress)
        scene.network.run(SETTLE_S)
        self.assertEqual({Phase.COMPLETED}, scene.phases())
        self.assertEqual([], breaches)
        self.assertEqual([], scene.network.breaches)


class OperatorTest(testtools.TestCase):
    """Operators who publish over a running takeover."""

    def test_cancel(self) -> None:
        scene, _ = start_takeover()
        reach_stage(scene, 4)
        publish_plain(scene, "r1")
        scene.network.run(6.0)
        calls = len(scene.new_calls)
        scene.network.run(SETTLE_S)
        self.assertEqual(calls, len(scene.new_calls))

    def test_replace_starts_anew(self) -> None:
        scene, _ = start_takeover()
        reach_stage(scene, 4)
        publish_takeover(scene, 90.0)
        scene.network.run(6.0)
        self.assertLess(scene.record.progress.stage, 2)
        scene.network.run(90.0)
        self.assertEqual(Phase.COMPLETED, scene.record.progress.phase)

    def test_a_stopped_takeover_stays_stopped_when_published_again(self) -> None:
        scene, _ = start_takeover()
        start = scene.network.now - 1.0
        reach_stage(scene, 2)
        scene.is_bad = lambda now: True
        scene.network.run(20.0)
        self.assertEqual({Phase.REVERSED}, scene.phases())
        publish_plain(scene, "r1")
        scene.network.run(5.0)
        scene.is_bad = lambda now: False
        calls = len(scene.new_calls)
        scene.network.now, now = start, scene.network.now
        publish_takeover(scene)
        scene.network.now = now
        scene.network.run(20.0)
        self.assertEqual(calls, len(scene.new_calls))

    def test_a_restarted_daemon_learns_the_outcome(self) -> None:
        scene, _ = start_takeover()
        scene.network.run(LENGTH_S)
        self.assertEqual({Phase.COMPLETED}, scene.phases())
        start_node(scene.network, "d1-3")
        scene.network.run(8.0)
        self.assertEqual({Phase.COMPLETED}, scene.phases())

    def test_no_server_of_the_new_release(self) -> None:
        scene = build_scene()
        for place in (0, 1):
            scene.network.nodes[f"d{place}-2"].own = attrs.evolve(
                scene.network.nodes[f"d{place}-2"].own, service=""
            )
        scene.network.run(6.0)
        publish_takeover(scene)
        scene.network.run(LENGTH_S + SETTLE_S)
        self.assertEqual([], scene.new_calls)
        self.assertEqual(Phase.REVERSED, scene.record.progress.phase)


class RefusedWriteTest(testtools.TestCase):
    """A conditional write that was refused means that another daemon decides meanwhile."""

    def test_the_loser_stops_deciding_and_adopts_nothing(self) -> None:
        scene, _ = start_takeover()
        reach_stage(scene, 2)
        (name,) = scene.controllers()
        node = scene.network.nodes[name]
        (takeover,) = node.takeovers.active.values()
        before = takeover.progress
        takeover.control.proposed = attrs.evolve(before, stage=before.stage + 1)
        purpose = f"{WRITE}/{takeover.plan.takeover_id}"
        rival = StoreEntry("rival", b"{}", takeover.control.revision + 1)
        step(node, scene.network.now, StoreAnswered(purpose, False, (rival,)))
        self.assertFalse(takeover.control.holding)
        self.assertEqual(before, takeover.progress)
        self.assertIsNone(takeover.control.proposed)
