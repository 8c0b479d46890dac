"""Log lines on standard output: bounded, and never waited for."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import eventlet.patcher
import structlog

from ..codes import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

os = eventlet.patcher.original("os")  # the patched one waits where a pipe is full

MAX_BUFFERED_BYTES = 1_000_000  # what a stalled reader may cost in memory
ORDINARY_PER_S = 30.0  # lines on requests that went well; more say nothing new
UNUSUAL_PER_S = 300.0  # lines on requests that did not
BURST_S = 2.0
WRITE_PAUSE_S = 0.05  # between writes, and before a full pipe is tried again
ORDINARY = frozenset({LogEvent.REQUEST_ANSWERED, LogEvent.ATTEMPT_ENDED, LogEvent.GATE_ANSWERED})
UNUSUAL = frozenset(
    {
        LogEvent.REQUEST_REFUSED,
        LogEvent.REQUEST_FAILED,
        LogEvent.REQUEST_CANCELLED,
        LogEvent.ATTEMPT_FAILED,
        LogEvent.GATE_REFUSED,
        LogEvent.GATE_FAILED,
    }
)


@attrs.define
class Allowance:
    """Lines of one kind that may still be written.

    Attributes:
        per_s: Lines a second.
        left: Lines at this moment.
        at: When that was, in seconds on the monotonic clock.
    """

    per_s: float
    left: float
    at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one line; returns whether there was one."""
        self.left = min(self.left + (now - self.at) * self.per_s, self.per_s * BURST_S)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


@attrs.define
class Journal:
    """Lines that wait to be written.

    Attributes:
        descriptor: The file descriptor, which is not waited for.
        on_left_out: Counts a line that was left out.
        lines: Encoded lines.
        size: Their bytes.
        left_out: Lines left out since the last that was written.
    """

    descriptor: int
    on_left_out: Callable[[str], None]
    lines: deque[bytes] = attrs.field(factory=deque)
    size: int = 0
    left_out: int = 0
    ordinary: Allowance = attrs.field(factory=lambda: Allowance(ORDINARY_PER_S, ORDINARY_PER_S))
    unusual: Allowance = attrs.field(factory=lambda: Allowance(UNUSUAL_PER_S, UNUSUAL_PER_S))


def open_journal(
    descriptor: int, name: str, data_centre: str, on_left_out: Callable[[str], None]
) -> tuple[Journal, Callable[..., None]]:
    """Return a journal, and the function that writes one event to it.

    Args:
        descriptor: Where lines go.
        name: The VM.
        data_centre: Where it runs.
        on_left_out: Counts a line that was left out, by the event's name.
    """
    with suppress(OSError):
        os.set_blocking(descriptor, False)
    journal = Journal(descriptor, on_left_out)
    logger = structlog.wrap_logger(
        _Sink(journal),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        daemon=name,
        data_centre=data_centre,
    ).bind()

    def write(event: LogEvent, **fields: Any) -> None:
        if not _is_allowed(journal, event):
            journal.left_out += 1
            on_left_out(event.name.lower())
            return
        if journal.left_out:
            fields["left_out"], journal.left_out = journal.left_out, 0
        logger.info(event.name.lower(), number=int(event), **fields)

    return journal, write


def _is_allowed(journal: Journal, event: LogEvent) -> bool:
    if journal.size >= MAX_BUFFERED_BYTES:
        return False
    if event in ORDINARY:
        return journal.size < MAX_BUFFERED_BYTES / 2 and journal.ordinary.take(monotonic())
    return event not in UNUSUAL or journal.unusual.take(monotonic())


class _Sink:
    """Takes rendered lines from the logging library."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal

    def info(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._journal.lines.append(data)
        self._journal.size += len(data)


def write_pending(journal: Journal) -> bool:
    """Write what the descriptor takes without waiting; returns whether all was written."""
    while journal.lines:
        data = journal.lines[0]
        try:
            written = os.write(journal.descriptor, data)
        except BlockingIOError:
            return False
        except OSError:  # nobody can ever read them
            journal.lines.clear()
            journal.size = 0
            return True
        journal.size -= written
        if written < len(data):
            journal.lines[0] = data[written:]
            return False
        journal.lines.popleft()
    return True


def keep_writing(journal: Journal) -> None:
    """Write lines as they come, until the process ends."""
    while True:
        write_pending(journal)
        eventlet.sleep(WRITE_PAUSE_S)
