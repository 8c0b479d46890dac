"""The baseline of bench/rollout.py: fixed steps, and a threshold on the share of errors."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from bench.rollout_model import WINDOW_S, draw_window
from bench.rollout_result import Meter, Result
from magnoliasill.takeovers.plans import Phase

if TYPE_CHECKING:
    from bench.rollout_model import Case

STEPS = (0.05, 0.25, 0.5, 1.0)
STEP_FRACTION = 0.24  # of the takeover's length
ERROR_LIMIT = 0.02
MEMORY_S = 10.0
MIN_CALLS = 20
DELAY_WINDOWS = 2


def run_baseline(case: Case) -> Result:
    """Run one case with the baseline."""
    meter = Meter(case)
    memory: deque[tuple[int, int]] = deque(maxlen=int(MEMORY_S / WINDOW_S))
    stop_at = -1
    step_s = STEP_FRACTION * case.length_s
    for window in range(int(case.length_s / WINDOW_S)):
        now = window * WINDOW_S
        if window == stop_at:
            return meter.build_result(Phase.REVERSED, "errors")
        index = int(now / step_s)
        if index >= len(STEPS):
            return meter.build_result(Phase.COMPLETED, "steps")
        share = STEPS[index]
        cells, left_out, visible = draw_window(case, now, lambda *_, share=share: share)
        meter.add(now, cells, left_out, visible)
        memory.append(
            (sum(cell.new.calls for cell in cells), sum(cell.new.failures for cell in cells))
        )
        calls, failures = (sum(part) for part in zip(*memory, strict=True))
        if calls >= MIN_CALLS and failures > ERROR_LIMIT * calls and stop_at < 0:
            meter.note_evidence(now + WINDOW_S)
            stop_at = window + DELAY_WINDOWS
    return meter.build_result(Phase.COMPLETED, "steps")
