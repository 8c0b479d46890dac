"""Tests of what is counted and logged of the use of a VM's link."""

from __future__ import annotations

import attrs
import eventlet
import testtools

from magnoliasill.sidecar import link_use
from magnoliasill.sidecar.member_requests import request_from_member

from . import fleet as harness

BODY = b"x" * 20_000


class LinkUseTest(testtools.TestCase):
    """A sidecar and another one with a server, over loopback connections."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = harness.open_fleet(["shop", "stock"])
        self.addCleanup(harness.close_fleet, self.fleet)
        harness.put_configuration(self.fleet, 3, harness.build_rule("stock", "non_idempotent"))
        harness.wait_ready(self.fleet)
        self.sidecar, self.other = (running.sidecar for running in self.fleet.sidecars)

    def test_bodies_are_counted_at_both_ends(self) -> None:
        head = "POST /stock/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a-1\r\n"
        head += f"Content-Length: {len(BODY)}\r\n\r\n"
        status, _, _ = harness.call(self.sidecar.settings.callers, head, BODY)
        self.assertEqual(200, status)
        self.assertLess(len(BODY), self.sidecar.meters.counters["link"]["received_callers"])
        self.assertLess(len(BODY), self.sidecar.meters.counters["link"]["sent_bodies"])
        self.assertLess(len(BODY), self.other.meters.counters["link"]["received_bodies"])

    def test_a_filled_link_is_logged_with_what_fills_it(self) -> None:
        self.sidecar.settings = attrs.evolve(self.sidecar.settings, link_mbps=1.0)
        self.patch(link_use, "REPORT_INTERVAL_S", 0.02)
        loop = eventlet.spawn(link_use.watch_link_use, self.sidecar)
        self.addCleanup(loop.kill)
        eventlet.sleep(0)
        link_use.count_received(self.sidecar, "bodies", len(BODY))
        harness.wait_for(self.find_reports, "the use of the link was not logged")
        report = self.find_reports()[0]
        self.assertEqual("received", report["direction"])
        self.assertEqual(len(BODY) + link_use.HEAD_BYTES, report["kinds"]["bodies"])

    def find_reports(self) -> list[dict[str, object]]:
        return [event for event in self.fleet.events if event["event"] == "link_filled"]

    def test_failures_of_requests_between_sidecars_are_told_apart(self) -> None:
        member = self.sidecar.members.records["vm-2"]
        gone = attrs.evolve(member, gate="127.0.0.1:9")
        self.assertIsNone(request_from_member(self.sidecar, gone, "/mesh/changes", 0.5, dict))
        self.assertIsNone(request_from_member(self.sidecar, member, "/mesh/changes", 0.5, int))
        counted = self.sidecar.meters.counters["member_requests"]
        self.assertLessEqual(1, counted["unreached"])
        self.assertEqual(1, counted["undecodable"])
