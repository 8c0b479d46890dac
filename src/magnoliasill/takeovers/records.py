"""Records of takeovers in the platform's store, and reports of them for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decoding import DecodingError, decode_json
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
    """Evidence on one route for operators, with the fields of `evidence.RouteEvidence`."""

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
    """Record of a takeover in the platform's store.

    Attributes:
        service: The service.
        from_release: The old release.
        to_release: The new release.
        start_at: Start time, in seconds since the epoch.
        finish_by: Deadline, in seconds since the epoch.
        progress: The takeover's progress.
        generation: Number of controllers that the record has had.
        holder: Name of the controller that wrote the record.
        updated_at: When the record was written, in seconds since the epoch.
        share: The shares in the trial data centre and in the others.
        evidence: Evidence by route.
        untested: Routes with too few calls to compare the releases.
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
    """State of a takeover on one daemon.

    Attributes:
        service: The service.
        from_release: The old release.
        to_release: The new release.
        start_at: Start time, in seconds since the epoch.
        finish_by: Deadline, in seconds since the epoch.
        progress: The takeover's progress.
        shares: The share of the new release by route, for calls through this daemon.
        controller: Last known name of the controller.
        controls: Whether this daemon is the controller.
        evidence: Evidence by route: of all data centres on the controller, of its own on a
            collector.
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
    """Return the store key of a service's takeover record."""
    return RECORD_PREFIX + service


def name_lease_key(service: str) -> str:
    """Return the store key that the controller of a service's takeover holds with its lease."""
    return LEASE_PREFIX + service


def decode_record(value: bytes) -> Record | None:
    """Decode a record; return None if the value is empty or invalid."""
    try:
        return decode_json(value, Record)
    except DecodingError:
        return None


def build_record(holder: str, now: float, takeover: Takeover, progress: Progress) -> Record:
    """Build the record of a takeover.

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
    """Return a report for each takeover of the configuration that the node has applied."""
    reports = []
    for takeover in node.takeovers.active.values():
        plan, control = takeover.plan, takeover.control
        collection = control.collection if control.holding else takeover.local_collection
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
    """Build an operator report from the evidence on one route."""
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
