"""Why a backend server gets no request at present."""

from __future__ import annotations

from enum import StrEnum


class Exclusion(StrEnum):
    """The reason for which placement leaves out a member.

    Attributes:
        LEAVING: Its server or its sidecar is leaving.
        EVACUATED: Its data centre is being evacuated.
        WITHHELD: Its release gets no requests.
        LIMITED: Its release's share gives the request to other servers.
        TRIED: The request was sent there already.
        AVOIDED: It was unreachable, or its gate closed.
        FULL: It was too full for a request that can still meet its target.
        CLOSED: It was too full also for a request that misses its target.
        COLD: Its server is cold, and this sidecar's next turn there is too late.
        RATE_LIMITED: The same for a rate limit that its server announced.
        REMOTE: A server of the own data centre answers well within the target, or sooner than this
            one together with the cost of the way there.
    """

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    WITHHELD = "release_withheld"
    LIMITED = "release_share"
    TRIED = "tried"
    AVOIDED = "avoided"
    FULL = "full"
    CLOSED = "closed"
    COLD = "cold"
    RATE_LIMITED = "rate_limited"
    REMOTE = "remote_not_needed"
