"""A stand-in of a backend server: slots, drain, cold start, shedding and faults by route."""

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
    """How this backend server misbehaves.

    Attributes:
        error_ratio: Share of calls answered with 500.
        delay_ms: Added to each call.
        path_prefix: Only calls below this path are affected.
        crash_marker: A request whose body holds this text ends the process.
        lie_health: The health endpoint says that all is well, whatever happens.
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
        slots: Requests that it runs at once; more are shed with 503, or wait.
        work_ms: The time that one request takes.
        cold_start_ms: Time after the start in which requests take ten times as long.
        faults: How it misbehaves.
        started_at: Seconds on the monotonic clock.
        running: Requests being run.
        draining: Whether it takes no new work.
        runs: How often each idempotency key was run.
        calls: Requests run.
        queueing: Whether requests beyond the slots wait instead of being shed.
        queued: Requests that wait.
        reporting: Whether answers tell the load.
        attempts: Identifiers of the attempts that it ran, as callers named them.
        cancelled: Requests whose caller went away while they ran.
        expired: Requests that ran to their deadline without an answer.
        errors: Running count of calls in the faulty prefix, for the share of errors.
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
    errors: float = 0.0
    queueing: bool = False
    queued: int = 0
    reporting: bool = True
    attempts: set[str] = attrs.field(factory=set)
    cancelled: int = 0
    expired: int = 0
    free: Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count the slots."""
        self.free = Semaphore(self.slots)


class CallerGoneError(Exception):
    """The caller closed its connection while its request ran."""


def build_application(backend: Backend) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of a backend server."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, content = _answer(backend, environ, body)
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


def _answer(backend: Backend, environ: dict[str, Any], body: bytes) -> tuple[str, Any]:
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
    return _run(backend, environ, path, body)


def _run(backend: Backend, environ: dict[str, Any], path: str, body: bytes) -> tuple[str, Any]:
    deadline = _read_deadline(environ)
    if backend.draining or time.monotonic() >= deadline or not _enter(backend, deadline):
        return "503 Service Unavailable", {"error": "shed"}
    try:
        return _run_in_slot(backend, environ, path, body, deadline)
    finally:
        backend.free.release()


def _enter(backend: Backend, deadline: float) -> bool:
    if not backend.queueing:
        return backend.free.acquire(blocking=False)
    backend.queued += 1
    try:
        return backend.free.acquire(timeout=max(deadline - time.monotonic(), 0.001))
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
        if not _work(backend, environ, _work_seconds(backend, affected), deadline):
            return "504 Gateway Timeout", {"error": "deadline"}
    finally:
        backend.running -= 1
    if affected and faults.error_ratio:
        backend.errors += faults.error_ratio
        if backend.errors >= 1.0:
            backend.errors -= 1.0
            return "500 Internal Server Error", {"error": "fault"}
    answer = {"service": backend.service, "release": backend.release, "path": path}
    digest = hashlib.sha256(body).hexdigest()[:16]
    return "200 OK", {**answer, "body_sha256": digest, "key": key}


def _describe_runs(backend: Backend) -> dict[str, Any]:
    return {
        "runs": backend.runs,
        "calls": backend.calls,
        "attempts": sorted(backend.attempts),
        "cancelled": backend.cancelled,
        "expired": backend.expired,
    }


def _read_deadline(environ: dict[str, Any]) -> float:
    left_ms = environ.get("HTTP_X_DEADLINE_MS")
    return time.monotonic() + int(left_ms) / 1000 if left_ms else math.inf


def _work(backend: Backend, environ: dict[str, Any], seconds: float, deadline: float) -> bool:
    """Work for some seconds; stops at the deadline, or when the caller goes away."""
    done_at = time.monotonic() + seconds
    stop_at = min(done_at, deadline)
    sock = environ["eventlet.input"].get_socket()
    try:
        trampoline(sock, read=True, timeout=max(stop_at - time.monotonic(), 0.0))
    except eventlet.Timeout:
        backend.expired += deadline < done_at
        return done_at <= deadline
    if not sock.recv(1, socket.MSG_PEEK):
        backend.cancelled += 1
        raise CallerGoneError
    eventlet.sleep(max(done_at - time.monotonic(), 0.0))
    return True


def _work_seconds(backend: Backend, affected: bool) -> float:
    cold = (time.monotonic() - backend.started_at) * 1000 < backend.cold_start_ms
    work_ms = backend.work_ms * (10 if cold else 1)
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
    stop = eventlet.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.ready() or stop.send())
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
    stop.wait()
    backend.draining = True
    if admin:
        _announce(backend, admin, f"{host}:{port}", False)
    while backend.running:
        eventlet.sleep(0.02)


if __name__ == "__main__":
    eventlet.monkey_patch()
    fire.Fire(serve)
