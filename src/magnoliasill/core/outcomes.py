"""Outcomes: how each attempt to run a call on a backend server ended."""

from __future__ import annotations

from enum import Enum

import attrs


class OutcomeKind(Enum):
    """The class of one attempt's end."""

    SUCCEEDED = "succeeded"  # an answer below 500 arrived whole
    FAILED = "failed"  # the backend server answered 5xx after running the call
    SHED = "shed"  # the backend server said that it did not run the call
    UNREACHABLE = "unreachable"  # no connection, so the call did not run
    BROKEN = "broken"  # the connection ended before a whole answer; it may have run
    TIMED_OUT = "timed out"  # no whole answer in time; it may have run
    CANCELLED = "cancelled"  # the caller went away


DID_NOT_RUN = frozenset({OutcomeKind.SHED, OutcomeKind.UNREACHABLE})


@attrs.frozen
class Outcome:
    """The end of one attempt.

    Attributes:
        service: The service's name.
        route: The route's name.
        release: The release that the backend server runs.
        server_address: The backend server's `ip:port`.
        kind: How it ended.
        ended_at: Seconds of the node's clock.
        seconds: From sending to the end.
    """

    service: str
    route: str
    release: str
    server_address: str
    kind: OutcomeKind
    ended_at: float
    seconds: float
