"""What two sidecars say to each other with a request and with its answer."""

from __future__ import annotations

import attrs
import msgspec

from .gate import MAX_WAIT_S

CALL_HEADER = "Magnoliasill-Call"
REPORT_HEADER = "Magnoliasill-Report"


@attrs.frozen
class HopCall:
    """What the caller's sidecar says with a request.

    Attributes:
        identifier: The attempt's identifier.
        service: The service that is to run it.
        instance: The incarnation of the backend server that is meant.
        calling_service: The service on the VM where the request began.
        route: The route's name.
        idempotent: Whether it may run more than once.
        nested: Whether a backend server made it while it ran another request.
        priority: Its rank; 0 is the most urgent.
        time_left_s: Seconds that the caller still waits.
        target_left_s: Seconds within which an answer is worth most; below 0 once they are over.
        late: Whether it may wait beyond that.
        repeat: Whether it was sent to another backend server before.
        wait_left_s: Seconds after which it is refused if it has not started.
    """

    identifier: str
    service: str
    instance: str
    calling_service: str
    route: str
    idempotent: bool
    nested: bool
    priority: int
    time_left_s: float
    target_left_s: float
    late: bool
    repeat: bool = False
    wait_left_s: float = MAX_WAIT_S


@attrs.frozen
class GateReport:
    """What the backend server's sidecar says with an answer.

    Attributes:
        ran: `yes` where the answer is the backend server's, `no` where the request certainly did
            not run, `unknown` where it may have.
        reason: Why the gate answered by itself, or an empty string.
        arrived: Whether the request reached the backend server.
        busy: Requests that run or wait at the gate.
        mean_s: Seconds for a request.
        failing: The share of failures among the latest answers.
        closed: Whether the backend server takes no new work.
    """

    ran: str
    reason: str = ""
    arrived: bool = False
    busy: int = 0
    mean_s: float = 0.0
    failing: float = 0.0
    closed: bool = False


def encode_header_value(note: HopCall | GateReport) -> str:
    """Return the value of a header."""
    return msgspec.json.encode(note).decode("ascii", "replace")


def decode_call(text: str) -> HopCall | None:
    """Return what a request's header says, or None if it can't be understood."""
    try:
        return msgspec.json.decode(text, type=HopCall)
    except msgspec.MsgspecError:
        return None


def decode_report(text: str) -> GateReport | None:
    """Return what an answer's header says, or None if it can't be understood."""
    try:
        return msgspec.json.decode(text, type=GateReport)
    except msgspec.MsgspecError:
        return None
