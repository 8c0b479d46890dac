"""Generates the calls to both releases during a simulated takeover, for bench/rollout.py.

Assumptions: 60 calls/s per server in the deployment Ikenna and 40 in Valdivieso; each POST route
has 8% of its service's calls; latency is log-normal with sigma 0.5; 0.1% of calls fail without a
fault; each data centre has one server of each release; decisions and reports are each delayed by
half a second.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

import attrs

from fakes.processes import ROOT
from magnoliasill.publishing.publisher import collect_services
from magnoliasill.takeovers.evidence import Cell, Counts

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_S = 0.5
CALLS_PER_SERVER = {"ikenna": 60.0, "valdivieso": 40.0}
POST_SHARE = 0.08
SCARCE_CALLS_PER_SECOND = 0.5
TAKEOVER_LENGTHS_S = (60, 120, 240)
LATENCY_SIGMA = 0.5
# logarithm of 1.5 times the old release's 90th percentile
LOG_SLOW_LIMIT = math.log(1.5) + 1.2816 * LATENCY_SIGMA
BASE_FAILURE_SHARE = 0.001
NOISY_FAILURE_SHARE = 0.02
LOAD_SLOWDOWN = 0.15
COLD_START_S = 5.0
GOOD_KINDS = (
    "good",
    "good_noisy",
    "good_cold_start",
    "good_slow_data_centre",
    "good_scarce_route",
    "good_controller_lost",
)
BAD_KINDS = (
    "bad_at_once",
    "bad_late",
    "bad_under_load",
    "bad_one_route",
    "bad_scarce_route",
    "bad_slow",
    "bad_platform_down",
    "bad_lying_health",
)


@attrs.define
class Case:
    """One simulated takeover.

    Attributes:
        kind: One of `GOOD_KINDS` and `BAD_KINDS`.
        deployment: `ikenna` or `valdivieso`.
        service: The name of the service.
        data_centres: Data centres of the service.
        rates: Calls per second in each data centre, by route.
        length_s: Planned length of the takeover.
        fault_at: Seconds from the start to the fault, infinite for a good release.
        fault_routes: Routes that are affected by the fault.
        fault_failure_share: Share of the affected calls that fail.
        fault_slowdown: Factor on the latency of the affected calls.
        fault_min_load: Share of full load from which on the new release has the fault.
        disturbance_at: Seconds from the start to a disturbance that the release does not cause.
        disturbance_s: Length of the disturbance.
        random: Generator of all random choices of the case.
    """

    kind: str
    deployment: str
    service: str
    data_centres: tuple[str, ...]
    rates: dict[str, float]
    length_s: float
    random: Random
    fault_at: float = math.inf
    fault_routes: frozenset[str] = frozenset()
    fault_failure_share: float = 0.0
    fault_slowdown: float = 1.0
    fault_min_load: float = 0.0
    disturbance_at: float = math.inf
    disturbance_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether the takeover should be completed."""
        return self.kind in GOOD_KINDS


def build_case(kind: str, deployment: str, seed: str) -> Case:
    """Build one case from a seed."""
    random = Random(seed)
    services = collect_services(ROOT / "examples" / deployment / "services")
    data_centre_count = {"ikenna": 4, "valdivieso": 3}[deployment]
    service = random.choice(sorted(services))
    routes = services[service].routes
    calls_per_data_centre = CALLS_PER_SERVER[deployment]
    posts = [route.name for route in routes if route.method != "GET"]
    gets = [route.name for route in routes if route.method == "GET"]
    rates = dict.fromkeys(posts, calls_per_data_centre * POST_SHARE)
    calls_left = calls_per_data_centre * (1 - POST_SHARE * len(posts))
    rates.update({name: calls_left / len(gets) for name in gets})
    names = tuple(f"dc{number}" for number in range(data_centre_count))
    length = float(random.choice(TAKEOVER_LENGTHS_S))
    case = Case(kind, deployment, service, names, rates, length, random)
    _add_disturbance(case)
    if not case.good:
        _add_fault(case)
    return case


def draw_window(
    case: Case, now: float, get_share: Callable[[str, str], float]
) -> tuple[list[Cell], int, bool]:
    """Draw the calls of one window.

    Args:
        case: The simulated case.
        now: Seconds from the start to the window.
        get_share: Returns the share of the new release for a data centre and route.

    Returns:
        The evidence, the number of calls to the new release that it excludes because the server is
        cold, and whether the fault affected a call.
    """
    cells = []
    excluded_calls = 0
    fault_visible = False
    for data_centre in case.data_centres:
        shares = {route: get_share(data_centre, route) for route in case.rates}
        load = sum(shares[r] * rate for r, rate in case.rates.items()) / sum(case.rates.values())
        for route, rate in case.rates.items():
            calls = draw_poisson(case.random, rate * WINDOW_S)
            new_calls = draw_binomial(case.random, calls, shares[route])
            faulty = _is_faulty(case, route, now, load)
            fault_visible = fault_visible or (faulty and new_calls > 0)
            old = _draw_counts(case, data_centre, now, calls - new_calls, 1.0 - load, False, False)
            new = _draw_counts(case, data_centre, now, new_calls, load, True, faulty)
            if _is_cold(case, data_centre, now):
                excluded_calls += new_calls
                new = Counts()
            cells.append(Cell(data_centre, route, old, new))
    return cells, excluded_calls, fault_visible


def draw_poisson(random: Random, mean: float) -> int:
    """Draw from a Poisson distribution."""
    if mean > 40:
        return max(0, round(random.gauss(mean, math.sqrt(mean))))
    limit, count, product = math.exp(-mean), 0, random.random()
    while product > limit:
        product *= random.random()
        count += 1
    return count


def draw_binomial(random: Random, calls: int, rate: float) -> int:
    """Draw from a binomial distribution."""
    if calls <= 0 or rate <= 0.0:
        return 0
    if rate >= 1.0:
        return calls
    if rate > 0.5:
        return calls - draw_binomial(random, calls, 1.0 - rate)
    if calls < 12:
        return sum(random.random() < rate for _ in range(calls))
    step, count, position = math.log(1.0 - rate), 0, 0
    while True:
        position += int(math.log(1.0 - random.random()) / step) + 1
        if position > calls:
            return count
        count += 1


def _draw_counts(
    case: Case, data_centre: str, now: float, calls: int, load: float, new: bool, faulty: bool
) -> Counts:
    if not calls:
        return Counts()
    failures = NOISY_FAILURE_SHARE if case.kind == "good_noisy" else BASE_FAILURE_SHARE
    slowdown = 1.0 + LOAD_SLOWDOWN * load
    disturbed = case.disturbance_at <= now < case.disturbance_at + case.disturbance_s
    if case.kind == "good_slow_data_centre" and disturbed and data_centre == "dc0":
        slowdown *= 3.0
        failures = 0.03
    if case.kind == "good_noisy" and case.random.random() < 0.005:
        failures = 0.15
    if case.kind == "good_cold_start" and new and _is_warming(case, data_centre, now):
        slowdown *= 1.3
    if faulty:
        failures = max(failures, case.fault_failure_share)
        slowdown *= case.fault_slowdown
    slow = 0.5 * math.erfc((LOG_SLOW_LIMIT - math.log(slowdown)) / LATENCY_SIGMA / math.sqrt(2))
    failed = draw_binomial(case.random, calls, failures)
    return Counts(calls, failed, draw_binomial(case.random, calls, slow))


def _is_faulty(case: Case, route: str, now: float, load: float) -> bool:
    return now >= case.fault_at and route in case.fault_routes and load >= case.fault_min_load


def _is_cold(case: Case, data_centre: str, now: float) -> bool:
    if case.kind != "good_cold_start":
        return False
    restarted = (
        data_centre == "dc0" and case.disturbance_at <= now < case.disturbance_at + COLD_START_S
    )
    return now < COLD_START_S or restarted


def _is_warming(case: Case, data_centre: str, now: float) -> bool:
    elapsed = (
        now - case.disturbance_at if data_centre == "dc0" and now >= case.disturbance_at else now
    )
    return COLD_START_S <= elapsed < 1.2 * COLD_START_S


def _add_disturbance(case: Case) -> None:
    random = case.random
    case.disturbance_at = random.uniform(0.0, 0.7) * case.length_s
    case.disturbance_s = random.uniform(0.1, 0.4) * case.length_s
    if case.kind == "good_controller_lost":
        case.disturbance_s = random.uniform(4.0, 12.0)
    if case.kind.endswith("scarce_route"):
        name = random.choice(sorted(case.rates))
        case.rates[name] = SCARCE_CALLS_PER_SECOND / len(case.data_centres)


def _add_fault(case: Case) -> None:
    random = case.random
    case.fault_at = 0.0
    case.fault_routes = frozenset(case.rates)
    if case.kind == "bad_slow":
        case.fault_slowdown = random.choice((2.0, 3.0, 10.0))
    else:
        case.fault_failure_share = random.choice((0.05, 0.2, 0.5, 1.0))
    if case.kind in ("bad_late", "bad_platform_down"):
        case.fault_at = random.uniform(0.05, 0.7) * case.length_s
    if case.kind == "bad_platform_down":
        case.disturbance_at = case.fault_at - random.uniform(0.0, 0.05) * case.length_s
        case.disturbance_s = case.length_s
    if case.kind == "bad_under_load":
        case.fault_min_load = random.uniform(0.3, 0.8)
    if case.kind == "bad_one_route":
        case.fault_routes = frozenset({random.choice(sorted(case.rates))})
    if case.kind == "bad_scarce_route":
        case.fault_routes = frozenset({min(case.rates, key=lambda name: case.rates[name])})
        case.fault_failure_share = random.choice((0.5, 1.0))
