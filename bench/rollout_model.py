"""Synthetic takeovers: what calls to both releases do, window by window, for bench/rollout.py.

Assumed: 60 calls/s a server at Ikenna and 40 at Valdivieso, each POST route 8% of a service's
calls, latency log-normal with sigma 0.5, 0.1% of calls failing on an ordinary day, one server of
each release in each data centre, decisions and reports each half a second late.
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
POST_WEIGHT = 0.08
SCARCE_CALLS_PER_SECOND = 0.5
LENGTHS_S = (60, 120, 240)
SIGMA = 0.5
SLOW_LIMIT = math.log(1.5) + 1.2816 * SIGMA  # 1.5 times the old release's 90th percentile
BASE_FAILURES = 0.001
NOISY_FAILURES = 0.02
LOAD_SLOWDOWN = 0.15
COLD_S = 5.0
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
    """One synthetic takeover.

    Attributes:
        kind: One of `GOOD_KINDS` and `BAD_KINDS`.
        deployment: `ikenna` or `valdivieso`.
        service: The service.
        data_centres: Its data centres.
        rates: Calls a second of each route in each data centre.
        length_s: From start to finish.
        fault_at: Seconds from the start to the fault, infinite for a good release.
        fault_routes: Routes that have the fault.
        fault_failures: Share of faulty calls that fail.
        fault_slowdown: Factor of their latency.
        fault_load: Load of a server, against its full load, above which the fault shows.
        trouble_at: Seconds from the start to the trouble that is not the release's.
        trouble_s: Its length.
        random: The generator of the case.
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
    fault_failures: float = 0.0
    fault_slowdown: float = 1.0
    fault_load: float = 0.0
    trouble_at: float = math.inf
    trouble_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether the release ought to be completed."""
        return self.kind in GOOD_KINDS


def build_case(kind: str, deployment: str, seed: str) -> Case:
    """Build one case from a seed."""
    random = Random(seed)
    services = collect_services(ROOT / "examples" / deployment / "services")
    places = {"ikenna": 4, "valdivieso": 3}[deployment]
    service = random.choice(sorted(services))
    routes = services[service].routes
    per_place = CALLS_PER_SERVER[deployment]
    posts = [route.name for route in routes if route.method != "GET"]
    gets = [route.name for route in routes if route.method == "GET"]
    rates = dict.fromkeys(posts, per_place * POST_WEIGHT)
    rest = per_place * (1 - POST_WEIGHT * len(posts))
    rates.update({name: rest / len(gets) for name in gets})
    names = tuple(f"dc{number}" for number in range(places))
    length = float(random.choice(LENGTHS_S))
    case = Case(kind, deployment, service, names, rates, length, random)
    _add_trouble(case)
    if not case.good:
        _add_fault(case)
    return case


def draw_window(
    case: Case, now: float, get_share: Callable[[str, str], float]
) -> tuple[list[Cell], int, bool]:
    """Draw one window of calls.

    Args:
        case: The case.
        now: Seconds from the start to the window.
        get_share: Returns the share of the new release by data centre and route.

    Returns:
        The evidence, the calls to the new release that it leaves out, and whether the fault
        touched a call.
    """
    cells = []
    left_out = 0
    visible = False
    for place in case.data_centres:
        shares = {route: get_share(place, route) for route in case.rates}
        load = sum(shares[r] * rate for r, rate in case.rates.items()) / sum(case.rates.values())
        for route, rate in case.rates.items():
            calls = draw_poisson(case.random, rate * WINDOW_S)
            new_calls = draw_binomial(case.random, calls, shares[route])
            faulty = _is_faulty(case, route, now, load)
            visible = visible or (faulty and new_calls > 0)
            old = _draw_counts(case, place, now, calls - new_calls, 1.0 - load, False, False)
            new = _draw_counts(case, place, now, new_calls, load, True, faulty)
            if _is_cold(case, place, now):
                left_out += new_calls
                new = Counts()
            cells.append(Cell(place, route, old, new))
    return cells, left_out, visible


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
    case: Case, place: str, now: float, calls: int, load: float, new: bool, faulty: bool
) -> Counts:
    if not calls:
        return Counts()
    failures = NOISY_FAILURES if case.kind == "good_noisy" else BASE_FAILURES
    slowdown = 1.0 + LOAD_SLOWDOWN * load
    troubled = case.trouble_at <= now < case.trouble_at + case.trouble_s
    if case.kind == "good_slow_data_centre" and troubled and place == "dc0":
        slowdown *= 3.0
        failures = 0.03
    if case.kind == "good_noisy" and case.random.random() < 0.005:
        failures = 0.15
    if case.kind == "good_cold_start" and new and _is_warming(case, place, now):
        slowdown *= 1.3
    if faulty:
        failures = max(failures, case.fault_failures)
        slowdown *= case.fault_slowdown
    slow = 0.5 * math.erfc((SLOW_LIMIT - math.log(slowdown)) / SIGMA / math.sqrt(2))
    failed = draw_binomial(case.random, calls, failures)
    return Counts(calls, failed, draw_binomial(case.random, calls, slow))


def _is_faulty(case: Case, route: str, now: float, load: float) -> bool:
    return now >= case.fault_at and route in case.fault_routes and load >= case.fault_load


def _is_cold(case: Case, place: str, now: float) -> bool:
    if case.kind != "good_cold_start":
        return False
    restarted = place == "dc0" and case.trouble_at <= now < case.trouble_at + COLD_S
    return now < COLD_S or restarted


def _is_warming(case: Case, place: str, now: float) -> bool:
    since = now - case.trouble_at if place == "dc0" and now >= case.trouble_at else now
    return COLD_S <= since < 1.2 * COLD_S


def _add_trouble(case: Case) -> None:
    random = case.random
    case.trouble_at = random.uniform(0.0, 0.7) * case.length_s
    case.trouble_s = random.uniform(0.1, 0.4) * case.length_s
    if case.kind == "good_controller_lost":
        case.trouble_s = random.uniform(4.0, 12.0)
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
        case.fault_failures = random.choice((0.05, 0.2, 0.5, 1.0))
    if case.kind in ("bad_late", "bad_platform_down"):
        case.fault_at = random.uniform(0.05, 0.7) * case.length_s
    if case.kind == "bad_platform_down":
        case.trouble_at = case.fault_at - random.uniform(0.0, 0.05) * case.length_s
        case.trouble_s = case.length_s
    if case.kind == "bad_under_load":
        case.fault_load = random.uniform(0.3, 0.8)
    if case.kind == "bad_one_route":
        case.fault_routes = frozenset({random.choice(sorted(case.rates))})
    if case.kind == "bad_scarce_route":
        case.fault_routes = frozenset({min(case.rates, key=lambda name: case.rates[name])})
        case.fault_failures = random.choice((0.5, 1.0))
