"""Starts daemons, fake backend servers and the fake store as processes on this machine."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
import urllib3

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_PER_BLOCK = 100
HTTP_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 15.0
LOG_EXCERPT_CHARACTERS = 2_000
POLL_INTERVAL_S = 0.05
_block_locks: list[socket.socket] = []  # bound to the first port of each block that is taken
ROOT = Path(__file__).resolve().parent.parent
DAEMON_SCRIPT = "from magnoliasill.programs import run_daemon; run_daemon()"
TOOL_SCRIPT = "from magnoliasill.programs import run_tool; run_tool()"
TOOL_TIMEOUT_S = 60.0


@attrs.define
class DaemonProcess:
    """One daemon process, its ports and the backend server that announces itself to it."""

    name: str
    data_centre: str
    caller_port: int
    peer_port: int
    admin_port: int
    process: subprocess.Popen[bytes]
    command: list[str]
    log_path: Path
    backend: subprocess.Popen[bytes] | None = None
    backend_port: int = 0
    service: str = ""
    release: str = ""

    @property
    def admin(self) -> str:
        """The address of the administration port."""
        return f"{HOST}:{self.admin_port}"

    @property
    def caller(self) -> str:
        """The address of the caller port."""
        return f"{HOST}:{self.caller_port}"


@attrs.define
class Fleet:
    """All processes of one run on this machine.

    Attributes:
        folder: The folder for the logs.
        store_port: The port of the fake store.
        store: The process of the fake store.
        daemons: The daemons by name.
        earlier_backends: Backend servers whose daemon has been given another one since.
    """

    folder: Path
    store_port: int
    store: subprocess.Popen[bytes]
    daemons: dict[str, DaemonProcess] = attrs.field(factory=dict)
    earlier_backends: list[subprocess.Popen[bytes]] = attrs.field(factory=list)

    @property
    def store_url(self) -> str:
        """The URL of the fake store."""
        return f"http://{HOST}:{self.store_port}"


def find_ports(count: int) -> list[int]:
    """Return ports that nothing listens on; a process never gets the same port twice.

    The ports lie below the range that the system uses for outgoing connections, in blocks that no
    other process has locked through this function.
    """
    return [next(_ports) for _ in range(count)]


def _generate_ports() -> Iterator[int]:
    blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
    random.SystemRandom().shuffle(blocks)
    for first_port in blocks:
        block_lock = _bind(first_port)
        if block_lock is None:
            continue
        _block_locks.append(block_lock)
        for port in range(first_port + 1, first_port + PORTS_PER_BLOCK):
            probe = _bind(port)
            if probe is not None:
                probe.close()
                yield port


def _bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        return None
    return sock


def start_fleet(folder: Path) -> Fleet:
    """Start the fake store and wait until it responds.

    Args:
        folder: An existing folder for the logs.
    """
    (port,) = find_ports(1)
    command = [sys.executable, "-m", "fakes.store_server", "--port", str(port)]
    fleet = Fleet(folder, port, _spawn(command, folder / "store.log"))
    try:
        wait_until(lambda: _is_responding(f"{HOST}:{port}", "/control/counts"), 20.0, "fake store")
    except TimeoutError as error:
        log = (folder / "store.log").read_text(errors="replace")[-LOG_EXCERPT_CHARACTERS:]
        status = f"exit status {fleet.store.poll()}, load {os.getloadavg()[0]:.0f}"
        raise TimeoutError(f"{error}; port {port}, {status}, log: {log}") from error
    return fleet


def start_daemon(
    fleet: Fleet, name: str, data_centre: str, seeds: str = "", **settings: Any
) -> DaemonProcess:
    """Start one daemon without waiting until it is ready.

    Args:
        fleet: The processes of this run.
        name: The daemon's name.
        data_centre: Its data centre.
        seeds: Addresses of the peers that it joins through.
        **settings: Other settings by name.
    """
    caller_port, peer_port, admin_port = find_ports(3)
    flags = {
        "name": name,
        "data_centre": data_centre,
        "caller_port": caller_port,
        "peer_port": peer_port,
        "admin_port": admin_port,
        "store": fleet.store_url,
        "seeds": seeds,
        **settings,
    }
    command = [sys.executable, "-c", DAEMON_SCRIPT]
    command += [f"--{key.replace('_', '-')}={value}" for key, value in flags.items()]
    log_path = fleet.folder / f"{name}.log"
    process = _spawn(command, log_path)
    daemon = DaemonProcess(
        name, data_centre, caller_port, peer_port, admin_port, process, command, log_path
    )
    fleet.daemons[name] = daemon
    return daemon


def restart_daemon(daemon: DaemonProcess) -> None:
    """Start a daemon's process again with the same settings and ports."""
    daemon.process = _spawn(daemon.command, daemon.log_path)


def start_backend(
    fleet: Fleet, daemon: DaemonProcess, service: str, release: str, **options: Any
) -> int:
    """Start a fake backend server that announces itself to a daemon; returns its port."""
    (port,) = find_ports(1)
    command = [sys.executable, "-m", "fakes.backend", f"--service={service}"]
    command += [f"--release={release}", f"--port={port}", f"--admin={daemon.admin}"]
    command += [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
    process = _spawn(command, fleet.folder / f"{service}-{release}-{port}.log")
    if daemon.backend is not None:
        fleet.earlier_backends.append(daemon.backend)
    daemon.backend, daemon.backend_port = process, port
    daemon.service, daemon.release = service, release
    return port


def read_json(address: str, path: str) -> Any:
    """Send a GET request and return the decoded JSON body of the response."""
    response = urllib3.request(
        "GET", f"http://{address}{path}", timeout=HTTP_TIMEOUT_S, retries=False
    )
    return msgspec.json.decode(response.data)


def post_json(address: str, path: str, data: Any) -> Any:
    """Send a POST request with a JSON body and return the decoded JSON body of the response."""
    response = urllib3.request(
        "POST",
        f"http://{address}{path}",
        body=msgspec.json.encode(data),
        timeout=HTTP_TIMEOUT_S,
        retries=False,
    )
    return msgspec.json.decode(response.data)


def read_version(daemon: DaemonProcess) -> int:
    """Return the configuration version that a daemon has applied; 0 while it does not respond."""
    try:
        return int(read_json(daemon.admin, "/v1/state")["version"])
    except urllib3.exceptions.HTTPError:
        return 0


def list_serving(daemon: DaemonProcess) -> list[dict[str, Any]]:
    """Return a daemon's member records whose backend server accepts requests."""
    state = read_json(daemon.admin, "/v1/state")
    return [record for record in (state["own"], *state["members"]) if record["serving"]]


def run_tool(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command-line tool and return its exit status and output."""
    command = [sys.executable, "-c", TOOL_SCRIPT, *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TOOL_TIMEOUT_S)


def read_memory_kb(pid: int, name: str) -> int:
    """Return a figure of /proc/PID/status in kB, such as `VmRSS` or `VmHWM`."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(name))


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> float:
    """Poll a condition until it holds.

    Args:
        condition: Returns whether the condition holds.
        timeout_s: Seconds until the wait fails.
        what: What is waited for, for the error message.

    Returns:
        The elapsed seconds.

    Raises:
        TimeoutError: If the condition did not hold in time.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"{what}: timed out after {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started


def stop_fleet(fleet: Fleet) -> list[str]:
    """Stop all processes gracefully; returns the names of daemons that did not exit with 0."""
    daemon_processes = [daemon.process for daemon in fleet.daemons.values()]
    current_backends = [d.backend for d in fleet.daemons.values() if d.backend is not None]
    for group in ([*current_backends, *fleet.earlier_backends], daemon_processes):
        for process in group:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in group:
            _wait_or_kill(process)
    fleet.store.kill()
    fleet.store.wait()
    return [name for name, daemon in fleet.daemons.items() if daemon.process.returncode != 0]


def _wait_or_kill(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _spawn(command: list[str], log_path: Path) -> subprocess.Popen[bytes]:
    with log_path.open("ab") as log_file:
        return subprocess.Popen(command, stdout=log_file, stderr=log_file, cwd=ROOT)


def _is_responding(address: str, path: str) -> bool:
    try:
        read_json(address, path)
    except urllib3.exceptions.HTTPError:
        return False
    return True


_ports = _generate_ports()
