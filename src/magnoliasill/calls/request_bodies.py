"""Reads request bodies within limits; replaces `eventlet.wsgi.Input`, which has none."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING, Any

import eventlet
from eventlet.wsgi import ChunkReadError

from ..mesh.client_budgets import MAX_WAIT_S, find_time_left
from ..urgent_hub import set_urgent
from .chunk_decoder import ChunkDecoder, FramingError

if TYPE_CHECKING:
    from eventlet.wsgi import Input

    from ..mesh.client_budgets import ClientConnection, IncompleteBody
    from .client_connections import ClientConnections

MAX_DISCARDED_BYTES = 65_536  # of the rest of a body, to keep the connection
READ_SIZE_BYTES = 16_384  # allocated while waiting for the client
READS_BETWEEN_YIELDS = 16  # from a client that sends faster than is read, which would block others
STEPS_BETWEEN_YIELDS = 1_024  # of the decoder, about 2 ms


class RequestBody:
    """The body of one request, as a WSGI input stream without lines.

    Attributes:
        content_length: The length in bytes, or None for chunked transfer coding.
        chunked_input: Whether the body has chunked transfer coding.
        position: The bytes of data that were read.
        headers_sent: A list that is not empty once the answer has begun; set by the server.
        is_complete: Whether the whole body was read.
        has_failed: Whether reading failed, so that the connection can't be used any more.
        is_buffered: Whether bytes of it came with the head, so that the first read doesn't wait.
    """

    position = 0
    headers_sent: list[int] | None = None
    is_complete = False
    has_failed = False
    is_buffered = False
    _state: IncompleteBody | None = None
    _has_set_timeout = False
    _reads = _steps = 0
    _holds_first_read = True

    def __init__(
        self, source: Input, timeout_s: float, clients: ClientConnections, client: ClientConnection
    ) -> None:
        """Create the body of a request whose head has been read.

        Args:
            source: The input stream that the server has created, of which nothing was read.
            timeout_s: The connection's timeout in seconds, which applies outside of reading.
            clients: Enforces the budgets.
            client: The connection.
        """
        self.content_length: int | None = source.content_length
        self.chunked_input: bool = source.chunked_input
        self._stream, self._sock = source.rfile, source.get_socket()
        self._continue_stream, self._continue_line = source.wfile, source.wfile_line
        self._timeout_s = timeout_s
        self._clients, self._client = clients, client
        self._decoder = ChunkDecoder() if source.chunked_input else None
        if not self.chunked_input and not self.content_length:
            self._complete()
        else:
            self._state = clients.begin_body(client, self.content_length)

    @property
    def should_send_hundred_continue(self) -> bool:
        """Whether the client waits to be asked for the body."""
        return self._continue_stream is not None

    def get_socket(self) -> Any:
        """Return the connection's socket."""
        return self._sock

    def exceeds_discard(self) -> bool:
        """Return whether the connection can't be kept, since too much of the body is left."""
        if self.has_failed:
            return True
        left = 0 if self.content_length is None else self.content_length - self.position
        return left > MAX_DISCARDED_BYTES

    def read(self, length: int | None = None) -> bytes:
        """Read up to a number of bytes, fewer only if the body ends or a length was announced.

        Raises:
            ChunkReadError: If the chunked coding is not valid.
            OSError: If the connection ends within a chunked body, or the client is too slow or was
                turned away.
        """
        if self.is_complete or length == 0:
            return b""
        output = bytearray()
        try:
            self._send_continue()
            self._read_into(output, length if length is not None and length > 0 else None)
        except BaseException:
            self.has_failed = True
            raise
        finally:
            if self._has_set_timeout:
                self._sock.settimeout(self._timeout_s)
            if not self._holds_first_read:  # a streamed body is passed on
                self._clients.hold(self._client, -len(output))
            self._holds_first_read = False
        return bytes(output)

    def discard(self) -> None:
        """Read the rest of the body if it is short.

        Raises:
            OSError: If it is not, so that the connection has to be closed.
        """
        left = 0 if self.exceeds_discard() else MAX_DISCARDED_BYTES
        while left and (data := self.read(min(left, READ_SIZE_BYTES))):
            left -= len(data)
        if not self.is_complete:
            raise ConnectionAbortedError("the rest of the request body is too long")

    def end(self, environ: dict[str, Any]) -> None:
        """Note that the request was answered; a hook of the server."""
        self._clients.end_request(self._client, self.is_complete, self._state)

    def _read_into(self, output: bytearray, wanted: int | None) -> None:
        while not self.is_complete and (wanted is None or len(output) < wanted):
            if self._client.closed_for:
                raise ConnectionAbortedError(f"closed: {self._client.closed_for}")
            before = len(output)
            room = READ_SIZE_BYTES if wanted is None else wanted - before
            ended = self._read_chunks(output, room) if self._decoder else self._read(output, room)
            self.position += len(output) - before
            self._state.received = self.position
            if ended or self.position == self.content_length:
                self._complete()
                return
            self._clients.hold(self._client, len(output) - before)
            if self.content_length is not None and len(output) == before:
                return  # the connection has ended; the caller sees that from the length
            self._yield_at_times()

    def _read(self, output: bytearray, room: int) -> bool:
        left = (self.content_length or 0) - self.position
        output += self._receive(self._stream.read1, min(room, left, READ_SIZE_BYTES))
        return False

    def _read_chunks(self, output: bytearray, room: int) -> bool:
        """Read some data of a chunked body; return whether the body has ended."""
        decoder = self._decoder
        assert decoder is not None
        if decoder.data_left >= READ_SIZE_BYTES:
            data = self._receive(self._stream.read1, min(room, READ_SIZE_BYTES))
            output += data
            decoder.take_data(len(data))
        else:
            data = self._receive(self._stream.peek, 1)
            try:
                self._stream.read(decoder.decode(data, output, room))
            except FramingError as error:
                self._clients.turn_away("framing")
                raise ChunkReadError(str(error)) from error
        if not data:
            raise ConnectionError("the connection ended within a chunked body")
        return decoder.ended

    def _receive(self, receive: Any, size: int) -> bytes:
        """Call a function that reads from the connection at most once, within the time left."""
        if self.is_buffered:
            self.is_buffered = False
            buffered: bytes = receive(size)
            return buffered
        state = self._state
        self._has_set_timeout = True
        left_s = find_time_left(state)
        budget = "stall" if left_s == MAX_WAIT_S else "rate"
        started_at = state.waiting_since = monotonic()
        try:
            if not left_s:
                raise TimeoutError("the body arrives too slowly")
            self._sock.settimeout(left_s)
            data: bytes = receive(size)
        except TimeoutError:
            self._clients.turn_away(budget)
            raise
        finally:
            state.waited_s += monotonic() - started_at
            state.waiting_since = None
        return data

    def _complete(self) -> None:
        self.is_complete = True
        self._clients.complete_request(self._client, self._state)

    def _send_continue(self) -> None:
        """Ask for the body if the client waits for that and the answer has not begun."""
        stream, self._continue_stream = self._continue_stream, None
        if stream is not None and not self.headers_sent:
            stream.write(self._continue_line + b"\r\n")
            stream.flush()

    def _yield_at_times(self) -> None:
        self._reads += 1
        steps = self._decoder.steps if self._decoder else 0
        is_due = (
            self._reads >= READS_BETWEEN_YIELDS
            or steps - self._steps >= STEPS_BETWEEN_YIELDS
            or self._clients.is_crowded()
        )
        if is_due:
            self._reads, self._steps = 0, steps
            set_urgent(False)  # an urgent port is for short messages; others would wait for this
            eventlet.sleep(0)
