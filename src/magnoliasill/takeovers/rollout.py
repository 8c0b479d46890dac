"""The policy of a takeover: when its share is raised, lowered, completed or taken back.

Every function is pure: the plan, the progress, the evidence and the time go in, a decision comes
out. Lowering and taking back need no permission; raising and completing are the controller's.
"""

from __future__ import annotations

import hashlib
import math
from enum import Enum
from typing import TYPE_CHECKING

import attrs

from .evidence import LEVEL_ALARM, compute_score_limit
from .plans import Phase, Plan, Progress
from .ramp import (
    GATE_STAGE,
    LAST_STAGE,
    MIN_BAKE_FRACTION,
    ROUTE_CALLS,
    STAGES,
    compute_bake,
    compute_dwell,
    compute_latest_raise,
    find_doubted_route,
    list_untested_routes,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..versions.service_file import ServiceFile
    from .evidence import Finding, RouteEvidence

LOWERED_SHARE = 0.1  # while a suspicion is settled
OBSERVE_FRACTION = 0.03  # of the time from start to finish, before the first call is moved
RESUME_STAGE = GATE_STAGE + 1
LAG_S = 2.0  # until a lowered share is in force everywhere
SETTLE_S = 4.0  # without a finding before a lowered share is raised again
SETTLE_CALLS = 100
STAGE_CALLS = 20
TOTAL_CALLS = 10
SUSPICION_SCORE = 20.0
SUSPICION_LEVEL = LEVEL_ALARM / 2
AGREEMENT = math.log(100)  # of the comparison, which makes an alarm final
MAX_ALARMS = 2
OVERDUE_S = 3.0  # after the deadline, until daemons go back by themselves
ID_BYTES = 6


class Verdict(Enum):
    """What is to be done with a takeover."""

    HOLD = "hold"
    RAISE = "raise"
    LOWER = "lower"
    COMPLETE = "complete"
    REVERSE = "reverse"


_PHASE_ORDER = (Phase.RUNNING, Phase.COMPLETED, Phase.REVERSED)


@attrs.frozen
class Decision:
    """What to do, and why.

    Attributes:
        verdict: What to do.
        reason: Why.
        stage: Of a raise, the new stage.
    """

    verdict: Verdict
    reason: str = ""
    stage: int = 0


HOLD = Decision(Verdict.HOLD)


def build_plan(file: ServiceFile) -> Plan | None:
    """Return the plan of a service's takeover, or None where it has none."""
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
        progress: How far the takeover has come.
        data_centre: The data centre of the caller's daemon.
        route: The route.
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
    """Return whether the deadline has passed without a word of the controller."""
    return now >= plan.finish_by + OVERDUE_S


def is_lowered(progress: Progress) -> bool:
    """Return whether the last raise was withdrawn."""
    return progress.lowered >= progress.number > 0


def is_adjusting(progress: Progress, now: float) -> bool:
    """Return whether a lowered share may not yet be in force everywhere."""
    return is_lowered(progress) and now < progress.changed_at + LAG_S


def merge_progress(known: Progress, other: Progress) -> Progress:
    """Return the progress that follows from two views of one takeover.

    The order of the views does not matter: raises go by their number, and what was lowered or
    taken back stays so.
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
    """Return the progress after a decision to lower, to take back or to complete."""
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


def judge(plan: Plan, progress: Progress, now: float, finding: Finding) -> Decision:
    """Decide what any daemon may do by itself: lower the share, or take the release back.

    Args:
        plan: What was asked for.
        progress: How far it has come.
        now: Seconds since the epoch.
        finding: What the tests say, over a data centre or over all of them.
    """
    if progress.phase is not Phase.RUNNING:
        return HOLD
    where = f"{finding.measure} on route {finding.route}"
    if finding.score >= compute_score_limit(len(plan.routes)):
        return Decision(Verdict.REVERSE, f"{where}: worse than {plan.from_release}")
    if finding.level < LEVEL_ALARM or is_adjusting(progress, now) or not progress.number:
        return HOLD
    if finding.agreement >= AGREEMENT:
        return Decision(Verdict.REVERSE, f"{where}: worse than before and than the old release")
    if progress.alarms >= MAX_ALARMS - 1:
        return Decision(Verdict.REVERSE, f"{where}: seen again after the share was lowered")
    return Decision(Verdict.LOWER, f"{where}: worse than before")


def decide(
    plan: Plan,
    progress: Progress,
    now: float,
    finding: Finding,
    routes: Mapping[str, RouteEvidence],
    stage_calls: int,
) -> Decision:
    """Decide as the takeover's controller.

    Args:
        plan: What was asked for.
        progress: How far it has come.
        now: Seconds since the epoch.
        finding: What the tests say over all data centres.
        routes: The evidence of each route.
        stage_calls: Calls to the new release since the share was last changed.
    """
    local = judge(plan, progress, now, finding)
    if local.verdict is not Verdict.HOLD or progress.phase is not Phase.RUNNING:
        return local
    window = plan.finish_by - plan.start_at
    if now < plan.start_at + OBSERVE_FRACTION * window:
        return HOLD
    if is_overdue(plan, now):
        return Decision(Verdict.REVERSE, "the deadline passed without a controller")
    if now >= plan.finish_by:
        return _close(plan, progress, now, finding, routes)
    if progress.stage < 0:
        return Decision(Verdict.RAISE, "started", 0)
    if _is_suspicious(finding):
        return HOLD
    if is_lowered(progress):
        return _resume(plan, progress, now, stage_calls)
    if progress.stage == LAST_STAGE:
        baked = now >= progress.changed_at + compute_bake(plan, progress.changed_at)
        return _close(plan, progress, now, finding, routes) if baked else HOLD
    dwell = compute_dwell(plan, progress)
    if now < progress.changed_at + dwell:
        return HOLD
    too_few = progress.stage > 0 and stage_calls < STAGE_CALLS
    waits = too_few or _has_closed_gate(progress, routes)
    if waits and now < compute_latest_raise(plan, progress.stage):
        return HOLD
    reason = f"{stage_calls} calls without a finding"
    return Decision(Verdict.RAISE, reason, progress.stage + 1)


def _resume(plan: Plan, progress: Progress, now: float, stage_calls: int) -> Decision:
    stage = min(progress.stage, RESUME_STAGE)
    waits = stage_calls < SETTLE_CALLS and now < compute_latest_raise(plan, stage)
    if waits or now < progress.changed_at + SETTLE_S:
        return HOLD
    return Decision(Verdict.RAISE, "suspicion settled", stage)


def _has_closed_gate(progress: Progress, routes: Mapping[str, RouteEvidence]) -> bool:
    called = {name: evidence for name, evidence in routes.items() if evidence.calls}
    waiting = any(evidence.new_calls < ROUTE_CALLS for evidence in called.values())
    return progress.stage == GATE_STAGE and waiting


def _is_suspicious(finding: Finding) -> bool:
    return finding.score >= SUSPICION_SCORE or finding.level >= SUSPICION_LEVEL


def _close(
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
    doubted = find_doubted_route(plan, routes)
    if doubted:
        return Decision(Verdict.REVERSE, f"{doubted}: too few calls to prove it, too bad to go on")
    if calls < TOTAL_CALLS:
        return Decision(Verdict.REVERSE, f"{calls} of {TOTAL_CALLS} calls at the deadline")
    if progress.stage < LAST_STAGE or not baked:
        return Decision(Verdict.REVERSE, "the deadline came before the full share was proven")
    untested = list_untested_routes(plan, routes)
    text = f"too few calls to judge: {', '.join(untested)}" if untested else "proven on all routes"
    return Decision(Verdict.COMPLETE, text)
