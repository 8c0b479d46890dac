"""The record of a takeover in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from .plans import Phase, Progress
from .ramp import STAGES, list_untested_routes
from .rollout import LOWERED_SHARE, is_lowered

if TYPE_CHECKING:
    from ..core.node import Node
    from .evidence import RouteEvidence
    from .takeovers import Takeover

RECORD_PREFIX = "rollout/"
LEASE_PREFIX = "rollout-lease/"


@attrs.frozen
class RouteReport:
    """The evidence on one route, for operators; fields as in `evidence.RouteEvidence`."""

    calls: int
    new_calls: int
    new_failures: int
    old_failures: int
    new_slow: int
    old_slow: int
    score: float
    level: float


@attrs.frozen
class Record:
    """What the platform's store holds of a takeover.

    Attributes:
        service: The service.
        from_release: The release that served before.
        to_release: The release that is to serve.
        start_at: Seconds since the epoch.
        finish_by: Seconds since the epoch.
        progress: How far it has come.
        generation: Counts the controllers that the service has had.
        holder: The controller's name.
        updated_at: When it was written, in seconds since the epoch.
        share: The shares in the trial data centre and in the others.
        evidence: What is known of each route.
        untested: Routes with too few calls to judge.
    """

    service: str
    from_release: str
    to_release: str
    start_at: float
    finish_by: float
    progress: Progress
    generation: int
    holder: str
    updated_at: float
    share: tuple[float, float]
    evidence: dict[str, RouteReport] = attrs.field(factory=dict)
    untested: list[str] = attrs.field(factory=list)


@attrs.frozen
class LocalReport:
    """A takeover as one daemon knows it.

    Attributes:
        service: The service.
        from_release: The release that served before.
        to_release: The release that is to serve.
        start_at: Seconds since the epoch.
        finish_by: Seconds since the epoch.
        progress: How far it has come.
        shares: The share of the new release by route, for calls through this daemon.
        controller: The controller's name, as heard last.
        controls: Whether this daemon is the controller.
        evidence: What this daemon knows as the controller, or of its data centre as a collector.
    """

    service: str
    from_release: str
    to_release: str
    start_at: float
    finish_by: float
    progress: Progress
    shares: dict[str, float]
    controller: str
    controls: bool
    evidence: dict[str, RouteReport]


def name_record_key(service: str) -> str:
    """Return the key of a service's record."""
    return RECORD_PREFIX + service


def name_lease_key(service: str) -> str:
    """Return the key that the controller of a service holds by its lease."""
    return LEASE_PREFIX + service


def decode_record(value: bytes) -> Record | None:
    """Return a record, or None where there is none or it can't be read."""
    try:
        return msgspec.json.decode(value, type=Record)
    except msgspec.MsgspecError:
        return None


def build_record(holder: str, now: float, takeover: Takeover, progress: Progress) -> Record:
    """Return the record of a takeover.

    Args:
        holder: The controller's name.
        now: Seconds since the epoch.
        takeover: The takeover.
        progress: The progress to record.
    """
    plan = takeover.plan
    routes = takeover.control.collection.tester.routes
    return Record(
        plan.service,
        plan.from_release,
        plan.to_release,
        plan.start_at,
        plan.finish_by,
        progress,
        takeover.control.generation,
        holder,
        now,
        describe_share(progress),
        {name: build_report(evidence) for name, evidence in routes.items()},
        list_untested_routes(plan, routes),
    )


def list_rollouts(node: Node) -> list[LocalReport]:
    """Return the takeovers of the configuration in force as one daemon knows them."""
    reports = []
    for takeover in node.takeovers.active.values():
        plan, control = takeover.plan, takeover.control
        collection = control.collection if control.holding else takeover.collected
        report = LocalReport(
            plan.service,
            plan.from_release,
            plan.to_release,
            plan.start_at,
            plan.finish_by,
            takeover.progress,
            dict(takeover.shares),
            takeover.controller,
            control.holding,
            {name: build_report(evidence) for name, evidence in collection.tester.routes.items()},
        )
        reports.append(report)
    return reports


def build_report(evidence: RouteEvidence) -> RouteReport:
    """Return the evidence on one route for operators."""
    finding = evidence.finding
    return RouteReport(
        evidence.calls,
        evidence.new_calls,
        evidence.new_failures,
        evidence.old_failures,
        evidence.new_slow,
        evidence.old_slow,
        round(finding.score, 3),
        round(finding.level, 3),
    )


def describe_share(progress: Progress) -> tuple[float, float]:
    """Return the shares in the trial data centre and in the others."""
    if progress.phase is Phase.COMPLETED:
        return 1.0, 1.0
    if progress.phase is Phase.REVERSED or progress.stage < 0:
        return 0.0, 0.0
    trial, others = STAGES[progress.stage]
    if is_lowered(progress):
        return min(trial, LOWERED_SHARE), min(others, LOWERED_SHARE)
    return trial, others
