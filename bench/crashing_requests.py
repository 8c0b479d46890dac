"""Requests that end each backend server that runs them: how many servers they end in all.

Simulated on a virtual clock, each case in a process of its own; prints one JSON object. For each
case and number of VMs, `ended` is the most servers that one such request ended, `sent_after_third`
the most that one was sent to servers later than 1 s after the third end, and `innocent_refused` the
number of other requests that were refused because servers had ended under them. `outcomes` says how
the other requests ended.
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
FLEET_SIZES = (16, 80)
LATE_S = 1.0
RUN_TIMEOUT_S = 900


def run_case(case: str, vms: int, seed: int) -> None:
    """Play one case and print its figures."""
    from tests.sidecar import simulated_crashes as simulation

    play = simulation.play_case(case, vms, seed)
    result = {
        "ended": simulation.count_ended(play),
        "sent_after_third": simulation.count_late_runs(play, LATE_S),
        "innocent_refused": len(play.refused),
        "outcomes": dict(sorted(play.outcomes.items())),
        "untrue_refusals": simulation.find_untrue_refusals(play)[:2],
        "failures": play.fleet.failures[:2],
    }
    print(json.dumps(result))


def run_all(seed: int = 1, jobs: int = 3) -> None:
    """Play all cases in fleets of both sizes and print a summary.

    Args:
        seed: Seed of all random choices.
        jobs: The number of processes that run at the same time.
    """
    from tests.sidecar.simulated_crashes import CASES

    kinds = list(product(CASES, FLEET_SIZES))
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda kind: _run_in_process(*kind, seed), kinds))
    cases: dict[str, dict[str, Any]] = {case: {} for case in CASES}
    for (case, vms), result in zip(kinds, results, strict=True):
        cases[case][str(vms)] = result
    print(json.dumps({"seed": seed, "cases": cases}))


def _run_in_process(case: str, vms: int, seed: int) -> dict[str, Any]:
    command = [sys.executable, "-W", "ignore", "-m", "bench.crashing_requests", "--case", case]
    finished = subprocess.run(
        [*command, "--vms", str(vms), "--seed", str(seed)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
    )
    if finished.returncode:
        raise RuntimeError(finished.stderr)
    return json.loads(finished.stdout.splitlines()[-1])


def main(seed: int = 1, jobs: int = 3, case: str = "", vms: int = 16) -> None:
    """Play one case if it is named, or all of them.

    Args:
        seed: Seed of all random choices.
        jobs: The number of processes that run at the same time, for all cases.
        case: The name of one case, or an empty string.
        vms: The number of VMs of that case.
    """
    if case:
        run_case(case, vms, seed)
    else:
        run_all(seed, jobs)


if __name__ == "__main__":
    fire.Fire(main)
