"""Tests that urgent green threads are resumed while many others are ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import eventlet.hubs
import testtools
from eventlet.green import socket

from magnoliasill.urgent_hub import UrgentHub, is_urgent, set_urgent, spawn_urgent

if TYPE_CHECKING:
    from collections.abc import Callable

OTHERS = 40
STEP_S = 0.01  # that each of them takes in every turn, on the clock of the hub


class UrgentHubCase(testtools.TestCase):
    """A hub on which many green threads are ready in every turn; each step takes its time."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        case = self

        class SteppedHub(UrgentHub):
            def __init__(self) -> None:
                super().__init__(lambda: case.now)

        eventlet.hubs.use_hub(SteppedHub)
        self.addCleanup(eventlet.hubs.use_hub, None)
        self.steps = 0
        self.others = [eventlet.spawn(self.occupy) for _ in range(OTHERS)]
        self.addCleanup(lambda: [thread.kill() for thread in self.others])

    def occupy(self) -> None:
        while True:
            eventlet.sleep(0)
            self.steps += 1
            self.now += STEP_S

    def count_steps(self, function: Callable[[], None], urgent: bool) -> int:
        """Return how many steps of the others a function waits for."""

        def run() -> int:
            set_urgent(urgent)
            before = self.steps
            function()
            return self.steps - before

        return eventlet.spawn(run).wait()

    def echo(self) -> None:
        """Send a byte to and fro five times; the other end is as urgent as this one."""
        near, far = socket.socketpair()

        def answer() -> None:
            for _ in range(5):
                far.sendall(far.recv(1))

        spawn_urgent(answer)
        for _ in range(5):
            near.sendall(b"x")
            near.recv(1)


class TurnsTest(UrgentHubCase):
    # each step of an exchange waited for a turn of all other green threads
    def test_an_urgent_exchange_waits_for_few_others(self) -> None:
        self.assertLess(self.count_steps(self.echo, urgent=True), OTHERS)

    def test_another_exchange_waits_for_turns(self) -> None:
        self.assertGreater(self.count_steps(self.echo, urgent=False), 5 * OTHERS)

    def test_urgent_timers_fire_within_a_turn(self) -> None:
        def pause() -> None:
            for _ in range(5):
                eventlet.sleep(0.001)

        self.assertLess(self.count_steps(pause, urgent=True), OTHERS)

    def test_a_timeout_ends_an_urgent_wait(self) -> None:
        def wait() -> None:
            with eventlet.Timeout(0.02, False):
                eventlet.Event().wait()

        self.assertLess(self.count_steps(wait, urgent=True), OTHERS)


class UrgencyTest(UrgentHubCase):
    def test_it_is_inherited_only_where_that_is_asked_for(self) -> None:
        def find_urgencies() -> tuple[bool, bool]:
            set_urgent(True)
            return spawn_urgent(is_urgent).wait(), eventlet.spawn(is_urgent).wait()

        self.assertEqual((True, False), eventlet.spawn(find_urgencies).wait())

    def test_a_green_thread_that_moved_on_is_not_resumed_by_an_earlier_event(self) -> None:
        """An event that was found in a turn may have been served by the urgent search before."""
        results = []

        def receive(urgent: bool) -> None:
            set_urgent(urgent)
            near, far = socket.socketpair()
            for number in range(20):
                far.sendall(bytes([number]))
                results.append(near.recv(1)[0] == number)
                before = self.now
                eventlet.sleep(0.003)
                results.append(self.now - before >= 0.003)

        threads = [eventlet.spawn(receive, urgent) for urgent in (True, True, False)]
        for thread in threads:
            thread.wait()
        self.assertEqual([True] * 120, results)

    def test_a_closed_file_is_forgotten(self) -> None:
        def wait_for_end() -> bytes:
            set_urgent(True)
            near, far = socket.socketpair()
            eventlet.spawn_after(0.01, far.close)
            received = near.recv(1)
            near.close()
            return received

        for _ in range(3):
            self.assertEqual(b"", eventlet.spawn(wait_for_end).wait())
        self.assertEqual(set(), eventlet.hubs.get_hub()._urgent_files)
