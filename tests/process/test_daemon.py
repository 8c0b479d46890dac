"""Tests of how a daemon handles events."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import eventlet
import testtools

from magnoliasill.codes import LogEvent
from magnoliasill.core.events import Tick
from magnoliasill.process import daemon
from magnoliasill.urgent_hub import is_urgent

if TYPE_CHECKING:
    from collections.abc import Callable


class UrgencyTest(testtools.TestCase):
    """What spreads configurations and finds failed members does not wait behind calls."""

    # gossip, member probes and the relays' reads of the store waited for turns of the event loop
    def test_loops_and_what_they_ask_of_the_store_are_urgent(self) -> None:
        urgencies: dict[str, bool] = {}

        def record(name: str) -> Callable[..., None]:
            return lambda *_: urgencies.__setitem__(name, is_urgent())

        def tick(state: SimpleNamespace) -> None:
            urgencies["tick"] = is_urgent()
            daemon._execute_action(state, "a read")

        self.patch(daemon, "receive_from_peers", record("receive"))
        self.patch(daemon, "_perform_store_request", record("store"))
        self.patch(daemon, "_run_ticks", tick)
        daemon.start_loops(SimpleNamespace(peers=None))
        eventlet.sleep(0.01)
        self.assertEqual({"receive": True, "tick": True, "store": True}, urgencies)


class FailedActionTest(testtools.TestCase):
    """Guards against one action that costs a daemon the others, or its loop."""

    # an address that could not be dialled ended the loop which had the event handled
    def test_the_other_actions_are_executed(self) -> None:
        executed, logged = [], []

        def execute(_: object, action: object) -> None:
            if action == 1:
                raise OSError("no such address")
            executed.append(action)

        self.patch(daemon, "step", lambda *_: [0, 1, 2])
        self.patch(daemon, "_execute_action", execute)
        self.patch(daemon, "_log", lambda _, entry: logged.append(entry.event))
        daemon.submit(SimpleNamespace(node=None, clock_offset=0.0), Tick())
        self.assertEqual(([0, 2], [LogEvent.SYSTEM_FAILED]), (executed, logged))
