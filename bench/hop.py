"""Measures what one daemon between caller and backend server adds to a call."""

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
    """Milliseconds of the calls of one round."""

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
    pace(daemon.caller, backend, WARM_UP_CALLS / CALLS_PER_SECOND, generator)
    idle_ms_per_second = measure_idle(daemon)
    done: list[Round] = []
    cpu: list[float] = []
    for number in range(rounds):
        cpu_before, started = read_cpu_ms(daemon), time.monotonic()
        done.append(pace(daemon.caller, backend, round_s, generator))
        idle = idle_ms_per_second * (time.monotonic() - started)
        calls = len(done[-1].proxied)
        cpu.append((read_cpu_ms(daemon) - cpu_before - idle) / calls)
        figures = [percentile(done[-1].proxied, q) for q in (0.5, 0.99)]
        figures += [percentile(done[-1].direct, q) for q in (0.5, 0.99)]
        texts = " ".join(f"{figure:.2f}" for figure in figures)
        print(f"round {number}: proxied and direct p50 p99 {texts} ms", file=sys.stderr)
    return summarise(done, cpu, idle_ms_per_second, read_memory_mb(daemon))


def summarise(
    rounds: list[Round], cpu: list[float], idle_ms_per_second: float, memory_mb: float
) -> dict[str, float]:
    """Return the medians over the rounds, and the worst round."""
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
    """Start a daemon and backend servers, publish one service, wait until it is served."""
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


def pace(caller: str, backend: str, seconds: float, generator: random.Random) -> Round:
    """Send calls through the daemon and directly, in turn, at the same pace."""
    proxied, direct = _connect(caller), _connect(backend)
    result = Round()
    period = 1 / CALLS_PER_SECOND
    started = time.monotonic()
    for number in range(int(seconds * CALLS_PER_SECOND)):
        for connection, times, offset in (
            (proxied, result.proxied, 0.0),
            (direct, result.direct, 0.5),
        ):
            due = started + (number + offset + generator.uniform(0.0, 0.2)) * period
            time.sleep(max(due - time.monotonic(), 0.0))
            times.append(_time_call(connection))
    proxied.close()
    direct.close()
    return result


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=5.0)


def _time_call(connection: http.client.HTTPConnection) -> float:
    started = time.perf_counter()
    connection.request("GET", PATH)
    answer = connection.getresponse()
    answer.read()
    elapsed_ms = (time.perf_counter() - started) * 1000
    if answer.status != 200:
        raise RuntimeError(f"answered with {answer.status}")
    return elapsed_ms


def measure_idle(daemon: DaemonProcess, seconds: float = 3.0) -> float:
    """Return the processor milliseconds a second of a daemon without calls."""
    before = read_cpu_ms(daemon)
    time.sleep(seconds)
    return (read_cpu_ms(daemon) - before) / seconds


if __name__ == "__main__":
    fire.Fire(main)
