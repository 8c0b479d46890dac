"""Tests of a single HTTP exchange with failures that a loopback network doesn't produce."""

from __future__ import annotations

import errno
from time import monotonic
from unittest import mock

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
