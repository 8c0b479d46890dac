"""Tests of the codec: each message survives a round trip, other bytes raise `MessageError`."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from testscenarios import WithScenarios

from magnoliasill.core.messages import (
    MAX_MESSAGE_BYTES,
    ClaimQuery,
    ClaimReply,
    ClaimReport,
    ClaimRequest,
    ConfigurationReply,
    ConfigurationRequest,
    CrashNotice,
    Digest,
    MemberNews,
    MemberPage,
    MemberRecord,
    MemberSummary,
    Probe,
    ProbeAck,
    ProbeRequest,
    decode_message,
    encode_message,
)
from magnoliasill.errors import MessageError
from magnoliasill.versions.manifest import build_delta

from ..builders import build_head, build_service

SENDER = MemberRecord("a-1", "a", "127.0.0.1:1", 1)
HEAD, BLOBS = build_head(1, [build_service("certs")])
NEXT, _ = build_head(2, [build_service("certs"), build_service("media")])
DIGEST = Digest(SENDER, 3, [SENDER], 4, True, 2**63, {"b": 5}, True)
MESSAGES = [
    DIGEST,
    Probe(DIGEST, 7),
    ProbeRequest(SENDER, 7, "127.0.0.1:2"),
    ProbeAck(DIGEST, 7),
    MemberNews(SENDER, [SENDER]),
    MemberSummary(SENDER, [0, 2**64 - 1]),
    MemberPage(SENDER, [SENDER], False, True),
    ConfigurationRequest(SENDER, 1, "x", 2, ["y"]),
    ConfigurationReply(SENDER, HEAD, BLOBS),
    ClaimRequest("127.0.0.1:1", 3, b"k" * 12, b"body", b"c" * 8, b"d" * 8, True),
    ClaimReply(b"c" * 8, "used", "127.0.0.1:1", b"d" * 8, b"addr"),
    ClaimQuery("127.0.0.1:1", b"t" * 8, b"c" * 8),
    ClaimReport(b"t" * 8, "finished", 200, "OK", [("A", "b")], b"{}"),
    CrashNotice(b"f" * 12, [b"addr"]),
    ConfigurationReply(SENDER, None, {}, build_delta(HEAD, NEXT)),
]


class RoundTripTest(WithScenarios, testtools.TestCase):
    """Encoding and decoding of each type of message."""

    scenarios = [
        (f"{type(message).__name__}_{i}", {"message": message})
        for i, message in enumerate(MESSAGES)
    ]

    def test_round_trip(self) -> None:
        self.assertEqual(self.message, decode_message(encode_message(self.message)))

    def test_cut_short(self) -> None:
        data = encode_message(self.message)
        for length in range(len(data)):
            self.assertRaises(MessageError, decode_message, data[:length])


class GarbageTest(testtools.TestCase):
    """Bytes that are no valid message."""

    def test_oversized(self) -> None:
        self.assertRaises(MessageError, decode_message, bytes(MAX_MESSAGE_BYTES + 1))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=400))
    def test_garbage(self, data: bytes) -> None:
        self.assertRaises(MessageError, decode_message, data)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.sampled_from(MESSAGES), st.integers(0, 400), st.integers(0, 255))
    def test_one_byte_changed(self, message: object, place: int, value: int) -> None:
        data = bytearray(encode_message(message))
        data[place % len(data)] = value
        try:
            decode_message(bytes(data))
        except MessageError:
            return
