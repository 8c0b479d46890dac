"""Sends large answers of this VM's backend server to other VMs piece by piece."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from ..mesh.egress import PIECE_BYTES, SMALL_ANSWER_BYTES, observe_size, pass_to_link

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
    size = len(reply.body)
    observe_size(sidecar.egress, route, size)
    if size <= SMALL_ANSWER_BYTES or sidecar.settings.link_mbps <= 0:
        pass_to_link(sidecar.egress, size, sidecar.settings.link_mbps, sidecar.clock())
        return body
    return _send_pieces(sidecar, size, body)


def _send_pieces(sidecar: Sidecar, size: int, body: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the pieces of one large answer at a time, in the order of the answers."""
    egress, rate = sidecar.egress, sidecar.settings.link_mbps
    pending = size
    egress.pending_bytes += pending
    try:
        with sidecar.large_answer_turn:
            for chunk in body:
                for start in range(0, len(chunk), PIECE_BYTES):
                    piece = chunk[start : start + PIECE_BYTES]
                    passed = min(len(piece), pending)
                    pending -= passed
                    egress.pending_bytes -= passed
                    sent_in_s = pass_to_link(egress, len(piece), rate, sidecar.clock())
                    yield piece
                    eventlet.sleep(sent_in_s)
    finally:
        egress.pending_bytes -= pending
        if hasattr(body, "close"):
            body.close()
