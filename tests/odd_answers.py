"""Answers of which RFC 9110 and 9112 allow some and forbid others, for the tests of all ports."""

from __future__ import annotations

import attrs

BODY = b'{"items":[],"store_revision":7}'
HEAD = b"Content-Type: application/json\r\n"
LENGTH = b"Content-Length: 31\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


@attrs.frozen
class Answer:
    """The bytes of an answer.

    Attributes:
        rest: What follows the status line.
        status_line: The status line.
        before: What comes before it.
    """

    rest: bytes
    status_line: bytes = OK
    before: bytes = b""

    def encode(self, fields: bytes = b"") -> bytes:
        """Return all bytes, with some more fields at the start of the head."""
        return self.before + self.status_line + fields + self.rest

    @property
    def name(self) -> str:
        """A name for the tests: the bytes, escaped and without the body."""
        return ascii(self.before + self.status_line + self.rest.replace(BODY, b"*"))[2:-1]


def name_answers(answers: tuple[Answer, ...]) -> list[tuple[str, dict[str, Answer]]]:
    """Return the scenarios of some answers."""
    return [
        (f"{number} {answer.name:.60}", {"answer": answer}) for number, answer in enumerate(answers)
    ]


def build_plain(fields: bytes, status_line: bytes = OK) -> Answer:
    """Return an answer with some lines, whose body is not in chunks."""
    return Answer(HEAD + fields + b"\r\n" + BODY, status_line)


def build_chunked(
    size: bytes = b"1f", end: bytes = b"\r\n", last: bytes = b"0\r\n\r\n", fields: bytes = b""
) -> Answer:
    """Return an answer with one chunk."""
    coding = b"Transfer-Encoding: chunked\r\n" + fields
    return Answer(HEAD + coding + b"\r\n" + size + b"\r\n" + BODY + end + last)


def build_interim(lines: bytes, end: bytes = b"\r\n", status: bytes = b"103 Odd") -> Answer:
    """Return an answer after an interim response with some lines."""
    before = b"HTTP/1.1 " + status + b"\r\n" + lines + end
    return Answer(HEAD + LENGTH + b"\r\n" + BODY, before=before)


ODD_LENGTHS = (
    *(b"+31", b"-31", b"3_1", b"3 1", b"31 31", b"31,31", b"31;", b"0x1f", b"abc", b"", b"+5"),
    *(b"1_0", b"\x0b31", b"31\x0c", b"31\x85", b"\xa031", b"\x0b5", b"5\x0b", b"3.1e1", b"\xb331"),
    b"9" * 5_000,
)
ODD_CODINGS = (b"gzip", b"identity", b"gzip, chunked", b"chunked, gzip", b"chunked;q=1")
ODD_SIZES = (
    *(b"+1f", b"-1f", b"0x1f", b"1_f", b"\x0b1f", b" 1f", b"\t1f", b"1f ", b"1f\x0c", b"\xa01f"),
    *(b"", b";a", b"1f;", b"1f;a b", b"1f;a=", b'1f;a="', b"1f;a\x00", b"1f;\ra", b"f" * 17),
)
ODD_FRAMING = (
    *(build_plain(b"Content-Length: " + value + b"\r\n") for value in ODD_LENGTHS),
    *(
        Answer(b"Content-Length: " + value + b"\r\n\r\n", b"HTTP/1.1 " + status + b" Odd\r\n")
        for value in (b"abc", b"+0", b"0_0")
        for status in (b"204", b"304")
    ),
    build_plain(LENGTH + LENGTH),
    build_plain(LENGTH + b"Content-Length: 5\r\n"),
    *(build_plain(b"Transfer-Encoding: " + coding + b"\r\n" + LENGTH) for coding in ODD_CODINGS),
    *(build_plain(b"Transfer-Encoding: " + coding + b"\r\n") for coding in ODD_CODINGS),
    *(build_chunked(fields=b"Transfer-Encoding: " + coding + b"\r\n") for coding in ODD_CODINGS),
    build_chunked(fields=b"Transfer-Encoding: chunked\r\n"),
    build_chunked(fields=LENGTH),
    attrs.evolve(build_chunked(), status_line=b"HTTP/1.0 200 OK\r\n"),
    *(build_chunked(size) for size in ODD_SIZES),
    *(build_chunked(end=end) for end in (b"XX", b"\n\n", b"\r\r", b"X\r\n", b"\n")),
    build_chunked(b"5", b"\r\n5\r\nhello\r\n"),
    build_chunked(last=b"00x\r\n\r\n"),
)
NO_FIELDS = (
    *(
        b"no colon",
        b": no name",
        b" folded: 1",
        b"\tfolded: 1",
        b"X-A : 1",
        b"X-A\t: 1",
        b" ",
        b":",
    ),
    *(b"X-A: a\x00b", b"X-A: a\rb", b"X-A: 1\rContent-Length: 5", b"X-A: 1\r", b"X-A: \x00"),
    *(b"\x00", b"\r", b"\x0b", b"HTTP/1.1 200 OK", b"\x0bfolded: 1"),
)
ODD_LINES = (
    *(build_plain(line + b"\r\n" + LENGTH) for line in NO_FIELDS),
    *(build_interim(line + b"\r\n") for line in NO_FIELDS),
    *(build_chunked(last=b"0\r\n" + line + b"\r\n\r\n") for line in NO_FIELDS),
    build_interim(b"Content-Length: +0\r\n"),
    build_interim(b"Transfer-Encoding: gzip\r\n", status=b"100 Continue"),
    build_interim(b"", end=b" \r\n"),
    build_interim(b"", end=b"\t\n"),
    build_interim(b"", end=b"\r\r\n"),
    *(
        build_plain(LENGTH, line + b"\r\n")
        for line in (b"HTTP/1.1 200 O\x00K", b"HTTP/1.1 200 O\rK", b"HTTP/1.1 200 O\x7fK")
    ),
    attrs.evolve(build_interim(b""), before=b"HTTP/1.1 103 O\x00\r\n\r\n"),
)
ODD_NAMES = (
    *(
        build_plain(b"X" + character.to_bytes() + b"A: 1\r\n" + LENGTH)
        for character in (*b'\x00\t\x07\r\x1f "(),/;<=>?@[\\]{}\x7f', 0xA0, 0xE9)
    ),
    *(
        build_plain(name + b": 31\r\n")
        for name in (b"Content Length", b"Content\x08-Length", b"\xa0Content-Length")
    ),
    Answer(build_chunked().rest.replace(b"Transfer-", b"Transfer-\x00")),
    build_interim(b"X A: 1\r\n"),
    build_chunked(last=b"0\r\nX(A): 1\r\n\r\n"),
)
USUAL = (
    build_plain(LENGTH),
    build_plain(b"content-length:31\r\n"),
    build_plain(b"CONTENT-LENGTH: \t 31 \t\r\n"),
    build_plain(b"Content-Length: 0031\r\n"),
    Answer((HEAD + LENGTH + b"\r\n").replace(b"\r\n", b"\n") + BODY, b"HTTP/1.1 200 OK\n"),
    build_plain(b"!#$%&'*+-.^_`|~09azAZ: 1\r\n" + LENGTH),
    build_plain(b'X-A: caf\xe9 \x80\xff\r\nX-B: a: b, (c) "d"\r\nX-C:\r\nX-D: \t\r\n' + LENGTH),
    build_plain(b"X-A: 1\r\nX-A: 2\r\nX-B: a\tb\r\n" + LENGTH),
    build_plain(b"X-A: a\x01\x0b\x1b\x7fb\r\n" + LENGTH),
    build_plain(LENGTH, b"HTTP/1.1 200 Caf\xe9 (a\tb)\r\n"),
    build_chunked(),
    build_chunked(b"1F"),
    build_chunked(b"001f"),
    build_chunked(b'1f;a;b=1 ; c = "d\\"; e"'),
    build_chunked(last=b"000;a=b\r\n\r\n"),
    build_chunked(last=b"0\r\nX-Sum: 1\r\nX-B:\r\n\r\n"),
    build_chunked(last=b"0\r\nX-Sum: 1\n\n"),
    Answer(build_chunked().rest.replace(b": chunked", b":\tChunked ")),
    build_interim(b"Link: </x>\r\n"),
    build_interim(b"Content-Length: 0\r\n", status=b"100 Continue"),
    attrs.evolve(build_interim(b""), before=b"HTTP/1.1 102\nX-A: 1\n\n"),
)
USUAL_UNTIL_THE_END = (build_plain(b""), build_plain(b"", b"HTTP/1.0 200 OK\r\n"))
USUAL_WITHOUT_BODY = (
    *(
        Answer(fields + b"\r\n", b"HTTP/1.1 " + status + b" Odd\r\n")
        for status in (b"204", b"304")
        for fields in (b"X-A: 1\r\n", b"Content-Length: 0\r\n")
    ),
    Answer(b"Content-Length: 31\r\n\r\n", b"HTTP/1.1 304 Odd\r\n"),
    Answer(b"Transfer-Encoding: chunked\r\n\r\n", b"HTTP/1.1 304 Odd\r\n"),
)
