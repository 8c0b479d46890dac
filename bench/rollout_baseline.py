"""Simulates a takeover with fixed steps and an error threshold, as a baseline of rollout.py."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from bench.rollout_model import WINDOW_S, draw_window
from bench.rollout_result import ResultBuilder, TakeoverResult
from magnoliasill.takeovers.plans import Phase

if TYPE_CHECKING:
    from bench.rollout_model import Case

STEP_SHARES = (0.05, 0.25, 0.5, 1.0)
STEP_LENGTH_FRACTION = 0.24  # of the takeover's length, per step
MAX_ERROR_SHARE = 0.02
ERROR_WINDOW_S = 10.0
MIN_CALLS = 20
STOP_DELAY_WINDOWS = 2


def run_baseline(case: Case) -> TakeoverResult:
    """Simulate one case with the baseline."""
    result_builder = ResultBuilder(case)
    recent_counts: deque[tuple[int, int]] = deque(maxlen=int(ERROR_WINDOW_S / WINDOW_S))
    stop_window = -1
    step_s = STEP_LENGTH_FRACTION * case.length_s
    for window in range(int(case.length_s / WINDOW_S)):
        now = window * WINDOW_S
        if window == stop_window:
            return result_builder.build_result(Phase.REVERSED, "errors")
        step = int(now / step_s)
        if step >= len(STEP_SHARES):
            return result_builder.build_result(Phase.COMPLETED, "steps")
        share = STEP_SHARES[step]
        cells, excluded_calls, fault_visible = draw_window(case, now, lambda *_, share=share: share)
        result_builder.add_window(now, cells, excluded_calls, fault_visible)
        recent_counts.append(
            (sum(cell.new.calls for cell in cells), sum(cell.new.failures for cell in cells))
        )
        calls, failures = (sum(part) for part in zip(*recent_counts, strict=True))
        if calls >= MIN_CALLS and failures > MAX_ERROR_SHARE * calls and stop_window < 0:
            result_builder.record_evidence(now + WINDOW_S)
            stop_window = window + STOP_DELAY_WINDOWS
    return result_builder.build_result(Phase.COMPLETED, "steps")
