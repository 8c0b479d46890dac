"""The measured result of one simulated takeover, for bench/rollout.py."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from bench.rollout_model import WINDOW_S
from magnoliasill.takeovers.plans import Phase

if TYPE_CHECKING:
    from bench.rollout_model import Case
    from magnoliasill.takeovers.evidence import Cell


@attrs.frozen
class TakeoverResult:
    """The outcome of one simulated takeover.

    Attributes:
        completed: Whether all traffic moved to the new release by the deadline.
        rolled_back: Whether the new release was rolled back.
        bad_share: The ratio of `bad_calls` to all calls from the start of the takeover to the
            last call to the new release.
        bad_calls: Calls to the new release since the fault first affected one.
        failed_or_slow_calls: Number of `bad_calls` that failed or were slow.
        fault_to_stop_s: Seconds from the first call with the fault to the last call to the new
            release.
        evidence_to_stop_s: Seconds from the window in which a test first reached a decision
            to the last call to the new release.
        reason: Why the takeover ended.
    """

    completed: bool
    rolled_back: bool
    bad_share: float
    bad_calls: int
    failed_or_slow_calls: int
    fault_to_stop_s: float
    evidence_to_stop_s: float
    reason: str


@attrs.define
class ResultBuilder:
    """Counts the calls of one simulated takeover and builds its result.

    Attributes:
        case: The simulated case.
        fault_visible_at: Start of the first window with a call that has the fault.
        evidence_at: When a test first reached a decision.
        last_new_call_at: End of the last window with a call to the new release.
        calls: All calls up to `last_new_call_at`.
        pending_calls: All calls since `last_new_call_at`.
        bad_calls: Calls to the new release since `fault_visible_at`.
        failed_or_slow_calls: Number of `bad_calls` that failed or were slow.
    """

    case: Case
    fault_visible_at: float = math.inf
    evidence_at: float = math.inf
    last_new_call_at: float = 0.0
    calls: int = 0
    pending_calls: int = 0
    bad_calls: int = 0
    failed_or_slow_calls: int = 0

    def add_window(
        self, now: float, cells: list[Cell], excluded_calls: int, fault_visible: bool
    ) -> None:
        """Add the calls of one window."""
        if fault_visible:
            self.fault_visible_at = min(self.fault_visible_at, now)
        new_calls = excluded_calls + sum(cell.new.calls for cell in cells)
        self.pending_calls += new_calls + sum(cell.old.calls for cell in cells)
        if not new_calls:
            return
        self.last_new_call_at = now + WINDOW_S
        self.calls, self.pending_calls = self.calls + self.pending_calls, 0
        if now >= self.fault_visible_at:
            self.bad_calls += new_calls
            self.failed_or_slow_calls += sum(cell.new.failures + cell.new.slow for cell in cells)

    def record_evidence(self, now: float) -> None:
        """Record that a test reached a decision."""
        self.evidence_at = min(self.evidence_at, now)

    def build_result(self, phase: Phase, reason: str) -> TakeoverResult:
        """Return the result of the takeover."""
        has_fault = self.fault_visible_at < math.inf
        return TakeoverResult(
            completed=phase is Phase.COMPLETED,
            rolled_back=phase is Phase.REVERSED,
            bad_share=self.bad_calls / max(1, self.calls),
            bad_calls=self.bad_calls,
            failed_or_slow_calls=self.failed_or_slow_calls,
            fault_to_stop_s=self.last_new_call_at - self.fault_visible_at if has_fault else 0.0,
            evidence_to_stop_s=max(0.0, self.last_new_call_at - self.evidence_at),
            reason=reason,
        )
