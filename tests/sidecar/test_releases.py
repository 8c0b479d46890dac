"""Tests of how failed requests count against a new release."""

from __future__ import annotations

import attrs

from magnoliasill.mesh.members import put_member
from magnoliasill.mesh.takeovers import Takeover

from .fleet import build_answer, send
from .test_calls import CallCase


class NewReleaseTest(CallCase):
    """Guards against retrying a request on the release that has just failed it."""

    services = ("shop", "stock", "stock", "stock")

    def test_a_request_that_it_failed_goes_to_the_established_release(self) -> None:
        for index, running in enumerate(self.fleet.sidecars):
            sidecar = running.sidecar
            sidecar.takeovers["stock"] = (Takeover("stock", "v2", 1, share=0.99), 1)
            for name in ("vm-2", "vm-3"):
                put_member(
                    sidecar.members, attrs.evolve(sidecar.members.records[name], release="v2")
                )
            if index in (1, 2):
                latest = sidecar.backend.latest
                sidecar.backend.latest = attrs.evolve(latest, release="v2")
                self.fleet.servers[index].behave = lambda backend, identifier: build_answer(
                    identifier, b"", "500 Broken"
                )
        for number in range(5):  # within the retry budget
            self.assertEqual(200, send(self.fleet, 0, "/stock/x", f"v-{number}")[0])
            failed = [server.runs[f"v-{number}"] for server in self.fleet.servers[1:3]]
            self.assertLessEqual(sum(failed), 1)


class NestedFailureTest(CallCase):
    """Guards against rolling back a good release because calls to other services failed.

    The release's servers respond with 500 when a call that they make to another service fails.
    """

    def test_a_failure_after_a_failed_call_of_its_own_says_nothing_of_a_release(self) -> None:
        def call_stock(backend: object, identifier: str) -> bytes:
            status = send(self.fleet, 0, "/stock/x", f"{identifier}.1", "POST", b"x")[0]
            return build_answer(identifier, b"", "500 Broken" if status >= 500 else "200 OK")

        self.fleet.servers[0].behave = call_stock
        self.stock.behave = lambda backend, identifier: b"!reset"
        self.assertEqual(500, send(self.fleet, 1, "/shop/x", "p-1")[0])
        counts = self.fleet.sidecars[0].sidecar.route_counts
        self.assertEqual(0, counts["r-shop"].failures if "r-shop" in counts else 0)
