"""The plan of a takeover, and the progress that daemons exchange and store."""

from __future__ import annotations

from enum import Enum

import attrs


class Phase(Enum):
    """State of a takeover; `REVERSED` means rolled back to the old release."""

    RUNNING = "running"
    COMPLETED = "completed"
    REVERSED = "reversed"


@attrs.frozen
class Plan:
    """A takeover as the operators configured it.

    Attributes:
        takeover_id: Hash of the plan: equal on every daemon, different for every takeover.
        service: The service's name.
        from_release: The old release, which serves when the takeover starts.
        to_release: The new release.
        start_at: Start time, in seconds since the epoch.
        finish_by: Deadline, in seconds since the epoch.
        routes: Names of the service's routes.
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
    """State of a takeover that daemons exchange and that the platform's store holds.

    Attributes:
        takeover_id: Identifier of the takeover.
        phase: Whether it is running, completed or rolled back.
        number: Number of raises so far; each is written to the platform's store first.
        lowered: The highest raise number that a daemon withdrew after an alarm, 0 if none. The
            daemon sets it one above the number it knows, since another raise may be in flight.
        stage: Index in `ramp.STAGES`, or -1 before the first raise.
        changed_at: When the share was last raised or lowered, in seconds since the epoch.
        trial: The data centre whose share is raised first.
        boosts: Minimum share by route, higher for routes with few calls.
        alarms: Number of times that the share was lowered.
        reason: Why the share was last changed, or the takeover completed or rolled back.
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
