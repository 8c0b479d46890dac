"""Measures the takeover policy against fixed steps with a threshold, on synthetic takeovers."""

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
from bench.rollout_result import Meter, Result
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
CASES_PER_KIND = 40  # of each deployment
FULL_CASES_PER_KIND = 500
OWN_DELAY_WINDOWS = 2
OTHER_DELAY_WINDOWS = 3
Z95 = 1.96


@attrs.define
class Run:
    """The state of one simulated takeover.

    Attributes:
        case: The case.
        plan: Its plan.
        views: The progress as each data centre knows it.
        record: The progress as the store holds it.
        local: The tests of each data centre.
        whole: The controller's tests.
        stage_calls: Calls to the new release since the last raise.
        pending: Changes of the views by window, then data centre.
    """

    case: Case
    plan: Plan
    views: dict[str, Progress]
    record: Progress
    local: dict[str, Tester]
    whole: Tester
    stage_calls: int = 0
    pending: dict[int, list[tuple[str, Progress]]] = attrs.field(factory=lambda: defaultdict(list))


def run_policy(case: Case) -> Result:
    """Run one case with the policy."""
    plan = Plan("bench", case.service, "r1", "r2", 0.0, case.length_s, tuple(case.rates))
    windows = int(case.length_s / WINDOW_S)
    start = Progress("bench", trial="dc0")
    views = dict.fromkeys(case.data_centres, start)
    local = {place: Tester(windows) for place in case.data_centres}
    run = Run(case, plan, views, start, local, Tester(windows))
    meter = Meter(case)
    for window in range(windows + OTHER_DELAY_WINDOWS + 1):
        now = window * WINDOW_S
        for place, progress in run.pending.pop(window, []):
            run.views[place] = merge_progress(run.views[place], progress)
        cells, left_out, visible = draw_window(
            case, now, lambda place, route: compute_share(run.views[place], place, route)
        )
        meter.add(now, cells, left_out, visible)
        _judge_locally(run, meter, window, cells)
        _decide(run, meter, window, cells)
        if all(view.phase is not Phase.RUNNING for view in run.views.values()):
            break
    return meter.build_result(run.record.phase, run.record.reason)


def _judge_locally(run: Run, meter: Meter, window: int, cells: list[Any]) -> None:
    for place, tester in run.local.items():
        finding = update_tester(tester, [cell for cell in cells if cell.data_centre == place])
        now = (window + 1) * WINDOW_S
        decision = decide_locally(run.plan, run.views[place], now, finding)
        if is_lowering_pending(run.views[place], now):
            reset_cusum_tests(tester)
        _lower_or_reverse(run, meter, window, decision, place)


def _decide(run: Run, meter: Meter, window: int, cells: list[Any]) -> None:
    case, now = run.case, (window + 1) * WINDOW_S
    troubled = case.trouble_at <= now < case.trouble_at + case.trouble_s
    if case.kind == "good_controller_lost" and troubled:
        run.whole = Tester(run.whole.windows, baselines=run.whole.baselines)
        return
    finding = update_tester(run.whole, cells)
    if is_lowering_pending(run.record, now):
        reset_cusum_tests(run.whole)
    run.stage_calls += sum(cell.new.calls for cell in cells)
    decision = decide(run.plan, run.record, now, finding, run.whole.routes, run.stage_calls)
    if decision.verdict in (Verdict.LOWER, Verdict.REVERSE):
        _lower_or_reverse(run, meter, window, decision, "")
    if case.kind == "bad_platform_down" and troubled:
        return
    if decision.verdict is Verdict.RAISE:
        _publish(
            run,
            window,
            raise_share(
                run.record,
                decision,
                now,
                "dc0",
                compute_boosts(run.plan, now, run.whole.routes),
            ),
        )
        run.stage_calls = 0
    if decision.verdict is Verdict.COMPLETE:
        _publish(run, window, apply_decision(run.record, decision, now))


def _publish(run: Run, window: int, progress: Progress) -> None:
    run.record = progress
    for place in run.views:
        run.pending[window + OWN_DELAY_WINDOWS].append((place, progress))


def _lower_or_reverse(run: Run, meter: Meter, window: int, decision: Decision, place: str) -> None:
    if decision.verdict is Verdict.HOLD or run.record.phase is not Phase.RUNNING:
        return
    now = (window + 1) * WINDOW_S
    record = run.record
    if decision.verdict is Verdict.REVERSE:
        meter.note_evidence(now)
        progress = apply_decision(record, decision, now)
    elif is_lowered(record):
        return
    else:
        progress = apply_decision(record, decision, now)
        run.stage_calls = 0
        reset_cusum_tests(run.whole)
        for tester in run.local.values():
            reset_cusum_tests(tester)
    run.record = progress
    for other in run.views:
        delay = OWN_DELAY_WINDOWS if other == place else OTHER_DELAY_WINDOWS
        run.pending[window + delay].append((other, progress))


def run_case(job: tuple[str, str, int, int]) -> tuple[str, str, Result, Result]:
    """Run one case with the policy and with the baseline."""
    kind, deployment, seed, number = job
    label = f"{kind}/{deployment}/{seed}/{number}"
    policy = run_policy(build_case(kind, deployment, label))
    baseline = run_baseline(build_case(kind, deployment, label))
    return kind, deployment, policy, baseline


def summarize(results: list[Result], good: bool) -> dict[str, Any]:
    """Return shares with 95% confidence intervals, and quantiles."""
    count = len(results)
    wanted = sum(result.completed if good else result.taken_back for result in results)
    low, high = compute_interval(wanted, count)
    name = "good_completed" if good else "bad_taken_back"
    data: dict[str, Any] = {
        "cases": count,
        name: round(wanted / count, 4),
        "interval95": [round(low, 4), round(high, 4)],
    }
    if not good:
        stops = [result.fault_to_stop_s for result in results if result.taken_back]
        lags = [result.evidence_to_stop_s for result in results if result.taken_back]
        data["bad_share_of_calls_p99"] = round(pick([r.bad_share for r in results], 0.99), 4)
        data["bad_calls_p50"] = pick([r.bad_calls for r in results], 0.5)
        data["bad_calls_p99"] = pick([r.bad_calls for r in results], 0.99)
        data["failed_or_slow_p99"] = pick([r.hurt_calls for r in results], 0.99)
        data["seconds_from_fault_to_stop_p50"] = pick(stops, 0.5)
        data["seconds_from_fault_to_stop_p99"] = pick(stops, 0.99)
        data["seconds_from_evidence_to_stop_max"] = pick(lags, 1.0)
    return data


def compute_interval(hits: int, count: int) -> tuple[float, float]:
    """Return Wilson's 95% confidence interval of a share."""
    share, square = hits / count, Z95 * Z95
    middle = (share + square / (2 * count)) / (1 + square / count)
    spread = math.sqrt(share * (1 - share) / count + square / (4 * count * count))
    half = Z95 * spread / (1 + square / count)
    return max(0.0, middle - half), min(1.0, middle + half)


def pick(values: list[float], quantile: float) -> float:
    """Return a quantile of values, 0 where there is none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0


def main() -> None:
    """Run every kind for both deployments and print one JSON object on the last line."""
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
        done = []
        for item in pool.imap_unordered(run_case, jobs, chunksize=8):
            done.append(item)
            if len(done) % 200 == 0:
                print(f"{len(done)}/{len(jobs)}", file=sys.stderr)
    report(done, options.seed, time.monotonic() - started)


def report(done: list[tuple[str, str, Result, Result]], seed: int, seconds: float) -> None:
    """Print the outcomes by kind, and the whole as JSON."""
    policy: dict[str, list[Result]] = defaultdict(list)
    baseline: dict[str, list[Result]] = defaultdict(list)
    for kind, deployment, ours, other in done:
        good = "good" if kind in GOOD_KINDS else "bad"
        for name in (kind, f"{kind}/{deployment}", good, f"{good}/{deployment}"):
            policy[name].append(ours)
            baseline[name].append(other)
    by_kind = {}
    for name in sorted(policy):
        good_kind = name.startswith("good")
        ours, other = summarize(policy[name], good_kind), summarize(baseline[name], good_kind)
        by_kind[name] = {"policy": ours, "baseline": other}
        print(f"{name:32} {ours}\n{'':22} baseline: {other}")
    for kind, deployment, ours, _ in done:
        if not (ours.completed if kind in GOOD_KINDS else ours.taken_back):
            print(f"lost: {kind} {deployment} {ours}", file=sys.stderr)
    bad = by_kind.get("bad", {}).get("policy", {})
    summary = {
        "good_completed": by_kind.get("good", {}).get("policy", {}).get("good_completed"),
        "bad_taken_back": bad.get("bad_taken_back"),
        "bad_share_of_calls_p99": bad.get("bad_share_of_calls_p99"),
        "seconds_from_fault_to_stop_p99": bad.get("seconds_from_fault_to_stop_p99"),
        "seconds_from_evidence_to_stop_max": bad.get("seconds_from_evidence_to_stop_max"),
        "cases": len(done),
        "seed": seed,
        "stages": STAGES,
        "seconds": round(seconds, 1),
        "by_kind": by_kind,
    }
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
