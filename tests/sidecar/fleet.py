"""Runs sidecars, backend servers and the store in one process, on loopback addresses."""

from __future__ import annotations

import itertools
import os
import socket
import struct
import time
from collections import Counter
from typing import Any

import attrs
import eventlet
import eventlet.wsgi
import msgspec

from fakes.store import FakeStore, put_item
from fakes.store_server import build_application
from magnoliasill.mesh.settings import Bounds, SidecarSettings
from magnoliasill.sidecar.daemon import RunningSidecar, start_sidecar
from magnoliasill.sidecar.metrics import Meters

PORTS = {"callers": 8304, "gate": 8300, "readiness": 8302, "control": 8306, "server": 8301}
STORE_PORT = 8309
SIGNATURE = ("Response-Signature", "test.00")
READY_TIMEOUT_S = 10.0
_network_numbers = itertools.count(1)


@attrs.define
class Server:
    """A fake backend server that speaks the platform's protocol.

    Attributes:
        address: The `ip:port` that it listens on.
        service: The name of its service.
        release: The name of its release.
        instance: The identifier of this server process.
        slots: The number of concurrent requests that its heartbeats announce.
        work_s: The seconds that a request takes.
        runs: How often each attempt ran, by attempt identifier.
        requests: The requests received: method, target, headers, body.
        running: The number of requests in progress.
        most_running: The highest number of concurrent requests.
        cancelled: The number of requests whose connection closed while they ran.
        sequence: The sequence number of the latest heartbeat.
        limit: The value of the header that names its rate limit, or None if it names none.
        leaving: Whether its responses say that it is leaving.
        behave: A function that returns the bytes to send instead of the usual response, or None
            for the usual one. A trailing `!close` closes the connection afterwards, `!end` does so
            without being sent itself, and `!reset` resets it.
        listener: The listening socket.
        connections: The open connections.
    """

    address: str
    service: str
    release: str = "v1"
    instance: str = "i-1"
    slots: int = 9
    work_s: float = 0.0
    runs: Counter[str] = attrs.field(factory=Counter)
    requests: list[tuple[str, str, dict[str, str], bytes]] = attrs.field(factory=list)
    running: int = 0
    most_running: int = 0
    cancelled: int = 0
    sequence: int = 0
    limit: str | None = None
    leaving: bool = False
    behave: Any = None
    listener: Any = None
    connections: set[Any] = attrs.field(factory=set)


@attrs.define
class Fleet:
    """The running store, backend servers and sidecars.

    Attributes:
        network: The number of the loopback network, different for each fleet.
        fake_store: The data of the store.
        servers: The backend servers.
        sidecars: The sidecars, in the order of their backend servers.
        events: The log events of all sidecars.
        store: The listening socket of the store.
    """

    network: int
    fake_store: FakeStore
    servers: list[Server] = attrs.field(factory=list)
    sidecars: list[RunningSidecar] = attrs.field(factory=list)
    events: list[dict[str, Any]] = attrs.field(factory=list)
    store: Any = None


def open_fleet(services: list[str], bounds: Bounds | None = None, **options: Any) -> Fleet:
    """Start a store, and one backend server with its sidecar for each listed service."""
    fleet = Fleet(next(_network_numbers), FakeStore())
    listener = eventlet.listen((_ip(fleet, 250), STORE_PORT))
    fleet.store = listener
    application = build_application(fleet.fake_store)
    eventlet.spawn(eventlet.wsgi.server, listener, application, log_output=False, debug=False)
    for service in services:
        add_member(fleet, service, bounds, **options)
    return fleet


def add_member(
    fleet: Fleet,
    service: str,
    bounds: Bounds | None = None,
    send_first_heartbeat: bool = True,
    **options: Any,
) -> Server:
    """Start one more backend server with its sidecar.

    Args:
        fleet: The fleet.
        service: The name of the service.
        bounds: The sidecar's operating limits, or None for the defaults.
        send_first_heartbeat: Whether the backend server sends a heartbeat at once.
        **options: Attributes of the backend server.
    """
    number = len(fleet.servers) + 1
    ip = _ip(fleet, number)
    server = Server(f"{ip}:{PORTS['server']}", service, instance=f"i-{number}", **options)
    server.listener = eventlet.listen((ip, PORTS["server"]), backlog=512)
    eventlet.spawn(_serve, server)
    settings = SidecarSettings(
        name=f"vm-{number}",
        data_centre=f"dc-{number % 2}",
        callers=f"{ip}:{PORTS['callers']}",
        gate=f"{ip}:{PORTS['gate']}",
        readiness=f"{ip}:{PORTS['readiness']}",
        control=f"{ip}:{PORTS['control']}",
        server=server.address,
        service=service,
        store=f"{_ip(fleet, 250)}:{STORE_PORT}",
        bounds=bounds or Bounds(),
    )
    fleet.servers.append(server)
    fleet.sidecars.append(_start_sidecar(fleet, settings))
    if send_first_heartbeat:
        send_heartbeat(fleet, number - 1)
    return server


def restart_sidecar(fleet: Fleet, index: int) -> None:
    """Kill a sidecar and start another in its place; its backend server goes on."""
    running = fleet.sidecars[index]
    _kill_sidecar(running)
    fleet.sidecars[index] = _start_sidecar(fleet, running.sidecar.settings)


def _start_sidecar(fleet: Fleet, settings: SidecarSettings) -> RunningSidecar:
    def write(event: Any, **fields: Any) -> None:
        fleet.events.append({"daemon": settings.name, "event": event.name.lower(), **fields})

    # The event loop also serves the other sidecars, the store, the servers and the callers.
    return start_sidecar(settings, Meters(), write, measures_lag=False)


def _kill_sidecar(running: RunningSidecar) -> None:
    for loop in (*running.loops, *running.servers):
        loop.kill()
    for sock in running.sockets:
        sock.close()


def close_fleet(fleet: Fleet) -> None:
    """Stop all threads and close all sockets without waiting."""
    for running in fleet.sidecars:
        _kill_sidecar(running)
    for server in fleet.servers:
        server.listener.close()
    fleet.store.close()


def send_heartbeat(fleet: Fleet, index: int, state: str = "ready", **changes: Any) -> int:
    """Send a heartbeat of one backend server and return the HTTP status."""
    server = fleet.servers[index]
    server.sequence += 1
    body = {
        "address": server.address,
        "node_info": {
            "service_name": server.service,
            "version": server.release,
            "zone": "dc",
            "slots": server.slots,
        },
        "status": {"state": state, "sequence": server.sequence, "warmup_left_s": 0},
        "born": 1,
        **changes,
    }
    data = msgspec.json.encode(body)
    control = fleet.sidecars[index].sidecar.settings.control
    head = f"PUT /-/instances/{server.instance} HTTP/1.1\r\nHost: x\r\n"
    return call(control, head + f"Content-Length: {len(data)}\r\n\r\n", data)[0]


def put_configuration(fleet: Fleet, version: int, *rules: dict[str, Any], **fields: Any) -> None:
    """Write a configuration with the given rules to the store, in the operator's format.

    Args:
        fleet: The fleet.
        version: The number of the version.
        *rules: The routing rules.
        **fields: Further fields of the configuration.
    """
    services = sorted({server.service for server in fleet.servers})
    body = {
        "version": f"r{version}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 2_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listener_set": [{"host_name": "shop.example", "rule_set": list(rules)}],
        "cluster_set": [{"name": name, "health_path": "/health"} for name in services],
        **fields,
    }
    put_item(fleet.fake_store, "op/config", msgspec.json.encode(body))


def build_rule(service: str, kind: str = "idempotent", **changes: Any) -> dict[str, Any]:
    """Return a configuration rule that routes `/SERVICE/` to a service."""
    action = {"service_name": service, "timeout_s": 2.0, "max_attempts": 2}
    action.update(changes.pop("action", {}))
    return {
        "name": f"r-{service}",
        "route_kind": kind,
        "target_latency_s": 0.5,
        "priority": 1,
        "match_criteria": {"prefix": f"/{service}/"},
        "route_action": action,
        **changes,
    }


def wait_for(condition: Any, message: str) -> None:
    """Wait until a condition holds, or fail with the message after the timeout."""
    timeout_at = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if time.monotonic() > timeout_at:
            raise AssertionError(message)
        eventlet.sleep(0.01)


def wait_ready(fleet: Fleet) -> None:
    """Wait until every sidecar has the configuration and all members."""
    count = len(fleet.servers)
    for running in fleet.sidecars:
        sidecar = running.sidecar
        wait_for(lambda s=sidecar: s.table is not None, "a sidecar has no configuration")
        wait_for(lambda s=sidecar: len(s.members.records) == count, "a sidecar lacks members")


def call(address: str, head: str, body: bytes = b"") -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection and return status, headers and body."""
    with connect(address) as sock:
        sock.sendall(head.encode() + body)
        return read_answer(sock.makefile("rb"))


def connect(address: str) -> Any:
    """Return a new connection to an `ip:port`."""
    host, _, port = address.rpartition(":")
    return eventlet.connect((host, int(port)))


def send(
    fleet: Fleet,
    index: int,
    path: str,
    identifier: str = "a-1",
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 2000,
    extra: str = "",
) -> tuple[int, dict[str, str], bytes]:
    """Send a caller's request through one sidecar."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {identifier}\r\n"
        f"Request-Deadline: {deadline_ms}\r\n{extra}"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return call(fleet.sidecars[index].sidecar.settings.callers, head + "\r\n", body)


def read_answer(file: Any) -> tuple[int, dict[str, str], bytes]:
    """Read one complete response."""
    status = int(file.readline().split()[1])
    headers: dict[str, str] = {}
    while (line := file.readline().strip()) != b"":
        name, _, value = line.decode("iso-8859-1").partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        return status, headers, _read_chunks(file, "response")
    length = int(headers.get("content-length", 0))
    body = file.read(length)
    if len(body) < length:
        raise EOFError("the response is incomplete")
    return status, headers, body


def _ip(fleet: Fleet, number: int) -> str:
    return f"127.{20 + os.getpid() % 200}.{fleet.network}.{number}"


def _serve(server: Server) -> None:
    while True:
        try:
            sock, _ = server.listener.accept()
        except OSError:
            return
        eventlet.spawn(_serve_connection, server, sock)


def end_server(server: Server) -> None:
    """Close all sockets of a backend server, as the end of its process does."""
    server.listener.close()
    for sock in list(server.connections):
        sock.shutdown(socket.SHUT_RDWR)


def _serve_connection(server: Server, sock: Any) -> None:
    file = sock.makefile("rb")
    server.connections.add(sock)
    try:
        while (line := file.readline()).strip():
            method, target, _ = line.decode().split()
            headers: dict[str, str] = {}
            while (header_line := file.readline().strip()) != b"":
                name, _, value = header_line.decode().partition(":")
                headers[name.lower()] = value.strip()
            body = _read_request_body(file, headers)
            server.requests.append((method, target, headers, body))
            if not _send_response(server, sock, headers, body):
                return
    except (OSError, EOFError):
        return
    finally:
        server.connections.discard(sock)
        file.close()
        sock.close()


def _read_request_body(file: Any, headers: dict[str, str]) -> bytes:
    """Return a request's body.

    Raises:
        EOFError: If the connection ends before the body does; then there is no request to run.
    """
    if headers.get("transfer-encoding") == "chunked":
        return _read_chunks(file, "request")
    length = int(headers.get("content-length", 0))
    body = file.read(length)
    if len(body) < length:
        raise EOFError("the request is incomplete")
    return body


def _read_chunks(file: Any, message: str) -> bytes:
    parts = []
    while True:
        line = file.readline()
        if not line.endswith(b"\n"):
            raise EOFError(f"the {message} is incomplete")
        size = int(line, 16)
        if not size:
            break
        part = file.read(size)
        if len(part) < size:
            raise EOFError(f"the {message} is incomplete")
        parts.append(part)
        file.readline()
    return b"".join(parts)


def _send_response(server: Server, sock: Any, headers: dict[str, str], body: bytes) -> bool:
    identifier = headers.get("attempt-id", "")
    if headers.get("target-instance") != server.instance:
        head = f"HTTP/1.1 421 Misdirected\r\nInstance-Id: {server.instance}\r\n"
        head += _build_notice_headers(server)
        sock.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
        return True
    server.runs[identifier] += 1
    server.running += 1
    server.most_running = max(server.most_running, server.running)
    try:
        eventlet.sleep(server.work_s)
    finally:
        server.running -= 1
    if _is_disconnected(sock):
        server.cancelled += 1
        return False
    override = server.behave(server, identifier) if server.behave else None
    if override is not None:
        sock.sendall(override.removesuffix(b"!reset").removesuffix(b"!end"))
        if override.endswith(b"!end"):
            return False
        if override.endswith(b"!reset"):
            eventlet.sleep(0.05)  # lets the other end read the data before the reset
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        return not override.endswith(b"!close") and override != b""
    body = b"made by " + server.instance.encode()
    sock.sendall(build_answer(identifier, body, extra=_build_notice_headers(server)))
    return True


def _build_notice_headers(server: Server) -> str:
    """Return the headers with which a server names its rate limit and says that it is leaving."""
    headers = "" if server.limit is None else f"Server-Limit: {server.limit}\r\n"
    return headers + ("Server-Leaving: 1\r\n" if server.leaving else "")


def build_answer(identifier: str, body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    """Return the bytes of a backend server's response."""
    head = (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {identifier}\r\n{SIGNATURE[0]}: {SIGNATURE[1]}\r\n"
        f"Keep-Alive: timeout=10\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _is_disconnected(sock: Any) -> bool:
    try:
        return not sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
