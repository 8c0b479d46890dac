"""Starts daemons, backend servers and the store stand-in as processes on this machine."""

from __future__ import annotations

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
BLOCK_PORTS = 100
HTTP_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
_guards: list[socket.socket] = []
ROOT = Path(__file__).resolve().parent.parent
DAEMON_SCRIPT = "from magnoliasill.programs import run_daemon; run_daemon()"
TOOL_SCRIPT = "from magnoliasill.programs import run_tool; run_tool()"
TOOL_TIMEOUT_S = 60.0


@attrs.define
class DaemonProcess:
    """One daemon process, its ports and the backend server beside it."""

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
        """The administration address."""
        return f"{HOST}:{self.admin_port}"

    @property
    def caller(self) -> str:
        """The address for callers."""
        return f"{HOST}:{self.caller_port}"


@attrs.define
class Fleet:
    """Every process of one run on this machine.

    Attributes:
        folder: Where the logs go.
        store_port: The port of the store stand-in.
        store: The process of the store stand-in.
        daemons: The daemons by name.
        extra: Backend servers that were started beside others later.
    """

    folder: Path
    store_port: int
    store: subprocess.Popen[bytes]
    daemons: dict[str, DaemonProcess] = attrs.field(factory=dict)
    extra: list[subprocess.Popen[bytes]] = attrs.field(factory=list)

    @property
    def store_url(self) -> str:
        """The address of the store stand-in."""
        return f"http://{HOST}:{self.store_port}"


def find_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, each at most once in the life of this process.

    They lie below the range from which the system picks ports for outgoing connections, in blocks
    that no other process using this function has claimed.
    """
    return [next(_ports) for _ in range(count)]


def _generate_ports() -> Iterator[int]:
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    random.SystemRandom().shuffle(blocks)
    for first in blocks:
        guard = _bind(first)
        if guard is None:
            continue
        _guards.append(guard)
        for port in range(first + 1, first + BLOCK_PORTS):
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
    """Start the store stand-in and wait until it answers.

    Args:
        folder: An existing folder for the logs.
    """
    (port,) = find_ports(1)
    command = [sys.executable, "-m", "fakes.store_server", "--port", str(port)]
    fleet = Fleet(folder, port, _spawn(command, folder / "store.log"))
    wait_until(lambda: _answers(f"{HOST}:{port}", "/control/counts"), 20.0, "store stand-in")
    return fleet


def start_daemon(
    fleet: Fleet, name: str, data_centre: str, seeds: str = "", **settings: Any
) -> DaemonProcess:
    """Start one daemon without waiting for it.

    Args:
        fleet: The processes of this run.
        name: The daemon's name.
        data_centre: Its data centre.
        seeds: Peer addresses to join through.
        **settings: Further settings by name.
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
    """Start a daemon again, with the settings that it had."""
    daemon.process = _spawn(daemon.command, daemon.log_path)


def start_backend(
    fleet: Fleet, daemon: DaemonProcess, service: str, release: str, **options: Any
) -> int:
    """Start a backend server that announces itself to a daemon; returns its port."""
    (port,) = find_ports(1)
    command = [sys.executable, "-m", "fakes.backend", f"--service={service}"]
    command += [f"--release={release}", f"--port={port}", f"--admin={daemon.admin}"]
    command += [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
    process = _spawn(command, fleet.folder / f"{service}-{release}-{port}.log")
    if daemon.backend is not None:
        fleet.extra.append(daemon.backend)
    daemon.backend, daemon.backend_port = process, port
    daemon.service, daemon.release = service, release
    return port


def read_json(address: str, path: str) -> Any:
    """Return the JSON that an HTTP address answers with."""
    response = urllib3.request(
        "GET", f"http://{address}{path}", timeout=HTTP_TIMEOUT_S, retries=False
    )
    return msgspec.json.decode(response.data)


def post_json(address: str, path: str, data: Any) -> Any:
    """Send JSON to an HTTP address and return the JSON that it answers with."""
    response = urllib3.request(
        "POST",
        f"http://{address}{path}",
        body=msgspec.json.encode(data),
        timeout=HTTP_TIMEOUT_S,
        retries=False,
    )
    return msgspec.json.decode(response.data)


def read_version(daemon: DaemonProcess) -> int:
    """Return the configuration version in force on a daemon, 0 while it does not answer."""
    try:
        return int(read_json(daemon.admin, "/v1/state")["version"])
    except urllib3.exceptions.HTTPError:
        return 0


def list_serving(daemon: DaemonProcess) -> list[dict[str, Any]]:
    """Return the member records with a backend server that takes work, as a daemon knows them."""
    state = read_json(daemon.admin, "/v1/state")
    return [record for record in (state["own"], *state["members"]) if record["serving"]]


def run_tool(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command-line tool to its end."""
    command = [sys.executable, "-c", TOOL_SCRIPT, *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=TOOL_TIMEOUT_S)


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> float:
    """Wait until a condition holds.

    Args:
        condition: Asked again and again.
        timeout_s: Seconds after which to give up.
        what: Named in the error.

    Returns:
        The seconds that it took.

    Raises:
        TimeoutError: If the condition did not hold in time.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - started


def stop_fleet(fleet: Fleet) -> list[str]:
    """Stop everything gracefully; returns the names of daemons that did not exit with 0."""
    processes = [daemon.process for daemon in fleet.daemons.values()]
    backends = [d.backend for d in fleet.daemons.values() if d.backend is not None]
    for group in ([*backends, *fleet.extra], processes):
        for process in group:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in group:
            _wait(process)
    fleet.store.kill()
    fleet.store.wait()
    return [name for name, daemon in fleet.daemons.items() if daemon.process.returncode != 0]


def _wait(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _spawn(command: list[str], log_path: Path) -> subprocess.Popen[bytes]:
    with log_path.open("ab") as log:
        return subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)


def _answers(address: str, path: str) -> bool:
    try:
        read_json(address, path)
    except urllib3.exceptions.HTTPError:
        return False
    return True


_ports = _generate_ports()
