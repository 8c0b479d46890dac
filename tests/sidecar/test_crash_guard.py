"""Tests of the guard against requests that end backend servers, over real connections."""

from __future__ import annotations

import testtools

from magnoliasill.calls.crash_table import clear_ends
from magnoliasill.mesh.crash_findings import (
    BLOCK_RULE,
    CrashRecord,
    digest_server,
    merge_records,
    order_trial_members,
)
from magnoliasill.sidecar.crash_guard import ELSEWHERE_REASON, GuardedRequest
from magnoliasill.sidecar.crash_notices import NOTICE_PATH
from magnoliasill.sidecar.http_exchange import Message

from . import fleet as harness
from .fleet import Server, build_rule, call, end_server, open_fleet, put_configuration, send

BAD = "/shop/bad"


def end_on_bad_requests(servers: list[Server]) -> list[Server]:
    """Let servers end on a bad request; return the list of those that have."""
    ended: list[Server] = []

    def behave(server: Server, identifier: str) -> bytes | None:
        if server.requests[-1][1] != BAD:
            return None
        ended.append(server)
        end_server(server)
        return b"!end"

    for server in servers:
        server.behave = behave
    return ended


class GuardCase(testtools.TestCase):
    """One VM of another service and five of the service that gets the requests."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["stock", *["shop"] * 5])
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 3, build_rule("shop"), build_rule("stock"))
        harness.wait_ready(self.fleet)
        self.shops = self.fleet.servers[1:]
        self.ended: list[Server] = []

    def send_bad(self, times: int, sender: int = 0, **options: object) -> list[int]:
        answers = [
            send(self.fleet, sender, BAD, f"bad-{sender}-{number}", **options)
            for number in range(times)
        ]
        return [status for status, _, _ in answers]


class EndedServerTest(GuardCase):
    def setUp(self) -> None:
        super().setUp()
        self.ended = end_on_bad_requests(self.shops)

    def test_it_is_refused_after_three_ends_and_others_are_served(self) -> None:
        self.assertEqual([502, 502, 503, 503], self.send_bad(4))
        self.assertEqual(BLOCK_RULE.servers, len(self.ended))
        status, headers, _ = send(self.fleet, 3, BAD, "bad-again")
        self.assertEqual(503, status)
        self.assertGreater(float(headers["retry-after"]), 500)
        self.assertEqual(200, send(self.fleet, 0, "/shop/good", "good")[0])

    def test_a_heartbeat_during_the_run_hides_no_end(self) -> None:
        def behave(server: Server, identifier: str) -> bytes:
            harness.send_heartbeat(self.fleet, self.fleet.servers.index(server))
            self.ended.append(server)
            end_server(server)
            return b"!end"

        for shop in self.shops:
            shop.behave = behave
        self.send_bad(1)
        findings = [running.sidecar.crash_findings for running in self.fleet.sidecars]
        ended = [self.fleet.servers[index] for index, f in enumerate(findings) if f.ended_server]
        self.assertEqual({server.instance for server in self.ended}, {s.instance for s in ended})

    def test_a_body_that_differs_makes_another_request(self) -> None:
        self.send_bad(2, method="POST", body=b"one")
        self.assertEqual([502], self.send_bad(1, sender=1, method="POST", body=b"other"))

    def test_a_gate_that_restarts_refuses_it_too(self) -> None:
        self.send_bad(2)
        left = next(shop for shop in self.shops if shop not in self.ended)
        index = self.fleet.servers.index(left)
        harness.wait_for(
            lambda: any(key.startswith("mesh/crashes/") for key in self.fleet.fake_store.items),
            "nothing was stored",
        )
        harness.restart_sidecar(self.fleet, index)
        harness.wait_ready(self.fleet)
        harness.send_heartbeat(self.fleet, index)
        known = self.fleet.sidecars[index].sidecar.crash_findings.table
        harness.wait_for(lambda: known.suspects, "the gate learnt nothing")
        self.assertEqual([503], self.send_bad(1, sender=index))


class TrialTest(testtools.TestCase):
    """Two senders outside the service, of which the second knows of no end."""

    # each chose a gate by load, and the request ended one server after another at once
    def test_it_is_sent_on_to_the_gate_that_all_choose(self) -> None:
        fleet = open_fleet(["stock", "stock", *["shop"] * 5])
        self.addCleanup(harness.close_fleet, fleet)
        put_configuration(fleet, 3, build_rule("shop"), build_rule("stock"))
        harness.wait_ready(fleet)
        ended = end_on_bad_requests(fleet.servers[2:])
        send(fleet, 0, BAD, "bad-0")
        first = len(ended)
        findings = fleet.sidecars[0].sidecar.crash_findings
        (fingerprint,) = findings.table.suspects
        members = fleet.sidecars[0].sidecar.members.by_service["shop"].values()
        chosen = order_trial_members(findings, fingerprint, members)[0]
        gates = [running.sidecar.crash_findings.table for running in fleet.sidecars[2:]]
        harness.wait_for(lambda: all(table.suspects for table in gates), "not all gates know")
        send(fleet, 1, BAD, "bad-1")
        self.assertEqual(chosen.instance, ended[first].instance)


class ClearedRequestTest(GuardCase):
    """A sender knows a request to be cleared of an end that its gates still count."""

    # the sender left its record out of the request, so that gates sent it on until it was refused
    def test_the_gate_learns_of_the_clearance_with_the_request(self) -> None:
        message = Message("GET", BAD, [("Host", "shop.example")], b"")
        fingerprint = GuardedRequest("shop", message).fingerprint
        gone = digest_server("i-gone", 1)
        record = CrashRecord("shop", fingerprint.hex(), (gone.hex(),))
        sidecars = [running.sidecar for running in self.fleet.sidecars]
        for sidecar in sidecars:
            merge_records(sidecar.crash_findings, sidecar.clock(), [record], b"")
        clear_ends(sidecars[0].crash_findings.table, sidecars[0].clock(), fingerprint, {gone})
        for number in range(4):
            self.assertEqual(200, send(self.fleet, 0, BAD, f"cleared-{number}")[0])
        sent_on = [e for e in self.fleet.events if e.get("reason") == ELSEWHERE_REASON]
        self.assertEqual([], sent_on)


class LivingServerTest(GuardCase):
    """Guards against blame for a connection that a server that lives on has reset."""

    def test_resets_are_not_counted(self) -> None:
        for shop in self.shops:
            shop.behave = lambda server, identifier: b"!reset"
        self.assertEqual([502] * 6, self.send_bad(6))
        tables = [running.sidecar.crash_findings.table for running in self.fleet.sidecars]
        self.assertEqual([0] * len(tables), [len(table.suspects) for table in tables])


class MalformedNoticeTest(GuardCase):
    def test_it_changes_nothing(self) -> None:
        gate = self.fleet.sidecars[1].sidecar.settings.gate
        record = b'{"service":"shop","fingerprint":"%s","ended":["%s"]}'
        bodies = (b"", b"[", b"{}", b"[1]", b"[%s]" % (record % (b"xx", b"00")))
        for body in (*bodies, b"[%s]" % (record % (b"00" * 12, b"zz"))):
            head = f"POST {NOTICE_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
            self.assertEqual((200, b"[]"), call(gate, head, body)[::2])
        self.assertEqual(0, len(self.fleet.sidecars[1].sidecar.crash_findings.table.suspects))
