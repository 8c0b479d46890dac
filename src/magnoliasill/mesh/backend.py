"""Tracks the local backend server from its heartbeats: its incarnation, and whether it drains."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

import attrs

MAX_ENDED_INCARNATIONS = 64  # remembered so that their delayed heartbeats are rejected


@attrs.frozen
class Heartbeat:
    """A heartbeat that a backend server sends to its sidecar.

    Attributes:
        instance: The backend server's identifier, usually a new one at each start.
        born: Its start time in milliseconds since the epoch, or 0 if not given.
        sequence: A number that increases with each heartbeat of one incarnation.
        address: The address that it listens on.
        service: The service that it runs.
        release: The release of the service that it runs.
        data_centre: The data centre that it runs in.
        slots: The number of requests that it can run concurrently.
        leaving: Whether it is draining and takes no new requests.
        cold_s: Seconds after its start during which it is still slow.
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
    """The effect of a heartbeat on the recorded state."""

    STARTED = "started"
    RENEWED = "renewed"
    LEAVING = "leaving"
    STALE = "stale"


@attrs.define
class Backend:
    """The recorded state of the one local backend server.

    Attributes:
        latest: The newest heartbeat of the current incarnation, or None.
        heard_at: When that heartbeat arrived, in seconds on the monotonic clock.
        leaving_at: When its announcement that it drains was acknowledged, or None.
        warm_at: When its cold start is over.
        limit_per_s: The rate limit that it names in its responses, in requests per second, or None.
        limit_heard_at: When the limit, or that there is none, was heard of; None if it never was.
        has_answered: Whether `limit_per_s` comes from its own response to this process.
        bad_limit: The last value of a limit that was no positive number, or an empty string.
        ended: Keys of incarnations that have ended, in the order in which they ended.
    """

    latest: Heartbeat | None = None
    heard_at: float = 0.0
    leaving_at: float | None = None
    warm_at: float = 0.0
    limit_per_s: float | None = None
    limit_heard_at: float | None = None
    has_answered: bool = False
    bad_limit: str = ""
    ended: OrderedDict[tuple[str, int], None] = attrs.field(factory=OrderedDict)


def apply_heartbeat(backend: Backend, heartbeat: Heartbeat, now: float) -> HeartbeatEffect:
    """Apply a heartbeat unless it is of an earlier incarnation or arrived out of order.

    Args:
        backend: The backend server's state.
        heartbeat: The heartbeat.
        now: Seconds on the monotonic clock.
    """
    known = backend.latest
    same = known is not None and _incarnation_key(known) == _incarnation_key(heartbeat)
    if not same and known is not None and not replaces(backend, heartbeat):
        return HeartbeatEffect.STALE
    if _incarnation_key(heartbeat) in backend.ended:
        return HeartbeatEffect.STALE
    if same and heartbeat.sequence <= known.sequence and not _is_restart(known, heartbeat):
        return HeartbeatEffect.STALE
    if not same:
        if known is not None:
            _record_ended(backend, _incarnation_key(known))
        backend.leaving_at = None
        backend.limit_per_s = None
        backend.limit_heard_at = None
        backend.has_answered = False
        backend.bad_limit = ""
    effect = HeartbeatEffect.RENEWED if same else HeartbeatEffect.STARTED
    backend.latest = heartbeat
    backend.heard_at = now
    backend.warm_at = now + heartbeat.cold_s
    if heartbeat.leaving and backend.leaving_at is None:
        backend.leaving_at = now
        effect = HeartbeatEffect.LEAVING
    return effect


def replaces(backend: Backend, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat shows that another incarnation runs now than the known one."""
    known, key = backend.latest, _incarnation_key(heartbeat)
    if known is None or key == _incarnation_key(known) or key in backend.ended:
        return False
    return heartbeat.born >= known.born


def apply_leave(backend: Backend, instance: str, born: int, now: float) -> bool:
    """Record that an incarnation has ended; return whether it is the current one.

    Args:
        backend: The backend server's state.
        instance: The incarnation's identifier.
        born: Its start time in milliseconds since the epoch, or 0 if not given.
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


def apply_limit(
    backend: Backend, limit_per_s: float | None, heard_at: float, from_server: bool
) -> bool:
    """Record the rate limit that the backend server names; return whether it changed.

    Args:
        backend: The backend server's state.
        limit_per_s: The limit in requests per second, or None if it names none.
        heard_at: When a gate heard that, in seconds on the monotonic clock.
        from_server: Whether it comes from the server's own response and not from another sidecar,
            which no longer counts once the server itself has answered.
    """
    if not from_server and backend.has_answered:
        return False
    backend.has_answered = from_server
    backend.limit_heard_at = heard_at
    changed = limit_per_s != backend.limit_per_s
    backend.limit_per_s = limit_per_s
    return changed


def apply_leaving(backend: Backend, now: float) -> bool:
    """Record that the current incarnation is leaving; return whether that is new."""
    if backend.leaving_at is not None:
        return False
    backend.leaving_at = now
    return True


def is_current(backend: Backend, instance: str, born: int) -> bool:
    """Return whether an incarnation is the one that runs now."""
    return backend.latest is not None and _incarnation_key(backend.latest) == (instance, born)


def accepts_requests(backend: Backend) -> bool:
    """Return whether the backend server accepts new requests."""
    return backend.latest is not None and backend.leaving_at is None


def _incarnation_key(heartbeat: Heartbeat) -> tuple[str, int]:
    return heartbeat.instance, heartbeat.born


def _is_restart(known: Heartbeat, heartbeat: Heartbeat) -> bool:
    """Return whether the sequence restarted, for heartbeats without a start time to compare."""
    return not heartbeat.born and heartbeat.sequence < known.sequence and heartbeat.cold_s > 0


def _record_ended(backend: Backend, incarnation: tuple[str, int]) -> None:
    backend.ended[incarnation] = None
    while len(backend.ended) > MAX_ENDED_INCARNATIONS:
        backend.ended.popitem(last=False)
