"""Outcomes of the attempts to run a call on a backend server."""

from __future__ import annotations

from enum import Enum

import attrs


class OutcomeKind(Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"  # a complete answer with a status below 500 arrived
    FAILED = "failed"  # the backend server ran the call and answered 5xx
    SHED = "shed"  # the backend server reported that it did not run the call
    UNREACHABLE = "unreachable"  # no connection could be opened, so the call did not run
    BROKEN = "broken"  # the connection closed before a complete answer; the call may have run
    TIMED_OUT = "timed out"  # no complete answer before the deadline; the call may have run
    CANCELLED = "cancelled"  # the caller disconnected


DID_NOT_RUN = frozenset({OutcomeKind.SHED, OutcomeKind.UNREACHABLE})


@attrs.frozen
class Outcome:
    """The outcome of one attempt to run a call.

    Attributes:
        service: The service's name.
        route: The route's name.
        release: The release that the backend server runs.
        server_address: The backend server's `ip:port`.
        kind: How the attempt ended.
        ended_at: When it ended, in seconds of the node's clock.
        seconds: Duration from sending the request to the end.
    """

    service: str
    route: str
    release: str
    server_address: str
    kind: OutcomeKind
    ended_at: float
    seconds: float
