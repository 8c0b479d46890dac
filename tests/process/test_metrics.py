"""Tests of the metrics: requests and calls are counted, and every metric is documented."""

from __future__ import annotations

import random

import testtools
from prometheus_client.parser import text_string_to_metric_families

from fakes.store import FakeStore, build_local_store
from magnoliasill.calls.caller_application import build_application
from magnoliasill.calls.proxy_state import Proxy
from magnoliasill.core.actions import StoreRead, StoreWatch, StoreWrite
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.core.outcomes import Outcome, OutcomeKind
from magnoliasill.errors import StoreError
from magnoliasill.process.exposition import format_metrics
from magnoliasill.process.metrics import (
    COUNTERS,
    GAUGES,
    HISTOGRAMS,
    LABELLED_COUNTERS,
    build_metrics,
    count_store_requests,
)
from tools.docs import ROOT


class MetricsTest(testtools.TestCase):
    """The metrics of one daemon without peers, on a fake store."""

    def setUp(self) -> None:
        super().setUp()
        self.fake_store = FakeStore()
        metrics = build_metrics()
        local_store = build_local_store(self.fake_store, lambda: 0.0)
        self.store = count_store_requests(local_store, metrics)
        node = Node(MemberRecord("a-1", "a", "127.0.0.1:1", 1), random.Random(1))
        self.proxy = Proxy(node, self.store, metrics)

    def _read(self) -> dict[tuple[str, str], float]:
        text = format_metrics(self.proxy).decode()
        families = text_string_to_metric_families(text)
        samples = [sample for family in families for sample in family.samples]
        return {(s.name, next(iter(s.labels.values()), "")): s.value for s in samples}

    def test_store_requests(self) -> None:
        self.store(StoreRead("r", keys=("a",)))
        self.store(StoreWatch("w", "a", 0, 1))
        self.store(StoreWrite("x", "a", b"1", 0))
        self.store(StoreWrite("x", "a", b"1", 0))
        self.fake_store.faults.lose_answers = 1
        self.assertRaises(StoreError, self.store, StoreWrite("x", "b", b"1", 0))
        self.fake_store.faults.refuse = 503
        self.assertRaises(StoreError, self.store, StoreRead("r", keys=("a",)))
        samples = self._read()
        for name, outcome, count in (
            ("reads", "answered", 2),
            ("reads", "failed", 1),
            ("writes", "answered", 1),
            ("writes", "refused", 1),
            ("writes", "unknown", 1),
        ):
            self.assertEqual(count, samples[f"magnoliasill_store_{name}_total", outcome])
        self.assertEqual(3, samples["magnoliasill_store_seconds_count", ""])

    def test_calls(self) -> None:
        application = build_application(self.proxy)
        hooks: list[tuple] = []
        environ = {"REQUEST_METHOD": "GET", "RAW_PATH_INFO": "/x", "eventlet.posthooks": hooks}
        list(application(environ, lambda *values: None))
        for hook, arguments, options in hooks:
            hook(environ, *arguments, **options)
        outcome = Outcome("s", "r", "r1", "x", OutcomeKind.SHED, 0.0, 0.25)
        self.proxy.record_outcome(outcome)
        samples = self._read()
        self.assertEqual(1, samples["magnoliasill_refusals_total", "MS-505"])
        self.assertEqual(1, samples["magnoliasill_call_seconds_count", ""])
        self.assertEqual(1, samples["magnoliasill_attempts_total", "shed"])
        self.assertAlmostEqual(0.25, samples["magnoliasill_attempt_seconds", "0.5"], delta=0.01)

    def test_each_metric_is_explained(self) -> None:
        text = (ROOT / "docs" / "METRICS.md").read_text(encoding="utf-8")
        names = [f"magnoliasill_{name}_total" for name in (*COUNTERS, *LABELLED_COUNTERS)]
        names += [f"magnoliasill_{name}" for name in (*GAUGES, *HISTOGRAMS)]
        self.assertEqual([], [name for name in names if f"`{name}`" not in text])
