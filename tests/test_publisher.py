"""Tests of publishing: exactly once, and never a lost update."""

from __future__ import annotations

from datetime import UTC, datetime

import testtools
from testscenarios import WithScenarios

from fakes.store import StoreTables, build_local_store
from magnoliasill.actions import StoreWrite
from magnoliasill.codes import ErrorCode
from magnoliasill.errors import PublishError, StoreError, StoreOutcomeUnknownError
from magnoliasill.manifest import HEAD_KEY
from magnoliasill.publisher import Publish, publish, read_head

from .builders import build_service

NOW = datetime(2027, 1, 1, tzinfo=UTC)


def _ignore(_: int) -> None:
    return None


class PublishTest(testtools.TestCase):
    """Publishing against the store stand-in in this process."""

    def setUp(self) -> None:
        super().setUp()
        self.tables = StoreTables()
        self.store = build_local_store(self.tables, lambda: 0.0)

    def _publish(self, publish_id: str, base: object, *files: object) -> object:
        services = {file.service: file for file in files}
        return publish(self.store, Publish(publish_id, services, base), NOW, _ignore)

    def test_different_services_merge(self) -> None:
        base = self._publish("a", None, build_service("certs"))
        self._publish("b", base, build_service("media"))
        head = self._publish("c", base, build_service("lessons"))
        self.assertEqual(3, head.version)
        self.assertEqual({"certs", "media", "lessons"}, set(head.services))

    def test_same_service_conflicts(self) -> None:
        base = self._publish("a", None, build_service("certs"))
        self._publish("b", base, build_service("certs", note="r2"))
        error = self.assertRaises(
            PublishError, self._publish, "c", base, build_service("certs", note="r3")
        )
        self.assertEqual(ErrorCode.PUBLISH_CONFLICT, error.code)
        self.assertIn("b", error.message)
        self.assertEqual(2, read_head(self.store)[0].version)

    def test_outage_reports_failure(self) -> None:
        self.tables.faults.outage = True
        error = self.assertRaises(StoreError, self._publish, "a", None, build_service("certs"))
        self.assertEqual(ErrorCode.STORE_UNAVAILABLE, error.code)
        self.assertNotIsInstance(error, StoreOutcomeUnknownError)


class LostAnswerTest(WithScenarios, testtools.TestCase):
    """A lost answer of any write leads to exactly one accepted version."""

    scenarios = [
        (f"lost_{lost}_rival_{rival}", {"lost": lost, "rival": rival})
        for lost in range(1, 4)
        for rival in (False, True)
    ]

    def test_published_once(self) -> None:
        tables = StoreTables()
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
