"""Tests of the takeover policy: decisions of the controller, and shares."""

from __future__ import annotations

from random import Random

import attrs
import testtools
from testscenarios import WithScenarios

from magnoliasill.takeovers.evidence import CUSUM_ALARM, Finding, RouteEvidence
from magnoliasill.takeovers.plans import Phase, Plan, Progress
from magnoliasill.takeovers.ramp import LAST_STAGE, STAGES, compute_boosts
from magnoliasill.takeovers.rollout import (
    AGREEMENT_THRESHOLD,
    LOWERED_SHARE,
    Verdict,
    compute_share,
    decide,
    decide_locally,
)

PLAN = Plan("id", "lessons", "r1", "r2", 1_000.0, 1_100.0, ("view",))
RUNNING = Progress("id", number=3, stage=2, changed_at=1_020.0, trial="a")
ENOUGH_CALLS = {"view": RouteEvidence(calls=5_000, new_calls=500)}
NO_FINDING = Finding()
ALARM = Finding(level=CUSUM_ALARM + 1, route="view", measure="failures")


class DecisionTest(WithScenarios, testtools.TestCase):
    """One decision of the controller per scenario."""

    progress, now, finding, routes, stage_calls = RUNNING, 1_050.0, NO_FINDING, ENOUGH_CALLS, 500
    scenarios = [
        ("early", {"now": 990.0, "progress": Progress("id"), "want": Verdict.HOLD}),
        ("start", {"now": 1_004.0, "progress": Progress("id"), "want": Verdict.RAISE}),
        ("dwell", {"now": 1_021.0, "want": Verdict.HOLD}),
        ("dwelt", {"want": Verdict.RAISE}),
        ("too_few_calls", {"stage_calls": 3, "want": Verdict.HOLD}),
        ("too_few_but_late", {"stage_calls": 3, "now": 1_064.0, "want": Verdict.RAISE}),
        ("gate", {"routes": {"view": RouteEvidence(calls=400, new_calls=5)}, "want": Verdict.HOLD}),
        ("suspicion", {"finding": Finding(score=30.0), "want": Verdict.HOLD}),
        ("proof", {"finding": Finding(score=1e6), "want": Verdict.REVERSE}),
        ("alarm", {"finding": ALARM, "want": Verdict.LOWER}),
        (
            "agreed_alarm",
            {
                "finding": attrs.evolve(ALARM, agreement=AGREEMENT_THRESHOLD),
                "want": Verdict.REVERSE,
            },
        ),
        (
            "second_alarm",
            {
                "progress": attrs.evolve(RUNNING, alarms=1),
                "finding": ALARM,
                "want": Verdict.REVERSE,
            },
        ),
        (
            "alarm_while_lowering",
            {
                "progress": attrs.evolve(RUNNING, lowered=3, alarms=1, changed_at=1_049.0),
                "finding": ALARM,
                "want": Verdict.HOLD,
            },
        ),
        (
            "settled",
            {
                "progress": attrs.evolve(RUNNING, lowered=3, alarms=1, changed_at=1_040.0),
                "want": Verdict.RAISE,
            },
        ),
        (
            "baked",
            {
                "progress": attrs.evolve(RUNNING, stage=LAST_STAGE, changed_at=1_015.0),
                "want": Verdict.COMPLETE,
            },
        ),
        (
            "bake",
            {
                "progress": attrs.evolve(RUNNING, stage=LAST_STAGE, changed_at=1_045.0),
                "want": Verdict.HOLD,
            },
        ),
        ("deadline_too_early_a_stage", {"now": 1_100.0, "want": Verdict.REVERSE}),
        (
            "deadline_without_calls",
            {
                "now": 1_100.0,
                "progress": attrs.evolve(RUNNING, stage=LAST_STAGE),
                "routes": {},
                "want": Verdict.REVERSE,
            },
        ),
        (
            "deadline_with_suspicion",
            {
                "now": 1_100.0,
                "progress": attrs.evolve(RUNNING, stage=LAST_STAGE),
                "finding": Finding(score=30.0),
                "want": Verdict.REVERSE,
            },
        ),
        (
            "over",
            {
                "progress": attrs.evolve(RUNNING, phase=Phase.REVERSED),
                "finding": ALARM,
                "want": Verdict.HOLD,
            },
        ),
    ]
    scenarios += [
        (
            f"full_share_{name}",
            {
                "progress": attrs.evolve(RUNNING, stage=LAST_STAGE, changed_at=1_015.0),
                "routes": {"view": RouteEvidence(calls=400, **counts)},
                "want": want,
            },
        )
        for name, counts, want in (
            ("few_calls_none_bad", {"new_calls": 11}, Verdict.COMPLETE),
            ("few_calls_one_failed", {"new_calls": 11, "new_failures": 1}, Verdict.COMPLETE),
            ("few_calls_two_failed", {"new_calls": 11, "new_failures": 2}, Verdict.REVERSE),
            ("few_calls_some_slow", {"new_calls": 11, "new_slow": 2}, Verdict.COMPLETE),
            ("few_calls_most_slow", {"new_calls": 11, "new_slow": 6}, Verdict.REVERSE),
            (
                "few_calls_bad_before_too",
                {"new_calls": 11, "new_failures": 2, "old_failures": 60},
                Verdict.COMPLETE,
            ),
            ("enough_calls", {"new_calls": 60, "new_failures": 2}, Verdict.COMPLETE),
        )
    ]

    def test_decision(self) -> None:
        decision = decide(
            PLAN, self.progress, self.now, self.finding, self.routes, self.stage_calls
        )
        self.assertEqual(self.want, decision.verdict, decision.reason)

    def test_a_daemon_alone_never_raises(self) -> None:
        decision = decide_locally(PLAN, self.progress, self.now, self.finding)
        self.assertIn(decision.verdict, (Verdict.HOLD, Verdict.LOWER, Verdict.REVERSE))


class ShareTest(testtools.TestCase):
    """The traffic share in each phase, and the limit on boosts."""

    def test_phases(self) -> None:
        self.assertEqual(0.0, compute_share(Progress("id"), "a", "view"))
        self.assertEqual(STAGES[2][0], compute_share(RUNNING, "a", "view"))
        self.assertEqual(STAGES[2][1], compute_share(RUNNING, "b", "view"))
        full = attrs.evolve(RUNNING, stage=LAST_STAGE)
        lowered = attrs.evolve(full, lowered=3)
        self.assertEqual(LOWERED_SHARE, compute_share(lowered, "a", "view"))
        self.assertEqual(0.0, compute_share(attrs.evolve(full, phase=Phase.REVERSED), "a", "v"))
        self.assertEqual(1.0, compute_share(attrs.evolve(full, phase=Phase.COMPLETED), "a", "v"))

    def test_boosts_stay_within_their_budget(self) -> None:
        random = Random(5)
        for _ in range(200):
            calls = {f"r{i}": RouteEvidence(calls=random.randint(0, 9_000)) for i in range(4)}
            plan = attrs.evolve(PLAN, routes=tuple(calls))
            boosts = compute_boosts(plan, 1_010.0, calls)
            moved = sum(calls[name].calls / 10 * boost for name, boost in boosts.items())
            total = sum(evidence.calls for evidence in calls.values()) / 10
            self.assertLessEqual(moved, max(0.02 * total, 0.3) + 1e-9)
