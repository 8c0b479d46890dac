"""Records what the local backend server announces in responses: a rate limit, and that it leaves.

What an earlier process on this VM received is restored from the member record that it wrote, and
from the requests of other sidecars, which had it in a report.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..mesh.backend import apply_leaving, apply_limit, is_current
from ..mesh.gate import limit_rate, refuse_waiting

if TYPE_CHECKING:
    from ..mesh.backend import Heartbeat
    from ..mesh.hop_headers import HopCall
    from ..mesh.members import Member
    from ..platform.headers import ResponseMetadata
    from .state import Sidecar


def record_response_notice(
    sidecar: Sidecar, heartbeat: Heartbeat, response_metadata: ResponseMetadata
) -> None:
    """Record what a response says of its server, as soon as its headers have arrived.

    Args:
        sidecar: The sidecar's state.
        heartbeat: The heartbeat of the incarnation that the request was sent to.
        response_metadata: What the headers of its response say.
    """
    if response_metadata.misdirected:
        return  # another server responded
    if not (response_metadata.signed or response_metadata.not_run):
        return  # a spoiled response
    if not is_current(sidecar.backend, heartbeat.instance, heartbeat.born):
        return
    if response_metadata.leaving:
        mark_server_leaving(sidecar, "response")
    if response_metadata.limit_error:
        _log_bad_limit(sidecar, response_metadata.limit_error)
        return
    _change_limit(sidecar, response_metadata.limit_per_s, from_server=True)


def adopt_limit(sidecar: Sidecar, call: HopCall) -> None:
    """Take over the limit that another sidecar knows, until the server itself has answered."""
    if call.limit_per_s is not None and is_current(sidecar.backend, call.instance, call.born):
        _change_limit(sidecar, call.limit_per_s, from_server=False, age_s=call.limit_age_s)


def restore_leaving(sidecar: Sidecar, record: Member) -> None:
    """Take over from this VM's stored record that the backend server is leaving."""
    if record.server_leaving and is_current(sidecar.backend, record.instance, record.born):
        mark_server_leaving(sidecar, "record")


def mark_server_leaving(sidecar: Sidecar, source: str) -> None:
    """Refuse new requests for the backend server from now on, and tell the other sidecars."""
    if not apply_leaving(sidecar.backend, sidecar.clock()):
        return
    withdraw_server(sidecar)
    latest = sidecar.backend.latest
    sidecar.log(
        LogEvent.SERVER_LEAVING,
        instance=latest.instance,
        born=latest.born,
        sequence=latest.sequence,
        source=source,
    )


def withdraw_server(sidecar: Sidecar) -> None:
    """Refuse the waiting requests, and write the changed member record."""
    refuse_waiting(sidecar.gate)
    sidecar.wake_registration()


def _change_limit(
    sidecar: Sidecar, limit_per_s: float | None, from_server: bool, age_s: float = 0.0
) -> None:
    backend, now = sidecar.backend, sidecar.clock()
    previous_per_s = backend.limit_per_s
    if not apply_limit(backend, limit_per_s, now - age_s, from_server):
        return
    limit_rate(sidecar.gate, limit_per_s, now)
    sidecar.log(
        LogEvent.SERVER_LIMIT_CHANGED,
        instance=backend.latest.instance,
        born=backend.latest.born,
        limit_per_s=limit_per_s,
        previous_per_s=previous_per_s,
        source="response" if from_server else "peer",
        age_s=round(age_s, 3),
        waiting=len(sidecar.gate.waiting),
    )


def _log_bad_limit(sidecar: Sidecar, value: str) -> None:
    """Log a value unless it is the one that was logged last."""
    backend = sidecar.backend
    if value == backend.bad_limit:
        return
    backend.bad_limit = value
    sidecar.log(
        LogEvent.SERVER_LIMIT_REFUSED,
        instance=backend.latest.instance,
        value=value[:80],
        limit_per_s=backend.limit_per_s,
    )
