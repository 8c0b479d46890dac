"""A fake backend server with slots, draining, a cold start, load shedding and faults by path."""

from __future__ import annotations

import hashlib
import math
import os
import signal
import socket
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import eventlet.wsgi
import fire
import msgspec
import urllib3
from eventlet.hubs import trampoline
from eventlet.semaphore import Semaphore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ANNOUNCE_INTERVAL_S = 0.5
ADMIN_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 512
_JSON = "application/json"


@attrs.define
class BackendFaults:
    """The faults that a backend server is told to have through `/control/faults`.

    Attributes:
        error_ratio: Share of requests that get status 500.
        delay_ms: Milliseconds added to the processing of each request.
        path_prefix: `error_ratio` and `delay_ms` apply only to paths with this prefix.
        crash_marker: A request whose body contains this text ends the process.
        lie_health: Accepted but not read; `/healthz` always reports a healthy server.
    """

    error_ratio: float = 0.0
    delay_ms: int = 0
    path_prefix: str = "/"
    crash_marker: str = ""
    lie_health: bool = False


@attrs.define
class Backend:
    """The state of one backend server.

    Attributes:
        service: The service that it belongs to.
        release: Its release.
        slots: Maximum number of concurrent requests; more are shed with 503, or queued.
        work_ms: The processing time of one request.
        cold_start_ms: Time after the start in which requests take 10 times as long.
        faults: The active faults.
        started_at: The start time in seconds on the monotonic clock.
        running: Number of requests in progress.
        draining: Whether new requests are refused.
        runs: Number of runs by idempotency key.
        calls: Number of requests run.
        queueing: Whether requests beyond the slots are queued instead of shed.
        queued: Number of queued requests.
        reporting: Whether responses report the load.
        attempts: Identifiers of the attempts that were run, as sent by callers.
        cancelled: Requests whose caller closed the connection while they ran.
        expired: Requests that reached their deadline while they ran.
        error_credit: Sum of `error_ratio` over affected requests, less 1 for each 500 sent.
        free_slots: Counts the slots that are not in use.
    """

    service: str
    release: str
    slots: int = 10
    work_ms: float = 2.0
    cold_start_ms: int = 0
    faults: BackendFaults = attrs.field(factory=BackendFaults)
    started_at: float = attrs.field(factory=time.monotonic)
    running: int = 0
    draining: bool = False
    runs: Counter[str] = attrs.field(factory=Counter)
    calls: int = 0
    error_credit: float = 0.0
    queueing: bool = False
    queued: int = 0
    reporting: bool = True
    attempts: set[str] = attrs.field(factory=set)
    cancelled: int = 0
    expired: int = 0
    free_slots: Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Mark all slots as free."""
        self.free_slots = Semaphore(self.slots)


class ClientDisconnectedError(Exception):
    """Raised when the caller closes its connection while its request runs."""


def build_application(backend: Backend) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application that serves a backend server and its `/control` endpoints."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, content = _route_request(backend, environ, body)
        headers = [("Content-Type", _JSON), ("X-Release", backend.release)]
        if backend.reporting:
            load = backend.running + backend.queued
            headers.append(("X-Load", f"{load}/{backend.slots}"))
        if status.startswith("503"):
            headers.append(("X-Not-Run", "1"))
        if backend.draining:
            headers.append(("X-Draining", "1"))
        start_response(status, headers)
        return [msgspec.json.encode(content)]

    return application


def _route_request(backend: Backend, environ: dict[str, Any], body: bytes) -> tuple[str, Any]:
    path = environ["PATH_INFO"]
    if path == "/control/faults":
        backend.faults = msgspec.json.decode(body, type=BackendFaults)
        return "200 OK", {}
    if path == "/control/drain":
        backend.draining = True
        return "200 OK", {}
    if path == "/control/runs":
        return "200 OK", _describe_runs(backend)
    if path == "/healthz":
        return "200 OK", {"status": "ok"}
    if path == "/load":
        return "200 OK", {"running": backend.running, "slots": backend.slots}
    return _handle_request(backend, environ, path, body)


def _handle_request(
    backend: Backend, environ: dict[str, Any], path: str, body: bytes
) -> tuple[str, Any]:
    deadline = _read_deadline(environ)
    if backend.draining or time.monotonic() >= deadline or not _acquire_slot(backend, deadline):
        return "503 Service Unavailable", {"error": "shed"}
    try:
        return _run_in_slot(backend, environ, path, body, deadline)
    finally:
        backend.free_slots.release()


def _acquire_slot(backend: Backend, deadline: float) -> bool:
    if not backend.queueing:
        return backend.free_slots.acquire(blocking=False)
    backend.queued += 1
    try:
        return backend.free_slots.acquire(timeout=max(deadline - time.monotonic(), 0.001))
    finally:
        backend.queued -= 1


def _run_in_slot(
    backend: Backend, environ: dict[str, Any], path: str, body: bytes, deadline: float
) -> tuple[str, Any]:
    faults = backend.faults
    if faults.crash_marker and faults.crash_marker.encode() in body:
        os._exit(1)
    affected = path.startswith(faults.path_prefix)
    backend.running += 1
    backend.calls += 1
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if key:
        backend.runs[key] += 1
    if "HTTP_X_TEST_ATTEMPT" in environ:
        backend.attempts.add(environ["HTTP_X_TEST_ATTEMPT"])
    try:
        if not _simulate_work(backend, environ, _compute_work_s(backend, affected), deadline):
            return "504 Gateway Timeout", {"error": "deadline"}
    finally:
        backend.running -= 1
    if affected and faults.error_ratio:
        backend.error_credit += faults.error_ratio
        if backend.error_credit >= 1.0:
            backend.error_credit -= 1.0
            return "500 Internal Server Error", {"error": "fault"}
    content = {"service": backend.service, "release": backend.release, "path": path}
    digest = hashlib.sha256(body).hexdigest()[:16]
    return "200 OK", {**content, "body_sha256": digest, "key": key}


def _describe_runs(backend: Backend) -> dict[str, Any]:
    return {
        "runs": backend.runs,
        "calls": backend.calls,
        "attempts": sorted(backend.attempts),
        "cancelled": backend.cancelled,
        "expired": backend.expired,
    }


def _read_deadline(environ: dict[str, Any]) -> float:
    time_left_ms = environ.get("HTTP_X_DEADLINE_MS")
    return time.monotonic() + int(time_left_ms) / 1000 if time_left_ms else math.inf


def _simulate_work(
    backend: Backend, environ: dict[str, Any], seconds: float, deadline: float
) -> bool:
    """Wait for the processing time; returns whether it ended by the deadline.

    Raises:
        ClientDisconnectedError: If the caller closed its connection before the end.
    """
    work_ends_at = time.monotonic() + seconds
    stop_at = min(work_ends_at, deadline)
    caller_socket = environ["eventlet.input"].get_socket()
    try:
        trampoline(caller_socket, read=True, timeout=max(stop_at - time.monotonic(), 0.0))
    except eventlet.Timeout:
        backend.expired += deadline < work_ends_at
        return work_ends_at <= deadline
    if not caller_socket.recv(1, socket.MSG_PEEK):
        backend.cancelled += 1
        raise ClientDisconnectedError
    eventlet.sleep(max(work_ends_at - time.monotonic(), 0.0))
    return True


def _compute_work_s(backend: Backend, affected: bool) -> float:
    in_cold_start = (time.monotonic() - backend.started_at) * 1000 < backend.cold_start_ms
    work_ms = backend.work_ms * (10 if in_cold_start else 1)
    return (work_ms + (backend.faults.delay_ms if affected else 0)) / 1000


def _announce(backend: Backend, admin: str, address: str, serving: bool) -> None:
    body = msgspec.json.encode(
        {
            "service": backend.service,
            "release": backend.release,
            "address": address,
            "serving": serving,
        }
    )
    try:
        urllib3.request(
            "POST",
            f"http://{admin}/v1/server",
            body=body,
            timeout=ADMIN_TIMEOUT_S,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return


def serve(
    service: str,
    release: str,
    port: int,
    admin: str = "",
    host: str = "127.0.0.1",
    slots: int = 10,
    work_ms: float = 2.0,
    cold_start_ms: int = 0,
    queueing: bool = False,
    reporting: bool = True,
) -> None:
    """Serve until SIGTERM, which drains first.

    Args:
        service: The service's name.
        release: The release's name.
        port: The port to listen on.
        admin: The administration address of the daemon on the same VM.
        host: The address to listen on.
        slots: Requests run at once.
        work_ms: The time that one request takes.
        cold_start_ms: The length of the cold start.
        queueing: Let requests beyond the slots wait instead of shedding them.
        reporting: Tell the load with each answer.
    """
    backend = Backend(service, release, slots, work_ms, cold_start_ms)
    backend.queueing, backend.reporting = queueing, reporting
    stop_requested = eventlet.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.ready() or stop_requested.send())
    listener = eventlet.listen((host, port), backlog=LISTEN_BACKLOG)
    application = build_application(backend)
    eventlet.spawn(eventlet.wsgi.server, listener, application, log_output=False, debug=False)

    def announce_repeatedly() -> None:
        while not backend.draining:
            _announce(backend, admin, f"{host}:{port}", True)
            eventlet.sleep(ANNOUNCE_INTERVAL_S)
        _announce(backend, admin, f"{host}:{port}", False)

    if admin:
        eventlet.spawn(announce_repeatedly)
    stop_requested.wait()
    backend.draining = True
    if admin:
        _announce(backend, admin, f"{host}:{port}", False)
    while backend.running:
        eventlet.sleep(0.02)


if __name__ == "__main__":
    eventlet.monkey_patch()
    fire.Fire(serve)
