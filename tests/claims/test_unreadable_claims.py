"""Tests of stored claims that can't be read."""

from __future__ import annotations

import random

import testtools

from magnoliasill.claims.claim_ranges import receive_claim_answer
from magnoliasill.claims.claim_recording import format_purpose
from magnoliasill.claims.claim_state import KeyRange, RangePhase
from magnoliasill.codes import LogEvent
from magnoliasill.core.events import StoreAnswered, StoreEntry
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node


class UnreadableClaimsTest(testtools.TestCase):
    """Guards against stored claims that can't be read: the range was neither held nor given up."""

    # the error left the range in its phase for good, and all its requests waited in vain
    def test_the_range_is_given_up_and_its_requests_are_refused(self) -> None:
        node = Node(MemberRecord("vm-1", "dc-1", "10.0.0.1:7001", 1), random.Random(1))
        key_range = KeyRange(3, phase=RangePhase.READING_HEAD)
        node.claims.ranges[3] = key_range
        purpose = format_purpose(key_range, RangePhase.READING_HEAD.value)
        answer = StoreAnswered(purpose, entries=(StoreEntry("head", b"\x91" * 5_000, 7),))
        actions = receive_claim_answer(node, 10.0, answer)
        self.assertEqual([LogEvent.ENTRY_REFUSED], [entry.event for entry in actions])
        self.assertIsNot(key_range, node.claims.ranges[3])
        self.assertGreater(node.claims.ranges[3].retry_at, 10.0)
