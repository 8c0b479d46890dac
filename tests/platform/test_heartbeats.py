"""Tests of decoding heartbeats, including malformed ones and ones with unknown fields."""

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


def encode_changed(path: tuple[str, ...], value: Any) -> bytes:
    """Return an encoded heartbeat with one field replaced, or removed if the value is None."""
    body = copy.deepcopy(BODY)
    parent = body
    for name in path[:-1]:
        parent = parent[name]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return msgspec.json.encode(body)


class HeartbeatTest(testtools.TestCase):
    def test_all_fields(self) -> None:
        heartbeat = decode_heartbeat("i-1", msgspec.json.encode(BODY))
        self.assertEqual(
            ("i-1", "huvo11a", "v1", "a"),
            (heartbeat.instance, heartbeat.service, heartbeat.release, heartbeat.data_centre),
        )
        self.assertEqual(
            (9, 4, 0.5, False),
            (heartbeat.slots, heartbeat.sequence, heartbeat.cold_s, heartbeat.leaving),
        )
        self.assertEqual(
            (1_771_306_990_000, "10.128.0.9:8080"), (heartbeat.born, heartbeat.address)
        )

    def test_leaving(self) -> None:
        self.assertTrue(
            decode_heartbeat("i", encode_changed(("status", "state"), "draining")).leaving
        )

    def test_start_time_is_optional(self) -> None:
        self.assertEqual(0, decode_heartbeat("i", encode_changed(("born",), None)).born)

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertEqual(9, decode_heartbeat("i", encode_changed(("node_info", "new"), [1])).slots)

    def test_start_time_of_a_leaving_server(self) -> None:
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
    """A heartbeat with a missing, mistyped or out-of-range field is refused."""

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
        self.assertRaises(
            MessageError, decode_heartbeat, "i", encode_changed(self.path, self.value)
        )
