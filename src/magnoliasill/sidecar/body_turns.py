"""Receives the bodies that other sidecars announce, in turn where they fill the link."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from eventlet.event import Event

from ..calls.cancellation import CallerDisconnectedError
from ..codes import ErrorCode
from ..errors import MagnoliasillError
from ..mesh.egress import find_transfer_seconds
from ..mesh.ingress import (
    ExpectedBody,
    announce_body,
    end_turn,
    estimate_arrival,
    find_arrival_refusal,
)
from .bodies import MAX_BUFFERED_BYTES, LongBody, defer_body, is_deferred, read_body
from .link_use import count_received

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..mesh.hop_headers import HopCall
    from .state import Sidecar

NO_BODY_LIMIT = 1 << 40  # the sidecar that the caller uses enforces the limit


class BodyRefusedError(MagnoliasillError):
    """Raised when a body would arrive too late; the message is the gate's reason."""


def find_receiver(
    sidecar: Sidecar, call: HopCall, environ: dict[str, Any]
) -> Callable[[HopCall], bytes | None] | None:
    """Return what receives the body of a request once it may run, or None if nothing has to wait.

    Args:
        sidecar: State of the gate's sidecar.
        call: The request's metadata.
        environ: The WSGI environment.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if not _is_announced(call, environ) or not 0 < length <= MAX_BUFFERED_BYTES:
        return None
    read = partial(_read_counted, sidecar, environ)
    return lambda current: receive_in_turn(sidecar, current, length, read)


def read_at_once(
    sidecar: Sidecar, call: HopCall, environ: dict[str, Any]
) -> bytes | LongBody | None:
    """Return the body of a request that needs no turn, or a long one that is streamed later.

    Raises:
        CallerDisconnectedError: If the connection ends before the body is complete.
    """
    if _is_announced(call, environ):
        return defer_body(environ, NO_BODY_LIMIT)
    return _read_counted(sidecar, environ)


def receive_in_turn(
    sidecar: Sidecar, call: HopCall, length: int, read: Callable[[], bytes | None]
) -> bytes | None:
    """Read a body when the link is free for it.

    Args:
        sidecar: State of the gate's sidecar.
        call: The request's metadata, with the times that are left now.
        length: The length of the body in bytes.
        read: Asks the sender for the body and reads it.

    Raises:
        BodyRefusedError: If it would arrive too late to be served; its sender has not sent it.
        CallerDisconnectedError: If the connection ends before the body is complete.
    """
    transfer_s = find_transfer_seconds(length, sidecar.settings.link_mbps)
    reason = find_arrival_refusal(
        estimate_arrival(sidecar.ingress, transfer_s),
        sidecar.gate.route_s.get(call.route, sidecar.gate.mean_s),
        call.time_left_s,
        call.target_left_s,
        call.late,
    )
    if reason:
        raise BodyRefusedError(ErrorCode.OVERLOADED, reason)
    turn = Event()
    body = ExpectedBody(transfer_s, turn.send)
    announce_body(sidecar.ingress, body, sidecar.clock())
    try:
        turn.wait()
        return read()
    finally:
        end_turn(sidecar.ingress, body, sidecar.clock())


def _is_announced(call: HopCall, environ: dict[str, Any]) -> bool:
    return is_deferred(environ) and call.fingerprint is not None


def _read_counted(sidecar: Sidecar, environ: dict[str, Any]) -> bytes | LongBody | None:
    """Read a body and count it, or that only a part of it came."""
    try:
        body = read_body(environ, NO_BODY_LIMIT)
    except CallerDisconnectedError:
        sidecar.meters.count("gate", "body_cut")
        raise
    count_received(sidecar, "bodies", len(body) if isinstance(body, bytes) else 0)
    return body
