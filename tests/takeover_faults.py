"""Faults for tests of takeovers, and a check that each applied raise is in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from magnoliasill.core.messages import EvidenceReport, EvidenceSummary, TakeoverNews
from magnoliasill.takeovers.ramp import LAST_STAGE

from .simulated_network import freeze_node, kill_node, resume_node, start_node
from .takeover_network import SERVICE, TakeoverSimulation, build_simulation, publish_takeover

if TYPE_CHECKING:
    from collections.abc import Callable

LENGTH_S = 60.0
SETTLE_S = 8.0
STEPS = {"claim": -1, "ramp": 2, "full": LAST_STAGE}
EVIDENCE_KINDS = (EvidenceReport, EvidenceSummary, TakeoverNews)


def kill_controller(simulation: TakeoverSimulation) -> None:
    for name in simulation.controllers():
        kill_node(simulation.network, name)


def freeze_controller(simulation: TakeoverSimulation) -> None:
    for name in simulation.controllers():
        freeze_node(simulation.network, name)
        simulation.network.call_at(
            simulation.network.now + 8.0, lambda name=name: resume_node(simulation.network, name)
        )


def disconnect_controller_from_store(simulation: TakeoverSimulation) -> None:
    simulation.network.nodes_without_store.update(simulation.controllers())


def restart_controller(simulation: TakeoverSimulation) -> None:
    for name in simulation.controllers():
        own = simulation.network.nodes[name].own
        start_node(simulation.network, name)
        simulation.network.nodes[name].own = attrs.evolve(
            own, incarnation=own.incarnation + 100_000
        )


def expire_lease(simulation: TakeoverSimulation) -> None:
    faults = simulation.network.store.faults
    faults.refuse = 503
    simulation.network.call_at(simulation.network.now + 4.0, lambda: setattr(faults, "refuse", 0))


def lose_answers(simulation: TakeoverSimulation) -> None:
    simulation.network.store.faults.lose_answers = 3


def slow_store(simulation: TakeoverSimulation) -> None:
    simulation.network.store.faults.delay_s = 0.6


def lose_messages(simulation: TakeoverSimulation) -> None:
    simulation.network.on_message = lambda name, message: (
        not isinstance(message, EVIDENCE_KINDS) or simulation.network.random.random() < 0.7
    )


def isolate_controller(simulation: TakeoverSimulation) -> None:
    names = set(simulation.controllers())
    is_partitioned = lambda a, b: (a.name in names) != (b.name in names)  # noqa: E731
    simulation.network.partitions.append(is_partitioned)
    simulation.network.call_at(
        simulation.network.now + 8.0, lambda: simulation.network.partitions.remove(is_partitioned)
    )


FAULTS: dict[str, Callable[[TakeoverSimulation], None]] = {
    "none": lambda simulation: None,
    "killed": kill_controller,
    "frozen": freeze_controller,
    "restarted": restart_controller,
    "storeless": disconnect_controller_from_store,
    "isolated": isolate_controller,
    "lease_lapsed": expire_lease,
    "answers_lost": lose_answers,
    "slow_store": slow_store,
    "evidence_lost": lose_messages,
}


def reach_stage(simulation: TakeoverSimulation, stage: int) -> None:
    def reached() -> bool:
        record = simulation.record
        return stage < 0 or (record is not None and record.progress.stage >= stage)

    assert simulation.network.run_until(reached, LENGTH_S) < LENGTH_S


def watch_raises(simulation: TakeoverSimulation, violations: list[str]) -> None:
    """Check every 0.05 s that no node applies a raise that the store does not hold."""
    network, record = simulation.network, simulation.record
    for name, node in network.nodes.items():
        takeover = node.takeovers.active.get(SERVICE)
        if takeover is None or takeover.progress.number == 0:
            continue
        progress = takeover.progress
        if record is None or progress.number > record.progress.number:
            violations.append(f"{network.now}: {name} follows {progress}, the store has {record}")
        elif progress.number == record.progress.number and progress.stage != record.progress.stage:
            violations.append(f"{network.now}: {name} and the store differ in {progress.number}")
    network.call_at(network.now + 0.05, lambda: watch_raises(simulation, violations))


def start_takeover(
    length_s: float = LENGTH_S, seed: int = 1
) -> tuple[TakeoverSimulation, list[str]]:
    simulation = build_simulation(2, 3, seed)
    simulation.network.run(6.0)
    publish_takeover(simulation, length_s)
    violations: list[str] = []
    watch_raises(simulation, violations)
    simulation.network.run(1.0)
    return simulation, violations
