"""Tests of `merge_records` with malformed and arbitrary member records."""

from __future__ import annotations

from random import Random

import attrs
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testscenarios import WithScenarios

from magnoliasill.codes import LogEvent
from magnoliasill.core.messages import MemberRecord
from magnoliasill.core.node import Node
from magnoliasill.membership.membership import merge_records

OWN = MemberRecord("a-1", "a", "127.0.0.1:1", 1)
OTHER = MemberRecord("a-2", "a", "127.0.0.1:2", 5)


class RefusedRecordTest(WithScenarios, testtools.TestCase):
    """A malformed record is rejected, and the valid one after it is applied."""

    scenarios = [
        ("status", {"change": {"status": "zombie"}}),
        ("name", {"change": {"name": ""}}),
        ("data_centre", {"change": {"data_centre": ""}}),
        ("long_name", {"change": {"name": "x" * 10_000}}),
        ("address", {"change": {"peer_address": "example.org"}}),
        ("port", {"change": {"peer_address": "127.0.0.1:99999"}}),
        ("server_address", {"change": {"server_address": "127.0.0.1"}}),
        ("negative_incarnation", {"change": {"incarnation": -1}}),
        ("absurd_incarnation", {"change": {"incarnation": 2**60}}),
        ("started_at", {"change": {"started_at": float("nan")}}),
    ]

    def test_refused(self) -> None:
        node = Node(OWN, Random(1))
        good = attrs.evolve(OTHER, name="a-3", peer_address="127.0.0.1:3")
        bad = attrs.evolve(OTHER, **self.change)
        actions = merge_records(node, 0.0, [bad, good])
        events = [action.event for action in actions]
        self.assertEqual([LogEvent.MESSAGE_REFUSED, LogEvent.MEMBER_JOINED], events)
        self.assertEqual({"a-3"}, set(node.members))


RECORDS = st.builds(
    MemberRecord,
    st.sampled_from(["a-1", "a-2", "", "\x00"]) | st.text(max_size=200),
    st.sampled_from(["a", "b", ""]),
    st.sampled_from(["127.0.0.1:2", "::1:5", ":", "127.0.0.1:0"]) | st.text(max_size=30),
    st.integers(-(2**63), 2**64 - 1),
    st.sampled_from(["alive", "suspect", "failed", "left", ""]) | st.text(max_size=20),
    started_at=st.floats(),
)


class FuzzedRecordTest(testtools.TestCase):
    """Arbitrary records leave the node's own status alone and never lower a known incarnation."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(RECORDS, max_size=6))
    def test_fuzzed(self, records: list[MemberRecord]) -> None:
        node = Node(OWN, Random(1))
        merge_records(node, 0.0, [OTHER])
        merge_records(node, 1.0, records)
        self.assertEqual("alive", node.own.status)
        self.assertGreaterEqual(node.members["a-2"].record.incarnation, OTHER.incarnation)
