"""How late configurations are applied while the sidecars that others follow fail.

Simulated on a virtual clock; prints one JSON object. The store answers all the time. `late_s` is
the longest time, in seconds, for which a sidecar without a fault of its own lacked an accepted
configuration.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from typing import Any

import fire

from .seeds import run_seeds

# data centres, VMs in each, and those of them with a fast link
SHAPES = ((4, 4, 4), (2, 23, 2), (2, 8, 2), (3, 5, 5))
FAULTS = (
    ("power", "power"),
    ("freeze", "freeze"),
    ("cut", "cut"),
    ("slow", "slow"),
    ("power", "freeze", "slow"),
    ("power", "power", "power", "power"),
)
GAPS_S = (0.26, 0.7)
TARGET_S = 1.5
BOUND_S = 2.0


def run_seed(
    seed: int,
    shape: tuple[int, int, int] = (2, 23, 2),
    faults: tuple[str, ...] = ("power", "power"),
    gap_s: float = 0.26,
) -> None:
    """Simulate one fleet and print its figures.

    Args:
        seed: Seed of all random choices.
        shape: Data centres, VMs in each, and those of them with a fast link.
        faults: How the most followed VMs fail.
        gap_s: The time between two configurations, in seconds.
    """
    from magnoliasill.sidecar import store_relay
    from tests.sidecar import simulated_fleet as simulation

    data_centres, vms, fast = shape
    fleet = simulation.open_simulated_fleet(seed, data_centres, vms, range(fast))
    store_relay.request_from_member = simulation.ask_simulated_member(fleet)
    simulation.run_until(fleet, 4.0)
    simulation.play_relay_faults(fleet, faults, gap_s)
    latest = max(fleet.vms.values(), key=lambda vm: vm.late_s)
    polls = Counter()
    for vm in fleet.vms.values():
        polls.update(vm.sidecar.meters.counters["relay"])
    result = {
        "late_s": round(latest.late_s, 2),
        "latest": latest.settings.name,
        "failures": fleet.failures,
        "store_requests": fleet.fake_store.counts.total(),
        "polls": polls["answered"],
        "bytes": sum(vm.bytes_received for vm in fleet.vms.values()),
    }
    print(json.dumps(result))


def run_all(first_seed: int = 31, last_seed: int = 34, jobs: int = 4) -> None:
    """Simulate fleets of every shape with every kind of fault, and print the worst figures.

    Args:
        first_seed: The first seed.
        last_seed: The last seed.
        jobs: The number of processes that run at the same time.
    """
    summary = []
    for shape in SHAPES:
        for faults in FAULTS:
            for gap_s in GAPS_S:
                options = {"shape": shape, "faults": faults, "gap_s": gap_s}
                seeds = range(first_seed, last_seed + 1)
                results = run_seeds("bench.relay_faults", seeds, jobs, **options)
                summary.append({**options, **_summarize(results)})
                print(json.dumps(summary[-1]), file=sys.stderr)
    late = [entry["late_s"] for entry in summary]
    print(json.dumps({"latest_s": max(late), "target_s": TARGET_S, "runs": summary}))


def _summarize(results: dict[int, dict[str, Any]]) -> dict[str, Any]:
    worst = max(results, key=lambda seed: results[seed]["late_s"])
    return {
        "late_s": results[worst]["late_s"],
        "worst_seed": worst,
        "over_target": sum(result["late_s"] > TARGET_S for result in results.values()),
        "over_bound": sum(result["late_s"] > BOUND_S for result in results.values()),
        "store_requests": sum(r["store_requests"] for r in results.values()) // len(results),
        "polls": sum(r["polls"] for r in results.values()) // len(results),
        "megabytes": round(sum(r["bytes"] for r in results.values()) / len(results) / 1e6, 2),
        "failed_runs": sum(bool(result["failures"]) for result in results.values()),
    }


if __name__ == "__main__":
    fire.Fire({"run_all": run_all, "run_seed": run_seed})
