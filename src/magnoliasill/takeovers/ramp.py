"""The ramp of a takeover: its stages, how long each lasts, and greater shares of quiet routes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .evidence import FAILURES, RATE_FLOORS, SLOWNESS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .evidence import RouteEvidence
    from .plans import Plan, Progress

MAX_BOOST = 0.5  # share of a route with few calls
BOOST_BUDGET = 0.02  # of the service's calls, for all greater shares together
BOOST_CALLS_PER_SECOND = 0.3  # allowed in any case
STAGES = (  # share in the trial data centre, share in the others
    (0.015, 0.015),
    (0.03, 0.03),
    (0.06, 0.03),
    (0.30, 0.03),
    (0.90, 0.03),
    (0.90, 0.30),
    (0.90, 0.90),
)
DWELL_FRACTIONS = (0.04, 0.10, 0.10, 0.05, 0.06, 0.05)
LAST_STAGE = len(STAGES) - 1
GATE_STAGE = 2  # the last one before a data centre gets much
GATE_FRACTION = 0.2
BAKE_FRACTION = 0.3
MIN_BAKE_FRACTION = 0.1
MARGIN_FRACTION = 0.05
MAX_DWELL_S = 60.0
MIN_DWELL_S = 1.0
MAX_BAKE_S = 600.0
ROUTE_CALLS = 60
DOUBT_PROBABILITY = 0.002  # on a route with fewer calls than that, at the end


def compute_boosts(plan: Plan, now: float, routes: Mapping[str, RouteEvidence]) -> dict[str, float]:
    """Return the shares that give each route enough calls while the whole share is small.

    Args:
        plan: What was asked for.
        now: Seconds since the epoch.
        routes: The evidence of each route.
    """
    elapsed = max(1.0, now - plan.start_at)
    seconds = (plan.finish_by - plan.start_at) * GATE_FRACTION
    rates = {name: routes[name].calls / elapsed if name in routes else 0.0 for name in plan.routes}
    boosts = {
        name: min(MAX_BOOST, ROUTE_CALLS / max(1.0, rate * seconds)) for name, rate in rates.items()
    }
    wanted = sum(rates[name] * boost for name, boost in boosts.items())
    budget = max(BOOST_BUDGET * sum(rates.values()), BOOST_CALLS_PER_SECOND)
    scale = min(1.0, budget / wanted) if wanted else 1.0
    return {name: boost * scale for name, boost in boosts.items()}


def list_untested_routes(plan: Plan, routes: Mapping[str, RouteEvidence]) -> list[str]:
    """Return the routes with too few calls to the new release to tell it from the old one."""
    counts = {name: routes[name].new_calls if name in routes else 0 for name in plan.routes}
    return [
        f"{name} ({count} of {ROUTE_CALLS} calls)"
        for name, count in counts.items()
        if count < ROUTE_CALLS
    ]


def find_doubted_route(plan: Plan, routes: Mapping[str, RouteEvidence]) -> str:
    """Return what speaks against a release on a route with too few calls for the tests.

    Args:
        plan: What was asked for.
        routes: The evidence of each route.

    Returns:
        The route and its counts, or an empty string if no route's hits are unlikely by chance.
    """
    for name in plan.routes:
        evidence = routes.get(name)
        if evidence is None or not 0 < evidence.new_calls < ROUTE_CALLS:
            continue
        old_calls = evidence.calls - evidence.new_calls
        for measure, new_hits, old_hits in (
            (FAILURES, evidence.new_failures, evidence.old_failures),
            (SLOWNESS, evidence.new_slow, evidence.old_slow),
        ):
            rate = max(RATE_FLOORS[measure], (old_hits + 1) / (old_calls + 2))
            if compute_tail(evidence.new_calls, new_hits, rate) < DOUBT_PROBABILITY:
                return f"{measure} on route {name} ({new_hits} of {evidence.new_calls} calls)"
    return ""


def compute_tail(calls: int, hits: int, rate: float) -> float:
    """Return the probability of at least this many hits among calls that are hits at a rate."""
    return sum(
        math.comb(calls, count) * rate**count * (1.0 - rate) ** (calls - count)
        for count in range(hits, calls + 1)
    )


def compute_dwell(plan: Plan, progress: Progress) -> float:
    """Return the seconds at the present stage, fewer when time is short."""
    window = plan.finish_by - plan.start_at
    planned = min(MAX_DWELL_S, DWELL_FRACTIONS[progress.stage] * window)
    ramp_end = plan.finish_by - window * (MARGIN_FRACTION + BAKE_FRACTION)
    left = (ramp_end - progress.changed_at) / (LAST_STAGE - progress.stage)
    return max(MIN_DWELL_S, min(planned, left))


def compute_bake(plan: Plan, since: float) -> float:
    """Return the seconds at full share during which the old release stays ready."""
    window = plan.finish_by - plan.start_at
    planned = min(MAX_BAKE_S, BAKE_FRACTION * window)
    left = plan.finish_by - window * MARGIN_FRACTION - since
    return max(MIN_BAKE_FRACTION * window, min(planned, left))


def compute_latest_raise(plan: Plan, stage: int) -> float:
    """Return the time by which a stage has to be left for the last one to be reached."""
    window = plan.finish_by - plan.start_at
    ramp_end = plan.finish_by - window * (MARGIN_FRACTION + BAKE_FRACTION)
    return ramp_end - (LAST_STAGE - stage) * MIN_DWELL_S
