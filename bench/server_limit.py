"""Rate limits and leaving servers over many seeds, and what is served with and without a limit.

Simulated on a virtual clock, each case in a process of its own; prints one JSON object. `rules`
counts, over all seeds, the requests that reached a server against its limit or its leaving while
limits, departures and restarts overlap. `served` gives, for a fleet of which some servers name a
limit, the share of requests served and served in time, and how the limits were used.
"""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import fire

ROOT = Path(__file__).resolve().parent.parent
RUN_TIMEOUT_S = 600
START_S = 3.0
END_S = 20.0
SERVICES = ("shop", "stock")
LIMIT_CASES = {
    "none": [],
    "one 10/s": ["10"],
    "one 1/s": ["1"],
    "10/s and 30/s": ["10", "30"],
    "all 30/s": ["30"] * 4,
    "all 8/s": ["8"] * 4,
    "all 1/s": ["1"] * 4,
}
CALLS_PER_S = 150.0


def run_seed(seed: int) -> None:
    """Play overlapping notices in a fleet of random size, and print what broke a rule."""
    from tests.sidecar import simulated_calls as simulation

    generator = Random(seed)
    vms, data_centres = generator.randint(4, 40), generator.randint(1, 4)
    fleet = simulation.open_call_fleet(seed, [SERVICES[n % 2] for n in range(vms)], data_centres)
    if generator.random() < 0.5:
        for server in fleet.servers[1::2]:
            server.calls = "shop"
    for service in SERVICES:
        per_s = vms * generator.uniform(3.0, 25.0)
        simulation.start_callers(fleet, service, per_s, END_S, idempotent=generator.random() < 0.5)
    simulation.play_random_notices(fleet, END_S)
    result = {
        "seed": seed,
        "vms": vms,
        "limit": simulation.find_limit_violations(fleet)[:2],
        "drain": simulation.find_drain_violations(fleet)[:2],
        "reports": simulation.find_untrue_reports(fleet)[:2],
        "failures": fleet.failures[:2],
    }
    print(json.dumps(result))


def run_case(case: str, seed: int) -> None:
    """Play a fleet of eight VMs, four of them of the service, and print what was served."""
    from tests.sidecar import simulated_calls as simulation

    fleet = simulation.open_call_fleet(seed, list(SERVICES) * 4)
    servers = [server for server in fleet.servers if server.service == "shop"]
    simulation.start_callers(fleet, "shop", CALLS_PER_S, END_S)
    simulation.run_until(fleet, START_S)
    for server, limit in zip(servers, LIMIT_CASES[case], strict=False):
        simulation.name_limit(fleet, server, limit)
    fleet.outcomes.clear()
    fleet.refused_waits.clear()
    fleet.hops.clear()
    simulation.run_until(fleet, END_S)
    outcomes, held = fleet.outcomes, sorted(fleet.refused_waits)
    ended = max(outcomes["answered"] + outcomes["refused"] + outcomes["failed"], 1)
    arrivals = [sum(a.at >= START_S for a in server.arrivals) for server in servers]
    result = {
        "served": round(outcomes["answered"] / ended, 3),
        "in_time": round(outcomes["in_time"] / ended, 3),
        "arrivals_per_s": [round(count / (END_S - START_S), 1) for count in arrivals],
        "refused_after_ms_p99": round(1000 * held[int(0.99 * len(held))], 1) if held else 0.0,
        "hops": fleet.hops.total(),
        "refused_hops": fleet.hops.total() - fleet.hops["answered"],
        "violations": len(simulation.find_limit_violations(fleet)),
    }
    print(json.dumps(result))


def run_all(first_seed: int = 1, last_seed: int = 50, jobs: int = 3) -> None:
    """Play all seeds and cases, and print a summary.

    Args:
        first_seed: The first seed.
        last_seed: The last seed.
        jobs: The number of processes that run at the same time.
    """
    seeds = range(first_seed, last_seed + 1)
    with ThreadPoolExecutor(jobs) as pool:
        rules = list(pool.map(lambda seed: _run_in_process("seed", seed), seeds))
        served = pool.map(lambda case: _run_in_process("case", case, first_seed), LIMIT_CASES)
        cases = dict(zip(LIMIT_CASES, served, strict=True))
    broken = [
        result
        for result in rules
        if any(result[key] for key in ("limit", "drain", "reports", "failures"))
    ]
    print(json.dumps({"seeds": len(rules), "broken": broken, "served": cases}))


def _run_in_process(*arguments: Any) -> dict[str, Any]:
    command = [sys.executable, "-W", "ignore", "-m", "bench.server_limit", *map(str, arguments)]
    finished = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_TIMEOUT_S
    )
    if finished.returncode:
        raise RuntimeError(finished.stderr)
    return json.loads(finished.stdout.splitlines()[-1])


if __name__ == "__main__":
    fire.Fire({"run": run_all, "seed": run_seed, "case": run_case})
