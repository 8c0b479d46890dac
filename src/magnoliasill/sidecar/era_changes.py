"""Reacts when the store comes back from an older copy, which begins a new era of its data."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import eventlet

from ..codes import LogEvent
from ..mesh.positions import find_revision
from .state import NEVER, NOTHING_STORED

if TYPE_CHECKING:
    from .state import Sidecar

RETURN_SPREAD_S = 0.9  # in which all sidecars write their records again; two calls each


def report_eras(sidecar: Sidecar) -> None:
    """Have the store's client report a new era to this sidecar."""
    sidecar.store.eras.report_rise = partial(_begin_era, sidecar)
    sidecar.store.eras.report_odd_era = partial(_log_odd_era, sidecar)


def _begin_era(sidecar: Sidecar, before: int, after: int) -> None:
    """Have all items read anew, and what this sidecar wrote written again."""
    sidecar.meters.count("store", "restored")
    sidecar.log(
        LogEvent.STORE_RESTORED,
        era=after,
        era_before=before,
        revision=find_revision(sidecar.mirror.revision),
    )
    sidecar.in_sync_at = NEVER
    spread_s = sidecar.random.uniform(0.0, RETURN_SPREAD_S)
    eventlet.spawn_after(spread_s, _write_own_again, sidecar)


def _write_own_again(sidecar: Sidecar) -> None:
    sidecar.wake_registration()
    sidecar.crash_reports.stored = NOTHING_STORED
    if sidecar.crash_findings.own and not sidecar.crash_reports.changed.ready():
        sidecar.crash_reports.changed.send()


def _log_odd_era(sidecar: Sidecar, reason: str) -> None:
    sidecar.log(LogEvent.STORE_ERA_ODD, reason=reason)
