"""The daemon process: connects the engine to sockets, the store and the clock."""

from __future__ import annotations

import os
import random
import resource
import signal
import sys
import time
from contextlib import suppress
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import eventlet.wsgi
import fire
import greenlet

from ..calls.caller_application import build_application
from ..calls.caller_protocol import CallerProtocol
from ..calls.cancellation import cancel_disconnected
from ..calls.client_connections import (
    CLOSING_CONNECTIONS,
    ClientConnections,
)
from ..calls.connections import close_expired
from ..calls.crash_guard import guard_exchange
from ..calls.listeners import Listener
from ..calls.proxy_state import Proxy
from ..calls.request_protocol import RequestProtocol
from ..claims.claim_ranges import release_ranges
from ..claims.idempotency import resolve_wait
from ..codes import ErrorCode, LogEvent
from ..core.actions import Log, ResetPeer, ResolveWait, SendMessage
from ..core.engine import step
from ..core.events import Event, MessageReceived, StoreFailed, Tick
from ..core.messages import MemberRecord, decode_message, encode_message
from ..core.node import Node
from ..decoding import describe_error
from ..error_catalogue import ERRORS
from ..errors import (
    MagnoliasillError,
    MessageError,
    SettingsError,
    StoreError,
    StoreOutcomeUnknownError,
)
from ..membership.membership import leave
from ..mesh.client_budgets import size_connection_budget
from ..publishing.change_requests import ChangeContext
from ..spreading.relays import release_relay_slot
from ..store import connect_store
from ..time_limits import limit_time
from ..urgent_hub import install_urgent_hub, set_urgent, spawn_urgent
from .administration import AdministrationContext, build_administration_application
from .deferred_commands import defer, run_deferred
from .logs import bind_logger, configure_logs, write_log
from .metrics import build_metrics, count_store_requests
from .peers import (
    PeerSockets,
    close_peers,
    open_peers,
    receive_from_peers,
    reset_peer,
    send_to_peer,
)
from .settings import Settings, format_help, load_settings

if TYPE_CHECKING:
    from ..core.actions import Action, StoreAction
    from ..store import StoreFunction

EXIT_STARTUP_FAILED = 2
HELP_FLAGS = frozenset({"--help", "-h"})
LISTEN_BACKLOG = 512
CONNECTION_IDLE_TIMEOUT_S = 60
DRAIN_POLL_INTERVAL_S = 0.02
CHANGE_RETRY_DELAY_S = 0.2
MIN_DRAIN_S = 0.5  # meanwhile responses tell callers to close their keep-alive connections


@attrs.define
class Daemon:
    """The state and the resources of one running daemon."""

    settings: Settings
    node: Node
    proxy: Proxy
    store: StoreFunction
    peers: PeerSockets
    logger: Any
    clock_offset: float
    started_at: float = attrs.field(factory=time.time)
    stop_requested: eventlet.Event = attrs.field(factory=eventlet.Event)


def main() -> None:
    """Run the daemon until a signal stops it, or print its settings if asked for help."""
    if HELP_FLAGS & set(sys.argv[1:]):
        print(format_help())
        return
    fire.Fire(defer(_run_command), name="magnoliasilld", serialize=run_deferred)


def _run_command(**flags: Any) -> None:
    install_urgent_hub()
    configure_logs()
    try:
        settings = load_settings(flags, os.environ)
        run_daemon(settings)
    except MagnoliasillError as error:
        logger = bind_logger(str(flags.get("name", "")), str(flags.get("data_centre", "")))
        advice = error.advice or ERRORS[error.code].remedy
        fields = {"code": error.code.value, "reason": error.message, "advice": advice}
        write_log(logger, LogEvent.DAEMON_REFUSED, **fields)
        sys.exit(EXIT_STARTUP_FAILED)


def run_daemon(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then drain the calls in progress.

    Args:
        settings: The validated settings.

    Raises:
        SettingsError: If a port is in use.
    """
    caller_listener = _listen(settings.host, settings.caller_port, "caller_port")
    admin_listener = _listen(settings.host, settings.admin_port, "admin_port")
    daemon = build_daemon(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: _request_stop(daemon))
    start_loops(daemon)
    application = build_application(daemon.proxy)
    clients = daemon.proxy.clients = _build_client_connections(daemon)
    callers = type("DaemonCallerProtocol", (CallerProtocol,), {"clients": clients})
    administrators = type("DaemonProtocol", (RequestProtocol,), {"clients": clients})
    caller_server = eventlet.spawn(_run_wsgi_server, caller_listener, application, callers)
    eventlet.spawn(
        _run_wsgi_server,
        admin_listener,
        build_administration_application(_build_administration_context(daemon)),
        administrators,
    )
    write_log(daemon.logger, LogEvent.DAEMON_STARTED, caller_port=settings.caller_port)
    daemon.stop_requested.wait()
    _stop(daemon, caller_listener, caller_server)


def _build_client_connections(daemon: Daemon) -> ClientConnections:
    """Return the budgets for clients, sized by the descriptor limit of the process."""
    return ClientConnections(
        max_connections=size_connection_budget(0, resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        count=lambda budget: daemon.proxy.metrics.count("clients_closed", budget),
        report=lambda counts: _log(daemon, Log(LogEvent.CLIENTS_CLOSED, dict(counts))),
    )


def start_loops(daemon: Daemon) -> None:
    """Start the loops that spread configurations and keep the member table, before all calls."""

    def receive() -> None:
        set_urgent(True)
        receive_from_peers(daemon.peers, lambda data: _handle_peer_data(daemon, data))

    def tick() -> None:
        set_urgent(True)
        _run_ticks(daemon)

    eventlet.spawn(receive)
    eventlet.spawn(tick)


def build_daemon(settings: Settings) -> Daemon:
    """Create a daemon's state and open its peer socket."""
    logger = bind_logger(settings.name, settings.data_centre)
    timeout_s = settings.store_timeout_ms / 1000
    peer_address = f"{settings.host}:{settings.peer_port}"
    clock_offset = time.time() - time.monotonic()
    incarnation = int(time.time() * 1000)
    own_record = MemberRecord(
        settings.name,
        settings.data_centre,
        peer_address,
        incarnation,
        admin_port=settings.admin_port,
    )
    node = Node(own_record, random.Random(), seeds=settings.seeds)
    metrics = build_metrics()
    store = count_store_requests(connect_store(settings.store, timeout_s, limit_time), metrics)
    proxy = Proxy(node, store, metrics, clock_offset)
    peers = open_peers(peer_address)
    daemon = Daemon(settings, node, proxy, store, peers, logger, clock_offset)
    proxy.log_event = lambda log_entry: _log(daemon, log_entry)
    proxy.exchange = guard_exchange(
        node,
        proxy.exchange,
        lambda: time.monotonic() + clock_offset,
        lambda action: _execute_action(daemon, action),
    )
    proxy.peers.send = lambda address, message: _execute_action(
        daemon, SendMessage(address, message)
    )
    return daemon


def _build_administration_context(daemon: Daemon) -> AdministrationContext:
    change_context = ChangeContext(
        daemon.store,
        lambda: datetime.now(UTC),
        lambda attempt: eventlet.sleep(CHANGE_RETRY_DELAY_S * attempt),
        lambda event, **fields: _log(daemon, Log(event, fields)),
        lambda: daemon.node.configuration.held_version,
    )
    return AdministrationContext(daemon.proxy, lambda event: submit(daemon, event), change_context)


def submit(daemon: Daemon, event: Event) -> None:
    """Run the engine for one event and execute the resulting actions.

    Args:
        daemon: The daemon.
        event: The event to process.
    """
    now = time.monotonic() + daemon.clock_offset
    try:
        actions = step(daemon.node, now, event)
    except Exception as error:  # a failure on one event must not stop the daemon
        _log_failure(daemon, type(event).__name__, error)
        return
    for action in actions:
        try:
            _execute_action(daemon, action)
        except Exception as error:  # the other actions have to be executed all the same
            _log_failure(daemon, type(action).__name__, error)


def _log_failure(daemon: Daemon, event_kind: str, error: Exception) -> None:
    fields = {"event_kind": event_kind, "reason": describe_error(error)}
    _log(daemon, Log(LogEvent.SYSTEM_FAILED, fields))


def _execute_action(daemon: Daemon, action: Action) -> None:
    match action:
        case SendMessage(address=address) if address == daemon.node.own.peer_address:
            spawn_urgent(submit, daemon, MessageReceived(action.message))
        case SendMessage():
            data = encode_message(action.message)
            kind = type(action.message).__name__
            daemon.proxy.metrics.count("messages_sent", kind)
            daemon.proxy.metrics.count("message_bytes_sent", kind, len(data))
            send_to_peer(daemon.peers, action.address, data)
        case ResolveWait():
            resolve_wait(daemon.proxy.peers, action.token, action.message)
        case ResetPeer(address=address):
            reset_peer(daemon.peers, address)
        case Log():
            _log(daemon, action)
        case _:
            spawn_urgent(_perform_store_request, daemon, action)


def _log(daemon: Daemon, log_entry: Log) -> None:
    write_log(daemon.logger, log_entry.event, **log_entry.fields)
    daemon.proxy.metrics.count("events", log_entry.event.name.lower())
    applied = daemon.node.configuration.applied
    if log_entry.event is LogEvent.CONFIGURATION_APPLIED and applied is not None:
        published_at = applied.head.published_at
        # a restarted daemon also applies versions that were published while it was down
        if published_at > daemon.started_at:
            seconds = daemon.node.configuration.applied_at - published_at
            daemon.proxy.metrics.observe("convergence_seconds", seconds)


def _perform_store_request(daemon: Daemon, action: StoreAction) -> None:
    try:
        event: Event = daemon.store(action)
    except StoreOutcomeUnknownError:
        event = StoreFailed(action.purpose, unknown=True)
    except StoreError:
        event = StoreFailed(action.purpose)
    submit(daemon, event)


def _handle_peer_data(daemon: Daemon, data: bytes) -> None:
    try:
        message = decode_message(data)
    except MessageError as error:
        _log(daemon, Log(LogEvent.MESSAGE_REFUSED, {"reason": error.message}))
        return
    kind = type(message).__name__
    daemon.proxy.metrics.count("messages_received", kind)
    daemon.proxy.metrics.count("message_bytes_received", kind, len(data))
    submit(daemon, MessageReceived(message))


def _run_ticks(daemon: Daemon) -> None:
    interval = daemon.settings.tick_ms / 1000
    while True:
        submit(daemon, Tick())
        now = time.monotonic()
        cancel_disconnected(daemon.proxy.watched, now)
        close_expired(daemon.proxy.connections, now)
        eventlet.sleep(interval)


def _listen(host: str, port: int, setting: str) -> Any:
    try:
        return eventlet.listen((host, port), backlog=LISTEN_BACKLOG, reuse_port=False)
    except OSError as error:
        flag = setting.replace("_", "-")
        message = f"--{flag}: {host}:{port}: {error}"
        raise SettingsError(ErrorCode.PORT_IN_USE, message) from error


def _run_wsgi_server(sock: Any, application: Any, protocol: type[RequestProtocol]) -> None:
    eventlet.wsgi.server(
        Listener(sock),
        application,
        protocol=protocol,
        log_output=False,
        keepalive=True,
        socket_timeout=CONNECTION_IDLE_TIMEOUT_S,
        max_size=protocol.clients.budgets.max_connections + CLOSING_CONNECTIONS,
        debug=False,
    )


def _request_stop(daemon: Daemon) -> None:
    if not daemon.stop_requested.ready():
        daemon.stop_requested.send()


def _stop(daemon: Daemon, caller_listener: Any, caller_server: Any) -> None:
    write_log(daemon.logger, LogEvent.DAEMON_STOPPING, open_calls=daemon.proxy.open_calls)
    daemon.proxy.stopping = True
    for action in [*leave(daemon.node), *release_relay_slot(daemon.node)]:
        _execute_action(daemon, action)
    for action in release_ranges(daemon.node, time.monotonic() + daemon.clock_offset):
        _execute_action(daemon, action)
    started = time.monotonic()
    deadline = started + daemon.settings.drain_ms / 1000
    min_drain_until = min(started + MIN_DRAIN_S, deadline)
    while time.monotonic() < min_drain_until or (
        daemon.proxy.open_calls and time.monotonic() < deadline
    ):
        eventlet.sleep(DRAIN_POLL_INTERVAL_S)
    caller_server.kill()  # closes idle connections at once and waits for the others
    with (
        suppress(greenlet.GreenletExit),
        eventlet.Timeout(max(deadline - time.monotonic(), 0), False),
    ):
        caller_server.wait()
    caller_listener.close()
    close_peers(daemon.peers)
    write_log(daemon.logger, LogEvent.DAEMON_STOPPED, open_calls=daemon.proxy.open_calls)
