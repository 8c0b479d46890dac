"""How takeovers end while the store, the leader or many VMs fail: good releases and bad ones.

Simulated on a virtual clock, each seed in a process of its own; prints one JSON object. For good
releases: how many were completed, how many of these by the deadline, and when at the latest. For
bad ones: how many were completed, how many got requests 5 s after their 50th bad answer, and the
highest share of the service's requests that one got.
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
RELEASES = {  # the share of failing answers, and since when, in seconds since the order
    "good": (0.0, 0.0),
    "early": (0.5, 3.0),
    "late": (0.2, 13.5),
}
FAULTS = ("none", "leader_refused", "leader_unheard", "all_refused", "leaders_restart", "restarts")
RAMP_AT_S = 13.2  # since the order; the share rises from then on
EARLY_AT_S = 4.0
USUAL_FAILURES = 0.01
MAX_BAD_ANSWERS = 50
ROLL_BACK_S = 5.0
RUN_TIMEOUT_S = 240


def run_seed(seed: int, release: str, fault: str) -> None:
    """Simulate one takeover and print its figures."""
    from magnoliasill.sidecar import release_counts, store_relay
    from tests.sidecar import simulated_fleet as simulation
    from tests.sidecar import simulated_takeover as takeover

    failures, since_s = RELEASES[release]

    def find_rate(name: str, elapsed_s: float) -> float:
        is_bad = name == takeover.NEW and elapsed_s > since_s
        return USUAL_FAILURES + failures * is_bad

    play = takeover.open_play(seed, find_rate)
    ask = simulation.ask_simulated_member(play.fleet)
    store_relay.request_from_member = release_counts.request_from_member = ask
    at = EARLY_AT_S if release == "early" else RAMP_AT_S
    plays = {
        "none": lambda: None,
        "leader_refused": lambda: takeover.refuse_leader(play, at, silent=False),
        "leader_unheard": lambda: takeover.refuse_leader(play, at, silent=True),
        "all_refused": lambda: takeover.refuse_all(play, at, silent=False),
        "leaders_restart": lambda: takeover.restart_leaders(play, at),
        "restarts": lambda: takeover.restart_most(play, at),
    }
    plays[fault]()
    takeover.finish_play(play)
    exposed, total = takeover.find_exposure(play)
    status = takeover.find_status(play)
    result = {
        "status": status,
        "end_s": None if status == "running" else round(takeover.find_end(play), 2),
        "late_requests": takeover.count_late_arrivals(play, MAX_BAD_ANSWERS, ROLL_BACK_S),
        "bad_answers": len(play.bad_answers),
        "exposed_share": round(exposed / max(total, 1), 3),
        "failures": play.fleet.failures,
    }
    print(json.dumps(result))


def run_all(first_seed: int = 1, last_seed: int = 20, jobs: int = 3) -> None:
    """Simulate takeovers of every kind of release under every fault, and print their summary.

    Args:
        first_seed: The first seed.
        last_seed: The last seed.
        jobs: The number of processes that run at the same time.
    """
    summary = []
    for release, fault in product(RELEASES, FAULTS):
        seeds = range(first_seed, last_seed + 1)
        with ThreadPoolExecutor(jobs) as pool:
            calls = [pool.submit(_run_in_process, seed, release, fault) for seed in seeds]
            results = [call.result() for call in calls]
        summary.append(_summarize(results, release=release, fault=fault))
        print(json.dumps(summary[-1]), file=sys.stderr)
    print(json.dumps({"first_seed": first_seed, "last_seed": last_seed, "runs": summary}))


def _run_in_process(*arguments: Any) -> dict[str, Any]:
    command = [sys.executable, "-W", "ignore", "-m", "bench.takeover_faults", "run_seed"]
    finished = subprocess.run(
        [*command, *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    return json.loads(finished.stdout.splitlines()[-1])


def _summarize(results: list[dict[str, Any]], **kind: str) -> dict[str, Any]:
    ends = [result["end_s"] for result in results if result["status"] == "completed"]
    return {
        **kind,
        "runs": len(results),
        "completed": len(ends),
        "in_time": sum(end_s <= 16.0 for end_s in ends),
        "rolled_back": sum(result["status"] == "rolled_back" for result in results),
        "latest_end_s": max(ends, default=None),
        "runs_with_late_requests": sum(bool(result["late_requests"]) for result in results),
        "highest_exposed_share": max(result["exposed_share"] for result in results),
        "failed_runs": sum(bool(result["failures"]) for result in results),
    }


if __name__ == "__main__":
    fire.Fire({"run_all": run_all, "run_seed": run_seed})
