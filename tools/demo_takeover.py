"""The takeover part of the demonstration: a good release is completed, a bad one taken back."""

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
GOOD_LENGTH_S = 30
BAD_LENGTH_S = 40
START_TIMEOUT_S = 60.0
CALLERS = 4
PAUSE_S = 0.02
ERROR_RATIO = 0.5
TAKEOVER = """
[takeover]
from_release = "{old}"
to_release = "{new}"
start_at = {start}
finish_by = {finish}
"""


class Traffic:
    """Callers that send calls through some daemons until they are stopped."""

    def __init__(self, daemons: list[DaemonProcess]) -> None:
        """Prepare callers for some daemons."""
        self.stopping = threading.Event()
        self.releases: dict[str, int] = {}
        self.failed = 0
        chosen = [daemons[number % len(daemons)] for number in range(CALLERS)]
        self.threads = [threading.Thread(target=self._send, args=(d,)) for d in chosen]

    def __enter__(self) -> Traffic:
        """Start the callers."""
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the callers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _send(self, daemon: DaemonProcess) -> None:
        pool = urllib3.HTTPConnectionPool(HOST, daemon.caller_port, retries=False, timeout=10)
        while not self.stopping.is_set():
            answer = pool.request("GET", "/lessons")
            release = answer.headers.get("X-Release", "none")
            self.releases[release] = self.releases.get(release, 0) + 1
            self.failed += answer.status >= 500
            time.sleep(PAUSE_S)


def show_takeovers(
    fleet: Fleet,
    daemons: list[DaemonProcess],
    services: Path,
    folder: Path,
    use_tool: Callable[..., str],
    show: Callable[[str], None],
) -> None:
    """Publish a takeover to a good release and one to a bad release, and show how each ends.

    Args:
        fleet: The processes.
        daemons: The running daemons.
        services: The example's service files.
        folder: An empty folder for changed service files.
        use_tool: Runs the command-line tool and returns what it printed.
        show: Prints a line.

    Raises:
        SystemExit: If a takeover did not end as it should.
    """
    for path in services.iterdir():
        (folder / path.name).write_text(path.read_text())
    callers = [daemon for daemon in daemons if daemon.service == SERVICE][:2]
    steps = (("r1", "r2", GOOD_LENGTH_S, "completed"), ("r2", "r3", BAD_LENGTH_S, "reversed"))
    for old, new, length_s, wanted in steps:
        _start_servers(fleet, daemons, callers, new, wanted)
        with Traffic(callers) as traffic:
            _publish(fleet, daemons, folder, (old, new, length_s), use_tool)
            show(f"a takeover of {SERVICE} from {old} to {new} within {length_s} s is published")
            took = wait_until(
                lambda: _read(use_tool, fleet)["progress"]["phase"] != "running",
                length_s + 10.0,
                "the end of the takeover",
            )
        show(use_tool("rollouts", SERVICE, "--store", fleet.store_url))
        phase = _read(use_tool, fleet)["progress"]["phase"]
        show(f"  {phase} after {took:.1f} s; calls by release: {traffic.releases}")
        if phase != wanted:
            raise SystemExit(f"FAILED: the takeover to {new} was {phase}")


def _start_servers(
    fleet: Fleet,
    daemons: list[DaemonProcess],
    callers: list[DaemonProcess],
    release: str,
    wanted: str,
) -> None:
    seeds = ",".join(f"{HOST}:{daemon.peer_port}" for daemon in daemons[:2])
    for caller in callers:
        name = f"{caller.data_centre}-{SERVICE}-{release}"
        daemon = start_daemon(fleet, name, caller.data_centre, seeds)
        port = start_backend(fleet, daemon, SERVICE, release)
        wait_until(lambda port=port: _answers(port), START_TIMEOUT_S, name)
        if wanted == "reversed":
            post_json(f"{HOST}:{port}", "/control/faults", {"error_ratio": ERROR_RATIO})
        daemons.append(daemon)
    wait_until(lambda: _know(callers, release), START_TIMEOUT_S, f"servers of {release}")


def _publish(
    fleet: Fleet,
    daemons: list[DaemonProcess],
    folder: Path,
    takeover: tuple[str, str, int],
    use_tool: Callable[..., str],
) -> None:
    old, new, length_s = takeover
    path = folder / f"{SERVICE}.toml"
    text = path.read_text().split("\n[takeover]")[0]
    serving = next(line for line in text.splitlines() if line.startswith("serving"))
    text = text.replace(serving, f'serving = "{old}"')
    text += f'\n[[releases]]\nname = "{new}"\ncold_start_ms = 0\n'
    start = datetime.now(UTC)
    finish = start + timedelta(seconds=length_s)
    times = {"start": start.isoformat(), "finish": finish.isoformat()}
    path.write_text(text + TAKEOVER.format(old=old, new=new, **times))
    version = max(read_version(daemon) for daemon in daemons) + 1
    use_tool("publish", str(folder), "--store", fleet.store_url)
    wait_until(
        lambda: all(read_version(daemon) >= version for daemon in daemons),
        START_TIMEOUT_S,
        f"version {version}",
    )
    wait_until(lambda: _read(use_tool, fleet).get("to_release") == new, START_TIMEOUT_S, "record")


def _read(use_tool: Callable[..., str], fleet: Fleet) -> dict[str, Any]:
    records = msgspec.json.decode(use_tool("rollouts", "--store", fleet.store_url, "--json"))
    return next((record for record in records if record["service"] == SERVICE), {})


def _know(callers: list[DaemonProcess], release: str) -> bool:
    return all(
        sum(r["release"] == release and r["serving"] for r in read_json(c.admin, "/v1/members"))
        >= len(callers)
        for c in callers
    )


def _answers(port: int) -> bool:
    try:
        read_json(f"{HOST}:{port}", "/healthz")
    except urllib3.exceptions.HTTPError:
        return False
    return True
