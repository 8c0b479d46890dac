"""Tests of the store client against a local server that injects the store's faults."""

from __future__ import annotations

import itertools
import os

import eventlet

eventlet.monkey_patch()

import eventlet.wsgi  # noqa: E402
import testtools  # noqa: E402

from fakes.store import PAGE_ITEMS, FakeStore, drop_history, put_item  # noqa: E402
from fakes.store_server import build_application  # noqa: E402
from magnoliasill.errors import (  # noqa: E402
    ConditionFailedError,
    HistoryLostError,
    LeaseEndedError,
    StoreError,
    StoreOutcomeUnknownError,
)
from magnoliasill.mesh.store_items import Condition, Put, Transaction  # noqa: E402
from magnoliasill.platform.store import connect_client  # noqa: E402

_networks = itertools.count(1)
TIMEOUT_S = 0.3


class StoreTestCase(testtools.TestCase):
    """A store client connected to a fake store on a loopback address of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.fake_store = FakeStore()
        address = (f"127.{20 + os.getpid() % 200}.{200 + next(_networks)}.1", 8309)
        listener = eventlet.listen(address)
        self.addCleanup(listener.close)
        application = build_application(self.fake_store)
        server = eventlet.spawn(
            eventlet.wsgi.server, listener, application, log_output=False, debug=False
        )
        self.addCleanup(server.kill)
        self.store = connect_client(f"{address[0]}:{address[1]}", TIMEOUT_S)


class ReadTest(StoreTestCase):
    def test_item(self) -> None:
        revision = put_item(self.fake_store, "op/config", b"\x00any bytes\xff")
        item = self.store.read_key("op/config")
        self.assertEqual((b"\x00any bytes\xff", revision), (item.value, item.revision))
        self.assertIsNone(self.store.read_key("op/none"))

    def test_pages(self) -> None:
        for number in range(PAGE_ITEMS + 5):
            put_item(self.fake_store, f"k/{number:05}", b"v")
        first = self.store.read_page("k/")
        second = self.store.read_page("k/", first.items[-1].key)
        self.assertEqual((PAGE_ITEMS, True), (len(first.items), first.more))
        self.assertEqual((5, False), (len(second.items), second.more))

    def test_watch_reports_changes_and_removals(self) -> None:
        start = self.fake_store.revision
        put_item(self.fake_store, "a", b"1")
        self.store.transact(Transaction(removals=("a",)))
        page = self.store.watch("", start, 0.1)
        self.assertEqual([b"1", None], [item.value for item in page.items])
        self.assertEqual(self.fake_store.revision, page.revision)

    def test_watch_wakes(self) -> None:
        eventlet.spawn_after(0.05, put_item, self.fake_store, "a", b"1")
        self.assertEqual(1, len(self.store.watch("", self.fake_store.revision, 5.0).items))

    def test_watch_without_changes(self) -> None:
        self.assertEqual((), self.store.watch("", self.fake_store.revision, 0.05).items)

    def test_history_lost(self) -> None:
        start = self.fake_store.revision
        put_item(self.fake_store, "a", b"1")
        drop_history(self.fake_store)
        self.assertRaises(HistoryLostError, self.store.watch, "", start, 0.1)

    def test_refused(self) -> None:
        for status in (429, 503):
            self.fake_store.faults.refuse = status
            self.assertRaises(StoreError, self.store.read_key, "a")

    def test_silent(self) -> None:
        self.fake_store.faults.silent = True
        self.assertRaises(StoreError, self.store.read_page, "")


class WriteTest(StoreTestCase):
    def put(self, value: bytes, revision: int, lease: int = 0) -> int:
        transaction = Transaction((Put("k", value, lease),), (Condition("k", revision),))
        return self.store.transact(transaction)

    def test_condition(self) -> None:
        revision = self.put(b"1", 0)
        error = self.assertRaises(ConditionFailedError, self.put, b"2", 0)
        self.assertEqual([(b"1", revision)], [(i.value, i.revision) for i in error.items])
        self.put(b"2", revision)

    def test_refused_certainly_did_nothing(self) -> None:
        self.fake_store.faults.refuse = 503
        error = self.assertRaises(StoreError, self.put, b"1", 0)
        self.assertNotIsInstance(error, StoreOutcomeUnknownError)

    def test_lost_answer_may_have_been_carried_out(self) -> None:
        self.fake_store.faults.lose_answers = 1
        self.assertRaises(StoreOutcomeUnknownError, self.put, b"1", 0)
        self.assertEqual(b"1", self.store.read_key("k").value)

    def test_late_write_with_a_stale_condition_does_nothing(self) -> None:
        self.fake_store.faults.lose_answers = 1
        self.fake_store.faults.late_s = 0.5
        self.assertRaises(StoreOutcomeUnknownError, self.put, b"old", 0)
        self.put(b"new", 0)
        eventlet.sleep(0.4)
        self.assertEqual(b"new", self.store.read_key("k").value)

    def test_lease(self) -> None:
        lease = self.store.grant_lease(5.0)
        self.put(b"1", 0, lease)
        self.store.renew_lease(lease)
        self.store.end_lease(lease)
        self.assertIsNone(self.store.read_key("k"))
        self.assertRaises(LeaseEndedError, self.store.renew_lease, lease)
        self.assertRaises(LeaseEndedError, self.put, b"1", 0, lease)
