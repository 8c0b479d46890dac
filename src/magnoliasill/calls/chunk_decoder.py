"""Decodes the chunked transfer coding strictly and in bounded memory, without a network."""

from __future__ import annotations

import re

MAX_SIZE_LINE_BYTES = 256  # with extensions and the line ending
MAX_TRAILER_BYTES = 8_192
MAX_SHORT_CHUNK_BYTES = 15  # runs of chunks of one such size are decoded together
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[^\x00\r\n]*)?\r\n")
_SHORT_RUNS = {
    size: re.compile(rb"(?:%x\r\n.{%d}\r\n)+" % (size, size), re.DOTALL)
    for size in range(1, MAX_SHORT_CHUNK_BYTES + 1)
}
_FRAMING_BYTES = 5  # around the data of a chunk whose size has one digit


class FramingError(ValueError):
    """Raised when bytes are no valid chunked coding or exceed a limit on its framing."""


class ChunkDecoder:
    """Decodes one chunked body, whose bytes may arrive split at any position.

    Attributes:
        data_left: The bytes of the current chunk's data that are still to come.
        ended: Whether the body is complete, with its trailers.
        steps: The lines, runs and pieces of data decoded so far, as a measure of the work done.
    """

    def __init__(self) -> None:
        self.data_left = 0
        self.ended = False
        self.steps = 0
        self._line = b""  # the part of a line that has arrived
        self._is_data_end_due = False
        self._is_in_trailers = False
        self._trailer_bytes = 0

    def decode(self, data: bytes, output: bytearray, max_bytes: int) -> int:
        """Append the data of chunks to a buffer and return how many bytes of `data` were used.

        Args:
            data: The bytes that follow those that were used before.
            output: The buffer to append to.
            max_bytes: How many bytes to append at most.

        Raises:
            FramingError: If the coding is not valid.
        """
        position, full_at = 0, len(output) + max_bytes
        while position < len(data) and not self.ended:
            self.steps += 1
            if self.data_left:
                room = full_at - len(output)
                if not room:
                    break
                piece = data[position : position + min(self.data_left, room)]
                output += piece
                position += len(piece)
                self.take_data(len(piece))
            elif self._is_data_end_due or self._is_in_trailers or self._line:
                position = self._read_line(data, position)
            else:
                used = _decode_short_run(data, position, output, full_at - len(output))
                position = position + used if used else self._read_line(data, position)
        return position

    def take_data(self, count: int) -> None:
        """Note that bytes of the current chunk's data were read, at most `data_left`."""
        self.data_left -= count
        self._is_data_end_due = not self.data_left

    def _read_line(self, data: bytes, position: int) -> int:
        """Read a line, or the part of it that has arrived; return the position after it."""
        if self._is_data_end_due:
            limit = 2
        elif self._is_in_trailers:
            limit = MAX_TRAILER_BYTES - self._trailer_bytes
        else:
            limit = MAX_SIZE_LINE_BYTES
        end = data.find(b"\n", position, position + limit - len(self._line)) + 1
        if not end:
            self._line += data[position : position + limit]
            if len(self._line) >= limit:
                raise FramingError(f"a line of the chunked coding exceeds {limit} bytes")
            return len(data)
        line, self._line = self._line + data[position:end], b""
        self._apply_line(line)
        return end

    def _apply_line(self, line: bytes) -> None:
        if self._is_data_end_due:
            if line != b"\r\n":
                raise FramingError("the data of a chunk is not followed by CR LF")
            self._is_data_end_due = False
        elif self._is_in_trailers:
            self._trailer_bytes += len(line)
            if not line.endswith(b"\r\n") or b"\r" in line[:-2]:
                raise FramingError("a trailer does not end with CR LF")
            self.ended = line == b"\r\n"
        else:
            match = _SIZE_LINE.fullmatch(line)
            if match is None:
                raise FramingError(f"invalid chunk-size line: {line[:40]!r}")
            self.data_left = int(match[1], 16)
            self._is_in_trailers = not self.data_left


def _decode_short_run(data: bytes, position: int, output: bytearray, room: int) -> int:
    """Decode chunks of the same short size that follow each other; return the bytes used.

    One step for each would let a client with one-byte chunks use a processor at 1 MB/s.
    """
    size = int(data[position : position + 1], 16) if data[position] in b"123456789abcdef" else 0
    if not size or size > room:
        return 0
    stride = size + _FRAMING_BYTES
    match = _SHORT_RUNS[size].match(data, position, position + room // size * stride)
    if match is None:
        return 0
    run = match[0]
    decoded = bytearray(len(run) // stride * size)
    for offset in range(size):
        decoded[offset::size] = run[3 + offset :: stride]
    output += decoded
    return len(run)
