"""Compares the takeover policy with fixed steps and an error threshold, in simulation."""

from __future__ import annotations

import argparse
import json
import math
import multiprocessing
import sys
import time
from collections import defaultdict
from typing import Any

import attrs

from bench.rollout_baseline import run_baseline
from bench.rollout_model import (
    BAD_KINDS,
    CALLS_PER_SERVER,
    GOOD_KINDS,
    WINDOW_S,
    Case,
    build_case,
    draw_window,
)
from bench.rollout_result import ResultBuilder, TakeoverResult
from magnoliasill.takeovers.evidence import Tester, reset_cusum_tests, update_tester
from magnoliasill.takeovers.plans import Phase, Plan, Progress
from magnoliasill.takeovers.ramp import STAGES, compute_boosts
from magnoliasill.takeovers.rollout import (
    Decision,
    Verdict,
    apply_decision,
    compute_share,
    decide,
    decide_locally,
    is_lowered,
    is_lowering_pending,
    merge_progress,
    raise_share,
)

PROCESSES = 4
CASES_PER_KIND = 40  # per deployment
FULL_CASES_PER_KIND = 500
OWN_DELAY_WINDOWS = 2
OTHER_DELAY_WINDOWS = 3
Z95 = 1.96  # two-sided 95% quantile of the normal distribution


@attrs.define
class Simulation:
    """The state of one simulated takeover.

    Attributes:
        case: The simulated case.
        plan: The plan of the takeover.
        progress_views: The progress as each data centre knows it, by data centre.
        stored_progress: The progress in the store.
        local_testers: Each data centre's tests of its own evidence.
        controller_tester: The controller's tests of the evidence of all data centres.
        stage_calls: Calls to the new release since its share last changed.
        pending_updates: Progress that a data centre learns of in a later window, by window.
    """

    case: Case
    plan: Plan
    progress_views: dict[str, Progress]
    stored_progress: Progress
    local_testers: dict[str, Tester]
    controller_tester: Tester
    stage_calls: int = 0
    pending_updates: dict[int, list[tuple[str, Progress]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )


def run_policy(case: Case) -> TakeoverResult:
    """Simulate one case with the takeover policy."""
    plan = Plan("bench", case.service, "r1", "r2", 0.0, case.length_s, tuple(case.rates))
    windows = int(case.length_s / WINDOW_S)
    initial_progress = Progress("bench", trial="dc0")
    progress_views = dict.fromkeys(case.data_centres, initial_progress)
    local_testers = {data_centre: Tester(windows) for data_centre in case.data_centres}
    simulation = Simulation(
        case, plan, progress_views, initial_progress, local_testers, Tester(windows)
    )
    result_builder = ResultBuilder(case)
    for window in range(windows + OTHER_DELAY_WINDOWS + 1):
        now = window * WINDOW_S
        for data_centre, progress in simulation.pending_updates.pop(window, []):
            simulation.progress_views[data_centre] = merge_progress(
                simulation.progress_views[data_centre], progress
            )
        cells, excluded_calls, fault_visible = draw_window(
            case,
            now,
            lambda data_centre, route: compute_share(
                simulation.progress_views[data_centre], data_centre, route
            ),
        )
        result_builder.add_window(now, cells, excluded_calls, fault_visible)
        _apply_local_decisions(simulation, result_builder, window, cells)
        _apply_controller_decision(simulation, result_builder, window, cells)
        if all(view.phase is not Phase.RUNNING for view in simulation.progress_views.values()):
            break
    return result_builder.build_result(
        simulation.stored_progress.phase, simulation.stored_progress.reason
    )


def _apply_local_decisions(
    simulation: Simulation, result_builder: ResultBuilder, window: int, cells: list[Any]
) -> None:
    for data_centre, tester in simulation.local_testers.items():
        finding = update_tester(tester, [cell for cell in cells if cell.data_centre == data_centre])
        now = (window + 1) * WINDOW_S
        decision = decide_locally(
            simulation.plan, simulation.progress_views[data_centre], now, finding
        )
        if is_lowering_pending(simulation.progress_views[data_centre], now):
            reset_cusum_tests(tester)
        _lower_or_reverse(simulation, result_builder, window, decision, data_centre)


def _apply_controller_decision(
    simulation: Simulation, result_builder: ResultBuilder, window: int, cells: list[Any]
) -> None:
    case, now = simulation.case, (window + 1) * WINDOW_S
    disturbed = case.disturbance_at <= now < case.disturbance_at + case.disturbance_s
    if case.kind == "good_controller_lost" and disturbed:
        simulation.controller_tester = Tester(
            simulation.controller_tester.windows, baselines=simulation.controller_tester.baselines
        )
        return
    finding = update_tester(simulation.controller_tester, cells)
    if is_lowering_pending(simulation.stored_progress, now):
        reset_cusum_tests(simulation.controller_tester)
    simulation.stage_calls += sum(cell.new.calls for cell in cells)
    decision = decide(
        simulation.plan,
        simulation.stored_progress,
        now,
        finding,
        simulation.controller_tester.routes,
        simulation.stage_calls,
    )
    if decision.verdict in (Verdict.LOWER, Verdict.REVERSE):
        _lower_or_reverse(simulation, result_builder, window, decision, "")
    if case.kind == "bad_platform_down" and disturbed:
        return
    if decision.verdict is Verdict.RAISE:
        _store_progress(
            simulation,
            window,
            raise_share(
                simulation.stored_progress,
                decision,
                now,
                "dc0",
                compute_boosts(simulation.plan, now, simulation.controller_tester.routes),
            ),
        )
        simulation.stage_calls = 0
    if decision.verdict is Verdict.COMPLETE:
        _store_progress(
            simulation, window, apply_decision(simulation.stored_progress, decision, now)
        )


def _store_progress(simulation: Simulation, window: int, progress: Progress) -> None:
    simulation.stored_progress = progress
    for data_centre in simulation.progress_views:
        simulation.pending_updates[window + OWN_DELAY_WINDOWS].append((data_centre, progress))


def _lower_or_reverse(
    simulation: Simulation,
    result_builder: ResultBuilder,
    window: int,
    decision: Decision,
    data_centre: str,
) -> None:
    if decision.verdict is Verdict.HOLD or simulation.stored_progress.phase is not Phase.RUNNING:
        return
    now = (window + 1) * WINDOW_S
    stored_progress = simulation.stored_progress
    if decision.verdict is Verdict.REVERSE:
        result_builder.record_evidence(now)
        progress = apply_decision(stored_progress, decision, now)
    elif is_lowered(stored_progress):
        return
    else:
        progress = apply_decision(stored_progress, decision, now)
        simulation.stage_calls = 0
        reset_cusum_tests(simulation.controller_tester)
        for tester in simulation.local_testers.values():
            reset_cusum_tests(tester)
    simulation.stored_progress = progress
    for receiver in simulation.progress_views:
        delay = OWN_DELAY_WINDOWS if receiver == data_centre else OTHER_DELAY_WINDOWS
        simulation.pending_updates[window + delay].append((receiver, progress))


def run_case(job: tuple[str, str, int, int]) -> tuple[str, str, TakeoverResult, TakeoverResult]:
    """Simulate one case with the policy and with the baseline."""
    kind, deployment, seed, number = job
    label = f"{kind}/{deployment}/{seed}/{number}"
    policy = run_policy(build_case(kind, deployment, label))
    baseline = run_baseline(build_case(kind, deployment, label))
    return kind, deployment, policy, baseline


def summarize(results: list[TakeoverResult], good: bool) -> dict[str, Any]:
    """Return the share of correct outcomes with its 95% confidence interval, and quantiles."""
    count = len(results)
    correct = sum(result.completed if good else result.rolled_back for result in results)
    low, high = compute_wilson_interval(correct, count)
    name = "good_completed" if good else "bad_taken_back"
    data: dict[str, Any] = {
        "cases": count,
        name: round(correct / count, 4),
        "interval95": [round(low, 4), round(high, 4)],
    }
    if not good:
        fault_delays_s = [result.fault_to_stop_s for result in results if result.rolled_back]
        evidence_delays_s = [result.evidence_to_stop_s for result in results if result.rolled_back]
        data["bad_share_of_calls_p99"] = round(percentile([r.bad_share for r in results], 0.99), 4)
        data["bad_calls_p50"] = percentile([r.bad_calls for r in results], 0.5)
        data["bad_calls_p99"] = percentile([r.bad_calls for r in results], 0.99)
        data["failed_or_slow_p99"] = percentile([r.failed_or_slow_calls for r in results], 0.99)
        data["seconds_from_fault_to_stop_p50"] = percentile(fault_delays_s, 0.5)
        data["seconds_from_fault_to_stop_p99"] = percentile(fault_delays_s, 0.99)
        data["seconds_from_evidence_to_stop_max"] = percentile(evidence_delays_s, 1.0)
    return data


def compute_wilson_interval(successes: int, count: int) -> tuple[float, float]:
    """Return the 95% Wilson score interval of a share."""
    share, z_squared = successes / count, Z95 * Z95
    centre = (share + z_squared / (2 * count)) / (1 + z_squared / count)
    spread = math.sqrt(share * (1 - share) / count + z_squared / (4 * count * count))
    half_width = Z95 * spread / (1 + z_squared / count)
    return max(0.0, centre - half_width), min(1.0, centre + half_width)


def percentile(values: list[float], quantile: float) -> float:
    """Return a quantile of the values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0


def main() -> None:
    """Simulate all kinds for both deployments and print one JSON object on the last line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--cases", type=int, default=0, help="of each kind and deployment")
    parser.add_argument("--kinds", default="", help="only kinds that hold this text")
    parser.add_argument("--processes", type=int, default=PROCESSES)
    options = parser.parse_args()
    number = options.cases or (FULL_CASES_PER_KIND if options.full else CASES_PER_KIND)
    kinds = [kind for kind in (*GOOD_KINDS, *BAD_KINDS) if options.kinds in kind]
    jobs = [
        (kind, deployment, options.seed, index)
        for kind in kinds
        for deployment in CALLS_PER_SERVER
        for index in range(number)
    ]
    started = time.monotonic()
    with multiprocessing.Pool(options.processes) as pool:
        results = []
        for item in pool.imap_unordered(run_case, jobs, chunksize=8):
            results.append(item)
            if len(results) % 200 == 0:
                print(f"{len(results)}/{len(jobs)}", file=sys.stderr)
    report(results, options.seed, time.monotonic() - started)


def report(
    results: list[tuple[str, str, TakeoverResult, TakeoverResult]], seed: int, seconds: float
) -> None:
    """Print the outcomes by kind, and a summary as JSON on the last line."""
    policy: dict[str, list[TakeoverResult]] = defaultdict(list)
    baseline: dict[str, list[TakeoverResult]] = defaultdict(list)
    for kind, deployment, policy_result, baseline_result in results:
        good = "good" if kind in GOOD_KINDS else "bad"
        for name in (kind, f"{kind}/{deployment}", good, f"{good}/{deployment}"):
            policy[name].append(policy_result)
            baseline[name].append(baseline_result)
    by_kind = {}
    for name in sorted(policy):
        good_kind = name.startswith("good")
        policy_result, baseline_result = summarize(policy[name], good_kind), summarize(
            baseline[name], good_kind
        )
        by_kind[name] = {"policy": policy_result, "baseline": baseline_result}
        print(f"{name:32} {policy_result}\n{'':22} baseline: {baseline_result}")
    for kind, deployment, policy_result, _ in results:
        if not (policy_result.completed if kind in GOOD_KINDS else policy_result.rolled_back):
            print(f"wrong outcome: {kind} {deployment} {policy_result}", file=sys.stderr)
    bad = by_kind.get("bad", {}).get("policy", {})
    summary = {
        "good_completed": by_kind.get("good", {}).get("policy", {}).get("good_completed"),
        "bad_taken_back": bad.get("bad_taken_back"),
        "bad_share_of_calls_p99": bad.get("bad_share_of_calls_p99"),
        "seconds_from_fault_to_stop_p99": bad.get("seconds_from_fault_to_stop_p99"),
        "seconds_from_evidence_to_stop_max": bad.get("seconds_from_evidence_to_stop_max"),
        "cases": len(results),
        "seed": seed,
        "stages": STAGES,
        "seconds": round(seconds, 1),
        "by_kind": by_kind,
    }
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
