"""Tests of the order in which bodies come over a link."""

from __future__ import annotations

from random import Random

import testtools

from magnoliasill.mesh.ingress import (
    MAX_ARRIVING,
    ExpectedBody,
    Ingress,
    announce_body,
    end_turn,
    estimate_arrival,
    find_arrival_refusal,
    is_announced,
    pass_overdue_turns,
)


class TurnsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ingress = Ingress()
        self.begun: list[int] = []

    def announce(self, number: int, transfer_s: float = 0.1, now: float = 0.0) -> ExpectedBody:
        body = ExpectedBody(transfer_s, lambda: self.begun.append(number))
        announce_body(self.ingress, body, now)
        return body

    def test_a_few_arrive_at_a_time_in_order(self) -> None:
        bodies = [self.announce(number) for number in range(5)]
        self.assertEqual(list(range(MAX_ARRIVING)), self.begun)
        for body in bodies:
            end_turn(self.ingress, body, 1.0)
        self.assertEqual(list(range(5)), self.begun)
        self.assertEqual(Ingress(), self.ingress)

    def test_one_whose_sender_left_is_passed_over(self) -> None:
        bodies = [self.announce(number) for number in range(4)]
        end_turn(self.ingress, bodies[2], 1.0)
        end_turn(self.ingress, bodies[0], 1.0)
        self.assertEqual([0, 1, 3], self.begun)

    # senders that stop in the middle of a body must not keep all others from sending theirs
    def test_bodies_that_do_not_arrive_lose_their_turns(self) -> None:
        for number in range(4):
            self.announce(number)
        pass_overdue_turns(self.ingress, 0.5)
        self.assertEqual([0, 1], self.begun)
        pass_overdue_turns(self.ingress, 2.0)
        self.assertEqual([0, 1, 2, 3], self.begun)

    def test_any_order_of_events_serves_all(self) -> None:
        for seed in range(50):
            generator, self.ingress, self.begun = Random(seed), Ingress(), []
            now, announced, ended = 0.0, [], set()
            for number in range(40):
                now += generator.expovariate(20.0)
                announced.append(self.announce(number, generator.uniform(0.02, 0.2), now))
                if generator.random() < 0.4:
                    body = generator.choice(announced)
                    ended.add(announced.index(body))
                    end_turn(self.ingress, body, now)
                if generator.random() < 0.1:
                    pass_overdue_turns(self.ingress, now)
                self.assertLessEqual(len(self.ingress.arriving), MAX_ARRIVING)
            for body in announced:
                end_turn(self.ingress, body, now)
            self.assertEqual(sorted(set(self.begun)), sorted(self.begun))
            self.assertEqual(set(range(40)) - ended, set(self.begun) - ended)
            self.assertEqual(Ingress(), self.ingress)


class RefusalTest(testtools.TestCase):
    def test_only_bodies_that_take_the_link_for_long_are_announced(self) -> None:
        self.assertTrue(is_announced(60_000, 10.0))
        self.assertFalse(is_announced(2_000, 10.0))
        self.assertFalse(is_announced(60_000, 1_000.0))
        self.assertFalse(is_announced(60_000, 0.0))

    def test_the_wait_is_that_for_all_before(self) -> None:
        ingress = Ingress()
        for _ in range(5):
            announce_body(ingress, ExpectedBody(0.1, lambda: None), 0.0)
        self.assertAlmostEqual(0.55, estimate_arrival(ingress, 0.05))

    def test_what_would_be_late_is_refused(self) -> None:
        for arrival_s, late, expected in (
            (0.5, False, ""),
            (0.8, False, "target"),
            (0.8, True, ""),
            (1.5, True, "deadline"),
            (2.9, True, "deadline"),
        ):
            found = find_arrival_refusal(arrival_s, 0.4, 3.0, 1.0, late)
            self.assertEqual(expected, found)
