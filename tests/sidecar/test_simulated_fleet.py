"""Tests of the virtual clock that the simulations run on."""

from __future__ import annotations

import eventlet
import testtools

from .simulated_fleet import VirtualHub

TIMERS = 200


class TimerOrderTest(testtools.TestCase):
    """Timers of the virtual clock that are due at the same time."""

    # they fired in the order of their addresses, so that runs of one seed differed
    def test_timers_that_fall_together_fire_in_the_order_in_which_they_were_set(self) -> None:
        eventlet.hubs.use_hub(VirtualHub)
        self.addCleanup(eventlet.hubs.use_hub, None)
        fired: list[int] = []
        for number in range(TIMERS):
            eventlet.spawn_after(1.0, fired.append, number)
        eventlet.sleep(2.0)
        self.assertEqual(list(range(TIMERS)), fired)

    # a timer that is set later but is due earlier still fires first
    def test_an_earlier_time_goes_before_an_earlier_insertion(self) -> None:
        eventlet.hubs.use_hub(VirtualHub)
        self.addCleanup(eventlet.hubs.use_hub, None)
        fired: list[str] = []
        eventlet.spawn_after(2.0, fired.append, "second")
        eventlet.spawn_after(1.0, fired.append, "first")
        eventlet.sleep(3.0)
        self.assertEqual(["first", "second"], fired)
