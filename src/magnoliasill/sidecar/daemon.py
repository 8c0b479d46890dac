"""Sidecar process: opens the ports, runs the background loops, reloads settings, shuts down."""

from __future__ import annotations

import os
import signal
import sys
from functools import partial
from time import monotonic, time_ns
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import attrs
import eventlet
import msgspec

from ..calls.cancellation import cancel_disconnected
from ..calls.connections import close_expired
from ..calls.crash_table import remove_expired
from ..codes import ErrorCode, LogEvent
from ..decoding import describe_error
from ..errors import CallError, MagnoliasillError, SettingsError
from ..garbage import resume_collection
from ..mesh.gate import dispatch_waiting
from ..mesh.ingress import pass_overdue_turns
from ..mesh.planned_stop import plan_stop
from ..mesh.retries import RetryBudget
from ..platform.settings import read_settings
from ..platform.store import connect_client
from ..time_limits import limit_time
from ..urgent_hub import install_urgent_hub, set_urgent
from .caller_port import build_caller_application
from .client_limits import build_client_connections, find_head_timeout
from .control_port import (
    build_control_application,
    build_metrics_application,
    build_readiness_application,
)
from .crash_notices import MAX_NOTICE_BYTES, NOTICE_PATH
from .crash_reports import ALL_PATH, describe_all, receive_notice
from .crash_store import keep_findings_stored
from .gate_port import build_gate_application
from .header_parser import install_head_parser
from .item_application import remove_lapsed_members
from .link_use import count_store_answer, watch_link_use
from .load_shedding import measure_lag
from .log_writer import LogWriter, open_log_writer, run_log_writer, write_pending
from .metrics import Meters
from .pipelined_protocol import build_pipelined_protocol
from .protocol import IDLE_SLACK_S, PEER_IDLE_S, build_protocol, serve_port
from .quota_list import run_quota_list
from .quota_reports import MAX_REPORT_BYTES, QUOTAS_PATH, receive_report, run_quota_reports
from .registration import Registration, keep_registered
from .release_counts import COUNTS_PATH, answer_counts_request
from .release_watch import run_release_watch
from .state import Sidecar, find_run_wait_left
from .store_relay import CHANGES_PATH, handle_follower_poll
from .store_sync import follow_store
from .takeover_leader import run_takeover_leader

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..mesh.settings import SidecarSettings
    from ..platform.store import StoreClient

EXIT_REFUSED = 2
STORE_TIMEOUT_S = 1.0  # even a slow store responds within a few hundred milliseconds
LISTEN_BACKLOG = 1024
CHECK_INTERVAL_S = 0.05  # longest delay in detecting a disconnected caller or an expired wait
FILE_CHECK_INTERVAL_S = 0.5  # between checks of the settings file for changes
LAST_ANSWERS_S = 0.1  # for callers to be told that their requests were cut off
DRAIN_CHECK_INTERVAL_S = 0.02


def main(path: str) -> None:
    """Run a sidecar until a signal stops it.

    Args:
        path: The settings file.
    """
    install_urgent_hub()
    meters = Meters()
    try:
        settings = read_settings(path)
    except SettingsError as error:
        log_writer, write_event = open_log_writer(sys.stdout.fileno(), "", "", lambda name: None)
        fields = {"code": error.code.value, "reason": error.message, "advice": error.advice}
        write_event(LogEvent.DAEMON_REFUSED, **fields)
        write_pending(log_writer)
        sys.exit(EXIT_REFUSED)
    log_writer, write_event = open_log_writer(
        sys.stdout.fileno(),
        settings.name,
        settings.data_centre,
        lambda name: meters.count("logs_left_out", name),
    )
    try:
        _run(path, settings, meters, write_event, log_writer)
    except MagnoliasillError as error:
        fields = {"code": error.code.value, "reason": error.message, "advice": error.advice}
        write_event(LogEvent.DAEMON_REFUSED, **fields)
        sys.exit(EXIT_REFUSED)
    finally:
        write_pending(log_writer)


def _run(
    path: str,
    settings: SidecarSettings,
    meters: Meters,
    write_event: Callable[..., None],
    log_writer: LogWriter,
) -> None:
    stop = eventlet.Event()
    running = start_sidecar(settings, meters, write_event)
    resume_collection()
    sidecar = running.sidecar
    signal.signal(signal.SIGTERM, lambda *_: stop.ready() or stop.send())
    signal.signal(signal.SIGINT, lambda *_: stop.ready() or stop.send())
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn(_reload_settings, sidecar, path))
    eventlet.spawn(_run_with_restarts, sidecar, lambda: _watch_settings_file(sidecar, path))
    eventlet.spawn(run_log_writer, log_writer)
    sidecar.log(LogEvent.DAEMON_STARTED, caller_port=settings.callers)
    stop.wait()
    stop_sidecar(running)


@attrs.frozen
class RunningSidecar:
    """A sidecar whose ports are open.

    Attributes:
        sidecar: Its state.
        sockets: Its listening sockets.
        servers: The green threads that serve them.
        loops: The green threads of its background loops.
    """

    sidecar: Sidecar
    sockets: list[Any]
    servers: list[Any]
    loops: list[Any]


def start_sidecar(
    settings: SidecarSettings,
    meters: Meters,
    write_event: Callable[..., None],
    measures_lag: bool = True,
) -> RunningSidecar:
    """Open the ports of a sidecar and start its background loops.

    Args:
        settings: The settings to run with.
        meters: The counters and histograms to record into.
        write_event: Writes an event to the log.
        measures_lag: Whether to refuse requests while the event loop is late; not where the loop
            serves other programs as well.

    Raises:
        SettingsError: If a listening address is unavailable.
    """
    install_head_parser()
    store = _connect_store(settings, meters)
    sidecar = Sidecar(settings, store, meters, write_event, start_id=f"{time_ns():x}")
    _apply_retry_bounds(sidecar)
    sockets, servers = _open_ports(sidecar)
    registration = Registration()
    sidecar.wake_registration = registration.wake
    urgent_loops = (
        follow_store,
        lambda sidecar: keep_registered(sidecar, registration),
        run_takeover_leader,
        run_release_watch,
        keep_findings_stored,
        run_quota_list,
        run_quota_reports,
        _end_overdue_requests,
    )
    other_loops = (_run_periodic_checks, watch_link_use, *([measure_lag] if measures_lag else []))
    loops = [
        eventlet.spawn(_run_with_restarts, sidecar, partial(loop, sidecar), loop in urgent_loops)
        for loop in (*urgent_loops, *other_loops)
    ]
    return RunningSidecar(sidecar, sockets, servers, loops)


def _connect_store(settings: SidecarSettings, meters: Meters) -> StoreClient:
    observe = partial(meters.observe, "store")
    return connect_client(
        settings.store, STORE_TIMEOUT_S, observe, limit_time, partial(count_store_answer, meters)
    )


def _reconnect_store(sidecar: Sidecar, settings: SidecarSettings) -> None:
    """Use the store at another address; it is the same one, so its era is known."""
    eras = sidecar.store.eras
    sidecar.store = _connect_store(settings, sidecar.meters)
    sidecar.store.eras = eras


def _run_with_restarts(sidecar: Sidecar, loop: Callable[[], None], urgent: bool = False) -> None:
    """Run a loop forever, urgently or not; if it raises, log the error and restart it."""
    set_urgent(urgent)
    while True:
        try:
            loop()
        except Exception as error:  # a failing loop must not stop the sidecar from serving
            sidecar.log(LogEvent.SYSTEM_FAILED, event_kind="loop", reason=describe_error(error))
        eventlet.sleep(CHECK_INTERVAL_S)


def _open_ports(sidecar: Sidecar) -> tuple[list[Any], list[Any]]:
    settings = sidecar.settings
    clients = sidecar.clients = build_client_connections(sidecar)
    sequential = build_protocol(
        lambda: (sidecar.table.limits.idle_timeout_s if sidecar.table else PEER_IDLE_S)
        + IDLE_SLACK_S,
        clients=clients,
        get_head_timeout_s=partial(find_head_timeout, sidecar),
    )
    callers = build_pipelined_protocol(sidecar, sequential)
    peers = build_protocol(lambda: PEER_IDLE_S, clients=clients)
    urgent = build_protocol(lambda: PEER_IDLE_S, urgent=True, clients=clients)

    def handle_sidecar_request(target: str, environ: dict[str, Any]) -> bytes | None:
        set_urgent(True)  # other sidecars use this connection for nothing else
        path = urlsplit(target).path
        if path == COUNTS_PATH:
            return msgspec.json.encode(answer_counts_request(sidecar, target))
        if path == CHANGES_PATH:
            return handle_follower_poll(sidecar, target)
        if target == QUOTAS_PATH:
            return receive_report(sidecar, environ["wsgi.input"].read(MAX_REPORT_BYTES))
        if target == NOTICE_PATH:
            return receive_notice(sidecar, environ["wsgi.input"].read(MAX_NOTICE_BYTES))
        if target == ALL_PATH:
            return describe_all(sidecar)
        return None

    ports = [
        (settings.callers, build_caller_application(sidecar), callers),
        (settings.gate, build_gate_application(sidecar, handle_sidecar_request), peers),
        (settings.readiness, build_readiness_application(sidecar), urgent),
        (settings.control, build_control_application(sidecar), urgent),
    ]
    if settings.metrics:
        ports.append((settings.metrics, build_metrics_application(sidecar), peers))
    sockets = [_listen(address) for address, _, _ in ports]
    servers = [
        eventlet.spawn(serve_port, sock, application, protocol, protocol is urgent)
        for sock, (_, application, protocol) in zip(sockets, ports, strict=True)
    ]
    return sockets, servers


def _listen(address: str) -> Any:
    host, _, port = address.rpartition(":")
    try:
        return eventlet.listen((host, int(port)), backlog=LISTEN_BACKLOG, reuse_port=False)
    except OSError as error:
        raise SettingsError(ErrorCode.PORT_IN_USE, f"{address}: {error}") from error


def _end_overdue_requests(sidecar: Sidecar) -> None:
    """End the requests whose callers have left or that can no longer be served, in time."""
    while True:
        now = monotonic()
        cancel_disconnected(sidecar.watched_calls, now)
        dispatch_waiting(sidecar.gate, now)
        pass_overdue_turns(sidecar.ingress, now)
        eventlet.sleep(CHECK_INTERVAL_S)


def _run_periodic_checks(sidecar: Sidecar) -> None:
    while True:
        now = monotonic()
        remove_lapsed_members(sidecar)
        remove_expired(sidecar.crash_findings.table, now)
        close_expired(sidecar.server_connections, now)
        close_expired(sidecar.peer_connections, now)
        close_expired(sidecar.control_connections, now)
        eventlet.sleep(CHECK_INTERVAL_S)


def _apply_retry_bounds(sidecar: Sidecar) -> None:
    bounds = sidecar.settings.bounds
    services = sidecar.retry_budget.services
    sidecar.retry_budget = RetryBudget(
        bounds.repeat_ratio, bounds.repeat_extra, bounds.repeat_window_s, services
    )


def _watch_settings_file(sidecar: Sidecar, path: str) -> None:
    last_stamp = _read_file_stamp(path)
    while True:
        eventlet.sleep(FILE_CHECK_INTERVAL_S)
        stamp = _read_file_stamp(path)
        if stamp != last_stamp:
            last_stamp = stamp
            _reload_settings(sidecar, path)


def _read_file_stamp(path: str) -> tuple[int, int]:
    try:
        file_status = os.stat(path)
    except OSError:
        return (0, 0)
    return (file_status.st_mtime_ns, file_status.st_size)


def _reload_settings(sidecar: Sidecar, path: str) -> None:
    """Apply a changed settings file; listening addresses change only at a restart."""
    try:
        settings = read_settings(path)
    except SettingsError as error:
        fields = {"path": path, "code": error.code.value, "reason": error.message}
        sidecar.log(LogEvent.SETTINGS_REFUSED, **fields)
        return
    if settings == sidecar.settings:
        return
    if settings.store != sidecar.settings.store:
        _reconnect_store(sidecar, settings)
    sidecar.settings = settings
    _apply_retry_bounds(sidecar)
    sidecar.wake_registration()
    sidecar.log(LogEvent.SETTINGS_RELOADED, path=path)


def stop_sidecar(running: RunningSidecar) -> None:
    """Shut down gracefully: let callers move away, drain open requests and close the ports.

    Args:
        running: The sidecar to stop.
    """
    sidecar = running.sidecar
    schedule = plan_stop(sidecar.clock(), sidecar.settings.bounds.grace_s)
    sidecar.stop_schedule = schedule
    for queued in sidecar.gate.waiting:
        wait_left_s = find_run_wait_left(sidecar, queued.route, queued.deadline_at)
        queued.start_by = min(queued.start_by, schedule.began_at + wait_left_s)
    sidecar.log(LogEvent.DAEMON_STOPPING, open_calls=sidecar.open_requests)
    eventlet.spawn_after(schedule.gate_closes_at - schedule.began_at, sidecar.wake_registration)
    eventlet.sleep(max(schedule.callers_close_at - schedule.began_at, 0.0))
    for server in running.servers:  # idle connections close at once, busy ones after responding
        server.kill()
    for sock in running.sockets:
        sock.close()
    _wait_until_drained(sidecar, schedule.exits_at)
    _answer_cut_requests(sidecar)
    _wait_until_drained(sidecar, schedule.exits_at + LAST_ANSWERS_S)
    for loop in running.loops:
        loop.kill()
    sidecar.log(LogEvent.DAEMON_STOPPED, open_calls=sidecar.open_requests)


def _wait_until_drained(sidecar: Sidecar, until: float) -> None:
    while sidecar.open_requests and sidecar.clock() < until:
        eventlet.sleep(DRAIN_CHECK_INTERVAL_S)


def _answer_cut_requests(sidecar: Sidecar) -> None:
    """Tell callers whose requests outlast the grace period that their outcome is unknown."""
    for thread in list(sidecar.open_callers):
        message = "the daemon stopped before the backend server answered"
        eventlet.kill(thread, CallError(ErrorCode.OUTCOME_UNKNOWN, message))
