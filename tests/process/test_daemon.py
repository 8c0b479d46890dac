"""Tests of how a daemon handles events."""

from __future__ import annotations

from types import SimpleNamespace

import testtools

from magnoliasill.codes import LogEvent
from magnoliasill.core.events import Tick
from magnoliasill.process import daemon


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
