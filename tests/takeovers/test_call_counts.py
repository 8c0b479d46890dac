"""Tests of counting attempts, and of reports that arrive late, twice or out of order."""

from __future__ import annotations

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testscenarios import WithScenarios

from magnoliasill.core.messages import EvidenceReport
from magnoliasill.core.outcomes import Outcome, OutcomeKind
from magnoliasill.takeovers.call_counts import MAX_BURST_FAILURES, ServerState, count_attempt
from magnoliasill.takeovers.collecting import consume_untested, record_counts

from ..takeover_faults import start_takeover
from ..takeover_network import SERVICE

GOOD = Outcome(SERVICE, "view", "r2", "10.9.9.9:80", OutcomeKind.SUCCEEDED, 100.0, 0.01)
FAILED = attrs.evolve(GOOD, kind=OutcomeKind.FAILED)


class CountTest(WithScenarios, testtools.TestCase):
    """Counts that one attempt adds to calls, failures and slow calls of the new release."""

    server = ServerState(new=True, local=True, warm_at=0.0)
    scenarios = [
        ("succeeded", {"outcome": GOOD, "want": [1, 0, 0]}),
        ("failed", {"outcome": FAILED, "want": [1, 1, 0]}),
        ("slow", {"outcome": attrs.evolve(GOOD, seconds=9.0), "want": [1, 0, 1]}),
        (
            "cancelled",
            {"outcome": attrs.evolve(GOOD, kind=OutcomeKind.CANCELLED), "want": [0, 0, 0]},
        ),
        (
            "cold",
            {"outcome": FAILED, "server": ServerState(True, True, 101.0), "want": [0, 0, 0]},
        ),
        (
            "slow_elsewhere",
            {
                "outcome": attrs.evolve(GOOD, seconds=9.0),
                "server": ServerState(True, False, 0.0),
                "want": [1, 0, 0],
            },
        ),
        ("unknown_server", {"outcome": FAILED, "server": None, "want": [0, 0, 0]}),
        ("unknown_route", {"outcome": attrs.evolve(FAILED, route="x"), "want": [0, 0, 0]}),
    ]

    def test_counted(self) -> None:
        tally = start_takeover()[0].network.nodes["d0-1"].takeovers.active[SERVICE].tally
        tally.servers = {} if self.server is None else {GOOD.server_address: self.server}
        tally.counts = [0] * len(tally.counts)
        count_attempt(tally, self.outcome)
        offset = tally.offsets["view"]
        self.assertEqual(self.want, tally.counts[offset + 3 : offset + 6])
        self.assertEqual(sum(self.want), sum(tally.counts))

    def test_a_dying_server_is_counted_a_few_times(self) -> None:
        tally = start_takeover()[0].network.nodes["d0-1"].takeovers.active[SERVICE].tally
        tally.servers = {GOOD.server_address: ServerState(True, True, 0.0)}
        tally.counts = [0] * len(tally.counts)
        for _ in range(10):
            count_attempt(tally, attrs.evolve(GOOD, kind=OutcomeKind.BROKEN))
        self.assertEqual(MAX_BURST_FAILURES, tally.counts[tally.offsets["view"] + 4])


class KeepCountsTest(testtools.TestCase):
    """Reports arrive in any order, some twice; the tested counts still add up to the total."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.integers(1, 9), min_size=1, max_size=20), st.integers(0, 20))
    def test_any_order(self, sequences: list[int], taken_after: int) -> None:
        takeover = _TAKEOVER
        takeover.local_collection.sources.clear()
        size = len(takeover.tally.counts)
        tested = [0] * size
        for index, sequence in enumerate([1, *sequences, 9]):
            counts = [sequence * (position + 1) for position in range(size)]
            report = EvidenceReport("id", "d0-9", "d0", 1, sequence, counts)
            record_counts(takeover, takeover.local_collection, report, 0.0)
            if index in (0, taken_after):
                delta = consume_untested(takeover.local_collection.sources["d0-9"])
                tested = [a + b for a, b in zip(tested, delta, strict=True)]
        delta = consume_untested(takeover.local_collection.sources["d0-9"])
        tested = [a + b for a, b in zip(tested, delta, strict=True)]
        self.assertEqual([9 * (position + 1) for position in range(size)], tested)


_TAKEOVER = start_takeover()[0].network.nodes["d0-1"].takeovers.active[SERVICE]
