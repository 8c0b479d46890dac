"""Questions of one sidecar to another, beside the requests of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from ..errors import MagnoliasillError
from .transfer import Message, exchange

if TYPE_CHECKING:
    from ..mesh.members import Member
    from .state import Sidecar

Answer = TypeVar("Answer")


def ask_member(
    sidecar: Sidecar, member: Member, target: str, timeout_s: float, kind: type[Answer]
) -> Answer | None:
    """Return a member's answer, or None if there was none in time that can be read.

    Args:
        sidecar: The tables.
        member: Who is asked, at its gate.
        target: Path and query.
        timeout_s: Seconds to wait.
        kind: The type of the answer.
    """
    message = Message("GET", target, [("Host", member.gate)], None)
    deadline = sidecar.clock() + timeout_s
    try:
        reply = exchange(sidecar.peer_links, member.gate, message, deadline, True)
        return msgspec.json.decode(reply.body, type=kind)
    except (MagnoliasillError, msgspec.MsgspecError):
        return None  # the caller counts it, and says what follows
