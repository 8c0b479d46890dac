"""What one synthetic takeover came to, for bench/rollout.py."""

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
class Result:
    """The outcome of one takeover.

    Attributes:
        completed: Whether all traffic had moved by the deadline.
        taken_back: Whether the new release was taken back.
        bad_share: Calls to the new release since its first visible fault, against all calls from
            the start to the last call that it got.
        bad_calls: Those calls.
        hurt_calls: Those of them that failed or were slow.
        fault_to_stop_s: From the first visible fault to the last call to the new release.
        evidence_to_stop_s: From the window in which a test was decided to that last call.
        reason: Why it ended.
    """

    completed: bool
    taken_back: bool
    bad_share: float
    bad_calls: int
    hurt_calls: int
    fault_to_stop_s: float
    evidence_to_stop_s: float
    reason: str


@attrs.define
class Meter:
    """Counts the calls of one takeover.

    Attributes:
        case: The case.
        visible_at: When the fault first touched a call.
        evidence_at: When a test was first decided.
        last_new_at: The end of the last window with a call to the new release.
        calls: All calls up to then.
        bad_calls: Calls to the new release since the fault.
        hurt_calls: Those that failed or were slow.
    """

    case: Case
    visible_at: float = math.inf
    evidence_at: float = math.inf
    last_new_at: float = 0.0
    calls: int = 0
    pending_calls: int = 0
    bad_calls: int = 0
    hurt_calls: int = 0

    def add(self, now: float, cells: list[Cell], left_out: int, visible: bool) -> None:
        """Add one window."""
        if visible:
            self.visible_at = min(self.visible_at, now)
        new_calls = left_out + sum(cell.new.calls for cell in cells)
        self.pending_calls += new_calls + sum(cell.old.calls for cell in cells)
        if not new_calls:
            return
        self.last_new_at = now + WINDOW_S
        self.calls, self.pending_calls = self.calls + self.pending_calls, 0
        if now >= self.visible_at:
            self.bad_calls += new_calls
            self.hurt_calls += sum(cell.new.failures + cell.new.slow for cell in cells)

    def note_evidence(self, now: float) -> None:
        """Note that a test was decided."""
        self.evidence_at = min(self.evidence_at, now)

    def build_result(self, phase: Phase, reason: str) -> Result:
        """Return the outcome."""
        seen = self.visible_at < math.inf
        return Result(
            completed=phase is Phase.COMPLETED,
            taken_back=phase is Phase.REVERSED,
            bad_share=self.bad_calls / max(1, self.calls),
            bad_calls=self.bad_calls,
            hurt_calls=self.hurt_calls,
            fault_to_stop_s=self.last_new_at - self.visible_at if seen else 0.0,
            evidence_to_stop_s=max(0.0, self.last_new_at - self.evidence_at),
            reason=reason,
        )
