"""Runs the Ikenna example on this machine: publishes it, sends requests and runs two takeovers."""

from __future__ import annotations

import sys
import tempfile
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

import urllib3

from fakes.processes import (
    HOST,
    ROOT,
    list_serving,
    read_json,
    read_version,
    run_tool,
    start_backend,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)

from .demo_takeover import show_takeovers

if TYPE_CHECKING:
    from fakes.processes import DaemonProcess, Fleet

EXAMPLE = ROOT / "examples" / "ikenna"
START_TIMEOUT_S = 60.0
CONVERGENCE_TARGET_S = 6.0


def main() -> None:
    """Run the demonstration; the exit status is 0 only if every step succeeded."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(Path(folder))
        try:
            run_demo(fleet)
        finally:
            failed_daemons = stop_fleet(fleet)
    if failed_daemons:
        sys.exit(f"daemons that did not stop cleanly: {failed_daemons}")
    show("all processes have stopped cleanly; the demonstration is complete")


def run_demo(fleet: Fleet) -> None:
    """Run all steps of the demonstration.

    Args:
        fleet: The running fake store; the daemons are added to it.
    """
    daemons = start_processes(fleet)
    publish_example(fleet, daemons)
    send_requests(daemons)
    send_submission_twice(daemons)
    with tempfile.TemporaryDirectory() as folder:
        services = EXAMPLE / "services"
        show_takeovers(fleet, daemons, services, Path(folder), run_tool_checked, show)


def start_processes(fleet: Fleet) -> list[DaemonProcess]:
    """Start a daemon and its backend server for each service in each data centre."""
    deployment = tomllib.loads((EXAMPLE / "deployment.toml").read_text())
    services = list(deployment["servers"])
    daemons = []
    for data_centre in deployment["data_centres"]:
        for service in services:
            daemon = start_daemon(fleet, f"{data_centre}-{service}", data_centre)
            start_backend(fleet, daemon, service, "r1")
            daemons.append(daemon)
    show(f"{len(daemons)} daemons with their backend servers are starting")
    wait_until(
        lambda: all(_knows_all_servers(d, len(daemons)) for d in daemons), START_TIMEOUT_S, "start"
    )
    show("every daemon knows every backend server")
    return daemons


def publish_example(fleet: Fleet, daemons: list[DaemonProcess]) -> None:
    """Publish the example and print the seconds until each daemon applied it."""
    show(run_tool_checked("publish", str(EXAMPLE / "services"), "--store", fleet.store_url))
    wait_until(lambda: all(read_version(d) == 1 for d in daemons), START_TIMEOUT_S, "version 1")
    slowest = 0.0
    for daemon in daemons:
        state = read_json(daemon.admin, "/v1/state")
        seconds = state["applied_at"] - state["head"]["published_at"]
        slowest = max(slowest, seconds)
        show(f"  {daemon.name:22} version 1 after {seconds:6.3f} s")
    require(slowest <= CONVERGENCE_TARGET_S, f"slowest daemon took {slowest:.3f} s")


def send_requests(daemons: list[DaemonProcess]) -> None:
    """Send a request to every service through every daemon."""
    paths = ("/lessons", "/assessments/7", "/media/7", "/certs/7")
    for daemon in daemons:
        for path in paths:
            response = send_request(daemon, "GET", path)
            require(response.status == 200, f"{path} through {daemon.name}: {response.status}")
    show(f"{len(daemons) * len(paths)} calls were answered by backend servers")


def send_submission_twice(daemons: list[DaemonProcess]) -> None:
    """Send a request with the same idempotency key through two daemons; it must run only once."""
    path, key = "/assessments/submissions", "submission-1"
    first = send_request(daemons[0], "POST", path, key)
    second = send_request(daemons[-1], "POST", path, key)
    show(f"the same submission sent twice: answers {first.status} and {second.status}")
    require(first.status == 200, "the first submission was not answered")
    runs = sum(
        read_json(f"{HOST}:{daemon.backend_port}", "/control/runs")["runs"].get(key, 0)
        for daemon in daemons
    )
    require(runs == 1, f"the submission ran {runs} times")
    show("the submission ran once")


def send_request(
    daemon: DaemonProcess, method: str, path: str, key: str = ""
) -> urllib3.BaseHTTPResponse:
    """Send one request to a daemon and return the response."""
    headers = {"Idempotency-Key": key} if key else {}
    url = f"http://{daemon.caller}{path}"
    return urllib3.request(method, url, headers=headers, body=b"", retries=False, timeout=15)


def run_tool_checked(*arguments: str) -> str:
    """Run the command-line tool and return its output; a failure ends the demonstration."""
    finished = run_tool(*arguments)
    require(finished.returncode == 0, finished.stderr)
    return finished.stdout.strip()


def show(text: str) -> None:
    """Print one line of progress and flush it."""
    print(text, flush=True)


def require(condition: bool, problem: str) -> None:
    """End the demonstration with an error message unless a condition holds."""
    if not condition:
        raise SystemExit(f"FAILED: {problem}")


def _knows_all_servers(daemon: DaemonProcess, count: int) -> bool:
    try:
        return len(list_serving(daemon)) == count
    except urllib3.exceptions.HTTPError:
        return False


if __name__ == "__main__":
    main()
