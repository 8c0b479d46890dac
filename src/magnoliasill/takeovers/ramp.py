"""Stages of a takeover, how long each lasts, and higher shares for routes with few calls."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .evidence import FAILURES, RATE_FLOORS, SLOWNESS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .evidence import RouteEvidence
    from .plans import Plan, Progress

MAX_BOOST = 0.5  # highest share of a route with few calls
BOOST_BUDGET = 0.02  # fraction of the service's calls that all boosts together may move
BOOST_CALLS_PER_SECOND = 0.3  # calls that boosts may move even where the budget is smaller
STAGES = (  # (share in the trial data centre, share in the other data centres)
    (0.015, 0.015),
    (0.03, 0.03),
    (0.06, 0.03),
    (0.30, 0.03),
    (0.90, 0.03),
    (0.90, 0.30),
    (0.90, 0.90),
)
# Fractions of the time from start to deadline.
DWELL_FRACTIONS = (0.04, 0.10, 0.10, 0.05, 0.06, 0.05)  # planned duration of stages but the last
LAST_STAGE = len(STAGES) - 1
CHECKPOINT_STAGE = 2  # last stage before the trial data centre gets a large share
CHECKPOINT_FRACTION = 0.2  # in which boosts aim to give each route MIN_ROUTE_CALLS calls
BAKE_FRACTION = 0.3  # planned duration of the last stage
MIN_BAKE_FRACTION = 0.1
MARGIN_FRACTION = 0.05  # left between the planned end and the deadline
MAX_DWELL_S = 60.0
MIN_DWELL_S = 1.0
MAX_BAKE_S = 600.0
MIN_ROUTE_CALLS = 60  # calls to the new release that suffice to compare the releases on a route
# At the end, a route with fewer calls rolls the release back if chance explains its failures or
# slow calls with a lower probability than this.
SPARSE_ROUTE_P_VALUE = 0.002


def compute_boosts(plan: Plan, now: float, routes: Mapping[str, RouteEvidence]) -> dict[str, float]:
    """Return the minimum shares that give each route enough calls while the share is small.

    Args:
        plan: The takeover's plan.
        now: Seconds since the epoch.
        routes: The evidence of each route.
    """
    elapsed = max(1.0, now - plan.start_at)
    seconds = (plan.finish_by - plan.start_at) * CHECKPOINT_FRACTION
    rates = {name: routes[name].calls / elapsed if name in routes else 0.0 for name in plan.routes}
    boosts = {
        name: min(MAX_BOOST, MIN_ROUTE_CALLS / max(1.0, rate * seconds))
        for name, rate in rates.items()
    }
    boosted_rate = sum(rates[name] * boost for name, boost in boosts.items())
    budget = max(BOOST_BUDGET * sum(rates.values()), BOOST_CALLS_PER_SECOND)
    scale = min(1.0, budget / boosted_rate) if boosted_rate else 1.0
    return {name: boost * scale for name, boost in boosts.items()}


def list_untested_routes(plan: Plan, routes: Mapping[str, RouteEvidence]) -> list[str]:
    """Describe each route that has too few calls to compare the releases."""
    counts = {name: routes[name].new_calls if name in routes else 0 for name in plan.routes}
    return [
        f"{name} ({count} of {MIN_ROUTE_CALLS} calls)"
        for name, count in counts.items()
        if count < MIN_ROUTE_CALLS
    ]


def describe_bad_sparse_route(plan: Plan, routes: Mapping[str, RouteEvidence]) -> str:
    """Describe a route with few calls whose failures or slow calls are unlikely to be chance.

    Args:
        plan: The takeover's plan.
        routes: The evidence of each route.

    Returns:
        The measure, route and counts, or an empty string if chance explains the failures and slow
        calls of every such route.
    """
    for name in plan.routes:
        evidence = routes.get(name)
        if evidence is None or not 0 < evidence.new_calls < MIN_ROUTE_CALLS:
            continue
        old_calls = evidence.calls - evidence.new_calls
        for measure, new_hits, old_hits in (
            (FAILURES, evidence.new_failures, evidence.old_failures),
            (SLOWNESS, evidence.new_slow, evidence.old_slow),
        ):
            rate = max(RATE_FLOORS[measure], (old_hits + 1) / (old_calls + 2))
            if compute_binomial_tail(evidence.new_calls, new_hits, rate) < SPARSE_ROUTE_P_VALUE:
                return f"{measure} on route {name} ({new_hits} of {evidence.new_calls} calls)"
    return ""


def compute_binomial_tail(calls: int, hits: int, rate: float) -> float:
    """Return the probability of at least `hits` hits among `calls` calls at a hit rate."""
    return sum(
        math.comb(calls, count) * rate**count * (1.0 - rate) ** (calls - count)
        for count in range(hits, calls + 1)
    )


def compute_dwell(plan: Plan, progress: Progress) -> float:
    """Return how many seconds the current stage lasts, shortened when the deadline is near."""
    window = plan.finish_by - plan.start_at
    planned = min(MAX_DWELL_S, DWELL_FRACTIONS[progress.stage] * window)
    ramp_end = plan.finish_by - window * (MARGIN_FRACTION + BAKE_FRACTION)
    left = (ramp_end - progress.changed_at) / (LAST_STAGE - progress.stage)
    return max(MIN_DWELL_S, min(planned, left))


def compute_bake(plan: Plan, since: float) -> float:
    """Return how many seconds the last stage lasts, with the old release ready for a rollback."""
    window = plan.finish_by - plan.start_at
    planned = min(MAX_BAKE_S, BAKE_FRACTION * window)
    left = plan.finish_by - window * MARGIN_FRACTION - since
    return max(MIN_BAKE_FRACTION * window, min(planned, left))


def compute_latest_raise(plan: Plan, stage: int) -> float:
    """Return the latest time to leave a stage so that the last stage can still be reached."""
    window = plan.finish_by - plan.start_at
    ramp_end = plan.finish_by - window * (MARGIN_FRACTION + BAKE_FRACTION)
    return ramp_end - (LAST_STAGE - stage) * MIN_DWELL_S
