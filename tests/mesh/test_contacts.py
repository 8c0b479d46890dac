"""Tests of senders whose requests to a data centre, or to many of its members, fail at once."""

from __future__ import annotations

import random

import testtools
from testscenarios import WithScenarios

from magnoliasill.mesh.contacts import (
    AVOID_MAX_S,
    Contacts,
    record_answer,
    record_failed_member,
)
from magnoliasill.mesh.members import (
    UNREACHABLE_MAX_S,
    LoadReport,
    MemberTable,
    find_condition,
    put_member,
    record_load,
    record_unreachable,
)
from magnoliasill.mesh.placement import PlacementContext, choose_member, choose_release_members

from .test_members import build_member

ANSWER_S = 0.2
FAILURE_S = 0.001
GAP_S = 0.01  # between the requests of one sender
CUT_S = 6.5
PROBES = 4 + CUT_S / AVOID_MAX_S  # at intervals that double up to the longest


class Sender:
    """A sender to members in two other data centres, some of which refuse connections.

    Args:
        seed: Seed of the choices.
        size: The number of members in each data centre.
    """

    def __init__(self, seed: int, size: int) -> None:
        self.random = random.Random(seed)
        self.table = MemberTable()
        self.contacts = Contacts("m-a-0")
        self.dead: set[str] = set()
        self.failed_at: list[float] = []
        self.answered_at: dict[str, float] = {}
        self.answers: list[tuple[float, str]] = []
        for data_centre in "bc":
            for number in range(size):
                put_member(self.table, build_member(f"m-{data_centre}-{number}", data_centre))

    def run(self, start: float, end: float) -> None:
        """Send a request each `GAP_S`, again at once if it fails; answers come `ANSWER_S` later."""
        now = start
        while now < end:
            for at, name in [entry for entry in self.answers if entry[0] <= now]:
                self.answers.remove((at, name))
                if name not in self.dead:
                    member = self.table.records[name]
                    record_load(self.table, member, LoadReport(1, 0.1), at)
                    record_answer(self.contacts, self.table, member)
                    self.answered_at[name] = at
            self.send(now)
            now += GAP_S

    def list_avoided(self, now: float) -> list[str]:
        """Return the names of the members that get no requests."""
        return [
            name
            for name, member in self.table.records.items()
            if find_condition(self.table, member).avoid_until > now
        ]

    def send(self, now: float) -> None:
        """Send one request, to five members at most."""
        context = PlacementContext("shop", "a", now, vm="m-a-0")
        for attempt in range(5):
            at = now + attempt * FAILURE_S
            candidates = choose_release_members(self.table, context, self.random)
            member = choose_member(self.table, candidates, context, self.random)
            if member is None:
                return
            if member.name not in self.dead:
                self.answers.append((at + ANSWER_S, member.name))
                return
            self.failed_at.append(at)
            record_unreachable(find_condition(self.table, member), at + FAILURE_S)
            record_failed_member(self.contacts, self.table, member, at, at + FAILURE_S)


class CutDataCentreTest(WithScenarios, testtools.TestCase):
    """A data centre is cut off; connections to it are refused at once."""

    scenarios = [
        (f"{size}-{seed}", {"size": size, "seed": seed}) for size in (4, 28) for seed in range(1, 6)
    ]

    # each pair of VMs learned by itself of the cut, again and again
    def test_it_takes_a_failed_request_for_each_member_and_probe_at_most(self) -> None:
        sender = Sender(self.seed, self.size)
        sender.run(0.0, 2.0)
        sender.dead = {name for name in sender.table.records if name.startswith("m-b")}
        sender.run(2.0, 2.0 + CUT_S)
        self.assertLess(len(sender.failed_at), self.size + PROBES)

    # the first to answer proves that the others can be asked, too
    def test_it_is_used_again_soon_after_its_return(self) -> None:
        sender = Sender(self.seed, self.size)
        sender.run(0.0, 2.0)
        sender.dead = {name for name in sender.table.records if name.startswith("m-b")}
        sender.run(2.0, 2.0 + CUT_S)
        sender.dead, sender.answered_at = set(), {}
        sender.run(2.0 + CUT_S, 2.0 + CUT_S + 2 * UNREACHABLE_MAX_S + 1.0)
        names = {name for name in sender.answered_at if name.startswith("m-b")}
        self.assertGreaterEqual(len(names), self.size / 2)


class HerdTest(WithScenarios, testtools.TestCase):
    """Many members of a data centre end at once, and others run on."""

    scenarios = [(f"seed-{seed}", {"seed": seed}) for seed in range(1, 11)]

    # those that run on must not be avoided for long for what befell the others
    def test_the_others_of_their_data_centre_are_asked_again(self) -> None:
        sender = Sender(self.seed, 8)
        sender.run(0.0, 2.0)
        sender.dead = {f"m-b-{number}" for number in range(5)}
        sender.answered_at = {}
        sender.run(2.0, 3.0)
        alive = [name for name in ("m-b-5", "m-b-6", "m-b-7") if name in sender.answered_at]
        self.assertNotEqual([], alive)


class ReturnTest(WithScenarios, testtools.TestCase):
    """All members lose power, and return one after another."""

    scenarios = [
        (f"{size}-{seed}", {"size": size, "seed": seed}) for size in (4, 28) for seed in range(1, 6)
    ]

    # what was concluded of their data centre must not keep members waiting that are back
    def test_none_is_avoided_for_longer_than_a_single_member(self) -> None:
        sender = Sender(self.seed, self.size)
        sender.run(0.0, 2.0)
        names = sorted(sender.table.records)
        sender.dead = set(names)
        sender.run(2.0, 4.0)
        for number, name in enumerate(sender.random.sample(names, len(names))):
            sender.dead.discard(name)
            sender.run(4.0 + number / len(names), 4.0 + (number + 1) / len(names))
        self.assertEqual([], sender.list_avoided(5.0 + UNREACHABLE_MAX_S))

    # one answer proves that the data centre can be reached
    def test_those_that_did_not_fail_are_asked_after_the_first_answer(self) -> None:
        sender = Sender(self.seed, self.size)
        sender.run(0.0, 2.0)
        sender.dead = {name for name in sender.table.records if name.startswith("m-b")}
        sender.run(2.0, 4.0)
        spared = set(sender.contacts.by_data_centre["b"].spared)
        member = sender.table.records["m-b-1"]
        record_answer(sender.contacts, sender.table, member)
        self.assertEqual(set(), spared & set(sender.list_avoided(4.0)))


class FewMembersTest(WithScenarios, testtools.TestCase):
    """A data centre in which this sidecar knows fewer members than tell of a cut."""

    scenarios = [(f"{size} members", {"size": size}) for size in (0, 1, 2)]

    # one member that failed counted as a data centre that is cut off, and was avoided for longer
    def test_each_is_judged_alone(self) -> None:
        table, contacts = MemberTable(), Contacts("m-a-0")
        members = [build_member(f"m-b-{number}", "b") for number in range(self.size)]
        for member in members:
            put_member(table, member)
        for member in members or [build_member("m-b-0", "b")]:
            self.assertFalse(record_failed_member(contacts, table, member, 10.0, 10.001))
        self.assertEqual([0.0] * self.size, [find_condition(table, m).avoid_until for m in members])
