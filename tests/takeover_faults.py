"""Faults of takeovers that several test modules share, and what must hold all the time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliasill.core.messages import EvidenceReport, EvidenceSummary, TakeoverNews
from magnoliasill.takeovers.ramp import LAST_STAGE

from .network import freeze_node, kill_node, resume_node, start_node
from .takeover_network import SERVICE, Scene, build_scene, publish_takeover

if TYPE_CHECKING:
    from collections.abc import Callable

LENGTH_S = 60.0
SETTLE_S = 8.0
STEPS = {"claim": -1, "ramp": 2, "full": LAST_STAGE}
EVIDENCE_KINDS = (EvidenceReport, EvidenceSummary, TakeoverNews)


def kill_controller(scene: Scene) -> None:
    for name in scene.controllers():
        kill_node(scene.network, name)


def freeze_controller(scene: Scene) -> None:
    for name in scene.controllers():
        freeze_node(scene.network, name)
        scene.network.at(
            scene.network.now + 8.0, lambda name=name: resume_node(scene.network, name)
        )


def cut_controller_from_store(scene: Scene) -> None:
    scene.network.storeless.update(scene.controllers())


def restart_controller(scene: Scene) -> None:
    for name in scene.controllers():
        own = scene.network.nodes[name].own
        start_node(scene.network, name)
        scene.network.nodes[name].own = attrs.evolve(own, incarnation=own.incarnation + 100_000)


def lapse_lease(scene: Scene) -> None:
    faults = scene.network.store.faults
    faults.refuse = 503
    scene.network.at(scene.network.now + 4.0, lambda: setattr(faults, "refuse", 0))


def lose_answers(scene: Scene) -> None:
    scene.network.store.faults.lose_answers = 3


def slow_store(scene: Scene) -> None:
    scene.network.store.faults.delay_s = 0.6


def lose_messages(scene: Scene) -> None:
    scene.network.on_message = lambda name, message: (
        not isinstance(message, EVIDENCE_KINDS) or scene.network.random.random() < 0.7
    )


def isolate_controller(scene: Scene) -> None:
    names = set(scene.controllers())
    cut = lambda a, b: (a.name in names) != (b.name in names)  # noqa: E731
    scene.network.cuts.append(cut)
    scene.network.at(scene.network.now + 8.0, lambda: scene.network.cuts.remove(cut))


FAULTS: dict[str, Callable[[Scene], None]] = {
    "none": lambda scene: None,
    "killed": kill_controller,
    "frozen": freeze_controller,
    "restarted": restart_controller,
    "storeless": cut_controller_from_store,
    "isolated": isolate_controller,
    "lease_lapsed": lapse_lease,
    "answers_lost": lose_answers,
    "slow_store": slow_store,
    "evidence_lost": lose_messages,
}


def reach_stage(scene: Scene, stage: int) -> None:
    def reached() -> bool:
        record = scene.record
        return stage < 0 or (record is not None and record.progress.stage >= stage)

    assert scene.network.run_until(reached, LENGTH_S) < LENGTH_S


def watch_raises(scene: Scene, breaches: list[str]) -> None:
    """Check again and again that no node follows a raise that the store does not hold."""
    network, record = scene.network, scene.record
    for name, node in network.nodes.items():
        takeover = node.takeovers.active.get(SERVICE)
        if takeover is None or takeover.progress.number == 0:
            continue
        progress = takeover.progress
        if record is None or progress.number > record.progress.number:
            breaches.append(f"{network.now}: {name} follows {progress}, the store has {record}")
        elif progress.number == record.progress.number and progress.stage != record.progress.stage:
            breaches.append(f"{network.now}: {name} and the store differ in {progress.number}")
    network.at(network.now + 0.05, lambda: watch_raises(scene, breaches))


def start_takeover(length_s: float = LENGTH_S, seed: int = 1) -> tuple[Scene, list[str]]:
    scene = build_scene(2, 3, seed)
    scene.network.run(6.0)
    publish_takeover(scene, length_s)
    breaches: list[str] = []
    watch_raises(scene, breaches)
    scene.network.run(1.0)
    return scene, breaches
