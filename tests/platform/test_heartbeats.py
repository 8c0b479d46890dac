"""Tests of the decoding of heartbeats, with what other writers may send."""

from __future__ import annotations

import copy
from typing import Any

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st
from testscenarios import WithScenarios

from magnoliasill.errors import MessageError
from magnoliasill.platform.heartbeats import decode_born, decode_heartbeat, parse_instance_path

BODY: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "node_info": {"service_name": "huvo11a", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "warmup_left_s": 0.5},
    "born": 1_771_306_990_000,
}


def change(path: tuple[str, ...], value: Any) -> bytes:
    """Return a body with one field changed, or left out where the value is None."""
    body = copy.deepcopy(BODY)
    place = body
    for name in path[:-1]:
        place = place[name]
    if value is None:
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return msgspec.json.encode(body)


class HeartbeatTest(testtools.TestCase):
    def test_all_fields(self) -> None:
        found = decode_heartbeat("i-1", msgspec.json.encode(BODY))
        self.assertEqual(
            ("i-1", "huvo11a", "v1", "a"),
            (found.instance, found.service, found.release, found.data_centre),
        )
        self.assertEqual(
            (9, 4, 0.5, False), (found.slots, found.sequence, found.cold_s, found.leaving)
        )
        self.assertEqual((1_771_306_990_000, "10.128.0.9:8080"), (found.born, found.address))

    def test_leaving(self) -> None:
        self.assertTrue(decode_heartbeat("i", change(("status", "state"), "draining")).leaving)

    def test_start_may_be_left_out(self) -> None:
        self.assertEqual(0, decode_heartbeat("i", change(("born",), None)).born)

    def test_unknown_fields_are_passed_over(self) -> None:
        self.assertEqual(9, decode_heartbeat("i", change(("node_info", "new"), [1])).slots)

    def test_start_of_one_that_leaves(self) -> None:
        self.assertEqual(0, decode_born(b""))
        self.assertEqual(7, decode_born(b'{"born":7}'))

    def test_instance_in_the_path(self) -> None:
        self.assertEqual("i-1", parse_instance_path("/-/instances/i-1"))
        self.assertEqual("", parse_instance_path("/other/i-1"))

    @given(st.binary(max_size=200))
    def test_any_bytes_give_a_heartbeat_or_a_refusal(self, data: bytes) -> None:
        try:
            decode_heartbeat("i", data)
        except MessageError:
            return
        self.fail("random bytes are no heartbeat")

    def test_cut_short_anywhere(self) -> None:
        data = msgspec.json.encode(BODY)
        for length in range(len(data)):
            self.assertRaises(MessageError, decode_heartbeat, "i", data[:length])


class RefusedTest(WithScenarios, testtools.TestCase):
    """Fields that are missing, of another type or unknown name no server to use."""

    scenarios = [
        (f"{'.'.join(path)}={value!r}", {"path": path, "value": value})
        for path, value in (
            (("address",), None),
            (("address",), 7),
            (("node_info",), None),
            (("node_info",), []),
            (("node_info", "service_name"), None),
            (("node_info", "service_name"), ""),
            (("node_info", "version"), 2),
            (("node_info", "slots"), "9"),
            (("node_info", "slots"), True),
            (("node_info", "slots"), 0),
            (("node_info", "slots"), -1),
            (("node_info", "slots"), 2.5),
            (("status",), None),
            (("status", "state"), "gone"),
            (("status", "state"), None),
            (("status", "sequence"), "4"),
            (("status", "sequence"), -4),
            (("status", "warmup_left_s"), "soon"),
            (("status", "warmup_left_s"), -1),
            (("born",), "yesterday"),
            (("born",), 1.5),
            (("born",), True),
        )
    ]

    def test_refused(self) -> None:
        self.assertRaises(MessageError, decode_heartbeat, "i", change(self.path, self.value))
