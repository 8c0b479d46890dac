"""Tests of requests to other sidecars."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import eventlet
import testtools

from magnoliasill.mesh.crash_findings import record_end
from magnoliasill.mesh.takeovers import Order
from magnoliasill.sidecar import (
    crash_notices,
    crash_reports,
    daemon,
    gate_port,
    member_requests,
    release_counts,
)
from magnoliasill.sidecar.http_exchange import Reply
from magnoliasill.sidecar.metrics import Meters
from magnoliasill.sidecar.state import OpenOrder
from magnoliasill.urgent_hub import is_urgent, set_urgent

from . import fleet as harness


class UrgencyTest(testtools.TestCase):
    """What sidecars ask each other has bounds, and callers' requests must not delay it."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = harness.open_fleet(["shop", "stock"])
        self.addCleanup(harness.close_fleet, self.fleet)
        harness.put_configuration(self.fleet, 3, harness.build_rule("stock"))
        harness.wait_ready(self.fleet)
        self.sidecar, self.other = (running.sidecar for running in self.fleet.sidecars)
        self.urgencies: dict[str, bool] = {}

    def record(self, module: Any, name: str) -> None:
        original = getattr(module, name)

        def call(*arguments: Any, **options: Any) -> Any:
            self.urgencies[name] = is_urgent()
            return original(*arguments, **options)

        self.patch(module, name, call)

    # a stop of a bad release and the counts that it is judged by waited for turns behind requests
    def test_counts_are_collected_and_answered_urgently(self) -> None:
        for module, name in (
            (daemon, "answer_counts_request"),
            (release_counts, "request_from_member"),
        ):
            self.record(module, name)
        order = OpenOrder(Order("stock", "v2", 10.0), 1, self.sidecar.clock())
        thread = eventlet.spawn(self.run_urgently, release_counts.collect_counts, order)
        self.assertEqual(1, len(thread.wait().by_process))
        expected = {"answer_counts_request": True, "request_from_member": True}
        self.assertEqual(expected, self.urgencies)

    def run_urgently(self, function: Any, *arguments: Any) -> Any:
        set_urgent(True)
        return function(self.sidecar, *arguments)

    def test_findings_are_told_and_heard_urgently(self) -> None:
        self.record(daemon, "receive_notice")
        self.record(crash_notices, "request_from_member")
        fingerprint = bytes(12)
        record_end(self.sidecar.crash_findings, 1.0, "stock", fingerprint, bytes(6))
        crash_reports.report_end(self.sidecar, "stock", fingerprint)
        harness.wait_for(lambda: len(self.urgencies) == 2, "the other gate was not told")
        self.assertEqual({"receive_notice": True, "request_from_member": True}, self.urgencies)

    def test_a_forwarded_request_is_not_urgent(self) -> None:
        self.record(gate_port, "handle_gate_request")
        member = self.sidecar.members.records["vm-2"]
        member_requests.request_from_member(self.sidecar, member, "/mesh/other", 1.0, dict)
        # as a sender would that keeps all its connections in one pool
        self.patch(self.sidecar, "peer_connections", self.sidecar.control_connections)
        self.assertEqual(200, harness.send(self.fleet, 0, "/stock/x")[0])
        self.assertEqual({"handle_gate_request": False}, self.urgencies)


class LongResponseTest(testtools.TestCase):
    """A response that is longer than what is buffered, such as a snapshot for many VMs."""

    def request(self, chunks: Any) -> list[int] | None:
        reply = Reply(200, "OK", [], b"[1, 2", chunks)
        self.patch(member_requests, "exchange", lambda *_: reply)
        sidecar = SimpleNamespace(clock=lambda: 0.0, control_connections=None, meters=Meters())
        member = SimpleNamespace(gate="10.0.0.1:1")
        return member_requests.request_from_member(sidecar, member, "/x", 1.0, list[int])

    # its end was cut off, so that a relay's snapshot counted as no response
    def test_it_is_read_to_its_end(self) -> None:
        self.assertEqual([1, 2, 3, 4], self.request(iter([b", 3", b", 4]"])))

    def test_one_that_breaks_off_is_none(self) -> None:
        def break_off() -> Any:
            yield b", 3"
            raise OSError("connection reset")

        self.assertIsNone(self.request(break_off()))
