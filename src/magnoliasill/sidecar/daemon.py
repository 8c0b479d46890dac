"""The sidecar's process: its ports, its loops, its start, reload and end."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial
from time import monotonic, time_ns
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import msgspec

from ..calls.connections import close_expired
from ..calls.disconnects import cancel_disconnected
from ..codes import ErrorCode, LogEvent
from ..errors import MagnoliasillError, SettingsError
from ..mesh.gate import dispatch_waiting
from ..mesh.repeats import RetryBudget
from ..platform.settings import read_settings
from ..platform.store import connect_client
from .caller_port import build_caller_application
from .control_port import (
    build_control_application,
    build_metrics_application,
    build_readiness_application,
)
from .deciding import COUNTS_PATH, describe_counts, keep_deciding
from .following import expire_members, follow_store
from .gate_port import build_gate_application
from .heads import install_head_parser
from .journal import Journal, keep_writing, open_journal, write_pending
from .meters import Meters
from .protocol import IDLE_SLACK_S, PEER_IDLE_S, build_protocol, serve_port
from .registration import Registration, keep_registered
from .relaying import CHANGES_PATH, answer_follower
from .state import GATE_LINGER_S, LINGER_S, Sidecar

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..mesh.settings import SidecarSettings
    from ..platform.store import StoreClient

EXIT_REFUSED = 2
STORE_TIMEOUT_S = 1.0  # a store that is slow answers within some hundred milliseconds
LISTEN_BACKLOG = 1024
STEP_S = 0.05  # a caller's leaving and a hopeless wait are noticed within this
FILE_STEP_S = 0.5  # between two looks at the settings file
EXIT_MARGIN_S = 0.5  # before the platform ends the process
DRAIN_STEP_S = 0.02


def main(path: str) -> None:
    """Run a sidecar until a signal stops it.

    Args:
        path: The settings file.
    """
    meters = Meters()
    try:
        settings = read_settings(path)
    except SettingsError as error:
        journal, write = open_journal(sys.stdout.fileno(), "", "", lambda name: None)
        fields = {"code": error.code.value, "reason": error.message, "advice": error.advice}
        write(LogEvent.DAEMON_REFUSED, **fields)
        write_pending(journal)
        sys.exit(EXIT_REFUSED)
    journal, write = open_journal(
        sys.stdout.fileno(),
        settings.name,
        settings.data_centre,
        lambda name: meters.count("logs_left_out", name),
    )
    try:
        _run(path, settings, meters, write, journal)
    except MagnoliasillError as error:
        fields = {"code": error.code.value, "reason": error.message, "advice": error.advice}
        write(LogEvent.DAEMON_REFUSED, **fields)
        sys.exit(EXIT_REFUSED)
    finally:
        write_pending(journal)


def _run(
    path: str,
    settings: SidecarSettings,
    meters: Meters,
    write: Callable[..., None],
    journal: Journal,
) -> None:
    stop = eventlet.Event()
    running = start_sidecar(settings, meters, write)
    sidecar = running.sidecar
    signal.signal(signal.SIGTERM, lambda *_: stop.ready() or stop.send())
    signal.signal(signal.SIGINT, lambda *_: stop.ready() or stop.send())
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn(_reload, sidecar, path))
    eventlet.spawn(_keep, sidecar, lambda: _watch_file(sidecar, path))
    eventlet.spawn(keep_writing, journal)
    sidecar.log(LogEvent.DAEMON_STARTED, caller_port=settings.callers)
    stop.wait()
    stop_sidecar(running)


@attrs.frozen
class RunningSidecar:
    """A sidecar whose ports are open.

    Attributes:
        sidecar: Its tables.
        sockets: The sockets that it listens on.
        servers: What serves them.
        loops: Its loops.
    """

    sidecar: Sidecar
    sockets: list[Any]
    servers: list[Any]
    loops: list[Any]


def start_sidecar(
    settings: SidecarSettings, meters: Meters, write: Callable[..., None]
) -> RunningSidecar:
    """Open the ports and start the loops of a sidecar.

    Args:
        settings: Its settings.
        meters: Its counters and histograms.
        write: Writes an event to its log.

    Raises:
        SettingsError: If an address can't be listened on.
    """
    install_head_parser()
    store = _connect_store(settings, meters)
    sidecar = Sidecar(settings, store, meters, write, start_id=f"{time_ns():x}")
    _apply_bounds(sidecar)
    sockets, servers = _open_ports(sidecar)
    registration = Registration()
    sidecar.registration = registration.wake
    loops = [
        eventlet.spawn(_keep, sidecar, loop)
        for loop in (
            lambda: follow_store(sidecar),
            lambda: keep_registered(sidecar, registration),
            lambda: keep_deciding(sidecar),
            lambda: _step(sidecar),
        )
    ]
    return RunningSidecar(sidecar, sockets, servers, loops)


def _connect_store(settings: SidecarSettings, meters: Meters) -> StoreClient:
    observe = partial(meters.observe, "store")
    return connect_client(settings.store, STORE_TIMEOUT_S, observe)


def _keep(sidecar: Sidecar, loop: Callable[[], None]) -> None:
    """Run a loop; one that failed is logged and begun again."""
    while True:
        try:
            loop()
        except Exception as error:  # the sidecar serves on whatever one loop met
            sidecar.log(LogEvent.SYSTEM_FAILED, event_kind="loop", reason=repr(error))
        eventlet.sleep(STEP_S)


def _open_ports(sidecar: Sidecar) -> tuple[list[Any], list[Any]]:
    settings = sidecar.settings
    callers = build_protocol(
        lambda: (sidecar.table.limits.idle_timeout_s if sidecar.table else PEER_IDLE_S)
        + IDLE_SLACK_S
    )
    peers = build_protocol(lambda: PEER_IDLE_S)

    def control(target: str, environ: dict[str, Any]) -> bytes | None:
        if target == COUNTS_PATH:
            return msgspec.json.encode(describe_counts(sidecar))
        if target.startswith(CHANGES_PATH):
            return answer_follower(sidecar, target)
        return None

    ports = [
        (settings.callers, build_caller_application(sidecar), callers),
        (settings.gate, build_gate_application(sidecar, control), peers),
        (settings.readiness, build_readiness_application(sidecar), peers),
        (settings.control, build_control_application(sidecar), peers),
    ]
    if settings.metrics:
        ports.append((settings.metrics, build_metrics_application(sidecar), peers))
    sockets = [_listen(address) for address, _, _ in ports]
    servers = [
        eventlet.spawn(serve_port, sock, application, protocol)
        for sock, (_, application, protocol) in zip(sockets, ports, strict=True)
    ]
    return sockets, servers


def _listen(address: str) -> Any:
    host, _, port = address.rpartition(":")
    try:
        return eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG, reuse_port=False)
    except OSError as error:
        raise SettingsError(ErrorCode.PORT_IN_USE, f"{address}: {error}") from error


def _step(sidecar: Sidecar) -> None:
    while True:
        now = monotonic()
        cancel_disconnected(sidecar.watched, now)
        dispatch_waiting(sidecar.gate, now)
        expire_members(sidecar)
        close_expired(sidecar.server_links, now)
        close_expired(sidecar.peer_links, now)
        eventlet.sleep(STEP_S)


def _apply_bounds(sidecar: Sidecar) -> None:
    bounds = sidecar.settings.bounds
    services = sidecar.budget.services
    sidecar.budget = RetryBudget(
        bounds.repeat_ratio, bounds.repeat_extra, bounds.repeat_window_s, services
    )


def _watch_file(sidecar: Sidecar, path: str) -> None:
    seen = _stamp(path)
    while True:
        eventlet.sleep(FILE_STEP_S)
        stamp = _stamp(path)
        if stamp != seen:
            seen = stamp
            _reload(sidecar, path)


def _stamp(path: str) -> tuple[int, int]:
    try:
        found = os.stat(path)
    except OSError:
        return (0, 0)
    return (found.st_mtime_ns, found.st_size)


def _reload(sidecar: Sidecar, path: str) -> None:
    """Take over a changed settings file; addresses that are listened on stay as they are."""
    try:
        settings = read_settings(path)
    except SettingsError as error:
        fields = {"path": path, "code": error.code.value, "reason": error.message}
        sidecar.log(LogEvent.SETTINGS_REFUSED, **fields)
        return
    if settings == sidecar.settings:
        return
    if settings.store != sidecar.settings.store:
        sidecar.store = _connect_store(settings, sidecar.meters)
    sidecar.settings = settings
    _apply_bounds(sidecar)
    sidecar.registration()
    sidecar.log(LogEvent.SETTINGS_RELOADED, path=path)


def stop_sidecar(running: RunningSidecar) -> None:
    """Let callers go elsewhere, finish the requests in progress and close the ports.

    Args:
        running: The sidecar.
    """
    sidecar = running.sidecar
    started = sidecar.stopping_at = monotonic()
    sidecar.log(LogEvent.DAEMON_STOPPING, open_calls=sidecar.open_requests)
    eventlet.spawn_after(GATE_LINGER_S, sidecar.registration)
    last = started + sidecar.settings.bounds.grace_s - EXIT_MARGIN_S
    linger_until = min(started + LINGER_S, last)
    eventlet.sleep(max(linger_until - started, 0.0))
    for server in running.servers:  # idle connections end at once, others after their answers
        server.kill()
    for sock in running.sockets:
        sock.close()
    while sidecar.open_requests and monotonic() < last:
        eventlet.sleep(DRAIN_STEP_S)
    for loop in running.loops:
        loop.kill()
    sidecar.log(LogEvent.DAEMON_STOPPED, open_calls=sidecar.open_requests)
