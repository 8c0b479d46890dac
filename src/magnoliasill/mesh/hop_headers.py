"""The headers that two sidecars exchange with a request and with its answer."""

from __future__ import annotations

import json

import attrs
import msgspec

from ..decoding import DecodingError, decode_json
from .crash_findings import CrashRecord  # noqa: TC001 - msgspec evaluates it
from .fields import Count, Number, PositiveNumber  # noqa: TC001 - msgspec evaluates it
from .gate import MAX_WAIT_S

CALL_HEADER = "Magnoliasill-Call"
REPORT_HEADER = "Magnoliasill-Report"


@attrs.frozen
class HopCall:
    """The header that the caller's sidecar adds to a request.

    Attributes:
        identifier: The identifier of this attempt.
        service: The service that the request is for.
        instance: The incarnation of the backend server that the request is for.
        calling_service: The service on the VM where the request originated.
        route: The route's name.
        idempotent: Whether the request may run more than once.
        nested: Whether a backend server sent it while running another request.
        priority: Its priority; 0 is the most urgent.
        time_left_s: Seconds until the caller stops waiting.
        target_left_s: Seconds until the latency target; negative once it has passed.
        late: Whether the request may be queued past its target.
        repeat: Whether it was sent to another backend server before.
        wait_left_s: Seconds after which it is refused if it has not started.
        born: The start time of that incarnation in milliseconds since the epoch, or 0.
        limit_per_s: The rate limit of the backend server that the sender knows of, or None.
        limit_age_s: Seconds since the gate heard of it.
        crashes: What the sender knows of servers that ended under equal requests, or None.
        typical_s: The usual duration of the route's requests at all servers in seconds, or 0.
        fingerprint: The hash that identifies equal requests, or None if the gate can compute it;
            the body follows only once the gate asks for it.
    """

    identifier: str
    service: str
    instance: str
    calling_service: str
    route: str
    idempotent: bool
    nested: bool
    priority: int
    time_left_s: Number
    target_left_s: Number
    late: bool
    repeat: bool = False
    wait_left_s: Number = MAX_WAIT_S
    born: Count = 0
    limit_per_s: PositiveNumber | None = None
    limit_age_s: Number = 0.0
    crashes: CrashRecord | None = None
    typical_s: Number = 0.0
    fingerprint: bytes | None = None


@attrs.frozen
class GateReport:
    """The header that the backend server's sidecar adds to an answer.

    Attributes:
        ran: `yes` if the backend server answered, `no` if the request certainly did not run,
            `unknown` if it may have run.
        reason: Why the gate answered in place of the server, or an empty string.
        arrived: Whether the request reached the backend server.
        busy: The number of requests that run or wait at the gate.
        mean_s: The moving average of a request's duration in seconds.
        failing: The moving average of the share of failed answers.
        closed: Whether the backend server takes no new requests.
        leaving: Whether that is because the server itself is leaving.
        limit_per_s: The rate limit that the backend server names, or None.
        limit_age_s: Seconds since the gate heard of it, or None if it has not heard of any limit or
            of its absence since its start.
        turn_s: Seconds after which the sender may send the next request under the limit.
        crashes: What the gate knows of servers that ended under equal requests, or None.
        blocked_s: Seconds for which equal requests are refused for that.
        run_s: Seconds that the request ran at the backend server, or 0.
        pace: The durations of the server's requests as a multiple of those at all servers.
        link_s: Seconds until the VM's link has sent the answers passed to it.
        inbound_s: Seconds until the bodies that the gate waits for have come over that link.
        lag_s: Seconds that a step of a request waits for its turn in the gate's process.
        evacuated_at: The position in the store's history of the order to evacuate the gate's data
            centre, or 0.
        open_slots: The requests that the gate lets run at once while it paces the server, or 0.
        cold_s: Seconds for which the backend server is still cold.
        cold_per_s: The requests a second that it bears until then, or 0.
    """

    ran: str
    reason: str = ""
    arrived: bool = False
    busy: Count = 0
    mean_s: Number = 0.0
    failing: Number = 0.0
    closed: bool = False
    leaving: bool = False
    limit_per_s: PositiveNumber | None = None
    limit_age_s: Number | None = None
    turn_s: Number = 0.0
    crashes: CrashRecord | None = None
    blocked_s: Number = 0.0
    run_s: Number = 0.0
    pace: Number = 1.0
    link_s: Number = 0.0
    inbound_s: PositiveNumber = 0.0
    lag_s: PositiveNumber = 0.0
    evacuated_at: Count = 0
    open_slots: Count = 0
    cold_s: PositiveNumber = 0.0
    cold_per_s: PositiveNumber = 0.0


_DEFAULTS = {
    header: tuple((field.name, field.default) for field in attrs.fields(header))
    for header in (HopCall, GateReport)
}


def encode_header_value(fields: HopCall | GateReport) -> str:
    """Return the encoded value of a header, in ASCII: other characters are escaped.

    Fields that have their default value are left out, since each request and answer that goes to
    another VM carries a header.
    """
    defaults = _DEFAULTS[type(fields)]
    encoded = msgspec.json.encode(
        {
            name: value
            for name, default in defaults
            if (value := getattr(fields, name)) != default or default is attrs.NOTHING
        }
    )
    if not encoded.isascii():
        return json.dumps(json.loads(encoded), separators=(",", ":"))
    return encoded.decode("ascii")


def decode_call(text: str) -> HopCall | None:
    """Decode the header of a request; return None if it is malformed."""
    try:
        return decode_json(text, HopCall)
    except DecodingError:
        return None


def decode_report(text: str) -> GateReport | None:
    """Decode the header of an answer; return None if it is malformed."""
    try:
        return decode_json(text, GateReport)
    except DecodingError:
        return None
