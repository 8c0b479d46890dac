"""Finds out when the local backend server is cold, and tells its gate.

Heartbeats say so, up to 1.5 s late. Sooner signs start the bound at once: the end of an
evacuation, a refused or reset connection, and answers that take much longer than usual. The
server's health path is then asked once; its answer or the next heartbeat confirms the bound or
ends it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from urllib3.exceptions import NewConnectionError

from ..codes import LogEvent
from ..errors import MagnoliasillError
from ..mesh.cold_starts import (
    BREAK_ASK_INTERVAL_S,
    count_duration,
    end_cold,
    is_cold,
    record_reply,
    start_cold,
)
from ..mesh.gate import bound_cold_server, dispatch_waiting
from ..platform.headers import parse_health_headers
from .http_exchange import Message, NotSentError, exchange

if TYPE_CHECKING:
    from ..mesh.routes import Warmup
    from .state import Sidecar

HEALTH_TIMEOUT_S = 0.5


def find_warmup(sidecar: Sidecar) -> Warmup | None:
    """Return how servers of this VM's service start, or None if that is not specified."""
    table = sidecar.table
    return table.warmups.get(sidecar.settings.service) if table is not None else None


def apply_cold_heartbeat(sidecar: Sidecar) -> None:
    """Apply what a heartbeat that has just arrived says of a cold server."""
    sidecar.cold_doubts.known_at = sidecar.clock()
    _apply_cold_seconds(sidecar, sidecar.backend.latest.cold_s, "heartbeat")


def apply_warmup(sidecar: Sidecar) -> None:
    """Apply a configuration's warm-up rate to a server that the last heartbeat said is cold."""
    _mark_cold(sidecar, sidecar.backend.warm_at - sidecar.clock(), "heartbeat")


def _apply_cold_seconds(sidecar: Sidecar, seconds: float, source: str) -> None:
    sidecar.cold_doubts.broken = False
    if seconds > 0:
        sidecar.gate.cold.until = min(sidecar.gate.cold.until, sidecar.clock() + seconds)
        _mark_cold(sidecar, seconds, source)
        return
    now, latest = sidecar.clock(), sidecar.backend.latest
    if not end_cold(sidecar.gate.cold, now):
        return
    sidecar.meters.count("cold", "ended")
    sidecar.log(LogEvent.SERVER_WARM, instance=latest.instance if latest else "", source=source)
    dispatch_waiting(sidecar.gate, now)


def _mark_cold(sidecar: Sidecar, seconds: float, source: str) -> None:
    warmup, now = find_warmup(sidecar), sidecar.clock()
    if warmup is None or seconds <= 0:
        return
    seconds = max(seconds, sidecar.gate.cold.until - now)
    if not start_cold(sidecar.gate.cold, warmup, sidecar.settings.bounds, seconds, now):
        return
    latest, waiting = sidecar.backend.latest, len(sidecar.gate.waiting)
    bound_cold_server(sidecar.gate, now)
    sidecar.meters.count("cold", source)
    sidecar.log(
        LogEvent.SERVER_COLD,
        instance=latest.instance if latest else "",
        seconds=round(seconds, 3),
        source=source,
        limit_per_s=warmup.rate_per_s,
        waiting=waiting,
    )


def record_evacuation_end(sidecar: Sidecar) -> None:
    """Take the server for cold, since its data centre was evacuated until now."""
    _suspect(sidecar, "evacuation", 0.0)


def record_unreached_server(sidecar: Sidecar, error: NotSentError) -> None:
    """Take a server that refused a connection for cold from its return on."""
    if isinstance(error.__cause__, NewConnectionError):
        sidecar.cold_doubts.broken = True
        warmup = find_warmup(sidecar)
        if warmup is not None:
            _mark_cold(sidecar, warmup.duration_s, "refused")


def record_reset_server(sidecar: Sidecar, server_ended: bool) -> None:
    """Ask a server that reset a connection if it is cold; one that has ended, when it answers."""
    if server_ended:
        sidecar.cold_doubts.broken = True
    if not is_cold(sidecar.gate.cold, sidecar.clock()):
        _suspect(sidecar, "reset", BREAK_ASK_INTERVAL_S)


def record_served_run(sidecar: Sidecar, route: str, seconds: float, started_at: float) -> None:
    """Look for signs of coldness in an answer of the server.

    Args:
        sidecar: The sidecar beside the server.
        route: The route's name.
        seconds: How long the request ran.
        started_at: When it was sent to the server, in seconds on the monotonic clock.
    """
    doubts, warmup = sidecar.cold_doubts, find_warmup(sidecar)
    if warmup is None:
        return
    now = sidecar.clock()
    if doubts.broken and started_at >= doubts.known_at:
        doubts.broken = False
        _mark_cold(sidecar, warmup.duration_s, "returned")
        _suspect(sidecar, "returned", BREAK_ASK_INTERVAL_S)
        return
    if is_cold(sidecar.gate.cold, now):
        return
    if count_duration(doubts, route, seconds, started_at, now) and _find_health_path(sidecar):
        _suspect(sidecar, "slow", 0.0)


def _find_health_path(sidecar: Sidecar) -> str:
    table = sidecar.table
    return table.health_paths.get(sidecar.settings.service, "") if table is not None else ""


def _suspect(sidecar: Sidecar, source: str, interval_s: float) -> None:
    """Take the server for cold until it says otherwise, and ask it, but not again too soon.

    Where it said a moment ago that it is not cold, the doubt is dropped instead.

    Args:
        sidecar: The sidecar beside the server.
        source: The sign.
        interval_s: The least seconds since the server was last asked.
    """
    warmup, now = find_warmup(sidecar), sidecar.clock()
    doubts = sidecar.cold_doubts
    if warmup is None or sidecar.backend.latest is None:
        return
    if now - doubts.asked_at < interval_s:
        return
    _mark_cold(sidecar, warmup.duration_s, source)
    path = _find_health_path(sidecar)
    if path:
        doubts.asked_at = now
        eventlet.spawn(_ask_server, sidecar, path)


def _ask_server(sidecar: Sidecar, path: str) -> None:
    """Ask the server's health path how long it stays cold."""
    asked_at = sidecar.clock()
    message = Message("GET", path, [("Host", sidecar.settings.server)], None)
    deadline = asked_at + HEALTH_TIMEOUT_S
    try:
        reply = exchange(
            sidecar.server_connections, sidecar.settings.server, message, deadline, True
        )
    except MagnoliasillError:
        sidecar.meters.count("cold", "unasked")
        return  # it stays cold until a heartbeat says otherwise
    health = parse_health_headers(reply.status, reply.headers)
    latest = sidecar.backend.latest
    is_known = health is not None and latest is not None and health.instance == latest.instance
    if not is_known or sidecar.cold_doubts.known_at > asked_at:
        sidecar.meters.count("cold", "unasked")
        return
    sidecar.cold_doubts.known_at = sidecar.clock()
    sidecar.meters.count("cold", "asked")
    record_reply(sidecar.cold_doubts, health.cold_s > 0)
    _apply_cold_seconds(sidecar, health.cold_s, "health")
