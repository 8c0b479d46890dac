"""Tests that no odd request at a port of a sidecar costs other requests, loops or members."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import eventlet
import testtools

from magnoliasill.mesh.hop_headers import CALL_HEADER

from ..test_odd_bytes import ODD_BYTES, nest
from . import fleet as harness
from .fleet import build_rule, open_fleet, put_configuration, send

if TYPE_CHECKING:
    from collections.abc import Iterator

TARGETS = (
    "/mesh/changes?after=" + "9" * 5_000,
    "/mesh/changes?held=" + "9" * 5_000,
    "/mesh/changes?after=%00&after=x",
    "/mesh/counts?stopped=v1&service=shop&order=" + "9" * 5_000,
    "/mesh/counts?stopped=v1&service=shop&order=%D9%A3",
    "/mesh/crashes/all?x",
    "//[",
    "http://[/mesh/counts",
    "/%",
)
IDENTIFIERS = ("\xff", "\u00e9" * 40, '"', "\\", "a" * 6_000, "{}", "\x7f")


def list_requests() -> Iterator[tuple[str, bytes]]:
    """Yield odd requests, each with the name of the port that it is for."""
    for body in ODD_BYTES.values():
        length = f"Content-Length: {len(body)}\r\n"
        for port, line in (
            ("control", "PUT /-/instances/i-1"),
            ("control", "DELETE /-/instances/i-1"),
            ("gate", "POST /mesh/crashes"),
        ):
            yield port, f"{line} HTTP/1.1\r\nHost: x\r\n{length}\r\n".encode() + body
    for target in TARGETS:
        for port in ("gate", "callers", "readiness", "control"):
            yield port, f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    for value in (nest("[", "]", 2_000), nest('{"a":', "}", 1_200), '{"born":' + "9" * 5_000):
        head = f"GET /stock/x HTTP/1.1\r\nHost: shop.example\r\n{CALL_HEADER}: {value}\r\n\r\n"
        yield "gate", head.encode()


class OddRequestTest(testtools.TestCase):
    """Guards against a request that costs a sidecar more than itself."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = open_fleet(["shop", "stock"])
        self.addCleanup(harness.close_fleet, self.fleet)
        put_configuration(self.fleet, 3, build_rule("shop"), build_rule("stock"))
        harness.wait_ready(self.fleet)

    def assert_served(self) -> None:
        for index, running in enumerate(self.fleet.sidecars):
            self.assertEqual(200, send(self.fleet, index, "/stock/x", f"after-{index}")[0])
            for loop in (*running.loops, *running.servers):
                self.assertFalse(loop.dead)
        self.assertEqual(200, harness.send_heartbeat(self.fleet, 1))

    def test_every_port_answers_or_closes_and_serves_on(self) -> None:
        settings = self.fleet.sidecars[1].sidecar.settings
        for port, request in list_requests():
            with suppress(OSError), harness.connect(getattr(settings, port)) as sock:
                sock.sendall(request)
                sock.settimeout(0.02)
                sock.recv(1000)
        eventlet.sleep(0.1)
        self.assert_served()

    # characters beyond ASCII in an identifier broke the hop, and its member counted as unreachable
    def test_an_odd_identifier_is_served_and_costs_no_other_request(self) -> None:
        for number, identifier in enumerate(IDENTIFIERS):
            status = send(self.fleet, 0, "/stock/x", identifier)[0]
            self.assertEqual(200, status, f"{identifier[:20]!r}")
            self.assertEqual(200, send(self.fleet, 0, "/stock/x", f"next-{number}")[0])
        failed = [event for event in self.fleet.events if event["event"] == "attempt_failed"]
        self.assertEqual([], failed)
        self.assert_served()


class OddRouteTest(testtools.TestCase):
    """Guards against names of a configuration that can't be passed from sidecar to sidecar."""

    # such a route answered every request with an unknown outcome
    def test_a_route_with_an_odd_name_is_served(self) -> None:
        fleet = open_fleet(["shop", "stock"])
        self.addCleanup(harness.close_fleet, fleet)
        put_configuration(fleet, 3, build_rule("stock", name='r-\u00e9\u4e16"\\'))
        harness.wait_ready(fleet)
        self.assertEqual(200, send(fleet, 0, "/stock/x", "a-1")[0])
