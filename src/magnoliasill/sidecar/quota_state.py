"""State of one sidecar's part in teams' quotas."""

from __future__ import annotations

from time import time_ns
from typing import TYPE_CHECKING

import attrs
from eventlet.event import Event

from ..mesh.quota_coordinator import Coordinator
from ..mesh.quota_record import FULL

if TYPE_CHECKING:
    from ..mesh.quota_messages import CoordinatorList
    from ..mesh.quota_record import QuotaRecord
    from ..mesh.quotas import TeamUse

NEVER = float("-inf")


@attrs.define
class QuotaState:
    """Teams' requests at this sidecar, and its part as a coordinator.

    Attributes:
        uses: By team.
        coordinator: What this sidecar divides, if it is a coordinator.
        listed: The list of coordinators in the local copy of the store, or None.
        list_revision: The position of that item.
        created_version: The version of the list that this process wrote where there had been none.
        position: This sidecar's position among the members by name, or None if it is not one.
        members: The number of members.
        started_ms: When the process started, in milliseconds since the epoch.
        number: The number of the last report.
        open_reports: The coordinators that have not answered yet.
        reported_at: When a report was sent to each coordinator.
        silent: The coordinators that did not answer the last report, with the time of the first
            report in a row that they did not answer.
        heard: Those that have answered since the list changed.
        answered: By team: event that is set when a coordinator has answered.
        refusing: When requests of a team were last refused, for those whose refusals are logged.
        wake: Event that ends the wait for the next report early.
        list_due_at: When this sidecar writes the list of coordinators, if it is still due.
        record: The coordinator's record in the local copy of the store, or None.
        record_revision: The position of that item.
        record_written_at: When this process last tried to write it.
        full_token: What the next full report tells.
        is_confirming: Whether the next one confirms the last.
        told: The version and writer of the record whose coordinator was told all that is held here.
    """

    uses: dict[str, TeamUse] = attrs.field(factory=dict)
    coordinator: Coordinator = attrs.field(factory=Coordinator)
    listed: CoordinatorList | None = None
    list_revision: int = 0
    created_version: int = 0
    position: int | None = None
    members: int = 0
    started_ms: int = attrs.field(factory=lambda: time_ns() // 1_000_000)
    number: int = 0
    open_reports: set[str] = attrs.field(factory=set)
    reported_at: dict[str, float] = attrs.field(factory=dict)
    silent: dict[str, float] = attrs.field(factory=dict)
    heard: set[str] = attrs.field(factory=set)
    answered: dict[str, Event] = attrs.field(factory=dict)
    refusing: dict[str, float] = attrs.field(factory=dict)
    wake: Event = attrs.field(factory=Event)
    list_due_at: float | None = None
    record: QuotaRecord | None = None
    record_revision: int = 0
    record_written_at: float = NEVER
    full_token: int = FULL
    is_confirming: bool = False
    told: tuple[int, str] | None = None
