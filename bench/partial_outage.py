"""How late configurations are applied while the store turns part of the sidecars away.

Simulated on a virtual clock, each seed in a process of its own; prints one JSON object. The
figures are the longest times, in seconds, for which a sidecar lacked an accepted configuration:
`late_s` while the store had served it for 3 s, `late_while_refused_s` while the store turned it
away.
"""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path
from typing import Any

import fire

ROOT = Path(__file__).resolve().parent.parent
DATA_CENTRES = 2
SHAPES = ((8, 2), (5, 0), (23, 2))  # VMs in each data centre, and those of them with a fast link
REFUSED_SHARE = 0.33
GAP_RANGE_S = (0.4, 0.9)
RUN_TIMEOUT_S = 120


def run_seed(seed: int, silent: bool, vms: int, fast: int) -> None:
    """Simulate one outage and print its figures."""
    from magnoliasill.sidecar import store_relay
    from tests.sidecar import simulated_fleet as simulation

    fleet = simulation.open_simulated_fleet(seed, DATA_CENTRES, vms, range(fast))
    store_relay.request_from_member = simulation.ask_simulated_member(fleet)
    simulation.run_until(fleet, 4.0)
    simulation.play_partial_outage(fleet, REFUSED_SHARE, GAP_RANGE_S, silent)
    result = {
        "late_s": round(max(vm.late_s for vm in fleet.vms.values()), 2),
        "late_while_refused_s": round(max(vm.late_while_refused_s for vm in fleet.vms.values()), 2),
        "failures": fleet.failures,
        "store_requests_peak": fleet.fake_store.peak,
    }
    print(json.dumps(result))


def run_all(first_seed: int = 1, last_seed: int = 50, jobs: int = 6) -> None:
    """Simulate outages of every kind and shape, and print the worst figures of each.

    Args:
        first_seed: The first seed.
        last_seed: The last seed.
        jobs: The number of processes that run at the same time.
    """
    summary = []
    for silent, (vms, fast) in product((False, True), SHAPES):
        seeds = range(first_seed, last_seed + 1)
        with ThreadPoolExecutor(jobs) as pool:
            calls = [pool.submit(_run_in_process, seed, silent, vms, fast) for seed in seeds]
            results = [call.result() for call in calls]
        summary.append(_summarize(seeds, results, silent=silent, vms=vms, fast=fast))
        print(json.dumps(summary[-1]), file=sys.stderr)
    print(json.dumps({"first_seed": first_seed, "last_seed": last_seed, "runs": summary}))


def _run_in_process(*arguments: Any) -> dict[str, Any]:
    command = [sys.executable, "-W", "ignore", "-m", "bench.partial_outage", "run_seed"]
    finished = subprocess.run(
        [*command, *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    return json.loads(finished.stdout.splitlines()[-1])


def _summarize(seeds: range, results: list[dict[str, Any]], **shape: Any) -> dict[str, Any]:
    worst = max(range(len(results)), key=lambda index: results[index]["late_s"])
    return {
        **shape,
        "late_s": sorted(result["late_s"] for result in results)[-3:],
        "late_while_refused_s": sorted(result["late_while_refused_s"] for result in results)[-3:],
        "worst_seed": seeds[worst],
        "failed_runs": sum(bool(result["failures"]) for result in results),
    }


if __name__ == "__main__":
    fire.Fire({"run_all": run_all, "run_seed": run_seed})
