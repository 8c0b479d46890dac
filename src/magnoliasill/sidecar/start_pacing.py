"""Paces the local backend server while it starts or recovers, where that is enabled."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..mesh.gate import count_open_slots
from ..mesh.pace import (
    Outcome,
    PaceChange,
    Pacer,
    Run,
    begin_pacing,
    observe_run,
    report_cold,
)
from .state import find_own_lag

if TYPE_CHECKING:
    from ..mesh.backend import Heartbeat
    from ..mesh.hop_headers import HopCall
    from .state import Sidecar

RECENT_START_S = 3.0  # a start before pacing is known to be enabled; a configuration may come later
MAX_FIRST_SEQUENCE = 3  # a higher one in the first heartbeat: the sidecar started, not the server
OWN_STEPS = 2  # of this process within a request's duration: reading the answer's head and its body


def record_start(sidecar: Sidecar, heartbeat: Heartbeat, restarted: bool) -> None:
    """Pace a server from its first heartbeat on.

    Args:
        sidecar: The sidecar's state.
        heartbeat: The first heartbeat of the incarnation.
        restarted: Whether this process knew an earlier incarnation.
    """
    sidecar.gate.pacer = None
    is_start = restarted or heartbeat.cold_s > 0 or heartbeat.sequence <= MAX_FIRST_SEQUENCE
    sidecar.server_started_at = sidecar.clock() if is_start else None
    find_pacer(sidecar)
    record_cold(sidecar, heartbeat)


def record_cold(sidecar: Sidecar, heartbeat: Heartbeat) -> None:
    """Pace a server whose heartbeat says that it has become cold."""
    pacer = find_pacer(sidecar)
    if pacer is not None:
        slots = sidecar.gate.slots
        change = report_cold(pacer, heartbeat.cold_s, slots, sidecar.clock())
        _log_change(sidecar, pacer, change, "cold")


def record_stated_pace(sidecar: Sidecar, pace: float | None) -> None:
    """Enable pacing for a server that states its own pace, as later incarnations will do."""
    if pace is not None:
        sidecar.server_states_pace = True


def record_run(
    sidecar: Sidecar, call: HopCall, instance: str, outcome: Outcome, started_at: float
) -> None:
    """Adapt the limit to a request that has ended at the server.

    Args:
        sidecar: The sidecar's state.
        call: The request's metadata.
        instance: The incarnation that it was sent to.
        outcome: How it ended.
        started_at: When it was sent to the server, in seconds on the monotonic clock.
    """
    pacer, gate, now = find_pacer(sidecar), sidecar.gate, sidecar.clock()
    latest = sidecar.backend.latest
    if pacer is None or latest is None or latest.instance != instance:
        return
    if sidecar.unserved_calls[call.identifier] > 0:
        return  # another service failed or is late; that says nothing of this server
    run = Run(
        outcome,
        started_at,
        max(now - started_at - OWN_STEPS * find_own_lag(sidecar), 0.0),
        call.typical_s or gate.route_s.get(call.route, 0.0),
        call.target_left_s if call.target_left_s > 0 else call.time_left_s,
        gate.running,
    )
    _log_change(sidecar, pacer, observe_run(pacer, run, gate.slots, now), "answers")


def find_pacer(sidecar: Sidecar) -> Pacer | None:
    """Return the pacer of the local server, or None where its starts are not paced."""
    gate = sidecar.gate
    if not _is_enabled(sidecar):
        gate.pacer = None
    elif gate.pacer is None:
        gate.pacer = Pacer()
        started_at, now = sidecar.server_started_at, sidecar.clock()
        if started_at is not None and now - started_at < RECENT_START_S:
            change = begin_pacing(gate.pacer, gate.slots, now)
            _log_change(sidecar, gate.pacer, change, "start")
    return gate.pacer


def _is_enabled(sidecar: Sidecar) -> bool:
    if sidecar.settings.paces_starts or sidecar.server_states_pace:
        return True
    return sidecar.table is not None and sidecar.settings.service in sidecar.table.warmups


def _log_change(sidecar: Sidecar, pacer: Pacer, change: PaceChange, source: str) -> None:
    latest, gate = sidecar.backend.latest, sidecar.gate
    if change is PaceChange.BEGUN:
        sidecar.log(
            LogEvent.PACING_BEGAN,
            instance=latest.instance,
            source=source,
            limit=count_open_slots(gate),
            slots=gate.slots,
        )
    elif change is PaceChange.ENDED:
        seconds = round(sidecar.clock() - pacer.begun_at, 3)
        sidecar.log(
            LogEvent.PACING_ENDED, instance=latest.instance, slots=gate.slots, seconds=seconds
        )
