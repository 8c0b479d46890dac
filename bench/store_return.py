"""How late configurations are applied after an outage of the store during which VMs lose power.

Simulated on a virtual clock, each seed in a process of its own; prints one JSON object. The
figures are the longest times, in seconds, for which a sidecar lacked an accepted configuration
while the store had served it for `contact_s`: `late_s` of those that ran on, and
`late_restarted_s` of those that started again.
"""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import fire

ROOT = Path(__file__).resolve().parent.parent
# data centres, VMs in each, and those of them with a fast link
SHAPES = ((4, 4, 4), (2, 8, 2), (2, 23, 2))
RUN_TIMEOUT_S = 300


def run_seed(
    seed: int,
    shape: tuple[int, int, int],
    share: float = 0.6,
    contact_s: float = 3.0,
    silent: bool = True,
    leases_pause: bool = False,
) -> None:
    """Simulate one outage and print its figures."""
    from magnoliasill.sidecar import store_relay
    from tests.sidecar import simulated_fleet as simulation

    data_centres, vms, fast = shape
    fleet = simulation.open_simulated_fleet(seed, data_centres, vms, range(fast))
    fleet.contact_s = contact_s
    store_relay.request_from_member = simulation.ask_simulated_member(fleet)
    simulation.run_until(fleet, 4.0)
    simulation.play_return_of_store(fleet, share, silent, leases_pause)
    late = {True: [0.0], False: [0.0]}
    for vm in fleet.vms.values():
        late[vm.running_since > 0].append(vm.late_s)
    result = {
        "late_s": round(max(late[False]), 2),
        "late_restarted_s": round(max(late[True]), 2),
        "failures": fleet.failures,
        "store_requests": fleet.fake_store.counts.total(),
        "store_requests_peak": fleet.fake_store.peak,
    }
    print(json.dumps(result))


def run_all(
    first_seed: int = 1,
    last_seed: int = 40,
    jobs: int = 4,
    shapes: tuple[tuple[int, int, int], ...] = SHAPES,
    **options: Any,
) -> None:
    """Simulate outages of fleets of every shape, and print the worst figures of each.

    Args:
        first_seed: The first seed.
        last_seed: The last seed.
        jobs: The number of processes that run at the same time.
        shapes: Data centres, VMs in each, and those of them with a fast link.
        options: Further arguments of `run_seed`.
    """
    summary = []
    for shape in shapes:
        seeds = range(first_seed, last_seed + 1)
        with ThreadPoolExecutor(jobs) as pool:
            calls = [pool.submit(_run_in_process, seed, shape, options) for seed in seeds]
            results = [call.result() for call in calls]
        summary.append({"shape": shape, **options, **_summarize(seeds, results)})
        print(json.dumps(summary[-1]), file=sys.stderr)
    print(json.dumps({"first_seed": first_seed, "last_seed": last_seed, "runs": summary}))


def _run_in_process(
    seed: int, shape: tuple[int, int, int], options: dict[str, Any]
) -> dict[str, Any]:
    command = [sys.executable, "-W", "ignore", "-m", "bench.store_return", "run_seed"]
    flags = [f"--{name}={value}" for name, value in options.items()]
    finished = subprocess.run(
        [*command, str(seed), str(tuple(shape)), *flags],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    return json.loads(finished.stdout.splitlines()[-1])


def _summarize(seeds: range, results: list[dict[str, Any]]) -> dict[str, Any]:
    ranked = sorted(zip(seeds, results, strict=True), key=lambda pair: -pair[1]["late_s"])
    restarted = sorted(
        zip(seeds, results, strict=True), key=lambda pair: -pair[1]["late_restarted_s"]
    )
    return {
        "late_s": {seed: result["late_s"] for seed, result in ranked[:4]},
        "late_restarted_s": {seed: result["late_restarted_s"] for seed, result in restarted[:4]},
        "over_2_s": sum(result["late_s"] > 2.0 for result in results),
        "restarted_over_2_s": sum(result["late_restarted_s"] > 2.0 for result in results),
        "store_requests": sum(result["store_requests"] for result in results) // len(results),
        "failed_runs": sum(bool(result["failures"]) for result in results),
    }


if __name__ == "__main__":
    fire.Fire({"run_all": run_all, "run_seed": run_seed})
