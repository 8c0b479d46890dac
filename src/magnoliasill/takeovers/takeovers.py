"""A node's state of the takeovers in its configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .call_counts import Tally
    from .evidence import Tester
    from .plans import Plan, Progress

MAX_REVERSED = 64  # rolled-back takeovers that a node remembers
WINDOW_S = 0.5  # time window of the statistical tests


@attrs.define
class ReceivedCounts:
    """Latest cumulative counts received from one daemon.

    Attributes:
        incarnation: When the sender began to count, from zero, in milliseconds since the epoch.
        sequence: Sequence number of the message.
        counts: The counts in the message.
        tested: The part of the counts that the tests have processed.
        heard_at: When the message arrived.
    """

    incarnation: int
    sequence: int
    counts: list[int]
    tested: list[int]
    heard_at: float


@attrs.define
class EvidenceCollection:
    """Counts that a node received from other daemons, and the tests on them.

    Attributes:
        tester: The tests.
        sources: The latest counts by the name of the sender.
        sequence: Sequence number of the last summary sent.
        window_at: When the current time window ends.
    """

    tester: Tester
    sources: dict[str, ReceivedCounts] = attrs.field(factory=dict)
    sequence: int = 0
    window_at: float = 0.0


@attrs.define
class ControllerState:
    """State of the node as the controller of a takeover, or as a candidate.

    Attributes:
        collection: Totals from the collector of each data centre, and the tests on all of them.
        lease: The lease that the node holds or requests.
        lease_until: When the lease expires, counted from when its last granted request was sent.
        lease_requested_at: When the outstanding lease request was sent.
        holding: Whether this node is the controller.
        generation: Generation in the record, higher than that of every earlier controller.
        revision: The record's revision in the store.
        recorded: The progress that the record holds, None before the node has written it.
        proposed: The progress of an outstanding write.
        request_pending: Whether a request other than a renewal is outstanding.
        renewal_pending: Whether a renewal is outstanding.
        claim_at: When control may be claimed next.
        renew_at: When to renew the lease next.
        record_at: When to write the evidence to the record next.
        news_at: When to send the controller's name to the collectors next.
        chosen_collectors: The collector whose totals are used, by data centre.
        stage_calls: Calls to the new release since the share last changed.
        stage_calls_key: The `number` and `lowered` of the progress that `stage_calls` counts for.
    """

    collection: EvidenceCollection
    lease: str = ""
    lease_until: float = 0.0
    lease_requested_at: float = 0.0
    holding: bool = False
    generation: int = 0
    revision: int = 0
    recorded: Progress | None = None
    proposed: Progress | None = None
    request_pending: bool = False
    renewal_pending: bool = False
    claim_at: float = 0.0
    renew_at: float = 0.0
    record_at: float = 0.0
    news_at: float = 0.0
    chosen_collectors: dict[str, str] = attrs.field(factory=dict)
    stage_calls: int = 0
    stage_calls_key: tuple[int, int] = (0, 0)


@attrs.define
class Takeover:
    """State of one takeover on this node.

    Attributes:
        plan: The plan from the configuration.
        progress: The takeover's progress.
        tally: Counts of the calls made through this node.
        local_collection: Counts from the daemons of this data centre, if this node collects.
        control: The node's state as controller.
        shares: The share of the new release by route.
        new_servers: Backend servers of the new release by data centre.
        old_servers: Backend servers of the old release by data centre.
        refresh_at: When to update the backend servers next.
        report_at: Earliest time of the next report.
        reported: The counts in the last report.
        sequence: Sequence number of the last report.
        compare_at: When to compare the progress with a peer next.
        controller: Last known name of the controller.
        controller_at: When the controller was last heard of.
        stored: Whether the platform's store is known to hold the completion or rollback.
    """

    plan: Plan
    progress: Progress
    tally: Tally
    local_collection: EvidenceCollection
    control: ControllerState
    shares: dict[str, float] = attrs.field(factory=dict)
    new_servers: dict[str, int] = attrs.field(factory=dict)
    old_servers: dict[str, int] = attrs.field(factory=dict)
    refresh_at: float = 0.0
    report_at: float = 0.0
    reported: list[int] = attrs.field(factory=list)
    sequence: int = 0
    compare_at: float = 0.0
    controller: str = ""
    controller_at: float = 0.0
    stored: bool = False


@attrs.define
class TakeoverTable:
    """All takeovers of a node.

    Attributes:
        active: Takeovers of the applied configuration, by service.
        version: The configuration version that they belong to.
        reversed_progress: Progress of takeovers that were rolled back, by identifier.
    """

    active: dict[str, Takeover] = attrs.field(factory=dict)
    version: int = 0
    reversed_progress: dict[str, Progress] = attrs.field(factory=dict)
