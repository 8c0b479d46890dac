"""Measures how soon an accepted configuration is applied on all daemons, and its cost."""

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
REPETITIONS = 2
FULL_REPETITIONS = 5
IDLE_WINDOW_S = 15.0
MAX_OUTAGE_S = 8.0
START_TIMEOUT_S = 90.0
SETTLE_S = 3.0
MEMBER_SETTLE_S = 15.0  # until the records of the members that started have been sent
POLL_INTERVAL_S = 0.05
BYTE_METRICS = (
    "magnoliasill_message_bytes_sent_total",
    "magnoliasill_message_bytes_received_total",
)


@attrs.define
class BenchmarkRun:
    """The state of one benchmark run: its processes, observations and violations.

    Attributes:
        fleet: The store and the daemons.
        random: Chooses services, relays and delays.
        changes: Number of publishes so far, used in their identifiers.
        observations: Applied versions by daemon, in the order of the machine's clock.
        violations: Descriptions of the violated invariants.
        herd_start_s: Seconds that the machine needed to restart all daemons at once.
    """

    fleet: Fleet
    random: Random
    changes: int = 0
    observations: list[Observation] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
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
            result = _measure(BenchmarkRun(fleet, Random(seed)), count, full)
        finally:
            stop_fleet(fleet)
    result.update(measure_baselines(count, seed))
    print(json.dumps(result))


def _measure(run: BenchmarkRun, count: int, full: bool) -> dict[str, Any]:
    _start_daemons(run, count)
    changes = FULL_CHANGES if full else CHANGES
    repetitions = FULL_REPETITIONS if full else REPETITIONS
    scenarios: dict[str, list[float]] = {}
    _publish_and_wait(run, {f"s{i}" for i in range(SERVICES)}, START_TIMEOUT_S)
    time.sleep(MEMBER_SETTLE_S)
    cost = _measure_cost(run, changes, scenarios)
    scenarios["relay_killed"] = [s for _ in range(repetitions) for s in _kill_relay(run)]
    scenarios["platform_down"] = [s for _ in range(repetitions) for s in _interrupt_store(run)]
    peak_reads = read_json(_store_address(run), "/control/counts")["peak"]["reads"]
    scenarios["herd_restart"] = _restart_all(run)
    herd_peak_reads = read_json(_store_address(run), "/control/counts")["peak"]["reads"]
    undisturbed_times = scenarios["nothing_failing"]
    worst_times = {name: round(max(times), 3) for name, times in scenarios.items()}
    run.violations += check_versions(run.observations)
    return {
        "seconds_p50": round(percentile(undisturbed_times, 0.5), 3),
        "seconds_p99": round(percentile(undisturbed_times, 0.99), 3),
        "max_seconds": max(worst_times.values()),
        "max_seconds_by_scenario": worst_times,
        **cost,
        "platform_reads_per_second_max": max(peak_reads, herd_peak_reads),
        "platform_reads_per_second_max_without_herd": peak_reads,
        "daemons": count,
        "data_centres": DATA_CENTRES,
        "services": SERVICES,
        "memory_mb_max": round(max(read_memory_mb(daemon) for daemon in run.daemons), 1),
        "herd_start_seconds": round(run.herd_start_s, 2),
        "breaches": len(run.violations),
        "breaches_listed": run.violations[:10],
    }


def _start_daemons(run: BenchmarkRun, count: int) -> None:
    seed_addresses: dict[str, str] = {}
    for number in range(count):
        data_centre = f"dc{number % DATA_CENTRES}"
        seed_list = ",".join(seed_addresses.values())
        daemon = start_daemon(run.fleet, f"{data_centre}-{number}", data_centre, seed_list)
        seed_addresses.setdefault(data_centre, f"{HOST}:{daemon.peer_port}")
    wait_until(lambda: all(map(_is_ready, run.daemons)), START_TIMEOUT_S, "start")
    _print_progress(f"{count} daemons started")


def _measure_cost(
    run: BenchmarkRun, changes: int, scenarios: dict[str, list[float]]
) -> dict[str, Any]:
    reads_before = _read_store_reads(run)
    bytes_before = _read_bytes(run)
    cpu_before = {daemon.name: read_cpu_ms(daemon) for daemon in run.daemons}
    time.sleep(IDLE_WINDOW_S)
    bytes_after_idle = _read_bytes(run)
    cpu_ms = [read_cpu_ms(daemon) - cpu_before[daemon.name] for daemon in run.daemons]
    started = time.monotonic()
    times = [
        s
        for _ in range(changes)
        for s in _publish_and_wait(run, {run.random.choice(_list_services())})
    ]
    time.sleep(SETTLE_S)
    bytes_after_changes = _read_bytes(run)
    elapsed = time.monotonic() - started
    scenarios["nothing_failing"] = times
    rates: list[float] = []
    idle_rates: list[float] = []
    for name in bytes_after_idle:
        idle_rate = (bytes_after_idle[name] - bytes_before[name]) / IDLE_WINDOW_S
        per_change = max(
            (bytes_after_changes[name] - bytes_after_idle[name] - idle_rate * elapsed) / changes,
            0.0,
        )
        idle_rates.append(idle_rate)
        rates.append(idle_rate + per_change * CHANGES_PER_SECOND)
    reads = (_read_store_reads(run) - reads_before) / (elapsed + IDLE_WINDOW_S)
    _print_progress(f"cost: {max(rates):.0f} bytes/s")
    return {
        "control_bytes_per_second_max": round(max(rates)),
        "control_bytes_per_second_mean": round(sum(rates) / len(rates)),
        "idle_bytes_per_second_max": round(max(idle_rates)),
        "idle_core_percent_max": round(max(cpu_ms) / IDLE_WINDOW_S / 10, 2),
        "idle_core_percent_mean": round(sum(cpu_ms) / len(cpu_ms) / IDLE_WINDOW_S / 10, 2),
        "platform_reads_per_second_mean": round(reads, 1),
    }


def _kill_relay(run: BenchmarkRun) -> list[float]:
    relays = [d for d in run.daemons if read_json(d.admin, "/v1/state")["relay_slot"] is not None]
    target_daemon = run.random.choice(relays)
    target_daemon.process.send_signal(signal.SIGKILL)
    target_daemon.process.wait()
    remaining_daemons = [daemon for daemon in run.daemons if daemon is not target_daemon]
    times = _publish_and_wait(run, {run.random.choice(_list_services())}, daemons=remaining_daemons)
    restart_daemon(target_daemon)
    wait_until(lambda: _is_ready(target_daemon), START_TIMEOUT_S, "restart")
    _print_progress(f"relay {target_daemon.name} killed: {max(times):.2f} s")
    return times


def _interrupt_store(run: BenchmarkRun) -> list[float]:
    accepted_at, head = _publish_services(run, {run.random.choice(_list_services())})
    time.sleep(run.random.uniform(0.0, 0.05))
    post_json(_store_address(run), "/control/faults", {"refuse": 503})
    deadline = time.monotonic() + MAX_OUTAGE_S
    while time.monotonic() < deadline and not _have_all_applied(run.daemons, head.version):
        time.sleep(POLL_INTERVAL_S)
    if not any(read_version(daemon) >= head.version for daemon in run.daemons):
        accepted_at = time.time()  # no relay has read it: count from the end of the outage
    post_json(_store_address(run), "/control/faults", {"refuse": 0})
    times = _wait_until_applied(run, accepted_at, head, run.daemons, CONVERGENCE_LIMIT_S * 3)
    _print_progress(f"platform store down: {max(times):.2f} s")
    return times


def _restart_all(run: BenchmarkRun) -> list[float]:
    for daemon in run.daemons:
        daemon.process.send_signal(signal.SIGKILL)
    for daemon in run.daemons:
        daemon.process.wait()
    killed = time.time()
    for daemon in run.daemons:
        restart_daemon(daemon)
    spawned = time.time()
    _, head = _publish_services(run, {run.random.choice(_list_services())})
    # starting all daemons takes the machine a while: count from the last start
    starts = [_wait_for_start(daemon, killed) for daemon in run.daemons]
    times = _wait_until_applied(run, max(starts), head, run.daemons, START_TIMEOUT_S)
    run.herd_start_s = max(starts) - spawned
    _print_progress(f"herd restart: {max(times):.2f} s after {run.herd_start_s:.2f} s to start all")
    return times


def _wait_for_start(daemon: DaemonProcess, after: float) -> float:
    """Return when a daemon logged that it started, in seconds since the epoch."""
    start_times: list[float] = []

    def is_started() -> bool:
        for line in daemon.log_path.read_text().splitlines():
            if f'"number": {LogEvent.DAEMON_STARTED.value},' not in line:
                continue
            started_at = datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp()
            if started_at > after:
                start_times.append(started_at)
        return bool(start_times)

    wait_until(is_started, START_TIMEOUT_S, f"start of {daemon.name}")
    return start_times[-1]


def _publish_and_wait(
    run: BenchmarkRun,
    names: set[str],
    limit_s: float = CONVERGENCE_LIMIT_S * 3,
    daemons: list[DaemonProcess] | None = None,
) -> list[float]:
    accepted_at, head = _publish_services(run, names)
    return _wait_until_applied(run, accepted_at, head, daemons or run.daemons, limit_s)


def _publish_services(run: BenchmarkRun, names: set[str]) -> tuple[float, Head]:
    run.changes += 1
    store = connect_store(run.fleet.store_url, 5.0)
    head, _ = read_head(store)
    base = head.services if head is not None else {}
    services = {name: build_service(name, f"r{run.changes}") for name in names}
    request = ChangeSet(f"bench-{run.changes}", services, base)
    head = publish(store, request, datetime.now(UTC), lambda attempt: time.sleep(0.1))
    return time.time(), head


def _wait_until_applied(
    run: BenchmarkRun, accepted_at: float, head: Head, daemons: list[DaemonProcess], limit_s: float
) -> list[float]:
    """Return the seconds from acceptance until the version is applied, for each daemon."""
    waiting = {daemon.name: daemon for daemon in daemons}
    times: list[float] = []
    deadline = time.monotonic() + limit_s
    while waiting and time.monotonic() < deadline:
        for name, daemon in list(waiting.items()):
            state = _read_state(daemon)
            if state is None or state["version"] < head.version:
                continue
            del waiting[name]
            applied_at = state["applied_at"]
            times.append(max(applied_at - accepted_at, 0.0))
            run.observations.append(Observation(applied_at, name, state["version"], ""))
        time.sleep(POLL_INTERVAL_S)
    run.violations += [f"{name}: version {head.version} never applied" for name in waiting]
    late = sum(seconds > CONVERGENCE_LIMIT_S for seconds in times)
    run.violations += [f"version {head.version}: applied late on {late} daemons"] if late else []
    return times + [limit_s] * len(waiting)


def _list_services() -> list[str]:
    return [f"s{i}" for i in range(SERVICES)]


def _read_state(daemon: DaemonProcess) -> Any:
    try:
        return read_json(daemon.admin, "/v1/state")
    except urllib3.exceptions.HTTPError:
        return None


def _is_ready(daemon: DaemonProcess) -> bool:
    return _read_state(daemon) is not None


def _have_all_applied(daemons: list[DaemonProcess], version: int) -> bool:
    return all(read_version(daemon) >= version for daemon in daemons)


def _read_bytes(run: BenchmarkRun) -> dict[str, float]:
    return {daemon.name: _read_daemon_bytes(daemon) for daemon in run.daemons}


def _read_daemon_bytes(daemon: DaemonProcess) -> float:
    text = urllib3.request("GET", f"http://{daemon.admin}/metrics").data.decode()
    lines = (line.split() for line in text.splitlines() if line.startswith(BYTE_METRICS))
    return sum(float(line[-1]) for line in lines)


def _read_store_reads(run: BenchmarkRun) -> int:
    counts = read_json(_store_address(run), "/control/counts")["counts"]
    return sum(counts.get(kind, 0) for kind in ("read", "page", "watch"))


def _store_address(run: BenchmarkRun) -> str:
    return f"{HOST}:{run.fleet.store_port}"


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


if __name__ == "__main__":
    fire.Fire(main)
