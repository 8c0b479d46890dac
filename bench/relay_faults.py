"""How late configurations are applied while the sidecars that others follow fail.

Simulated on a virtual clock; prints one JSON object. The store answers all the time. `late_s` is
the longest time, in seconds, for which a sidecar without a fault of its own lacked an accepted
configuration.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from typing import TYPE_CHECKING, Any

import fire

from .seeds import run_seeds

if TYPE_CHECKING:
    from tests.sidecar.simulated_fleet import SimulatedFleet

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
RETURNS = (
    {"shape": (2, 23, 2), "silent": False, "share": 0.75, "faults": ("power",) * 3},
    {"shape": (2, 23, 0), "silent": True, "share": 0.6, "faults": ("power", "freeze")},
    {"shape": (2, 23, 1), "silent": True, "share": 0.75, "faults": ("power", "power")},
    {"shape": (4, 4, 4), "silent": True, "share": 0.6, "faults": ("power", "freeze", "slow")},
)
TARGET_S = 1.5
BOUND_S = 2.0


def _open_fleet(seed: int, shape: tuple[int, int, int]) -> SimulatedFleet:
    """Return a fleet whose sidecars have a configuration and follow their relays."""
    from magnoliasill.sidecar import store_relay
    from tests.sidecar import simulated_fleet as simulation

    data_centres, vms, fast = shape
    fleet = simulation.open_simulated_fleet(seed, data_centres, vms, range(fast))
    store_relay.request_from_member = simulation.ask_simulated_member(fleet)
    simulation.run_until(fleet, 4.0)
    return fleet


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
    from tests.sidecar import simulated_fleet as simulation

    fleet = _open_fleet(seed, shape)
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


def run_return(
    seed: int,
    shape: tuple[int, int, int] = (2, 23, 2),
    share: float = 0.75,
    silent: bool = True,
    faults: tuple[str, ...] = ("power", "power", "power"),
) -> None:
    """Simulate relays that fail after the store's return, and print the figures of one fleet.

    Args:
        seed: Seed of all random choices.
        shape: Data centres, VMs in each, and those of them with a fast link.
        share: The share of the VMs that lose power before the return.
        silent: Whether the store leaves all without an answer instead of refusing.
        faults: How the most followed VMs fail.
    """
    from tests.sidecar import simulated_fleet as simulation

    fleet = _open_fleet(seed, shape)
    calm = simulation.play_faults_after_return(fleet, share, silent, faults)
    result = {
        "late_s": round(max(fleet.vms[name].late_s for name in calm), 2),
        "late_after_fault_s": round(
            max(vm.late_s for name, vm in fleet.vms.items() if name not in calm), 2
        ),
        "falsely_confirmed_s": round(max(vm.overconfirmed_s for vm in fleet.vms.values()), 2),
        "failures": fleet.failures,
        "store_requests": fleet.fake_store.counts.total(),
        "bytes": sum(vm.bytes_received for vm in fleet.vms.values()),
    }
    print(json.dumps(result))


def run_returns(first_seed: int = 211, last_seed: int = 214, jobs: int = 4) -> None:
    """Simulate the faults after the store's return for kinds of fleets, and print the figures.

    Args:
        first_seed: The first seed.
        last_seed: The last seed.
        jobs: The number of processes that run at the same time.
    """
    summary = []
    for options in RETURNS:
        seeds = range(first_seed, last_seed + 1)
        results = run_seeds("bench.relay_faults", seeds, jobs, "run_return", **options)
        summary.append({**options, "seeds": results})
        print(json.dumps(summary[-1]), file=sys.stderr)
    late = [result["late_s"] for entry in summary for result in entry["seeds"].values()]
    print(json.dumps({"latest_s": max(late), "target_s": TARGET_S, "runs": summary}))


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
    functions = (run_all, run_seed, run_return, run_returns)
    fire.Fire({function.__name__: function for function in functions})
