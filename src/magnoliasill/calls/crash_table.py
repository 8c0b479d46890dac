"""The table of requests that were running on backend servers when they broke."""

from __future__ import annotations

from collections import OrderedDict

import attrs


@attrs.define
class Suspect:
    """A request that was running on backend servers when they broke.

    Attributes:
        servers: Digests of those servers' addresses since the last trial.
        seen_at: When the last of them was added.
        blocks: How often the request was blocked.
        blocked_until: Until when it is refused.
    """

    servers: set[bytes] = attrs.field(factory=set)
    seen_at: float = 0.0
    blocks: int = 0
    blocked_until: float = 0.0


@attrs.define
class CrashTable:
    """Suspect requests by fingerprint, the one seen last at the end."""

    suspects: OrderedDict[bytes, Suspect] = attrs.field(factory=OrderedDict)
