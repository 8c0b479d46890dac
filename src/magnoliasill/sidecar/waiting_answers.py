"""Answers to pipelined requests, which wait for the answers to earlier requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from eventlet.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..mesh.pipelines import PipelinedRequest


@attrs.define(eq=False)
class Signal:
    """Lets one green thread wait until others have changed something."""

    _event: Event | None = None

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; it is checked after each notification."""
        while not condition():
            self._event = Event()
            self._event.wait()

    def notify(self) -> None:
        """Let the waiting green thread check its condition."""
        event, self._event = self._event, None
        if event is not None:
            event.send()


@attrs.define(eq=False)
class WaitingAnswer:
    """The answer to one pipelined request; the request's protocol instance writes into it.

    The first write before its turn is buffered. A second one belongs to a streamed answer and waits
    for its turn, so that no more of the stream is kept.

    Attributes:
        stream: The connection's stream for writing.
        connection_changed: Signal of the green thread that writes the connection's answers.
        protocol: The protocol instance that has the request's head.
        head_read: Whether the head was read and is valid.
        request: The request's place in the pipeline, once its head was read.
        thread: The green thread that runs the request, if it runs beside others.
        buffer: What waits for the turn of this answer.
        has_turn: Whether all earlier answers were written, and the buffer too.
        complete: Whether the request has ended, so that nothing is written any more.
        released: Whether the answer was written to its end, or dropped.
        dropped: Whether nothing of it is written, because the connection closes before its turn.
        changed: Signal of the green thread that runs the request.
    """

    stream: Any
    connection_changed: Signal
    protocol: Any = None
    head_read: bool = False
    request: PipelinedRequest | None = None
    thread: Any = None
    buffer: bytes = b""
    has_turn: bool = False
    complete: bool = False
    released: bool = False
    dropped: bool = False
    changed: Signal = attrs.field(factory=Signal)

    def write(self, data: bytes) -> None:
        """Write to the connection if it is this answer's turn, otherwise buffer or wait.

        Raises:
            BrokenPipeError: If the answer is streamed and was dropped.
        """
        is_streamed = bool(self.buffer)
        if is_streamed and not self.has_turn:
            self.wait_for_turn()
        if self.dropped:
            if is_streamed:
                raise BrokenPipeError("an earlier answer closed the connection")
            return
        if self.has_turn:
            self.stream.write(data)
            return
        self.buffer = data
        if self.request is not None:
            self.request.buffered_bytes = len(data)

    def writelines(self, parts: list[bytes]) -> None:
        """Write several parts at once."""
        self.write(b"".join(parts))

    def flush(self) -> None:
        """Send what was written, if it is this answer's turn."""
        if self.has_turn:
            self.stream.flush()

    def wait_for_turn(self) -> None:
        """Wait until all earlier answers were written or this one is dropped."""
        self.changed.wait_until(lambda: self.has_turn or self.dropped)

    def take_turn(self) -> None:
        """Write what was buffered and let the rest be written directly.

        Raises:
            OSError: If the connection is broken or the caller does not read.
        """
        while self.buffer:
            data, self.buffer = self.buffer, b""
            if self.request is not None:
                self.request.buffered_bytes = 0
            self.stream.write(data)
            self.stream.flush()
        self.has_turn = True
        self.changed.notify()

    def end(self) -> None:
        """Record that the request has ended."""
        self.complete = True
        self.connection_changed.notify()

    def release(self, dropped: bool = False) -> None:
        """Let the request's green thread end."""
        self.released = True
        self.dropped = self.dropped or dropped
        self.changed.notify()

    def end_and_wait(self) -> None:
        """Record that the request has ended, and wait until the answer is written or dropped.

        The request counts as open until then, so that a stopping process does not exit before.
        """
        if self.thread is None:
            return
        self.end()
        self.changed.wait_until(lambda: self.released)
