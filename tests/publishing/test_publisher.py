"""Tests of publishing: exactly once, and never a lost update."""

from __future__ import annotations

from datetime import UTC, datetime

import attrs
import testtools
from testscenarios import WithScenarios

from fakes.store import Tables, build_local_store, put_item
from magnoliasill.codes import ErrorCode
from magnoliasill.core.actions import StoreWrite
from magnoliasill.errors import (
    ConfigurationError,
    PublishError,
    ServiceFileError,
    StoreError,
    StoreOutcomeUnknownError,
)
from magnoliasill.publishing.history import read_base, read_changes
from magnoliasill.publishing.publisher import Publish, plan_undo, publish, read_accepted, read_head
from magnoliasill.versions.manifest import BLOB_PREFIX, HEAD_KEY

from ..builders import build_service

NOW = datetime(2027, 1, 1, tzinfo=UTC)


def _ignore(_: int) -> None:
    return None


class PublishTest(testtools.TestCase):
    """Publishing against the store stand-in in this process."""

    def setUp(self) -> None:
        super().setUp()
        self.tables = Tables()
        self.store = build_local_store(self.tables, lambda: 0.0)

    def _publish(self, publish_id: str, base: object, *files: object) -> object:
        services = {file.service: file for file in files}
        started = base.services if base is not None else None
        return publish(self.store, Publish(publish_id, services, started), NOW, _ignore)

    def test_different_services_merge(self) -> None:
        base = self._publish("a", None, build_service("certs"))
        self._publish("b", base, build_service("media"))
        head = self._publish("c", base, build_service("lessons"))
        self.assertEqual(3, head.version)
        self.assertEqual({"certs", "media", "lessons"}, set(head.services))

    def test_same_service_conflicts(self) -> None:
        base = self._publish("a", None, build_service("certs"))
        self._publish("b", base, build_service("certs", release="r2"))
        error = self.assertRaises(
            PublishError, self._publish, "c", base, build_service("certs", release="r3")
        )
        self.assertEqual(ErrorCode.PUBLISH_CONFLICT, error.code)
        self.assertIn("b", error.message)
        self.assertEqual(2, read_head(self.store)[0].version)

    def test_older_checkout_conflicts(self) -> None:
        self._publish("a", None, build_service("certs"))
        for base in ({}, {"certs": "another hash"}):
            request = Publish("b", {"certs": build_service("certs", release="r2")}, base)
            error = self.assertRaises(PublishError, publish, self.store, request, NOW, _ignore)
            self.assertEqual(ErrorCode.PUBLISH_CONFLICT, error.code)

    def test_base_of_an_earlier_version(self) -> None:
        heads = [
            self._publish(f"p{n}", None, build_service("certs", release=f"r{n}")) for n in "123"
        ]
        self._publish("p4", None, build_service("media"))
        head, _ = read_head(self.store)
        for expected in heads:
            self.assertEqual(expected.services, read_base(self.store, head, expected.version))
        error = self.assertRaises(PublishError, read_base, self.store, head, 9)
        self.assertEqual(ErrorCode.VERSION_UNKNOWN, error.code)

    def test_removal_keeps_references_closed(self) -> None:
        self._publish("a", None, build_service("certs"), build_service("media", ["certs.view"]))
        request = Publish("b", {}, None, frozenset({"certs"}))
        error = self.assertRaises(ServiceFileError, publish, self.store, request, NOW, _ignore)
        self.assertEqual(ErrorCode.REFERENCE_MISSING, error.code)
        absent = Publish("c", {}, None, frozenset({"absent"}))
        error = self.assertRaises(PublishError, publish, self.store, absent, NOW, _ignore)
        self.assertEqual(ErrorCode.SERVICE_UNKNOWN, error.code)

    def test_undo_spares_later_changes(self) -> None:
        self._publish("a", None, build_service("certs"))
        self._publish("b", None, build_service("certs", release="r2"))
        self._publish("c", None, build_service("media"))
        head = publish(self.store, plan_undo(self.store, "u", 2), NOW, _ignore)
        _, services = read_accepted(self.store)
        self.assertEqual(4, head.version)
        self.assertEqual(build_service("certs"), services["certs"])
        self.assertIn("media", services)
        self._publish("d", None, build_service("media", release="r2"))
        request = plan_undo(self.store, "v", 3)
        error = self.assertRaises(PublishError, publish, self.store, request, NOW, _ignore)
        self.assertEqual(ErrorCode.PUBLISH_CONFLICT, error.code)

    def test_teams(self) -> None:
        mine, theirs = build_service("certs"), attrs.evolve(build_service("certs"), team="rival")
        self._publish("a", None, mine)
        cases = (
            Publish("b", {"certs": theirs}, None),
            Publish("c", {"certs": theirs}, None, team="rival"),
            Publish("d", {"certs": mine}, None, team="rival"),
            Publish("e", {}, None, frozenset({"certs"}), team="rival"),
            Publish("f", {"media": build_service("media")}, None, team="rival"),
            plan_undo(self.store, "g", 1, "rival"),
        )
        for request in cases:
            error = self.assertRaises(PublishError, publish, self.store, request, NOW, _ignore)
            self.assertEqual(ErrorCode.TEAM_MISMATCH, error.code, request)
        transfer = Publish("h", {"certs": theirs}, None, transfer=True)
        self.assertEqual(2, publish(self.store, transfer, NOW, _ignore).version)

    def test_damaged_blob_is_named_and_healed(self) -> None:
        head = self._publish("a", None, build_service("certs"))
        key = BLOB_PREFIX + head.services["certs"]
        put_item(self.tables, key, b"junk")
        error = self.assertRaises(
            ConfigurationError, self._publish, "b", None, build_service("media")
        )
        self.assertIn("certs", error.message)
        again = Publish("c", {"certs": build_service("certs")}, None, transfer=True)
        publish(self.store, again, NOW, _ignore)
        self.assertEqual({"certs"}, set(read_accepted(self.store)[1]))

    def test_outage_reports_failure(self) -> None:
        self.tables.faults.refuse = 503
        error = self.assertRaises(StoreError, self._publish, "a", None, build_service("certs"))
        self.assertEqual(ErrorCode.STORE_UNAVAILABLE, error.code)
        self.assertNotIsInstance(error, StoreOutcomeUnknownError)


STEPS = {
    "first": ("read head", "write blob", "write head"),
    "replace": (
        "read head",
        "read blobs",
        "write blob",
        "read history",
        "write history",
        "write head",
    ),
    "remove": ("read head", "read blobs", "read history", "write history", "write head"),
    "undo": ("read head", "write blob", "read history", "write history", "write head"),
}
FAULTS = ("answer lost", "outage", "rival on another service", "repeated by the operator")
FAULT_CELLS = {
    (f"{operation}: {step}", fault): "proved"
    for operation, steps in STEPS.items()
    for step in steps
    for fault in FAULTS
}


class FaultTest(WithScenarios, testtools.TestCase):
    """Each fault at each request of each operation: accepted exactly once, nothing lost."""

    scenarios = [
        (f"{operation}_{step}_{fault}", {"operation": operation, "step": step, "fault": fault})
        for operation, steps in STEPS.items()
        for step in steps
        for fault in FAULTS
    ]

    def setUp(self) -> None:
        super().setUp()
        self.tables = Tables()
        self.perform = build_local_store(self.tables, lambda: 0.0)
        self.seen: list[str] = []
        if self.operation != "first":
            for number, note in enumerate(("r1", "r2")):
                files = {"certs": build_service("certs", release=note)}
                publish(self.perform, Publish(f"old-{number}", files, None), NOW, _ignore)

    def test_accepted_once(self) -> None:
        before, _ = read_head(self.perform)
        version = before.version if before is not None else 0
        request = self._plan()
        publish(self._disturb, request, NOW, _ignore)
        self.assertIn(self.step, self.seen)
        if self.fault == "repeated by the operator":
            publish(self.perform, request, NOW, _ignore)
        final, services = read_accepted(self.perform)
        rivals = final.recent_publishes.count("rival")
        self.assertEqual(1, final.recent_publishes.count("mine"))
        self.assertEqual(version + 1 + rivals, final.version)
        self.assertEqual(self._expect(), services.get("certs"))
        self.assertEqual(bool(rivals), "media" in services)
        changes = read_changes(self.perform, final, range(1, final.version + 1))
        self.assertEqual(final.recent_publishes, [change.publish_id for change in changes])

    def _plan(self) -> Publish:
        if self.operation == "undo":
            return plan_undo(self.perform, "mine", 2)
        if self.operation == "remove":
            return Publish("mine", {}, None, frozenset({"certs"}))
        return Publish("mine", {"certs": build_service("certs", release="r3")}, None)

    def _expect(self) -> object:
        if self.operation == "undo":
            return build_service("certs", release="r1")
        return None if self.operation == "remove" else build_service("certs", release="r3")

    def _disturb(self, action: object) -> object:
        write = isinstance(action, StoreWrite)
        label = f"{'write' if write else 'read'} {action.purpose}"
        first = label not in self.seen
        self.seen.append(label)
        if label != self.step or not first:
            return self.perform(action)
        if self.fault == "outage":
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "outage")
        if self.fault.startswith("rival"):
            files = {"media": build_service("media")}
            publish(self.perform, Publish("rival", files, None), NOW, _ignore)
        answer = self.perform(action)
        if self.fault == "answer lost":
            kind = StoreOutcomeUnknownError if write else StoreError
            raise kind(ErrorCode.STORE_UNAVAILABLE, "answer lost")
        return answer


class LostAnswerTest(WithScenarios, testtools.TestCase):
    """A lost answer of any write leads to exactly one accepted version."""

    scenarios = [
        (f"lost_{lost}_rival_{rival}", {"lost": lost, "rival": rival})
        for lost in range(1, 4)
        for rival in (False, True)
    ]

    def test_published_once(self) -> None:
        tables = Tables()
        perform = build_local_store(tables, lambda: 0.0)
        rival = Publish("rival", {"media": build_service("media")}, None)

        def store(action: object) -> object:
            try:
                return perform(action)
            except StoreOutcomeUnknownError:
                if self.rival and isinstance(action, StoreWrite) and action.key == HEAD_KEY:
                    tables.faults.lose_answers, left = 0, tables.faults.lose_answers
                    publish(perform, rival, NOW, _ignore)
                    tables.faults.lose_answers = left
                raise

        tables.faults.lose_answers = self.lost
        services = {"certs": build_service("certs")}
        head = publish(store, Publish("mine", services, None), NOW, _ignore)
        final, _ = read_head(perform)
        self.assertEqual(1, final.recent_publishes.count("mine"))
        self.assertEqual(len(final.recent_publishes), final.version)
        self.assertIn("mine", head.recent_publishes)
