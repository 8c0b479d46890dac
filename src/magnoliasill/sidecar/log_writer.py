"""Rate-limited logging to standard output that never blocks on a slow reader."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import eventlet.patcher
import msgspec
import structlog

from ..codes import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

os = eventlet.patcher.original("os")  # eventlet's patched os.write waits when the pipe is full

MAX_BUFFERED_BYTES = 1_000_000  # memory limit for lines that a stalled reader leaves unread
SUCCESS_LINES_PER_S = 30.0  # limit for lines about successful requests; more add no information
FAILURE_LINES_PER_S = 300.0  # limit for lines about failed requests
BURST_S = 2.0  # a token bucket holds at most the tokens of this many seconds
WRITE_PAUSE_S = 0.05  # between writes, and before retrying a full pipe
SUCCESS_EVENTS = frozenset(
    {LogEvent.REQUEST_ANSWERED, LogEvent.ATTEMPT_ENDED, LogEvent.GATE_ANSWERED}
)
FAILURE_EVENTS = frozenset(
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
class TokenBucket:
    """Token bucket that limits the rate of one class of log lines.

    Attributes:
        tokens_per_s: Tokens added per second; each line takes one.
        tokens: Tokens available at `refilled_at`.
        refilled_at: Time of the last refill, in seconds on the monotonic clock.
    """

    tokens_per_s: float
    tokens: float
    refilled_at: float = 0.0

    def try_take(self, now: float) -> bool:
        """Take a token for one line if there is one; returns whether the line may be written."""
        self.tokens = min(
            self.tokens + (now - self.refilled_at) * self.tokens_per_s, self.tokens_per_s * BURST_S
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class LogWriter:
    """Buffer of log lines for a non-blocking file descriptor.

    Attributes:
        descriptor: The file descriptor, in non-blocking mode.
        on_dropped: Called with the event's name for each line that is dropped.
        lines: Encoded lines that are not written yet.
        buffered_bytes: Total size of these lines.
        dropped: Lines dropped since the last one that was accepted.
        success_bucket: Limits the lines about successful requests.
        failure_bucket: Limits the lines about failed requests.
    """

    descriptor: int
    on_dropped: Callable[[str], None]
    lines: deque[bytes] = attrs.field(factory=deque)
    buffered_bytes: int = 0
    dropped: int = 0
    success_bucket: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(SUCCESS_LINES_PER_S, SUCCESS_LINES_PER_S)
    )
    failure_bucket: TokenBucket = attrs.field(
        factory=lambda: TokenBucket(FAILURE_LINES_PER_S, FAILURE_LINES_PER_S)
    )


def open_log_writer(
    descriptor: int, name: str, data_centre: str, on_dropped: Callable[[str], None]
) -> tuple[LogWriter, Callable[..., None]]:
    """Return a log writer and the function that logs one event through it.

    Args:
        descriptor: The file descriptor to write to; it is set to non-blocking mode.
        name: Name of the VM, on every line.
        data_centre: Data centre of the VM, on every line.
        on_dropped: Called with the event's name for each line that is dropped.
    """
    with suppress(OSError):
        os.set_blocking(descriptor, False)
    log_writer = LogWriter(descriptor, on_dropped)
    logger = structlog.wrap_logger(
        _BufferLogger(log_writer),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(_encode_line),
        ],
        daemon=name,
        data_centre=data_centre,
    ).bind()

    def write(event: LogEvent, **fields: Any) -> None:
        if not _is_allowed(log_writer, event):
            log_writer.dropped += 1
            on_dropped(event.name.lower())
            return
        if log_writer.dropped:
            fields["left_out"], log_writer.dropped = log_writer.dropped, 0
        logger.info(event.name.lower(), number=int(event), **fields)

    return log_writer, write


def _encode_line(fields: Any, **_: Any) -> str:
    return msgspec.json.encode(fields, enc_hook=repr).decode()


def _is_allowed(log_writer: LogWriter, event: LogEvent) -> bool:
    if log_writer.buffered_bytes >= MAX_BUFFERED_BYTES:
        return False
    if event in SUCCESS_EVENTS:
        return (
            log_writer.buffered_bytes < MAX_BUFFERED_BYTES / 2
            and log_writer.success_bucket.try_take(monotonic())
        )
    return event not in FAILURE_EVENTS or log_writer.failure_bucket.try_take(monotonic())


class _BufferLogger:
    """Logger that structlog wraps: appends rendered lines to the buffer."""

    def __init__(self, log_writer: LogWriter) -> None:
        self._log_writer = log_writer

    def info(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._log_writer.lines.append(data)
        self._log_writer.buffered_bytes += len(data)


def write_pending(log_writer: LogWriter) -> bool:
    """Write buffered lines until the descriptor would block; returns whether none is left."""
    while log_writer.lines:
        data = log_writer.lines[0]
        try:
            written = os.write(log_writer.descriptor, data)
        except BlockingIOError:
            return False
        except OSError:  # the reader is gone for good, so the lines are discarded
            log_writer.lines.clear()
            log_writer.buffered_bytes = 0
            return True
        log_writer.buffered_bytes -= written
        if written < len(data):
            log_writer.lines[0] = data[written:]
            return False
        log_writer.lines.popleft()
    return True


def run_log_writer(log_writer: LogWriter) -> None:
    """Write buffered lines periodically, until the process ends."""
    while True:
        write_pending(log_writer)
        eventlet.sleep(WRITE_PAUSE_S)
