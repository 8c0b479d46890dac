"""The table of requests that were running on backend servers when these crashed."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.define
class SuspectRequest:
    """A request that was running on one or more backend servers when they crashed.

    Attributes:
        servers: Hashes of the addresses of those servers.
        seen_at: When the last of them was added, in seconds of the node's clock.
        blocks: How often the request has been blocked.
        blocked_until: Until when the request is rejected, in seconds of the node's clock.
    """

    servers: set[bytes] = attrs.field(factory=set)
    seen_at: float = 0.0
    blocks: int = 0
    blocked_until: float = 0.0


@attrs.define
class CrashTable:
    """Suspect requests by fingerprint; the one updated most recently is last."""

    suspects: OrderedDict[bytes, SuspectRequest] = attrs.field(factory=OrderedDict)
