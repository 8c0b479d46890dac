"""Measures how soon an accepted configuration is in force everywhere, and what that costs."""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import fire
import urllib3

from bench.baselines import CHANGES_PER_SECOND, SERVICES, build_service, measure_baselines
from bench.measures import percentile, read_cpu_ms, read_memory_mb
from fakes.processes import (
    HOST,
    post_json,
    read_json,
    read_version,
    restart_daemon,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)
from magnoliasill.codes import LogEvent
from magnoliasill.publishing.publisher import ChangeSet, publish, read_head
from magnoliasill.spreading.invariants import CONVERGENCE_LIMIT_S, Observation, check_versions
from magnoliasill.store import connect_store

if TYPE_CHECKING:
    from fakes.processes import DaemonProcess, Fleet
    from magnoliasill.versions.manifest import Head

DAEMONS = 36
FULL_DAEMONS = 60
DATA_CENTRES = 3
CHANGES = 8
FULL_CHANGES = 30
REPEATS = 2
FULL_REPEATS = 5
IDLE_S = 15.0
OUTAGE_S = 8.0
START_LIMIT_S = 90.0
SETTLE_S = 3.0
QUIET_S = 15.0  # until the news of the members that started has been sent
POLL_S = 0.05
BYTES = ("magnoliasill_message_bytes_sent_total", "magnoliasill_message_bytes_received_total")


@attrs.define
class Run:
    """One run: its processes, what was seen, and what broke.

    Attributes:
        fleet: The processes.
        random: Picks services, relays and moments.
        changes: Counts publishes, for their names.
        observations: Versions in force, by daemon, in the order of the machine's clock.
        breaches: What must not happen and did.
        herd_start_s: Seconds that the machine took to start all daemons again.
    """

    fleet: Fleet
    random: Random
    changes: int = 0
    observations: list[Observation] = attrs.field(factory=list)
    breaches: list[str] = attrs.field(factory=list)
    herd_start_s: float = 0.0

    @property
    def daemons(self) -> list[DaemonProcess]:
        """The daemons."""
        return list(self.fleet.daemons.values())


def main(seed: int = 1, daemons: int = 0, full: bool = False) -> None:
    """Measure and print one JSON object on the last line.

    Args:
        seed: Picks the services that change and the relays that are killed.
        daemons: Number of daemons, or 0 for the usual one.
        full: Measure more daemons and changes.
    """
    count = daemons or (FULL_DAEMONS if full else DAEMONS)
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(Path(folder))
        try:
            result = _measure(Run(fleet, Random(seed)), count, full)
        finally:
            stop_fleet(fleet)
    result.update(measure_baselines(count, seed))
    print(json.dumps(result))


def _measure(run: Run, count: int, full: bool) -> dict[str, Any]:
    _start(run, count)
    changes = FULL_CHANGES if full else CHANGES
    repeats = FULL_REPEATS if full else REPEATS
    scenarios: dict[str, list[float]] = {}
    _change(run, {f"s{i}" for i in range(SERVICES)}, START_LIMIT_S)
    time.sleep(QUIET_S)
    cost = _measure_cost(run, changes, scenarios)
    scenarios["relay_killed"] = [s for _ in range(repeats) for s in _kill_relay(run)]
    scenarios["platform_down"] = [s for _ in range(repeats) for s in _stop_platform(run)]
    peak = read_json(_store(run), "/control/counts")["peak"]["reads"]
    scenarios["herd_restart"] = _restart_all(run)
    herd_peak = read_json(_store(run), "/control/counts")["peak"]["reads"]
    quiet = scenarios["nothing_failing"]
    worst = {name: round(max(times), 3) for name, times in scenarios.items()}
    run.breaches += check_versions(run.observations)
    return {
        "seconds_p50": round(percentile(quiet, 0.5), 3),
        "seconds_p99": round(percentile(quiet, 0.99), 3),
        "max_seconds": max(worst.values()),
        "max_seconds_by_scenario": worst,
        **cost,
        "platform_reads_per_second_max": max(peak, herd_peak),
        "platform_reads_per_second_max_without_herd": peak,
        "daemons": count,
        "data_centres": DATA_CENTRES,
        "services": SERVICES,
        "memory_mb_max": round(max(read_memory_mb(daemon) for daemon in run.daemons), 1),
        "herd_start_seconds": round(run.herd_start_s, 2),
        "breaches": len(run.breaches),
        "breaches_listed": run.breaches[:10],
    }


def _start(run: Run, count: int) -> None:
    seeds: dict[str, str] = {}
    for number in range(count):
        place = f"dc{number % DATA_CENTRES}"
        joined = ",".join(seeds.values())
        daemon = start_daemon(run.fleet, f"{place}-{number}", place, joined)
        seeds.setdefault(place, f"{HOST}:{daemon.peer_port}")
    wait_until(lambda: all(map(_is_ready, run.daemons)), START_LIMIT_S, "start")
    _note(f"{count} daemons started")


def _measure_cost(run: Run, changes: int, scenarios: dict[str, list[float]]) -> dict[str, Any]:
    store_before = _count_reads(run)
    before = _count_bytes(run)
    cpu_before = {daemon.name: read_cpu_ms(daemon) for daemon in run.daemons}
    time.sleep(IDLE_S)
    idle = _count_bytes(run)
    cpu_ms = [read_cpu_ms(daemon) - cpu_before[daemon.name] for daemon in run.daemons]
    started = time.monotonic()
    times = [s for _ in range(changes) for s in _change(run, {run.random.choice(_names())})]
    time.sleep(SETTLE_S)
    busy = _count_bytes(run)
    elapsed = time.monotonic() - started
    scenarios["nothing_failing"] = times
    rates: list[float] = []
    idle_rates: list[float] = []
    for name in idle:
        idle_rate = (idle[name] - before[name]) / IDLE_S
        per_change = max((busy[name] - idle[name] - idle_rate * elapsed) / changes, 0.0)
        idle_rates.append(idle_rate)
        rates.append(idle_rate + per_change * CHANGES_PER_SECOND)
    reads = (_count_reads(run) - store_before) / (elapsed + IDLE_S)
    _note(f"cost: {max(rates):.0f} bytes/s")
    return {
        "control_bytes_per_second_max": round(max(rates)),
        "control_bytes_per_second_mean": round(sum(rates) / len(rates)),
        "idle_bytes_per_second_max": round(max(idle_rates)),
        "idle_core_percent_max": round(max(cpu_ms) / IDLE_S / 10, 2),
        "idle_core_percent_mean": round(sum(cpu_ms) / len(cpu_ms) / IDLE_S / 10, 2),
        "platform_reads_per_second_mean": round(reads, 1),
    }


def _kill_relay(run: Run) -> list[float]:
    relays = [d for d in run.daemons if read_json(d.admin, "/v1/state")["relay_slot"] is not None]
    victim = run.random.choice(relays)
    victim.process.send_signal(signal.SIGKILL)
    victim.process.wait()
    others = [daemon for daemon in run.daemons if daemon is not victim]
    times = _change(run, {run.random.choice(_names())}, daemons=others)
    restart_daemon(victim)
    wait_until(lambda: _is_ready(victim), START_LIMIT_S, "restart")
    _note(f"relay {victim.name} killed: {max(times):.2f} s")
    return times


def _stop_platform(run: Run) -> list[float]:
    accepted, head = _publish(run, {run.random.choice(_names())})
    time.sleep(run.random.uniform(0.0, 0.05))
    post_json(_store(run), "/control/faults", {"refuse": 503})
    ended = time.monotonic() + OUTAGE_S
    while time.monotonic() < ended and not _all_at(run.daemons, head.version):
        time.sleep(POLL_S)
    if not any(read_version(daemon) >= head.version for daemon in run.daemons):
        accepted = time.time()  # no relay had read it: the path begins with the store's return
    post_json(_store(run), "/control/faults", {"refuse": 0})
    times = _await(run, accepted, head, run.daemons, CONVERGENCE_LIMIT_S * 3)
    _note(f"platform down: {max(times):.2f} s")
    return times


def _restart_all(run: Run) -> list[float]:
    for daemon in run.daemons:
        daemon.process.send_signal(signal.SIGKILL)
    for daemon in run.daemons:
        daemon.process.wait()
    killed = time.time()
    for daemon in run.daemons:
        restart_daemon(daemon)
    spawned = time.time()
    _, head = _publish(run, {run.random.choice(_names())})
    # the machine takes a while to start them all: count from the last one that runs
    starts = [_wait_for_start(daemon, killed) for daemon in run.daemons]
    times = _await(run, max(starts), head, run.daemons, START_LIMIT_S)
    run.herd_start_s = max(starts) - spawned
    _note(f"herd restart: {max(times):.2f} s after {run.herd_start_s:.2f} s to start all")
    return times


def _wait_for_start(daemon: DaemonProcess, after: float) -> float:
    """Return when a daemon logged that it started, in seconds since the epoch."""
    found: list[float] = []

    def is_started() -> bool:
        for line in daemon.log_path.read_text().splitlines():
            if f'"number": {LogEvent.DAEMON_STARTED.value},' not in line:
                continue
            moment = datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp()
            if moment > after:
                found.append(moment)
        return bool(found)

    wait_until(is_started, START_LIMIT_S, f"start of {daemon.name}")
    return found[-1]


def _change(
    run: Run,
    names: set[str],
    limit_s: float = CONVERGENCE_LIMIT_S * 3,
    daemons: list[DaemonProcess] | None = None,
) -> list[float]:
    accepted, head = _publish(run, names)
    return _await(run, accepted, head, daemons or run.daemons, limit_s)


def _publish(run: Run, names: set[str]) -> tuple[float, Head]:
    run.changes += 1
    store = connect_store(run.fleet.store_url, 5.0)
    head, _ = read_head(store)
    base = head.services if head is not None else {}
    services = {name: build_service(name, f"r{run.changes}") for name in names}
    request = ChangeSet(f"bench-{run.changes}", services, base)
    head = publish(store, request, datetime.now(UTC), lambda attempt: time.sleep(0.1))
    return time.time(), head


def _await(
    run: Run, accepted: float, head: Head, daemons: list[DaemonProcess], limit_s: float
) -> list[float]:
    """Return the seconds from the acceptance to the version in force, for each daemon."""
    waiting = {daemon.name: daemon for daemon in daemons}
    times: list[float] = []
    deadline = time.monotonic() + limit_s
    while waiting and time.monotonic() < deadline:
        for name, daemon in list(waiting.items()):
            state = _read_state(daemon)
            if state is None or state["version"] < head.version:
                continue
            del waiting[name]
            at = state["applied_at"]
            times.append(max(at - accepted, 0.0))
            run.observations.append(Observation(at, name, state["version"], ""))
        time.sleep(POLL_S)
    run.breaches += [f"{name}: version {head.version} never in force" for name in waiting]
    late = sum(seconds > CONVERGENCE_LIMIT_S for seconds in times)
    run.breaches += [f"version {head.version}: late on {late} daemons"] if late else []
    return times + [limit_s] * len(waiting)


def _names() -> list[str]:
    return [f"s{i}" for i in range(SERVICES)]


def _read_state(daemon: DaemonProcess) -> Any:
    try:
        return read_json(daemon.admin, "/v1/state")
    except urllib3.exceptions.HTTPError:
        return None


def _is_ready(daemon: DaemonProcess) -> bool:
    return _read_state(daemon) is not None


def _all_at(daemons: list[DaemonProcess], version: int) -> bool:
    return all(read_version(daemon) >= version for daemon in daemons)


def _count_bytes(run: Run) -> dict[str, float]:
    return {daemon.name: _sum_bytes(daemon) for daemon in run.daemons}


def _sum_bytes(daemon: DaemonProcess) -> float:
    text = urllib3.request("GET", f"http://{daemon.admin}/metrics").data.decode()
    lines = (line.split() for line in text.splitlines() if line.startswith(BYTES))
    return sum(float(line[-1]) for line in lines)


def _count_reads(run: Run) -> int:
    counts = read_json(_store(run), "/control/counts")["counts"]
    return sum(counts.get(kind, 0) for kind in ("read", "page", "watch"))


def _store(run: Run) -> str:
    return f"{HOST}:{run.fleet.store_port}"


def _note(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
