"""Requests between sidecars at their gate addresses; forwards no caller requests."""

from __future__ import annotations

from http.client import HTTPException
from typing import TYPE_CHECKING, TypeVar

from ..decoding import DecodingError, decode_json
from ..errors import MagnoliasillError
from .http_exchange import Message, exchange

if TYPE_CHECKING:
    from ..mesh.members import Member
    from .state import Sidecar

Answer = TypeVar("Answer")


def request_from_member(
    sidecar: Sidecar,
    member: Member,
    target: str,
    timeout_s: float,
    response_type: type[Answer],
    body: bytes | None = None,
) -> Answer | None:
    """Return a member's decoded response, or None if it was late or could not be decoded.

    Args:
        sidecar: State of this sidecar.
        member: The member to query, at its gate address.
        target: Request target: path and query.
        timeout_s: Seconds to wait for the response.
        response_type: The type to decode the JSON body into.
        body: The body of the request, which is sent with POST then, or None.
    """
    method = "GET" if body is None else "POST"
    message = Message(method, target, [("Host", member.gate)], body)
    deadline = sidecar.clock() + timeout_s
    try:
        response = exchange(sidecar.control_connections, member.gate, message, deadline, True)
        answer = b"".join((response.body, *(response.remaining_chunks or ())))
        return decode_json(answer, response_type)
    except (MagnoliasillError, DecodingError, HTTPException, OSError):
        return None  # the caller of this function counts the failure and decides what to do
