"""Tests of the backend server's state: incarnations, delayed heartbeats and draining."""

from __future__ import annotations

import attrs
import testtools

from magnoliasill.mesh.backend import (
    MAX_ENDED_INCARNATIONS,
    Backend,
    Heartbeat,
    HeartbeatEffect,
    accepts_requests,
    apply_heartbeat,
    apply_leave,
    apply_leaving,
    apply_limit,
    is_current,
)

FIRST = Heartbeat("i-1", 1_000, 5, "10.0.0.1:80", "certs", "v1", "a", 9, False, 0.0)


class HeartbeatTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.backend = Backend()
        apply_heartbeat(self.backend, FIRST, 1.0)

    def apply(self, at: float = 2.0, **changes: object) -> HeartbeatEffect:
        return apply_heartbeat(self.backend, attrs.evolve(FIRST, **changes), at)

    def test_first_opens(self) -> None:
        self.assertTrue(accepts_requests(self.backend))

    def test_overtaken_heartbeat_changes_nothing(self) -> None:
        self.assertEqual(HeartbeatEffect.LEAVING, self.apply(sequence=7, leaving=True))
        self.assertEqual(HeartbeatEffect.STALE, self.apply(sequence=6))
        self.assertFalse(accepts_requests(self.backend))

    def test_restart_under_the_same_identifier(self) -> None:
        self.apply(sequence=7, leaving=True)
        self.assertEqual(HeartbeatEffect.STARTED, self.apply(born=2_000, sequence=1))
        self.assertTrue(accepts_requests(self.backend))

    def test_late_heartbeat_of_an_earlier_incarnation(self) -> None:
        self.apply(instance="i-2", born=2_000, sequence=1)
        self.assertEqual(HeartbeatEffect.STALE, self.apply(sequence=9))
        self.assertEqual("i-2", self.backend.latest.instance)

    def test_late_heartbeat_of_an_incarnation_that_was_never_heard(self) -> None:
        self.apply(instance="i-2", born=2_000, sequence=1)
        effect = self.apply(instance="i-0", born=500, sequence=99)
        self.assertEqual(HeartbeatEffect.STALE, effect)

    def test_leaving_is_not_taken_back(self) -> None:
        self.apply(sequence=6, leaving=True)
        self.apply(sequence=7, leaving=False)
        self.assertFalse(accepts_requests(self.backend))

    def test_leaving_is_told_once(self) -> None:
        self.assertEqual(HeartbeatEffect.LEAVING, self.apply(sequence=6, leaving=True))
        self.assertEqual(HeartbeatEffect.RENEWED, self.apply(sequence=7, leaving=True))

    def test_counts_begin_anew_where_no_start_is_told(self) -> None:
        backend = Backend()
        apply_heartbeat(backend, attrs.evolve(FIRST, born=0), 1.0)
        again = attrs.evolve(FIRST, born=0, sequence=1, cold_s=3.0, slots=4)
        apply_heartbeat(backend, again, 2.0)
        self.assertEqual(4, backend.latest.slots)


class LeaveTest(testtools.TestCase):
    def test_leaving_without_draining_first(self) -> None:
        backend = Backend()
        apply_heartbeat(backend, FIRST, 1.0)
        self.assertTrue(apply_leave(backend, "i-1", 1_000, 2.0))
        self.assertFalse(accepts_requests(backend))
        late = attrs.evolve(FIRST, sequence=99)
        self.assertEqual(HeartbeatEffect.STALE, apply_heartbeat(backend, late, 3.0))
        self.assertFalse(accepts_requests(backend))

    def test_late_leave_of_an_earlier_incarnation(self) -> None:
        backend = Backend()
        apply_heartbeat(backend, attrs.evolve(FIRST, born=2_000), 1.0)
        self.assertFalse(apply_leave(backend, "i-1", 1_000, 2.0))
        self.assertTrue(accepts_requests(backend))

    def test_memory_is_bounded(self) -> None:
        backend = Backend()
        for number in range(10 * MAX_ENDED_INCARNATIONS):
            heartbeat = attrs.evolve(FIRST, instance=f"i-{number}", born=number + 1)
            apply_heartbeat(backend, heartbeat, float(number))
        self.assertEqual(MAX_ENDED_INCARNATIONS, len(backend.ended))

    def test_memory_is_bounded_for_leaves_of_others(self) -> None:
        backend = Backend()
        for number in range(10 * MAX_ENDED_INCARNATIONS):
            apply_leave(backend, f"i-{number}", 0, float(number))
        self.assertEqual(MAX_ENDED_INCARNATIONS, len(backend.ended))


class NoticeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.backend = Backend()
        apply_heartbeat(self.backend, FIRST, 1.0)

    def test_its_own_word_counts_more_than_that_of_others(self) -> None:
        self.assertTrue(apply_limit(self.backend, 5.0, 1.0, from_server=False))
        self.assertTrue(apply_limit(self.backend, 7.0, 2.0, from_server=True))
        self.assertFalse(apply_limit(self.backend, 9.0, 3.0, from_server=False))
        self.assertEqual((7.0, 2.0), (self.backend.limit_per_s, self.backend.limit_heard_at))

    def test_a_response_without_a_limit_counts_too(self) -> None:
        self.assertFalse(apply_limit(self.backend, None, 1.0, from_server=True))
        self.assertFalse(apply_limit(self.backend, 9.0, 2.0, from_server=False))
        self.assertIsNone(self.backend.limit_per_s)

    def test_the_next_incarnation_has_said_nothing(self) -> None:
        apply_limit(self.backend, 5.0, 1.0, from_server=True)
        apply_leaving(self.backend, 1.0)
        apply_heartbeat(self.backend, attrs.evolve(FIRST, born=2_000, sequence=1), 2.0)
        self.assertIsNone(self.backend.limit_per_s)
        self.assertIsNone(self.backend.limit_heard_at)
        self.assertTrue(accepts_requests(self.backend))
        self.assertTrue(apply_limit(self.backend, 5.0, 1.0, from_server=False))

    def test_leaving_is_recorded_once(self) -> None:
        self.assertTrue(apply_leaving(self.backend, 2.0))
        self.assertFalse(apply_leaving(self.backend, 3.0))
        apply_heartbeat(self.backend, attrs.evolve(FIRST, sequence=9), 4.0)
        self.assertEqual(2.0, self.backend.leaving_at)

    def test_current_incarnation(self) -> None:
        self.assertTrue(is_current(self.backend, "i-1", 1_000))
        self.assertFalse(is_current(self.backend, "i-1", 2_000))
        self.assertFalse(is_current(Backend(), "i-1", 1_000))
