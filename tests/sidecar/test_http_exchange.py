"""Tests of a single HTTP exchange with failures that a loopback network doesn't produce."""

from __future__ import annotations

import errno
from time import monotonic
from unittest import mock

import eventlet
import testtools

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.sidecar import http_exchange
from magnoliasill.sidecar.http_exchange import (
    BrokenError,
    Message,
    NotSentError,
    TimedOutError,
    exchange,
)

from .fleet import close_fleet, open_fleet

HEADERS = [("Host", "x"), ("Attempt-Id", "a"), ("Target-Instance", "i-1")]
MESSAGE = Message("GET", "/x", HEADERS, None)


class SilenceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        fleet = open_fleet(["shop"])
        self.addCleanup(close_fleet, fleet)
        self.address = fleet.servers[0].address
        self.server = fleet.servers[0]

    def fail_with(self, error: Exception, seconds: float) -> Exception:
        with mock.patch.object(http_exchange, "_receive", side_effect=error):
            return self.assertRaises(
                BrokenError,
                exchange,
                ConnectionPool(),
                self.address,
                MESSAGE,
                monotonic() + seconds,
                True,
            )

    def test_a_connection_that_the_system_gave_up(self) -> None:
        """Guards against treating the servers of a partitioned data centre as merely slow.

        The kernel's timeout on a dead connection was taken for a missed deadline, so requests were
        still sent to that data centre.
        """
        error = self.fail_with(TimeoutError(errno.ETIMEDOUT, "timed out"), 5.0)
        self.assertNotIsInstance(error, TimedOutError)

    def test_no_answer_by_the_deadline(self) -> None:
        self.server.work_s = 0.5
        self.assertRaises(
            TimedOutError,
            exchange,
            ConnectionPool(),
            self.address,
            MESSAGE,
            monotonic() + 0.1,
            True,
        )

    def test_refused_connections_are_certainly_not_sent(self) -> None:
        host = self.address.rpartition(":")[0]
        self.assertRaises(
            NotSentError,
            exchange,
            ConnectionPool(),
            f"{host}:9",
            MESSAGE,
            monotonic() + 1.0,
            True,
        )


class SilentConnectionsTest(testtools.TestCase):
    """Guards against losing a request on each idle connection, after all of them went silent."""

    def setUp(self) -> None:
        super().setUp()
        fleet = open_fleet(["shop"])
        self.addCleanup(close_fleet, fleet)
        self.server = fleet.servers[0]
        self.pool = ConnectionPool()

    def ask(self, seconds: float) -> int:
        deadline = monotonic() + seconds
        return exchange(self.pool, self.server.address, MESSAGE, deadline, True).status

    def open_connections(self, count: int) -> None:
        self.server.work_s = 0.05
        threads = [eventlet.spawn(self.ask, 5.0) for _ in range(count)]
        self.assertEqual([200] * count, [thread.wait() for thread in threads])
        self.assertEqual(count, len(self.pool.idle[self.server.address]))

    def test_one_request_is_lost(self) -> None:
        self.open_connections(4)
        silent = set(self.server.connections)
        for sock in silent:
            sock.sendall = lambda data: None
        self.assertRaises(TimedOutError, self.ask, 0.3)
        self.assertEqual([200] * 4, [self.ask(5.0) for _ in range(4)])

    def test_connections_that_were_used_meanwhile_stay(self) -> None:
        self.open_connections(2)
        self.server.work_s = 0.5
        slow = eventlet.spawn(self.assertRaises, TimedOutError, self.ask, 0.15)
        eventlet.sleep(0.02)
        self.server.work_s = 0.0
        self.assertEqual(200, self.ask(5.0))
        used = list(self.pool.idle[self.server.address])
        slow.wait()
        self.assertEqual(used, list(self.pool.idle[self.server.address]))
