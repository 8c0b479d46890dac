"""Tests of how many messages it takes to tell others of lost requests, on a virtual clock."""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random
from typing import Any

import eventlet
import eventlet.hubs
import msgspec
import testtools

from magnoliasill.mesh.crash_findings import CrashRecord, record_end
from magnoliasill.mesh.members import Member, put_member
from magnoliasill.mesh.settings import Bounds, SidecarSettings
from magnoliasill.sidecar import crash_notices, crash_reports, crash_store
from magnoliasill.sidecar.metrics import Meters
from magnoliasill.sidecar.state import Sidecar

from .simulated_fleet import VirtualHub

SERVICE = "shop"
GATES = 40
CUT = 10  # of the gates, that don't answer
STORM_S = 6.0
ANSWER_S = 0.012
AT_ONCE_S = 0.05
KNOWN_WITHIN_S = 2.5  # after the last finding
MAX_PER_GATE_S = 2.0  # of any number of findings; one carries 128
MAX_PER_SILENT_GATE_S = 1.0
STORED_BYTES_PER_S = 5_000  # of a daemon for control (DEVELOPERS.md)
FIRST_NOTICES = 8  # to each gate, before that limit is reached


class WrittenStore:
    """A store that remembers how many bytes were written, and the last value."""

    era = 0
    written = 0
    value = b""

    def grant_lease(self, seconds: float) -> int:
        return 1

    def transact(self, transaction: Any) -> int:
        eventlet.sleep(ANSWER_S)
        self.value = transaction.puts[0].value
        self.written += len(self.value)
        return 1


class StormTest(testtools.TestCase):
    """A sidecar that loses many requests at once, as when a data centre is cut off."""

    def setUp(self) -> None:
        super().setUp()
        eventlet.hubs.use_hub(VirtualHub)
        self.hub = eventlet.hubs.get_hub()
        address = "vm:1"
        settings = SidecarSettings(
            name="vm",
            data_centre="dc-0",
            callers=address,
            gate=address,
            readiness=address,
            control=address,
            server=address,
            service=SERVICE,
            store=address,
            bounds=Bounds(),
        )
        self.sidecar = Sidecar(
            settings,
            None,
            Meters(),
            lambda event, **fields: None,
            start_id="1",
            random=Random(1),
            clock=lambda: self.hub.now_s,
        )
        for number in range(GATES):
            name = f"gate-{number:02}"
            fields = {"service": SERVICE, "release": "v1", "instance": f"i-{number}", "slots": 9}
            member = Member(name, "dc-0", f"{name}:1", **fields)
            put_member(self.sidecar.members, member)
        self.sent: Counter[str] = Counter()
        self.told_ends: dict[tuple[str, str], set[str]] = defaultdict(set)
        self.told_at: dict[str, dict[str, float]] = defaultdict(dict)
        self.cut = {f"gate-{number:02}" for number in range(CUT)}
        self.patch(crash_notices, "request_from_member", self.answer_notice)
        self.store = self.sidecar.store = WrittenStore()
        self.sidecar.mirror.revision = 1

    def answer_notice(
        self, sidecar: Sidecar, member: Member, target: str, timeout_s: float, *args: Any
    ) -> list[CrashRecord] | None:
        self.sent[member.name] += 1
        if member.name in self.cut:
            eventlet.sleep(timeout_s)
            return None
        eventlet.sleep(ANSWER_S)
        for record in msgspec.json.decode(args[1], type=list[CrashRecord]):
            self.told_at[member.name].setdefault(record.fingerprint, self.hub.now_s)
            self.told_ends[member.name, record.fingerprint] |= {*record.ended}
        return []

    def lose_request(self, number: int) -> str:
        """Find that a server seems to have ended under a request; return its fingerprint."""
        fingerprint = number.to_bytes(12)
        server = (number % GATES).to_bytes(6)
        record_end(self.sidecar.crash_findings, self.hub.now_s, SERVICE, fingerprint, server)
        crash_reports.report_end(self.sidecar, SERVICE, fingerprint)
        return fingerprint.hex()

    def lose_many(self, per_s: float) -> list[str]:
        lost = []
        for number in range(round(per_s * STORM_S)):
            lost.append(self.lose_request(1 + number))
            eventlet.sleep(1 / per_s)
        eventlet.sleep(KNOWN_WITHIN_S)
        return lost

    # 10,000 notices a second, after a data centre was cut off, took the processors of all VMs
    def test_the_number_of_notices_does_not_grow_with_that_of_findings(self) -> None:
        lost = self.lose_many(50.0)
        limit = FIRST_NOTICES + MAX_PER_GATE_S * (STORM_S + KNOWN_WITHIN_S)
        self.assertLessEqual(max(self.sent.values()), limit)
        limit = MAX_PER_SILENT_GATE_S * (STORM_S + KNOWN_WITHIN_S)
        self.assertLessEqual(max(self.sent[name] for name in self.cut), limit)
        for name in set(self.sidecar.members.records) - self.cut:
            self.assertEqual(set(lost), set(self.told_at[name]))

    # the second end of a request was never told to gates that were being told of the first
    def test_an_end_found_while_a_notice_is_on_its_way_is_told(self) -> None:
        fingerprint = self.lose_request(1)
        eventlet.sleep(crash_reports.END_DELAY_S + ANSWER_S / 3)
        self.assertEqual(1, self.sent["gate-39"])
        findings = self.sidecar.crash_findings
        record_end(findings, self.hub.now_s, SERVICE, (1).to_bytes(12), b"second")
        crash_reports.report_end(self.sidecar, SERVICE, (1).to_bytes(12))
        eventlet.sleep(KNOWN_WITHIN_S)
        for name in set(self.sidecar.members.records) - self.cut:
            self.assertEqual(2, len(self.told_ends[name, fingerprint]), name)

    # all VMs got each of 100 lists of findings a second, and merged them anew
    def test_what_is_written_to_the_store_is_bounded(self) -> None:
        loop = eventlet.spawn(crash_store.keep_findings_stored, self.sidecar)
        self.lose_many(50.0)
        loop.kill()
        self.assertLessEqual(self.store.written, STORED_BYTES_PER_S * (STORM_S + KNOWN_WITHIN_S))

    def test_a_request_that_ended_two_servers_is_written_soon(self) -> None:
        loop = eventlet.spawn(crash_store.keep_findings_stored, self.sidecar)
        self.lose_many(20.0)
        fingerprint = self.lose_request(1)
        record_end(
            self.sidecar.crash_findings, self.hub.now_s, SERVICE, (1).to_bytes(12), b"other!"
        )
        crash_reports.report_end(self.sidecar, SERVICE, (1).to_bytes(12))
        eventlet.sleep(KNOWN_WITHIN_S)
        loop.kill()
        self.assertIn(fingerprint, self.store.value.decode())

    def test_a_single_finding_is_told_at_once(self) -> None:
        eventlet.sleep(1.0)
        for number in range(3):
            began_at = self.hub.now_s
            fingerprint = self.lose_request(1 + number)
            eventlet.sleep(AT_ONCE_S)
            for name in set(self.sidecar.members.records) - self.cut:
                self.assertLessEqual(self.told_at[name][fingerprint], began_at + AT_ONCE_S)
            eventlet.sleep(2.0)
