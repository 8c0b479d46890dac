"""Sends large answers of this VM's backend server to other VMs piece by piece."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from ..mesh.egress import (
    PIECE_BYTES,
    SMALL_ANSWER_BYTES,
    find_transfer_seconds,
    observe_size,
    reserve_link,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .http_exchange import Reply
    from .state import Sidecar


def pace_answer(
    sidecar: Sidecar, route: str, reply: Reply, body: Iterable[bytes]
) -> Iterable[bytes]:
    """Return the body of an answer, in pieces that wait for the link if it is large.

    Args:
        sidecar: The sidecar's state.
        route: The request's route.
        reply: The backend server's response.
        body: The bytes of the response's body.
    """
    size, rate = len(reply.body), sidecar.settings.link_mbps
    observe_size(sidecar.egress, route, size)
    wait_s = reserve_link(sidecar.egress, size, rate, sidecar.clock())
    if size <= SMALL_ANSWER_BYTES or rate <= 0:
        return body
    return _send_pieces(sidecar, wait_s, size, body)


def _send_pieces(
    sidecar: Sidecar, wait_s: float, reserved_bytes: int, body: Iterable[bytes]
) -> Iterator[bytes]:
    """Yield the pieces of a large answer at the rate of the link, from its turn on."""
    rate = sidecar.settings.link_mbps
    next_at = sidecar.clock() + wait_s
    try:
        for chunk in body:
            for start in range(0, len(chunk), PIECE_BYTES):
                piece = chunk[start : start + PIECE_BYTES]
                eventlet.sleep(max(next_at - sidecar.clock(), 0.0))
                yield piece
                next_at += find_transfer_seconds(len(piece), rate)
                reserved_bytes -= len(piece)
                if reserved_bytes < 0:  # the rest of a streamed answer
                    reserve_link(sidecar.egress, -reserved_bytes, rate, sidecar.clock())
                    reserved_bytes = 0
    finally:
        if hasattr(body, "close"):
            body.close()
