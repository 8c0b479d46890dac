"""Measures the latency that one daemon between caller and backend server adds to a call."""

from __future__ import annotations

import http.client
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import fire

from bench.measures import percentile, publish_folder, read_cpu_ms, read_memory_mb
from fakes.processes import (
    HOST,
    ROOT,
    list_serving,
    read_version,
    start_backend,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)

if TYPE_CHECKING:
    from fakes.processes import DaemonProcess, Fleet

CALLS_PER_SECOND = 100
WARM_UP_CALLS = 200
ROUNDS = 7
ROUND_S = 6.0
FULL_ROUND_S = 30.0
BACKEND_SERVERS = 3
START_TIMEOUT_S = 60.0
PATH = "/lessons"


@attrs.define
class Round:
    """Durations of the calls of one round in milliseconds."""

    direct: list[float] = attrs.field(factory=list)
    proxied: list[float] = attrs.field(factory=list)


def main(seed: int = 1, full: bool = False, rounds: int = ROUNDS) -> None:
    """Measure and print one JSON object on the last line.

    Args:
        seed: Picks the jitter of the pacing.
        full: Measure for longer.
        rounds: Rounds, of which the medians are reported.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(Path(folder))
        try:
            result = measure(fleet, seed, rounds, FULL_ROUND_S if full else ROUND_S)
        finally:
            stop_fleet(fleet)
    print(json.dumps(result))


def measure(fleet: Fleet, seed: int, rounds: int, round_s: float) -> dict[str, float]:
    """Run the rounds and return the figures."""
    daemon = start_processes(fleet)
    backend = f"{HOST}:{daemon.backend_port}"
    generator = random.Random(seed)
    run_paced_calls(daemon.caller, backend, WARM_UP_CALLS / CALLS_PER_SECOND, generator)
    idle_ms_per_second = measure_idle(daemon)
    results: list[Round] = []
    cpu: list[float] = []
    for number in range(rounds):
        cpu_before, started = read_cpu_ms(daemon), time.monotonic()
        results.append(run_paced_calls(daemon.caller, backend, round_s, generator))
        idle = idle_ms_per_second * (time.monotonic() - started)
        calls = len(results[-1].proxied)
        cpu.append((read_cpu_ms(daemon) - cpu_before - idle) / calls)
        figures = [percentile(results[-1].proxied, q) for q in (0.5, 0.99)]
        figures += [percentile(results[-1].direct, q) for q in (0.5, 0.99)]
        figure_texts = " ".join(f"{figure:.2f}" for figure in figures)
        print(f"round {number}: proxied and direct p50 p99 {figure_texts} ms", file=sys.stderr)
    return summarise(results, cpu, idle_ms_per_second, read_memory_mb(daemon))


def summarise(
    rounds: list[Round], cpu: list[float], idle_ms_per_second: float, memory_mb: float
) -> dict[str, float]:
    """Return the medians over the rounds, and the figures of the worst and best round."""
    added = {
        q: [percentile(r.proxied, q) - percentile(r.direct, q) for r in rounds] for q in (0.5, 0.99)
    }
    return {
        "added_ms_p50": round(statistics.median(added[0.5]), 3),
        "added_ms_p99": round(statistics.median(added[0.99]), 3),
        "added_ms_p99_worst_round": round(max(added[0.99]), 3),
        "added_ms_p99_best_round": round(min(added[0.99]), 3),
        "direct_ms_p50": round(statistics.median(percentile(r.direct, 0.5) for r in rounds), 3),
        "direct_ms_p99": round(statistics.median(percentile(r.direct, 0.99) for r in rounds), 3),
        "cpu_ms_per_call": round(statistics.median(cpu), 3),
        "idle_cpu_ms_per_second": round(idle_ms_per_second, 2),
        "memory_mb": round(memory_mb, 1),
        "calls_per_round": len(rounds[0].proxied),
        "rounds": len(rounds),
    }


def start_processes(fleet: Fleet) -> DaemonProcess:
    """Start daemons with backend servers, publish the services and wait until all serve."""
    daemons = [start_daemon(fleet, "a-1", "a")]
    seed = f"{HOST}:{daemons[0].peer_port}"
    for number in range(2, BACKEND_SERVERS + 1):
        daemons.append(start_daemon(fleet, f"a-{number}", "a", seed))
    for daemon in daemons:
        start_backend(fleet, daemon, "lessons", "r1", work_ms=0.0)
    publish_folder(fleet, ROOT / "examples" / "ikenna" / "services")
    wait_until(lambda: all(read_version(d) == 1 for d in daemons), START_TIMEOUT_S, "version")
    wait_until(lambda: len(list_serving(daemons[0])) == len(daemons), START_TIMEOUT_S, "members")
    return daemons[0]


def run_paced_calls(caller: str, backend: str, seconds: float, generator: random.Random) -> Round:
    """Send calls alternately through the daemon and directly, at the same rate."""
    proxied, direct = _connect(caller), _connect(backend)
    result = Round()
    period = 1 / CALLS_PER_SECOND
    started = time.monotonic()
    for number in range(int(seconds * CALLS_PER_SECOND)):
        for connection, durations_ms, offset in (
            (proxied, result.proxied, 0.0),
            (direct, result.direct, 0.5),
        ):
            due_at = started + (number + offset + generator.uniform(0.0, 0.2)) * period
            time.sleep(max(due_at - time.monotonic(), 0.0))
            durations_ms.append(_measure_call_ms(connection))
    proxied.close()
    direct.close()
    return result


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=5.0)


def _measure_call_ms(connection: http.client.HTTPConnection) -> float:
    started = time.perf_counter()
    connection.request("GET", PATH)
    response = connection.getresponse()
    response.read()
    elapsed_ms = (time.perf_counter() - started) * 1000
    if response.status != 200:
        raise RuntimeError(f"call got status {response.status} instead of 200")
    return elapsed_ms


def measure_idle(daemon: DaemonProcess, seconds: float = 3.0) -> float:
    """Return the processor time of a daemon without calls, in milliseconds per second."""
    before = read_cpu_ms(daemon)
    time.sleep(seconds)
    return (read_cpu_ms(daemon) - before) / seconds


if __name__ == "__main__":
    fire.Fire(main)
