"""Requests between sidecars at their gate addresses; forwards no caller requests."""

from __future__ import annotations

from http.client import HTTPException
from typing import TYPE_CHECKING, TypeVar

from ..decoding import DecodingError, decode_json
from ..errors import MagnoliasillError
from .http_exchange import Message, NotSentError, TimedOutError, exchange
from .link_use import count_received, count_sent

if TYPE_CHECKING:
    from ..mesh.members import Member
    from .http_exchange import Reply
    from .state import Sidecar

Answer = TypeVar("Answer")
MAX_ANSWER_BYTES = 33_554_432  # a relay's snapshot of a large fleet with its longest values


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
        answer = _read_body(response)
        decoded = decode_json(answer, response_type)
    except (MagnoliasillError, DecodingError, HTTPException, OSError) as error:
        # The caller of this function decides what to do.
        sidecar.meters.count("member_requests", _name_failure(error))
        return None
    sidecar.meters.count("member_requests", "answered")
    count_sent(sidecar, "control", len(body or b""))
    count_received(sidecar, "control", len(answer))
    return decoded


def _name_failure(error: Exception) -> str:
    """Return the label under which a failure is counted."""
    match error:
        case NotSentError():
            return "unreached"
        case TimedOutError():
            return "late"
        case DecodingError():
            return "undecodable"
    return "broken"


def _read_body(response: Reply) -> bytes:
    """Return the complete body of a response.

    Raises:
        HTTPException: If it is longer than any that a sidecar sends, or is cut short.
    """
    parts, size = [response.body], len(response.body)
    for chunk in response.remaining_chunks or ():
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            response.remaining_chunks.close()
            raise HTTPException(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
    return b"".join(parts)
