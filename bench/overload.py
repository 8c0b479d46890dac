"""Measures goodput at 1x, 2x and 5x the capacity of the backend servers."""

from __future__ import annotations

import json
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import fire
import msgspec
from eventlet.green import socket
from eventlet.green.http import client

from bench.measures import percentile, publish_folder, read_cpu_ms
from fakes.processes import (
    HOST,
    list_serving,
    read_json,
    read_version,
    start_backend,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fakes.processes import DaemonProcess, Fleet

DAEMONS = 4
BACKEND_SERVERS = 3
SLOTS = 10
WORK_MS = 200.0
CAPACITY_PER_SECOND = BACKEND_SERVERS * SLOTS * 1000 / WORK_MS
LOAD_FACTORS = (1.0, 2.0, 5.0)
PHASE_S = 7.0
FULL_PHASE_S = 60.0
WARM_UP_S = 2.0
CALLER_TIMEOUT_S = 2.0
IMPATIENT_SHARE = 0.3
IMPATIENT_RETRY_S = 0.25
KEYED_CALL_SHARE = 0.05
START_TIMEOUT_S = 60.0
UNLIMITED = 9_999

SERVICE_FILE = """
service = "gallery"
team = "photo"
serving = "r1"

[[routes]]
name = "view"
method = "GET"
path = "/gallery"
deadline_ms = 2000

[[routes]]
name = "submit"
method = "POST"
path = "/gallery/entries"
idempotent = false
deadline_ms = 2000

[[releases]]
name = "r1"
cold_start_ms = 0

[limits]
slots = {slots}
queue_wait_ms = {wait}
"""


@attrs.define
class CallerResults:
    """The results of all callers of one phase.

    Attributes:
        answered: Per answered call, its time in seconds since the start and its milliseconds.
        refusals: Number of error responses by error code, or by status without one.
        not_run: Attempts whose response says that the request did not run.
        attempts: Number of attempts.
        unanswered: Number of attempts without a response.
    """

    answered: list[tuple[float, float]] = attrs.field(factory=list)
    refusals: dict[str, int] = attrs.field(factory=dict)
    not_run: set[str] = attrs.field(factory=set)
    attempts: int = 0
    unanswered: int = 0


@attrs.define
class Phase:
    """One phase, in which callers send calls to the daemons at a constant mean rate.

    Attributes:
        factor: Rate of new calls as a multiple of the capacity.
        seconds: How long new callers start.
        daemons: Addresses of the daemons' caller ports.
        generator: Generator of all random choices.
        results: The results of the callers.
        started_at: When the phase started, on the monotonic clock.
        ended: Whether callers stop retrying.
    """

    factor: float
    seconds: float
    daemons: list[str]
    generator: random.Random
    results: CallerResults = attrs.field(factory=CallerResults)
    started_at: float = 0.0
    ended: bool = False


def main(seed: int = 1, full: bool = False) -> None:
    """Measure with and without limits and print one JSON object on the last line.

    Args:
        seed: Picks arrivals and the behaviour of callers.
        full: Measure for longer.
    """
    eventlet.monkey_patch()
    seconds = FULL_PHASE_S if full else PHASE_S
    limited = run_fleet(seed, seconds, LOAD_FACTORS, limits=True)
    queueing = run_fleet(seed, seconds, (1.0, 5.0), limits=True, queueing=True)
    baseline = run_fleet(seed, seconds, (1.0, 5.0), limits=False, queueing=True)
    print(json.dumps(summarise(limited, queueing, baseline)))


def summarise(
    limited: list[dict[str, Any]], queueing: list[dict[str, Any]], baseline: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the figures of all phases, and goodput ratios to the first phase of each run."""
    runs = (*limited, *queueing, *baseline)
    return {
        "goodput_ratio_2x": _ratio(limited, 1),
        "goodput_ratio_5x": _ratio(limited, 2),
        "queueing_ratio_5x": _ratio(queueing, 1),
        "baseline_ratio_5x": _ratio(baseline, 1),
        "double_runs": sum(run["double_runs"] for run in runs),
        "false_not_run": sum(run["false_not_run"] for run in runs),
        "capacity_per_second": CAPACITY_PER_SECOND,
        "limited": limited,
        "queueing": queueing,
        "baseline": baseline,
    }


def _ratio(runs: list[dict[str, Any]], index: int) -> float:
    return round(runs[index]["goodput"] / max(runs[0]["goodput"], 0.001), 3)


def run_fleet(
    seed: int, seconds: float, factors: tuple[float, ...], limits: bool, queueing: bool = False
) -> list[dict[str, Any]]:
    """Start a fleet, run one phase per load factor, and return the figures of each phase.

    Args:
        seed: Chooses arrivals and the behaviour of callers.
        seconds: The length of a phase.
        factors: Rates of new calls as multiples of the capacity.
        limits: Whether the service file limits slots and queue wait, and servers report load.
        queueing: Whether backend servers queue excess calls instead of rejecting them.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(Path(folder))
        try:
            start_processes(fleet, limits, queueing)
            return [_run_phase(fleet, factor, seconds, seed) for factor in factors]
        finally:
            stop_fleet(fleet)


def start_processes(fleet: Fleet, limits: bool, queueing: bool) -> None:
    """Start daemons and backend servers, and publish the service."""
    first = start_daemon(fleet, "a-1", "a")
    seed = f"{HOST}:{first.peer_port}"
    for number in range(2, DAEMONS + 1):
        start_daemon(fleet, f"a-{number}", "a", seed)
    options = {"queueing": queueing, "reporting": limits}
    for daemon in list(fleet.daemons.values())[:BACKEND_SERVERS]:
        start_backend(fleet, daemon, "gallery", "r1", slots=SLOTS, work_ms=WORK_MS, **options)
    folder = fleet.folder / "services"
    folder.mkdir()
    text = SERVICE_FILE.format(
        slots=SLOTS if limits else UNLIMITED, wait=200 if limits else UNLIMITED
    )
    (folder / "gallery.toml").write_text(text)
    publish_folder(fleet, folder)
    daemons = fleet.daemons.values()
    wait_until(lambda: all(_is_ready(d) for d in daemons), START_TIMEOUT_S, "members")


def _is_ready(daemon: DaemonProcess) -> bool:
    return read_version(daemon) == 1 and len(list_serving(daemon)) == BACKEND_SERVERS


def _run_phase(fleet: Fleet, factor: float, seconds: float, seed: int) -> dict[str, Any]:
    daemons = list(fleet.daemons.values())
    phase = Phase(factor, seconds, [d.caller for d in daemons], random.Random(f"{seed}/{factor}"))
    before, cpu = _read_server_counts(fleet), sum(read_cpu_ms(d) for d in daemons)
    _run_callers(phase)
    after = _read_server_counts(fleet)
    cpu_ms = sum(read_cpu_ms(d) for d in daemons) - cpu
    steady = [ms for at, ms in phase.results.answered if WARM_UP_S <= at <= seconds]
    result = {
        "factor": factor,
        "goodput": round(len(steady) / (seconds - WARM_UP_S), 1),
        "answered_ms_p50": round(percentile(steady, 0.5), 1),
        "answered_ms_p99": round(percentile(steady, 0.99), 1),
        "attempts": phase.results.attempts,
        "lost": phase.results.unanswered,
        "refusals": phase.results.refusals,
        "runs": after["calls"] - before["calls"],
        "cancelled": after["cancelled"] - before["cancelled"],
        "expired": after["expired"] - before["expired"],
        "double_runs": sum(n - 1 for n in after["runs"].values())
        - sum(n - 1 for n in before["runs"].values()),
        "false_not_run": len(phase.results.not_run & after["attempts"]),
        "daemon_cpu_ms_per_attempt": round(cpu_ms / max(phase.results.attempts, 1), 3),
    }
    print(json.dumps(result), file=sys.stderr)
    return result


def _read_server_counts(fleet: Fleet) -> dict[str, Any]:
    totals: dict[str, Any] = {"calls": 0, "cancelled": 0, "expired": 0, "runs": {}}
    totals["attempts"] = set()
    for daemon in fleet.daemons.values():
        if daemon.backend is None:
            continue
        server_counts = read_json(f"{HOST}:{daemon.backend_port}", "/control/runs")
        for name in ("calls", "cancelled", "expired"):
            totals[name] += server_counts[name]
        for key, count in server_counts["runs"].items():
            totals["runs"][key] = totals["runs"].get(key, 0) + count
        totals["attempts"].update(server_counts["attempts"])
    return totals


def _run_callers(phase: Phase) -> None:
    phase.started_at = time.monotonic()
    rate = CAPACITY_PER_SECOND * phase.factor
    callers = []
    for number, at in enumerate(_generate_arrivals(phase, rate)):
        eventlet.sleep(max(phase.started_at + at - time.monotonic(), 0.0))
        callers.append(eventlet.spawn(_call_until_answered, phase, number))
    phase.ended = True
    for caller in callers:
        caller.kill()
    eventlet.sleep(CALLER_TIMEOUT_S)


def _generate_arrivals(phase: Phase, rate: float) -> Iterator[float]:
    at = 0.0
    while at < phase.seconds and time.monotonic() - phase.started_at < phase.seconds:
        yield at
        at += phase.generator.expovariate(rate)


def _call_until_answered(phase: Phase, number: int) -> None:
    generator = random.Random(f"{phase.generator.random()}")
    has_key = generator.random() < KEYED_CALL_SHARE
    impatient = generator.random() < IMPATIENT_SHARE
    started_at = time.monotonic()
    attempt = 0
    while not phase.ended or attempt == 0:
        name = f"{phase.factor}-{number}-{attempt}"
        attempt += 1
        pause_s = _try_call(phase, generator.choice(phase.daemons), name, number, has_key)
        if pause_s is None:
            elapsed_ms = (time.monotonic() - started_at) * 1000
            phase.results.answered.append((time.monotonic() - phase.started_at, elapsed_ms))
            return
        eventlet.sleep(IMPATIENT_RETRY_S if impatient else pause_s)


def _try_call(phase: Phase, daemon: str, name: str, number: int, has_key: bool) -> float | None:
    """Make one attempt; return None if answered, else the seconds until the next attempt."""
    results = phase.results
    results.attempts += 1
    host, _, port = daemon.rpartition(":")
    connection = client.HTTPConnection(host, int(port), timeout=CALLER_TIMEOUT_S)
    headers = {"X-Test-Attempt": name}
    if has_key:
        headers["Idempotency-Key"] = f"{phase.factor}-{number}"
    method, path = ("POST", "/gallery/entries") if has_key else ("GET", "/gallery")
    try:
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, socket.timeout, client.HTTPException):
        results.unanswered += 1
        return IMPATIENT_RETRY_S
    finally:
        connection.close()
    if response.status == 200:
        return None
    refusal = msgspec.json.decode(body)
    code = refusal.get("code", str(response.status))
    results.refusals[code] = results.refusals.get(code, 0) + 1
    if refusal.get("ran") == "no":
        results.not_run.add(name)
    return float(response.headers.get("Retry-After") or IMPATIENT_RETRY_S)


if __name__ == "__main__":
    fire.Fire(main)
