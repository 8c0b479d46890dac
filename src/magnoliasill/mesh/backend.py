"""The backend server beside a sidecar: which incarnation of it runs, and whether it is leaving."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

import attrs

MAX_ENDED_INCARNATIONS = 64  # incarnations whose late heartbeats are still recognised


@attrs.frozen
class Heartbeat:
    """What a backend server says of itself.

    Attributes:
        instance: Its identifier, mostly new at each start.
        born: Milliseconds since the epoch at its start, or 0 where it does not say.
        sequence: Increases with each heartbeat of one incarnation.
        address: Where it listens.
        service: The service that it runs.
        release: The release of its software.
        data_centre: Where it runs.
        slots: Requests that it runs at once.
        leaving: Whether it takes no new work.
        cold_s: Seconds for which it stays slow after its start.
    """

    instance: str
    born: int
    sequence: int
    address: str
    service: str
    release: str
    data_centre: str
    slots: int
    leaving: bool
    cold_s: float


class HeartbeatEffect(Enum):
    """What a heartbeat changed."""

    STARTED = "started"
    RENEWED = "renewed"
    LEAVING = "leaving"
    STALE = "stale"


@attrs.define
class Backend:
    """The table of the one backend server.

    Attributes:
        latest: The newest heartbeat of the incarnation that runs, or None.
        heard_at: When it came, in seconds on the monotonic clock.
        leaving_at: When its leaving was acknowledged, or None.
        warm_at: When its cold start ends.
        ended: Incarnations that have ended, the one that ended last at the end.
    """

    latest: Heartbeat | None = None
    heard_at: float = 0.0
    leaving_at: float | None = None
    warm_at: float = 0.0
    ended: OrderedDict[tuple[str, int], None] = attrs.field(factory=OrderedDict)


def apply_heartbeat(backend: Backend, heartbeat: Heartbeat, now: float) -> HeartbeatEffect:
    """Take in a heartbeat, unless it is of an earlier incarnation or overtaken by a later one.

    Args:
        backend: The table.
        heartbeat: What was said.
        now: Seconds on the monotonic clock.
    """
    if (heartbeat.instance, heartbeat.born) in backend.ended:
        return HeartbeatEffect.STALE
    known = backend.latest
    same = known is not None and _incarnation_key(known) == _incarnation_key(heartbeat)
    if known is not None and not same and heartbeat.born < known.born:
        return HeartbeatEffect.STALE
    if same and heartbeat.sequence <= known.sequence and not _is_restart(known, heartbeat):
        return HeartbeatEffect.STALE
    if not same:
        if known is not None:
            _record_ended(backend, _incarnation_key(known))
        backend.leaving_at = None
    effect = HeartbeatEffect.RENEWED if same else HeartbeatEffect.STARTED
    backend.latest = heartbeat
    backend.heard_at = now
    backend.warm_at = now + heartbeat.cold_s
    if heartbeat.leaving and backend.leaving_at is None:
        backend.leaving_at = now
        effect = HeartbeatEffect.LEAVING
    return effect


def apply_leave(backend: Backend, instance: str, born: int, now: float) -> bool:
    """Take in that an incarnation has left for good; returns whether it is the one that runs.

    Args:
        backend: The table.
        instance: Its identifier.
        born: Its start in milliseconds since the epoch, or 0 where it was not said.
        now: Seconds on the monotonic clock.
    """
    known = backend.latest
    if known is None or known.instance != instance or (born and born != known.born):
        _record_ended(backend, (instance, born))
        return False
    _record_ended(backend, _incarnation_key(known))
    if backend.leaving_at is None:
        backend.leaving_at = now
    return True


def accepts_requests(backend: Backend) -> bool:
    """Return whether the backend server takes new work."""
    return backend.latest is not None and backend.leaving_at is None


def _incarnation_key(heartbeat: Heartbeat) -> tuple[str, int]:
    return heartbeat.instance, heartbeat.born


def _is_restart(known: Heartbeat, heartbeat: Heartbeat) -> bool:
    """Whether counts began anew where no time of start tells incarnations apart."""
    return not heartbeat.born and heartbeat.sequence < known.sequence and heartbeat.cold_s > 0


def _record_ended(backend: Backend, incarnation: tuple[str, int]) -> None:
    backend.ended[incarnation] = None
    while len(backend.ended) > MAX_ENDED_INCARNATIONS:
        backend.ended.popitem(last=False)
