"""The tables of the takeovers that a node takes part in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .evidence import Tester
    from .plans import Plan, Progress
    from .tally import Tally

MAX_ENDED = 64
WINDOW_S = 0.5


@attrs.define
class Counted:
    """The latest sums that came from one daemon.

    Attributes:
        incarnation: The daemon's incarnation; its sums start again with a new one.
        sequence: The number of the message.
        counts: The sums that it carried.
        tested: The part of them that the tests have seen.
        heard_at: When it came.
    """

    incarnation: int
    sequence: int
    counts: list[int]
    tested: list[int]
    heard_at: float


@attrs.define
class Collection:
    """What a node has gathered from others, and the tests over it.

    Attributes:
        tester: The tests.
        sources: The latest sums by the name of the daemon that sent them.
        sequence: Counts the summaries sent on.
        window_at: When the next window ends.
    """

    tester: Tester
    sources: dict[str, Counted] = attrs.field(factory=dict)
    sequence: int = 0
    window_at: float = 0.0


@attrs.define
class Control:
    """The node's part as the controller of a takeover.

    Attributes:
        collection: What the collectors of each data centre sent, and the tests over all of it.
        lease: The lease that it holds or asks for.
        lease_until: When the lease is over, counted from before its last request was sent.
        asked_at: When the outstanding lease request was sent.
        holding: Whether this node is the controller.
        generation: Written to the record when control is taken, above all earlier ones.
        revision: The record's revision in the store.
        recorded: The progress as the record holds it, None before it was read.
        proposed: The progress of an outstanding write.
        busy: Whether a request is outstanding.
        renewing: Whether a renewal is outstanding.
        claim_at: When control may be claimed next.
        renew_at: When to renew next.
        record_at: When to write the evidence next.
        news_at: When to tell the collectors next.
        chosen: The collector that counts, by data centre.
        stage_calls: Calls to the new release since the share last changed.
        stage_mark: The number and lowering that `stage_calls` belongs to.
    """

    collection: Collection
    lease: str = ""
    lease_until: float = 0.0
    asked_at: float = 0.0
    holding: bool = False
    generation: int = 0
    revision: int = 0
    recorded: Progress | None = None
    proposed: Progress | None = None
    busy: bool = False
    renewing: bool = False
    claim_at: float = 0.0
    renew_at: float = 0.0
    record_at: float = 0.0
    news_at: float = 0.0
    chosen: dict[str, str] = attrs.field(factory=dict)
    stage_calls: int = 0
    stage_mark: tuple[int, int] = (0, 0)


@attrs.define
class Takeover:
    """One takeover as this node knows it.

    Attributes:
        plan: What the operators asked for.
        progress: How far it has come.
        tally: The node's own sums.
        collected: What the daemons of the own data centre sent, if this node collects.
        control: The node's part as its controller.
        shares: The share of the new release by route.
        new_servers: Backend servers of the new release by data centre.
        old_servers: Backend servers of the old release by data centre.
        refresh_at: When to look at the backend servers next.
        report_at: When to report next.
        reported: The sums of the last report.
        sequence: Counts the reports.
        compare_at: When to compare the progress with a peer next.
        controller: The name of the controller, as heard last.
        controller_at: When it was heard.
        stored: Whether the end of the takeover is known to be in the platform's store.
    """

    plan: Plan
    progress: Progress
    tally: Tally
    collected: Collection
    control: Control
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
    """The takeovers of a node.

    Attributes:
        active: Takeovers of the configuration in force, by service.
        version: The configuration version that they belong to.
        ended: Progress of takeovers that were taken back, by identifier.
    """

    active: dict[str, Takeover] = attrs.field(factory=dict)
    version: int = 0
    ended: dict[str, Progress] = attrs.field(factory=dict)
