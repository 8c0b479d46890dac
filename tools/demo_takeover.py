"""The takeovers of the demonstration: a good release completes, a bad one is rolled back."""

from __future__ import annotations

import threading
import time
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any

import msgspec
import urllib3

from fakes.processes import (
    HOST,
    post_json,
    read_json,
    read_version,
    start_backend,
    start_daemon,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from fakes.processes import DaemonProcess, Fleet

SERVICE = "lessons"
GOOD_TAKEOVER_S = 30
BAD_TAKEOVER_S = 40
START_TIMEOUT_S = 60.0
CALLER_THREADS = 4
REQUEST_INTERVAL_S = 0.02
ERROR_RATIO = 0.5
TAKEOVER_TEMPLATE = """
[takeover]
from_release = "{old}"
to_release = "{new}"
start_at = {start}
finish_by = {finish}
"""


class Traffic:
    """Threads that send requests through some daemons until they are stopped."""

    def __init__(self, daemons: list[DaemonProcess]) -> None:
        """Create the caller threads and assign them to the daemons in turn."""
        self.stopping = threading.Event()
        self.releases: dict[str, int] = {}
        self.failed = 0
        assigned = [daemons[number % len(daemons)] for number in range(CALLER_THREADS)]
        self.threads = [threading.Thread(target=self._send, args=(d,)) for d in assigned]

    def __enter__(self) -> Traffic:
        """Start the caller threads."""
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the caller threads and wait until they have ended."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _send(self, daemon: DaemonProcess) -> None:
        pool = urllib3.HTTPConnectionPool(HOST, daemon.caller_port, retries=False, timeout=10)
        while not self.stopping.is_set():
            response = pool.request("GET", "/lessons")
            release = response.headers.get("X-Release", "none")
            self.releases[release] = self.releases.get(release, 0) + 1
            self.failed += response.status >= 500
            time.sleep(REQUEST_INTERVAL_S)


def show_takeovers(
    fleet: Fleet,
    daemons: list[DaemonProcess],
    services: Path,
    folder: Path,
    run_tool_checked: Callable[..., str],
    show: Callable[[str], None],
) -> None:
    """Publish a takeover to a good release and one to a bad release, and print how each ends.

    Args:
        fleet: The processes of this run.
        daemons: The running daemons.
        services: The example's service files.
        folder: An empty folder for the changed service files.
        run_tool_checked: Runs the command-line tool and returns its output.
        show: Prints a line.

    Raises:
        SystemExit: If a takeover did not end in the expected phase.
    """
    for path in services.iterdir():
        (folder / path.name).write_text(path.read_text())
    callers = [daemon for daemon in daemons if daemon.service == SERVICE][:2]
    steps = (("r1", "r2", GOOD_TAKEOVER_S, "completed"), ("r2", "r3", BAD_TAKEOVER_S, "reversed"))
    for old, new, duration_s, expected_phase in steps:
        _start_servers(fleet, daemons, callers, new, expected_phase)
        with Traffic(callers) as traffic:
            _publish_takeover(fleet, daemons, folder, (old, new, duration_s), run_tool_checked)
            show(f"a takeover of {SERVICE} from {old} to {new} within {duration_s} s is published")
            elapsed_s = wait_until(
                lambda: _read_takeover(run_tool_checked, fleet)["progress"]["phase"] != "running",
                duration_s + 10.0,
                "the end of the takeover",
            )
        show(run_tool_checked("rollouts", SERVICE, "--store", fleet.store_url))
        phase = _read_takeover(run_tool_checked, fleet)["progress"]["phase"]
        show(f"  {phase} after {elapsed_s:.1f} s; calls by release: {traffic.releases}")
        if phase != expected_phase:
            raise SystemExit(f"FAILED: the takeover to {new} was {phase}")


def _start_servers(
    fleet: Fleet,
    daemons: list[DaemonProcess],
    callers: list[DaemonProcess],
    release: str,
    expected_phase: str,
) -> None:
    seeds = ",".join(f"{HOST}:{daemon.peer_port}" for daemon in daemons[:2])
    for caller in callers:
        name = f"{caller.data_centre}-{SERVICE}-{release}"
        daemon = start_daemon(fleet, name, caller.data_centre, seeds)
        port = start_backend(fleet, daemon, SERVICE, release)
        wait_until(lambda port=port: _is_responding(port), START_TIMEOUT_S, name)
        if expected_phase == "reversed":
            post_json(f"{HOST}:{port}", "/control/faults", {"error_ratio": ERROR_RATIO})
        daemons.append(daemon)
    wait_until(
        lambda: _all_know_release(callers, release), START_TIMEOUT_S, f"servers of {release}"
    )


def _publish_takeover(
    fleet: Fleet,
    daemons: list[DaemonProcess],
    folder: Path,
    takeover: tuple[str, str, int],
    run_tool_checked: Callable[..., str],
) -> None:
    old, new, duration_s = takeover
    path = folder / f"{SERVICE}.toml"
    text = path.read_text().split("\n[takeover]")[0]
    serving = next(line for line in text.splitlines() if line.startswith("serving"))
    text = text.replace(serving, f'serving = "{old}"')
    text += f'\n[[releases]]\nname = "{new}"\ncold_start_ms = 0\n'
    start = datetime.now(UTC)
    finish = start + timedelta(seconds=duration_s)
    times = {"start": start.isoformat(), "finish": finish.isoformat()}
    path.write_text(text + TAKEOVER_TEMPLATE.format(old=old, new=new, **times))
    version = max(read_version(daemon) for daemon in daemons) + 1
    run_tool_checked("publish", str(folder), "--store", fleet.store_url)
    wait_until(
        lambda: all(read_version(daemon) >= version for daemon in daemons),
        START_TIMEOUT_S,
        f"version {version}",
    )
    wait_until(
        lambda: _read_takeover(run_tool_checked, fleet).get("to_release") == new,
        START_TIMEOUT_S,
        "record",
    )


def _read_takeover(run_tool_checked: Callable[..., str], fleet: Fleet) -> dict[str, Any]:
    records = msgspec.json.decode(
        run_tool_checked("rollouts", "--store", fleet.store_url, "--json")
    )
    return next((record for record in records if record["service"] == SERVICE), {})


def _all_know_release(callers: list[DaemonProcess], release: str) -> bool:
    return all(
        sum(r["release"] == release and r["serving"] for r in read_json(c.admin, "/v1/members"))
        >= len(callers)
        for c in callers
    )


def _is_responding(port: int) -> bool:
    try:
        read_json(f"{HOST}:{port}", "/healthz")
    except urllib3.exceptions.HTTPError:
        return False
    return True
