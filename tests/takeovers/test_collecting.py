"""Tests of takeovers of bad releases: stopped everywhere, whatever happens at that time."""

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

    from ..takeover_network import Scene


class BadReleaseTest(WithScenarios, testtools.TestCase):
    """A release that goes bad is taken back everywhere, whatever happens at that time."""

    scenarios = [
        (f"{step}/{fault}", {"stage": STEPS[step], "fault": act})
        for step in ("ramp", "full")
        for fault, act in FAULTS.items()
    ]
    stage: int
    fault: Callable[[Scene], None]

    def test_taken_back(self) -> None:
        scene, breaches = start_takeover()
        reach_stage(scene, self.stage)
        bad_from = scene.network.now
        scene.is_bad = lambda now: now >= bad_from
        self.fault(scene)
        took = scene.network.run_until(lambda: scene.phases() == {Phase.REVERSED}, LENGTH_S)
        self.assertLess(took, LENGTH_S)
        scene.network.run(SETTLE_S)
        self.assertEqual({Phase.REVERSED}, scene.phases())
        self.assertEqual(Phase.REVERSED, scene.record.progress.phase)
        self.assertLessEqual(scene.last_new_call() - bad_from, 20.0)
        self.assertEqual([], breaches)


class PartitionTest(testtools.TestCase):
    """Platform down, and data centres cut off."""

    def test_stops_while_the_platform_is_down(self) -> None:
        scene, _ = start_takeover()
        reach_stage(scene, 4)
        scene.network.store.faults.refuse = 503
        bad_from = scene.network.now
        scene.is_bad = lambda now: now >= bad_from
        scene.network.run(6.0)
        self.assertEqual({Phase.REVERSED}, scene.phases())
        scene.network.store.faults.refuse = 0
        scene.network.run(SETTLE_S)
        self.assertEqual(Phase.REVERSED, scene.record.progress.phase)

    def test_a_cut_off_data_centre_stops_alone_and_never_raises(self) -> None:
        scene, breaches = start_takeover()
        network = scene.network
        reach_stage(scene, 2)
        place = "d1" if scene.controllers()[0].startswith("d0") else "d0"
        inside = {name for name in network.nodes if name.startswith(place)}
        network.cuts.append(lambda a, b: (a.data_centre == place) != (b.data_centre == place))
        network.storeless.update(inside)
        network.run(1.0)
        stage = max(network.nodes[name].takeovers.active[SERVICE].progress.stage for name in inside)
        network.run(10.0)
        for name in inside:
            self.assertEqual(stage, network.nodes[name].takeovers.active[SERVICE].progress.stage)
        scene.is_bad = lambda now: True
        network.run(20.0)
        for name in inside:
            progress = network.nodes[name].takeovers.active[SERVICE].progress
            self.assertTrue(progress.phase is Phase.REVERSED or is_lowered(progress), progress)
        network.cuts.clear()
        network.storeless.clear()
        network.run(SETTLE_S)
        self.assertEqual({Phase.REVERSED}, scene.phases())
        self.assertEqual([], breaches)

    def test_without_the_platform_nothing_starts_and_the_old_release_serves(self) -> None:
        scene, _ = start_takeover()
        scene.network.run(1.0)
        reach_stage(scene, 1)
        scene.network.store.faults.refuse = 503
        scene.network.run(LENGTH_S + 5.0)
        calls = len(scene.new_calls)
        scene.network.run(10.0)
        self.assertEqual(calls, len(scene.new_calls))
        scene.network.store.faults.refuse = 0
        scene.network.run(SETTLE_S)
        self.assertEqual(Phase.REVERSED, scene.record.progress.phase)
