"""WSGI applications for the platform: backend server heartbeats, readiness, and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from ..codes import ErrorCode, LogEvent
from ..errors import MessageError
from ..mesh.backend import HeartbeatEffect, apply_heartbeat, apply_leave, replaces
from ..mesh.evacuations import list_evacuated
from ..mesh.gate import count_open_slots, limit_rate
from ..mesh.positions import find_era, find_revision
from ..mesh.records import encode_record
from ..platform.headers import READINESS_PATH
from ..platform.heartbeats import (
    ACKNOWLEDGEMENT,
    decode_born,
    decode_heartbeat,
    parse_instance_path,
)
from .cold_servers import apply_cold_heartbeat
from .crash_guard import record_ended_server
from .metrics import format_meters
from .protocol import close_if_stopping
from .quota_reports import read_quota_gauges
from .server_notices import restore_leaving, withdraw_server
from .start_pacing import record_cold, record_start
from .state import find_own_lag
from .store_relay import find_store_age
from .where_application import WHERE_PATH, answer_where

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..mesh.backend import Heartbeat
    from .state import Sidecar

MAX_HEARTBEAT_BYTES = 65_536


def build_control_application(sidecar: Sidecar) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application that receives the backend server's heartbeats."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        instance = parse_instance_path(environ["RAW_PATH_INFO"])
        body = environ["wsgi.input"].read(MAX_HEARTBEAT_BYTES)
        method = environ["REQUEST_METHOD"]
        close_if_stopping(sidecar, environ)
        if not instance or method not in ("PUT", "DELETE"):
            return _respond(start_response, "404 Not Found", b"{}")
        try:
            if method == "PUT":
                record_heartbeat(sidecar, decode_heartbeat(instance, body))
            else:
                record_departure(sidecar, instance, decode_born(body))
        except MessageError as error:
            sidecar.log(
                LogEvent.HEARTBEAT_REFUSED, instance=instance[:80], reason=error.message[:200]
            )
            return _respond(start_response, "400 Bad Request", b"{}")
        return _respond(start_response, "200 OK", ACKNOWLEDGEMENT)

    return application


def build_readiness_application(sidecar: Sidecar) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application that reports whether this daemon accepts callers."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        if environ["RAW_PATH_INFO"] != READINESS_PATH:
            return _respond(start_response, "404 Not Found", b"{}")
        if is_ready(sidecar):
            return _respond(start_response, "200 OK", b"{}")
        return _respond(start_response, "503 Service Unavailable", b"{}")

    return application


def build_metrics_application(sidecar: Sidecar) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application that serves the metrics.

    It also serves the sidecar's state at /dump, and at /where which way a request would go.
    """

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        if environ["RAW_PATH_INFO"] == "/dump":
            return _respond(start_response, "200 OK", msgspec.json.encode(dump_state(sidecar)))
        if environ["RAW_PATH_INFO"] == WHERE_PATH:
            return _respond(start_response, *answer_where(sidecar, environ))
        text = format_meters(sidecar.meters, read_gauges(sidecar))
        return _respond(start_response, "200 OK", text, "text/plain; version=0.0.4")

    return application


def is_ready(sidecar: Sidecar) -> bool:
    """Return whether the sidecar accepts callers: it has a configuration and is not stopping."""
    return sidecar.table is not None and sidecar.stop_schedule is None


def record_heartbeat(sidecar: Sidecar, heartbeat: Heartbeat) -> None:
    """Record a heartbeat of the backend server that this sidecar fronts.

    Raises:
        MessageError: If the heartbeat belongs to another server.
    """
    settings = sidecar.settings
    if heartbeat.address != settings.server or heartbeat.service != settings.service:
        message = f"heartbeat belongs to {heartbeat.service} at {heartbeat.address}"
        raise MessageError(ErrorCode.MESSAGE_INVALID, message)
    record = sidecar.members.records.get(settings.name)
    if record is not None and 0 < heartbeat.born < record.born:
        reason = "delayed: an earlier process has registered a later incarnation"
        sidecar.log(LogEvent.HEARTBEAT_REFUSED, instance=heartbeat.instance, reason=reason)
        return
    latest = sidecar.backend.latest
    if latest is not None and replaces(sidecar.backend, heartbeat):
        record_ended_server(sidecar, latest)
    effect = apply_heartbeat(sidecar.backend, heartbeat, sidecar.clock())
    if effect is not HeartbeatEffect.STALE:
        apply_cold_heartbeat(sidecar)
    if effect is HeartbeatEffect.STARTED:
        _record_server_start(sidecar, heartbeat)
        record_start(sidecar, heartbeat, restarted=latest is not None)
    elif effect is HeartbeatEffect.RENEWED:
        record_cold(sidecar, heartbeat)
    elif effect is HeartbeatEffect.LEAVING:
        withdraw_server(sidecar)
        sidecar.log(
            LogEvent.SERVER_LEAVING,
            instance=heartbeat.instance,
            born=heartbeat.born,
            sequence=heartbeat.sequence,
            source="heartbeat",
        )


def record_departure(sidecar: Sidecar, instance: str, born: int) -> None:
    """Record that an instance of the backend server has shut down."""
    if apply_leave(sidecar.backend, instance, born, sidecar.clock()):
        withdraw_server(sidecar)
        sidecar.log(LogEvent.SERVER_GONE, instance=instance, born=born)


def _record_server_start(sidecar: Sidecar, heartbeat: Heartbeat) -> None:
    sidecar.gate.slots = heartbeat.slots
    sidecar.gate.failing = 0.0
    limit_rate(sidecar.gate, sidecar.backend.limit_per_s, sidecar.clock())
    sidecar.route_counts = {}
    for idle in sidecar.server_connections.idle.values():
        while idle:
            idle.pop().http.close()
    sidecar.wake_registration()
    sidecar.log(
        LogEvent.SERVER_STARTED,
        instance=heartbeat.instance,
        born=heartbeat.born,
        service=heartbeat.service,
        release=heartbeat.release,
        slots=heartbeat.slots,
        cold_s=heartbeat.cold_s,
    )
    if heartbeat.leaving:
        withdraw_server(sidecar)
    record = sidecar.members.records.get(sidecar.settings.name)
    if record is not None:
        restore_leaving(sidecar, record)


def read_gauges(sidecar: Sidecar) -> dict[str, float]:
    """Return the current gauge values by metric name."""
    gate = sidecar.gate
    return {
        "configuration_version": sidecar.table.version if sidecar.table else 0,
        "members": len(sidecar.members.records),
        "members_leaving": sum(m.leaving for m in sidecar.members.records.values()),
        "store_available": float(sidecar.store_reachable),
        "store_age_seconds": find_store_age(sidecar),
        "store_era": find_era(sidecar.mirror.revision),
        "open_requests": sidecar.open_requests,
        "loop_lag_mean_seconds": find_own_lag(sidecar),
        "client_connections": len(sidecar.clients.budgets.connections),
        "incomplete_body_bytes": sidecar.clients.budgets.held,
        "gate_running": gate.running,
        "gate_waiting": len(gate.waiting),
        "evacuated_data_centres": len(list_evacuated(sidecar.evacuations, sidecar.clock())),
        "gate_open_slots": count_open_slots(gate),
        "server_cold_seconds": max(gate.cold.until - sidecar.clock(), 0.0),
        "suspect_requests": len(sidecar.crash_findings.table.suspects),
        "server_limit_per_second": sidecar.backend.limit_per_s or 0.0,
        "ready": float(is_ready(sidecar)),
        **read_quota_gauges(sidecar),
    }


def dump_state(sidecar: Sidecar) -> dict[str, Any]:
    """Return the sidecar's state as a JSON-serialisable dump for operators."""
    members = sidecar.members
    return {
        "name": sidecar.settings.name,
        "gauges": read_gauges(sidecar),
        "era": find_era(sidecar.mirror.revision),
        "revision": find_revision(sidecar.mirror.revision),
        "server": attrs.asdict(sidecar.backend.latest) if sidecar.backend.latest else None,
        "members": [msgspec.Raw(encode_record(member)) for member in members.records.values()],
        "notices": {
            f"{instance} {born}": attrs.asdict(notice)
            for (instance, born), notice in members.notices.items()
        },
        "conditions": {
            name: attrs.asdict(condition) for (name, _), condition in members.conditions.items()
        },
        "takeovers": [
            msgspec.Raw(encode_record(takeover)) for takeover, _ in sidecar.takeovers.values()
        ],
        "evacuations": attrs.asdict(sidecar.evacuations),
        "unstored_takeovers": sorted(sidecar.unstored_takeovers),
        "pressures": {
            name: attrs.asdict(state) for name, state in sidecar.retry_after_states.items()
        },
    }


def _respond(
    start_response: Any, status: str, body: bytes, content_type: str = "application/json"
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", content_type), ("Content-Length", str(len(body)))])
    return [body]
