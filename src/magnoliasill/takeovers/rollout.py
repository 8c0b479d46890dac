"""Takeover policy: decides when to raise or lower the share, complete, or roll back.

Decisions are pure functions of the plan, the progress, the evidence and the time. Any daemon may
lower the share or roll back by itself; only the controller may raise the share or complete.
"""

from __future__ import annotations

import hashlib
import math
from enum import Enum
from typing import TYPE_CHECKING

import attrs

from .evidence import CUSUM_ALARM, compute_score_limit
from .plans import Phase, Plan, Progress
from .ramp import (
    CHECKPOINT_STAGE,
    LAST_STAGE,
    MIN_BAKE_FRACTION,
    MIN_ROUTE_CALLS,
    STAGES,
    compute_bake,
    compute_dwell,
    compute_latest_raise,
    describe_bad_sparse_route,
    list_untested_routes,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..versions.service_file import ServiceFile
    from .evidence import Finding, RouteEvidence

LOWERED_SHARE = 0.1  # upper limit of the share after an alarm, until the share is raised again
OBSERVE_FRACTION = 0.03  # of the time from start to deadline, before the first calls move
RESUME_STAGE = CHECKPOINT_STAGE + 1  # highest stage to resume from a lowered share
PROPAGATION_S = 2.0  # from lowering the share until all daemons have applied it
SETTLE_S = 4.0  # from lowering the share until it may be raised again, without suspicion
MIN_SETTLE_CALLS = 100
MIN_STAGE_CALLS = 20
MIN_TOTAL_CALLS = 10
# The controller does not raise the share while either value is reached, and rolls back at the end.
SUSPICION_SCORE = 20.0
SUSPICION_CUSUM = CUSUM_ALARM / 2
# An alarm rolls back at once if the comparison test's cumulative sum reaches this value too.
AGREEMENT_THRESHOLD = math.log(100)
MAX_ALARMS = 2  # the alarm with this number rolls the release back
OVERDUE_S = 3.0  # after the deadline, until daemons return to the old release by themselves
ID_BYTES = 6


class Verdict(Enum):
    """Next action for a takeover."""

    HOLD = "hold"
    RAISE = "raise"
    LOWER = "lower"
    COMPLETE = "complete"
    REVERSE = "reverse"


_PHASE_ORDER = (Phase.RUNNING, Phase.COMPLETED, Phase.REVERSED)  # the last one wins a merge


@attrs.frozen
class Decision:
    """An action for a takeover and its reason.

    Attributes:
        verdict: The action.
        reason: The reason, which goes into the takeover's progress.
        stage: The new stage, if the action is a raise.
    """

    verdict: Verdict
    reason: str = ""
    stage: int = 0


HOLD = Decision(Verdict.HOLD)


def build_plan(file: ServiceFile) -> Plan | None:
    """Build the plan of a service's takeover, or return None if none is configured."""
    takeover = file.takeover
    if takeover is None:
        return None
    start_at, finish_by = takeover.start_at.timestamp(), takeover.finish_by.timestamp()
    parts = (file.service, takeover.from_release, takeover.to_release, start_at, finish_by)
    digest = hashlib.blake2b(repr(parts).encode(), digest_size=ID_BYTES).hexdigest()
    routes = tuple(route.name for route in file.routes)
    return Plan(digest, *parts, routes)


def compute_share(progress: Progress, data_centre: str, route: str) -> float:
    """Return the share of a route's calls that go to the new release.

    Args:
        progress: The takeover's progress.
        data_centre: The data centre of the caller's daemon.
        route: The route's name.
    """
    if progress.phase is not Phase.RUNNING:
        return 1.0 if progress.phase is Phase.COMPLETED else 0.0
    if progress.stage < 0:
        return 0.0
    trial, others = STAGES[progress.stage]
    share = trial if data_centre == progress.trial else others
    share = max(share, progress.boosts.get(route, 0.0))
    return min(share, LOWERED_SHARE) if is_lowered(progress) else share


def is_overdue(plan: Plan, now: float) -> bool:
    """Return whether the deadline has passed by more than `OVERDUE_S`."""
    return now >= plan.finish_by + OVERDUE_S


def is_lowered(progress: Progress) -> bool:
    """Return whether the last raise was withdrawn after an alarm."""
    return progress.lowered >= progress.number > 0


def is_lowering_pending(progress: Progress, now: float) -> bool:
    """Return whether some daemons may not have applied a lowered share yet."""
    return is_lowered(progress) and now < progress.changed_at + PROPAGATION_S


def merge_progress(known: Progress, other: Progress) -> Progress:
    """Merge two views of the progress of one takeover.

    The merge is commutative: the view with the higher raise number wins, and a lowered share or a
    rollback in either view is kept.
    """
    latest = max(known, other, key=lambda view: (view.number, view.lowered, view.changed_at))
    phase = max(known.phase, other.phase, key=_PHASE_ORDER.index)
    reasons = {view.reason for view in (known, other) if view.phase is phase}
    return attrs.evolve(
        latest,
        phase=phase,
        lowered=max(known.lowered, other.lowered),
        alarms=max(known.alarms, other.alarms),
        changed_at=max(known.changed_at, other.changed_at),
        reason=min(reasons) if phase is not Phase.RUNNING else latest.reason,
    )


def apply_decision(progress: Progress, decision: Decision, now: float) -> Progress:
    """Return the progress after a decision to lower, roll back or complete."""
    match decision.verdict:
        case Verdict.LOWER:
            return attrs.evolve(
                progress,
                lowered=progress.number + 1,
                alarms=progress.alarms + 1,
                changed_at=now,
                reason=decision.reason,
            )
        case Verdict.REVERSE:
            return attrs.evolve(progress, phase=Phase.REVERSED, reason=decision.reason)
        case Verdict.COMPLETE:
            return attrs.evolve(progress, phase=Phase.COMPLETED, reason=decision.reason)
    return progress


def raise_share(
    progress: Progress, decision: Decision, now: float, trial: str, boosts: dict[str, float]
) -> Progress:
    """Return the progress after a decision to raise."""
    return attrs.evolve(
        progress,
        number=max(progress.number, progress.lowered) + 1,
        stage=decision.stage,
        changed_at=now,
        trial=progress.trial or trial,
        boosts=boosts,
        reason=decision.reason,
    )


def decide_locally(plan: Plan, progress: Progress, now: float, finding: Finding) -> Decision:
    """Decide what a daemon may do without the controller: lower the share or roll back.

    Args:
        plan: The takeover's plan.
        progress: The takeover's progress.
        now: Seconds since the epoch.
        finding: The test result of one data centre or of all of them.
    """
    if progress.phase is not Phase.RUNNING:
        return HOLD
    location = f"{finding.measure} on route {finding.route}"
    if finding.score >= compute_score_limit(len(plan.routes)):
        return Decision(Verdict.REVERSE, f"{location}: worse than {plan.from_release}")
    if finding.level < CUSUM_ALARM or is_lowering_pending(progress, now) or not progress.number:
        return HOLD
    if finding.agreement >= AGREEMENT_THRESHOLD:
        return Decision(Verdict.REVERSE, f"{location}: worse than before and than the old release")
    if progress.alarms >= MAX_ALARMS - 1:
        return Decision(Verdict.REVERSE, f"{location}: seen again after the share was lowered")
    return Decision(Verdict.LOWER, f"{location}: worse than before")


def decide(
    plan: Plan,
    progress: Progress,
    now: float,
    finding: Finding,
    routes: Mapping[str, RouteEvidence],
    stage_calls: int,
) -> Decision:
    """Decide the next action as the takeover's controller.

    Args:
        plan: The takeover's plan.
        progress: The takeover's progress.
        now: Seconds since the epoch.
        finding: The test result of all data centres.
        routes: The evidence of each route.
        stage_calls: Calls to the new release since the share was last changed.
    """
    local_decision = decide_locally(plan, progress, now, finding)
    if local_decision.verdict is not Verdict.HOLD or progress.phase is not Phase.RUNNING:
        return local_decision
    window = plan.finish_by - plan.start_at
    if now < plan.start_at + OBSERVE_FRACTION * window:
        return HOLD
    if is_overdue(plan, now):
        return Decision(Verdict.REVERSE, "the deadline passed without a controller")
    if now >= plan.finish_by:
        return _decide_end(plan, progress, now, finding, routes)
    if progress.stage < 0:
        return Decision(Verdict.RAISE, "started", 0)
    if _is_suspicious(finding):
        return HOLD
    if is_lowered(progress):
        return _decide_resume(plan, progress, now, stage_calls)
    if progress.stage == LAST_STAGE:
        baked = now >= progress.changed_at + compute_bake(plan, progress.changed_at)
        return _decide_end(plan, progress, now, finding, routes) if baked else HOLD
    dwell = compute_dwell(plan, progress)
    if now < progress.changed_at + dwell:
        return HOLD
    too_few = progress.stage > 0 and stage_calls < MIN_STAGE_CALLS
    must_wait = too_few or _is_blocked_at_checkpoint(progress, routes)
    if must_wait and now < compute_latest_raise(plan, progress.stage):
        return HOLD
    reason = f"{stage_calls} calls without a finding"
    return Decision(Verdict.RAISE, reason, progress.stage + 1)


def _decide_resume(plan: Plan, progress: Progress, now: float, stage_calls: int) -> Decision:
    stage = min(progress.stage, RESUME_STAGE)
    must_wait = stage_calls < MIN_SETTLE_CALLS and now < compute_latest_raise(plan, stage)
    if must_wait or now < progress.changed_at + SETTLE_S:
        return HOLD
    return Decision(Verdict.RAISE, "suspicion settled", stage)


def _is_blocked_at_checkpoint(progress: Progress, routes: Mapping[str, RouteEvidence]) -> bool:
    called = {name: evidence for name, evidence in routes.items() if evidence.calls}
    lacks_calls = any(evidence.new_calls < MIN_ROUTE_CALLS for evidence in called.values())
    return progress.stage == CHECKPOINT_STAGE and lacks_calls


def _is_suspicious(finding: Finding) -> bool:
    return finding.score >= SUSPICION_SCORE or finding.level >= SUSPICION_CUSUM


def _decide_end(
    plan: Plan,
    progress: Progress,
    now: float,
    finding: Finding,
    routes: Mapping[str, RouteEvidence],
) -> Decision:
    calls = sum(evidence.new_calls for evidence in routes.values())
    window = plan.finish_by - plan.start_at
    baked = now - progress.changed_at >= MIN_BAKE_FRACTION * window
    if is_lowered(progress) or _is_suspicious(finding):
        return Decision(Verdict.REVERSE, f"a suspicion on route {finding.route} was not settled")
    bad_route = describe_bad_sparse_route(plan, routes)
    if bad_route:
        return Decision(
            Verdict.REVERSE, f"{bad_route}: too few calls to prove it, too bad to go on"
        )
    if calls < MIN_TOTAL_CALLS:
        return Decision(Verdict.REVERSE, f"{calls} of {MIN_TOTAL_CALLS} calls at the deadline")
    if progress.stage < LAST_STAGE or not baked:
        return Decision(Verdict.REVERSE, "the deadline came before the full share was proven")
    untested = list_untested_routes(plan, routes)
    reason = (
        f"too few calls to judge: {', '.join(untested)}" if untested else "proven on all routes"
    )
    return Decision(Verdict.COMPLETE, reason)
