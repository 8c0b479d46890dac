"""Tests of usual answers with one byte replaced or put in, against a strict reader of its own.

Guards against odd answers that no list names.
"""

from __future__ import annotations

import io
import random
import re
from http.client import HTTPException
from types import SimpleNamespace

import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.line_reader import TruncatedLineError
from magnoliasill.calls.responses import CheckedResponse

from ..odd_answers import BODY, OK, build_chunked, build_interim, build_plain

MUTATIONS = 4_000
ANSWERS = {
    "length": build_plain(b"X-Own: a; b\r\nContent-Length: 31\r\n").encode(),
    "chunks": build_chunked(b'f;a="b"', b"\r\n10 ; c=d\r\n0123456789abcdef\r\n")
    .encode()
    .replace(BODY, BODY[:15]),
    "interim": build_interim(b"Link: </x>\r\n").encode().replace(OK, b"HTTP/1.1 503 Busy\r\n"),
}
TOKEN = rb"[-!#$%&'*+.^_`|~\w]+"
TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]"
STATUS_LINE = re.compile(rb"HTTP/1\.(\d) ([1-5]\d\d)(?: %b*)?\r?\n" % TEXT)
FIELD = re.compile(rb"(%b):([^\x00\r\n]*)\r?\n" % TOKEN)
EMPTY = re.compile(rb"\r?\n")
VALUE = rb'%b|"(?:[^\x00-\x08\x0a-\x1f\x7f"\\]|\\%b)*"' % (TOKEN, TEXT)
CHUNK = re.compile(
    rb"([\da-fA-F]+)(?:[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b))?)*\r\n" % (TOKEN, VALUE)
)


class RefusedError(Exception):
    """Raised for bytes that are no complete answer."""


class StrictReader:
    """Reads one answer to a GET, as RFC 9112 has it and no further than to its end."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    def take(self, pattern: re.Pattern[bytes]) -> re.Match[bytes]:
        """Return what a pattern matches at the start, without it from then on."""
        match = pattern.match(self.data)
        if match is None:
            raise RefusedError
        self.data = self.data[match.end() :]
        return match

    def take_bytes(self, length: int) -> bytes:
        """Return some bytes."""
        if len(self.data) < length:
            raise RefusedError
        taken, self.data = self.data[:length], self.data[length:]
        return taken

    def take_fields(self) -> dict[bytes, list[bytes]]:
        """Return the values of fields by name in lower case."""
        fields: dict[bytes, list[bytes]] = {}
        while not EMPTY.match(self.data):
            name, value = self.take(FIELD).groups()
            fields.setdefault(name.lower(), []).append(value.strip(b" \t"))
        self.take(EMPTY)
        return fields

    def read(self) -> tuple[int, bytes]:
        """Return the status and the body of the final response."""
        status, coded, length = self.take_head()
        while status < 200:
            status, coded, length = self.take_head()
        if status in (204, 304):
            return status, b""
        if coded:
            return status, self.read_chunks()
        return status, self.data if length is None else self.take_bytes(length)

    def take_head(self) -> tuple[int, bool, int | None]:
        """Return the status of a head, whether the body is in chunks, and its length or None."""
        minor, status = self.take(STATUS_LINE).groups()
        fields = self.take_fields()
        lengths, codings = fields.get(b"content-length", []), fields.get(b"transfer-encoding", [])
        odd_length = any(not re.fullmatch(rb"\d+", value) for value in lengths)
        odd_coding = any(value.lower() != b"chunked" or minor == b"0" for value in codings)
        if status == b"101" or len(lengths) + len(codings) > 1 or odd_length or odd_coding:
            raise RefusedError
        return int(status), bool(codings), int(lengths[0]) if lengths else None

    def read_chunks(self) -> bytes:
        """Return a body in chunks."""
        body = b""
        while size := int(self.take(CHUNK)[1], 16):
            body += self.take_bytes(size)
            if self.take_bytes(2) != b"\r\n":
                raise RefusedError
        self.take_fields()
        return body


def read_strictly(data: bytes) -> tuple[int, bytes] | None:
    """Return the status and the body of an answer, or None where the RFCs forbid it."""
    try:
        return StrictReader(data).read()
    except RefusedError:
        return None


def read_checked(data: bytes) -> tuple[int, bytes] | None:
    """Return the same as the product reads it."""
    sock = SimpleNamespace(makefile=lambda mode: io.BytesIO(data))
    response = CheckedResponse(sock, method="GET")
    try:
        response.begin()
        return response.status, response.read()
    except (HTTPException, TruncatedLineError):
        return None


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Return an answer with one byte replaced or put in, often one that has a meaning."""
    position = rng.randrange(len(data))
    choices = (rng.randrange(256), rng.choice(b'\x00\t\n\r "+,-0189:;=AFX_afx\x85\xa0'))
    return data[:position] + bytes([rng.choice(choices)]) + data[position + rng.randrange(2) :]


class MutatedAnswerTest(WithScenarios, testtools.TestCase):
    scenarios = [(name, {"answer": answer}) for name, answer in ANSWERS.items()]

    def test_the_answer_itself(self) -> None:
        status, body = read_strictly(self.answer)
        self.assertEqual((status, body), read_checked(self.answer))
        self.assertEqual(31, len(body))

    def test_read_as_by_the_strict_reader(self) -> None:
        refused = 0
        for seed in range(MUTATIONS):
            data = mutate(self.answer, random.Random(seed))
            expected = read_strictly(data)
            refused += expected is None
            self.assertEqual((seed, expected), (seed, read_checked(data)), data)
        self.assertIn(refused, range(MUTATIONS // 10, MUTATIONS))
