"""Tests that an odd item of the store costs no sidecar its loops, or the other items."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import eventlet
import testtools
from testscenarios import WithScenarios

from fakes.store import put_item
from magnoliasill.mesh.members import Member
from magnoliasill.mesh.records import encode_record
from magnoliasill.sidecar import item_application, release_counts, store_relay

from . import simulated_fleet as simulation

NESTED = b'{"x":' + b"[" * 2_000 + b"]" * 2_000 + b"}"
PLACEHOLDER = b'"nested"'
ITEMS = 200
ODD_FIELDS = (
    None,
    True,
    -1,
    0,
    1e308,
    -1e308,
    2**62,
    10**30,
    10**400,
    "",
    "\0",
    "x" * 5_000,
    "\U0001f600",
    [],
    {},
    [[[]]],
    {"x": {}},
    "nested",
)
RECORDS = (
    *(
        (
            f"mesh/members/{name}",
            {
                "name": name,
                "data_centre": "dc-0",
                "gate": f"{name}:2",
                "service": "shop",
                "release": "v1",
                "instance": "i-9",
                "slots": 4,
                "leaving": False,
                "link_mbps": 900.0,
                "born": 5,
                "server_leaving": False,
            },
        )
        for name in ("vm-0-03", "vm-1-02")
    ),
    (
        "mesh/takeovers/shop",
        {
            "service": "shop",
            "release": "v2",
            "order_revision": 3,
            "phase": "running",
            "share": 0.2,
            "elapsed_s": 3.0,
            "age_s": 4.0,
            "answered": 9,
            "retired": ["v0"],
            "before": {"r-1": {"answers": 90, "failures": 3}},
            "after": {"r-1": {"answers": 9, "failures": 3}},
            "rate_per_s": 20.0,
        },
    ),
    ("op/rollout/shop", {"service_name": "shop", "target_version": "v2", "duration_s": 20.0}),
    (
        "mesh/crashes/vm-0-03",
        [{"service": "shop", "fingerprint": "ab" * 12, "ended": ["cd" * 6], "cleared": []}],
    ),
    ("mesh/decider", {"holder": "vm-0-00"}),
)
PREFIXES = ("mesh/members/", "mesh/takeovers/", "mesh/crashes/", "op/rollout/", "other/")


class OddItemCase(testtools.TestCase):
    """A simulated fleet of two data centres, in which odd items are written."""

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(eventlet.hubs.use_hub, None)
        self.fleet = simulation.open_simulated_fleet(1, 2, 4, (0, 1))
        ask = simulation.ask_simulated_member(self.fleet)
        self.patch(store_relay, "request_from_member", ask)
        self.patch(release_counts, "request_from_member", ask)
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
        put_member = item_application.put_member

        def fail(table: object, member: Member) -> None:
            if member.name == "odd":
                raise ZeroDivisionError("unexpected")
            put_member(table, member)

        self.patch(item_application, "put_member", fail)

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


class MutatedItemsTest(WithScenarios, OddItemCase):
    """Guards against any single field of another writer's item that a loop can't cope with."""

    scenarios = [(f"seed-{seed}", {"seed": seed}) for seed in range(1, 5)]

    # fields out of range were accepted, and failed wherever they were reckoned with
    def test_the_loops_go_on_and_no_item_meets_an_unexpected_error(self) -> None:
        random = Random(self.seed)
        for _ in range(ITEMS):
            key, record = random.choice(RECORDS)
            mutated = mutate(json.loads(json.dumps(record)), random)
            self.write(key, json.dumps(mutated).encode().replace(PLACEHOLDER, NESTED))
            eventlet.sleep(random.uniform(0.0, 0.3))
        self.assert_followed()
        failed = [
            event["reason"]
            for vm in self.fleet.vms.values()
            for event in vm.events
            if event["event"] == "system_failed"
        ]
        self.assertEqual([], failed)


def mutate(record: Any, random: Random) -> Any:
    """Replace one value somewhere in a decoded record, or the record itself."""
    if not isinstance(record, dict | list) or not record or random.random() < 0.1:
        return random.choice(ODD_FIELDS)
    key = random.choice([*record]) if isinstance(record, dict) else random.randrange(len(record))
    record[key] = mutate(record[key], random)
    return record
