"""Tests that an odd item of the store costs no sidecar its loops, or the other items."""

from __future__ import annotations

import eventlet
import testtools
from testscenarios import WithScenarios

from fakes.store import put_item
from magnoliasill.mesh.members import Member
from magnoliasill.mesh.records import encode_record
from magnoliasill.sidecar import store_relay, store_sync

from . import simulated_fleet as simulation

NESTED = b'{"x":' + b"[" * 2_000 + b"]" * 2_000 + b"}"
PREFIXES = ("mesh/members/", "mesh/takeovers/", "mesh/crashes/", "op/rollout/", "other/")


class OddItemCase(testtools.TestCase):
    """A simulated fleet of two data centres, in which odd items are written."""

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(eventlet.hubs.use_hub, None)
        self.fleet = simulation.open_simulated_fleet(1, 2, 4, (0, 1))
        ask = simulation.ask_simulated_member(self.fleet)
        self.patch(store_relay, "request_from_member", ask)
        simulation.run_until(self.fleet, 4.0)

    def write(self, key: str, value: bytes) -> None:
        put_item(self.fleet.fake_store, key, value)

    def assert_followed(self) -> None:
        """Check that all VMs apply what is written now, and that no loop has ended."""
        fleet = self.fleet
        version = simulation.publish(fleet)
        simulation.run_until(fleet, fleet.now + 3.0)
        versions = {name: vm.sidecar.table.version for name, vm in fleet.vms.items()}
        self.assertEqual({}, {name: found for name, found in versions.items() if found != version})
        self.assertEqual([], fleet.failures)

    def assert_logged(self, key: str) -> None:
        for vm in self.fleet.vms.values():
            logged = [event.get("key") or event.get("reason", "") for event in vm.events]
            self.assertNotEqual([], [text for text in logged if text.startswith(key)])


class OddValueTest(WithScenarios, OddItemCase):
    """Guards against an odd item that ends the loop which follows the store, on every VM."""

    scenarios = [(prefix.strip("/"), {"prefix": prefix}) for prefix in PREFIXES]

    # the error of a deeply nested value ended the loop
    def test_the_store_is_followed_on(self) -> None:
        for name, value in (("odd", NESTED), ("nul", b"\0"), ("\0 \ud7ff" * 9, b'{"name":7}')):
            self.write(self.prefix + name, value)
        self.assert_followed()


class OtherItemsTest(OddItemCase):
    """Guards against an item that costs the others of its page."""

    def setUp(self) -> None:
        super().setUp()
        put_member = store_sync.put_member

        def fail(table: object, member: Member) -> None:
            if member.name == "odd":
                raise ZeroDivisionError("unexpected")
            put_member(table, member)

        self.patch(store_sync, "put_member", fail)

    # the copy of the store was already advanced, and the rest of the page was never applied
    def test_they_are_applied_when_one_meets_an_unexpected_error(self) -> None:
        for name in ("a", "odd", "z"):
            member = Member(name, "dc-9", "vm-9:2", "stock", "v1", f"i-{name}", 1)
            self.write(f"mesh/members/{name}", encode_record(member))
        self.assert_followed()
        self.assert_logged("mesh/members/odd")
        for vm in self.fleet.vms.values():
            self.assertEqual({"a", "z"}, {*vm.sidecar.members.by_service["stock"]})


class OddMemberTest(WithScenarios, OddItemCase):
    """Guards against members that nobody can call, and that all sidecars reckon with."""

    scenarios = [
        (name, {"changes": changes})
        for name, changes in (
            ("link", {"link_mbps": 1e300}),
            ("port", {"gate": "vm-9:99999"}),
            ("no-slots", {"slots": 0}),
            ("slots", {"slots": 2**62}),
        )
    ]

    # a member with such a link was the first relay of every VM
    def test_no_vm_lists_them(self) -> None:
        fields = {"slots": 9, "gate": "vm-9:2", "link_mbps": 0.0, **self.changes}
        member = Member("odd", "dc-0", service="shop", release="v1", instance="i-odd", **fields)
        self.write("mesh/members/odd", encode_record(member))
        self.assert_followed()
        self.assert_logged("mesh/members/odd")
        for vm in self.fleet.vms.values():
            self.assertNotIn("odd", vm.sidecar.members.records)
