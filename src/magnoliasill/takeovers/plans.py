"""The plan of a takeover, and how far it has come."""

from __future__ import annotations

from enum import Enum

import attrs


class Phase(Enum):
    """Where a takeover stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    REVERSED = "reversed"


@attrs.frozen
class Plan:
    """What the operators asked for.

    Attributes:
        takeover_id: The same at every daemon, and another for every other takeover.
        service: The service's name.
        from_release: The release that serves now.
        to_release: The release that is to serve.
        start_at: Seconds since the epoch.
        finish_by: Seconds since the epoch.
        routes: The service's routes.
    """

    takeover_id: str
    service: str
    from_release: str
    to_release: str
    start_at: float
    finish_by: float
    routes: tuple[str, ...]


@attrs.frozen
class Progress:
    """How far a takeover has come.

    Attributes:
        takeover_id: The takeover.
        phase: Where it stands.
        number: Counts raises; each is written to the platform's store first.
        lowered: The greatest number whose raise was withdrawn by a daemon that saw a fault; one
            more than it knew, since another raise may be under way.
        stage: The index in `STAGES`, -1 before the first raise.
        changed_at: When the number last changed, in seconds since the epoch.
        trial: The data centre that gets its full share first.
        boosts: Greater shares of routes with few calls.
        alarms: How often the share was lowered.
        reason: Why it was completed, lowered or taken back.
    """

    takeover_id: str
    phase: Phase = Phase.RUNNING
    number: int = 0
    lowered: int = 0
    stage: int = -1
    changed_at: float = 0.0
    trial: str = ""
    boosts: dict[str, float] = attrs.field(factory=dict)
    alarms: int = 0
    reason: str = ""
