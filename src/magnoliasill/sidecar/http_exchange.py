"""Sends one HTTP request over one connection and classifies failures.

The error tells whether the request was certainly not sent or may have reached the other end.
"""

from __future__ import annotations

import http.client
import io
import re
import socket
from collections import deque
from contextlib import suppress
from enum import Enum
from http.client import HTTPConnection as BaseConnection
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
from eventlet.hubs import trampoline

from ..balancing.idle_bounds import IdleBound
from ..calls.connections import (
    ConnectionPool,
    PooledConnection,
    acquire_connection,
    connect,
    drop_older_connections,
    drop_unproven_connections,
    open_connection,
    release_connection,
    wait_readable,
)
from ..calls.line_reader import LineReader
from ..calls.response_errors import MalformedResponseError
from ..calls.responses import CheckedResponse
from ..calls.status_line import is_continue, read_final_status
from ..codes import ErrorCode
from ..errors import MagnoliasillError
from .bodies import LongBody, read_chunks

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..calls.status_line import StatusLine

MAX_BUFFERED_RESPONSE_BYTES = 262_144  # a longer response is streamed
READ_SIZE_BYTES = 65_536
READS_BETWEEN_YIELDS = 16  # from a server that sends faster than is read, which would block others
MIN_TIMEOUT_S = 0.001
TIMER_TOLERANCE_S = 0.02  # a socket timeout that fires earlier than this was set by the kernel
SAFE_IDLE_S = 1.0  # the other end has not closed a connection that was used this recently
MAX_IDLE_CONNECTIONS = 64
IDLE_TIMEOUT_SHARE = 0.7  # of the other end's idle timeout; connections idle longer are not reused
MAX_STALE_RESPONSES = 2  # responses to earlier requests that are skipped at most
_SECONDS = re.compile(r"[0-9]{1,9}")
_CONNECTION_ERRORS = (http.client.HTTPException, OSError, ValueError)


class NotSentError(MagnoliasillError):
    """Raised when the request certainly did not reach the other end."""


class BrokenError(MagnoliasillError):
    """Raised when the request may have reached the other end but no complete response arrived."""


class TimedOutError(BrokenError):
    """Raised when no response arrived in time."""


class UnsentBodyError(BrokenError):
    """Raised when a response that is not valid arrived before the body was asked for.

    The body was not sent, but the response may have told that the request ran before.
    """


class Match(Enum):
    """How a response relates to the request that waits for one.

    Attributes:
        OWN: It names this request.
        UNNAMED: It names no request and is of a kind that may. On a connection that was used
            before, it may be a copy of the response to an earlier request.
        OTHER: It belongs to another request.
    """

    OWN = "own"
    UNNAMED = "unnamed"
    OTHER = "other"


@attrs.frozen
class Message:
    """An HTTP request to send.

    Attributes:
        method: The HTTP method.
        target: The path and query exactly as the caller sent them.
        headers: The headers, in order.
        body: The body, or None.
        expects_continue: Whether a long body is sent only once the other end asks for it. Until
            then the request did not run, and the body can be sent elsewhere.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | LongBody | None
    expects_continue: bool = False


@attrs.frozen
class Reply:
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        headers: The headers, in order.
        body: The complete body, or its beginning if `remaining_chunks` is set.
        remaining_chunks: An iterator over the rest of the body, or None. It raises `HTTPException`
            or `OSError` if the body is cut short.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_chunks: Iterator[bytes] | None = None


class _SocketReader(io.RawIOBase):
    """A raw stream over a socket that returns no data while it is paused.

    It reads the file descriptor directly because eventlet's green sockets treat a connection reset
    as the end of the stream, so a truncated response without a length would look complete.

    Attributes:
        deadline: When reading fails, also while bytes keep arriving, in seconds on the monotonic
            clock.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.paused = False
        self.deadline = 0.0
        self._reads = 0

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.paused:
            return None
        self._reads += 1
        if self._reads % READS_BETWEEN_YIELDS == 0:
            eventlet.sleep(0)
        while True:
            left_s = self.deadline - monotonic()
            if left_s <= 0:
                raise TimeoutError("the response did not end before the deadline")
            try:
                return self.sock.fd.recv_into(buffer)
            except BlockingIOError:
                trampoline(self.sock, read=True, timeout=left_s, timeout_exc=TimeoutError)


class _ResponseReader:
    """Shares one buffer among all responses of a connection, so that none loses buffered bytes."""

    def __init__(self, sock: Any) -> None:
        self.source = _SocketReader(sock)
        self.buffer = io.BufferedReader(self.source, READ_SIZE_BYTES)
        self._status_line: StatusLine | None = None

    def makefile(self, mode: str) -> Any:
        return _UncloseableBuffer(self.buffer)

    def read_continue(self) -> bool:
        """Read interim responses up to one that asks for the body; return whether there was one.

        The status line of a final response is kept for the one who reads that response.

        Raises:
            HTTPException: If a head is not valid, or the interim responses do not end.
        """
        self._status_line = read_final_status(LineReader(self.buffer).readline, until=is_continue)
        return self._status_line is None

    def take_status_line(self) -> StatusLine | None:
        """Return the status line that was kept, once, or None."""
        status_line, self._status_line = self._status_line, None
        return status_line

    def has_more(self) -> bool:
        """Return whether the buffer holds bytes beyond the responses that were read."""
        self.source.paused = True
        try:
            return bool(self.buffer.peek(1))
        finally:
            self.source.paused = False


class _Response(CheckedResponse):
    """A response that doesn't close its connection by itself.

    Attributes:
        closes: Whether the connection must be closed after this response.
    """

    closes = False

    def __init__(self, reader: _ResponseReader, **options: Any) -> None:
        super().__init__(reader, **options)
        self.status_line = reader.take_status_line()

    def begin(self) -> None:
        """Read the head and reset `will_close`.

        Otherwise the library would close the connection before the body is read.
        """
        super().begin()
        self.closes, self.will_close = self.will_close, False


class _UncloseableBuffer(LineReader):
    """Wraps the shared buffer so that a response can't close it."""

    def close(self) -> None:
        """Leave the buffer open for the next response."""

    def flush(self) -> None:
        """Do nothing; the buffer is only read."""


@attrs.frozen
class ConnectionTimeouts:
    """Timeouts after which a connection on which the other end is silent counts as dead.

    Attributes:
        connect_s: The seconds to establish a new connection.
        unacknowledged_ms: The milliseconds until sent bytes are acknowledged.
    """

    connect_s: float
    unacknowledged_ms: int


WITHIN_VM_TIMEOUTS = ConnectionTimeouts(1.0, 2_000)
# Many round trips between VMs, so that a packet that is lost once is retransmitted in time.
BETWEEN_VMS_TIMEOUTS = ConnectionTimeouts(0.25, 700)


def exchange(
    pool: ConnectionPool,
    address: str,
    message: Message,
    deadline: float,
    retryable: bool,
    match_response: Callable[
        [int, list[tuple[str, str]]], Match
    ] = lambda status, headers: Match.OWN,
    timeouts: ConnectionTimeouts = WITHIN_VM_TIMEOUTS,
) -> Reply:
    """Send a request and read its response.

    Args:
        pool: The pool of idle connections.
        address: The other end's `ip:port`.
        message: The request.
        deadline: The time when the response is no longer needed, in seconds on the monotonic clock.
        retryable: Whether the request may be sent on an idle connection that the other end may
            have closed.
        match_response: Returns from its status and headers whether a response belongs to this
            request.
        timeouts: The timeouts after which a silent connection counts as dead.

    Raises:
        NotSentError: If the request was certainly not sent.
        TimedOutError: If no response arrived before the deadline.
        BrokenError: If the response is missing, cut short, not valid or belongs to another request.
    """
    sent_at = monotonic()
    left_s = max(deadline - sent_at, MIN_TIMEOUT_S)
    connection = _choose_connection(pool, address, left_s, retryable)
    if connection.http.sock is None:
        _open_socket(connection, left_s, timeouts)
    if connection.reader is None:
        connection.reader = _ResponseReader(connection.http.sock)
    try:
        fully_sent = _send(connection, message, deadline)
        response = _receive(connection, message.method, deadline, match_response)
        return _read_reply(pool, address, connection, response, deadline, fully_sent)
    except TimeoutError as error:
        connection.http.close()
        if connection.idle_since is not None:
            drop_unproven_connections(pool, address, sent_at)
        if _is_body_unsent(message):
            raise NotSentError(ErrorCode.NOT_RUN, "the body was not asked for in time") from error
        if monotonic() < deadline - TIMER_TOLERANCE_S:  # TCP_USER_TIMEOUT of the kernel
            raise BrokenError(
                ErrorCode.OUTCOME_UNKNOWN, "the other end stopped acknowledging data"
            ) from error
        raise TimedOutError(ErrorCode.OUTCOME_UNKNOWN, "no response before the deadline") from error
    except _CONNECTION_ERRORS as error:
        connection.http.close()
        # Other connections that were idle for as long are likely to be dead as well.
        if connection.idle_since is not None:
            drop_older_connections(pool, address, connection.idle_since)
        if _is_body_unsent(message):
            if isinstance(error, MalformedResponseError):
                raise UnsentBodyError(ErrorCode.OUTCOME_UNKNOWN, repr(error)) from error
            raise NotSentError(ErrorCode.NOT_RUN, repr(error)) from error
        raise BrokenError(ErrorCode.OUTCOME_UNKNOWN, repr(error)) from error
    except BaseException:
        connection.http.close()
        raise


def _is_body_unsent(message: Message) -> bool:
    """Return whether the other end has not got any of a body that it has to ask for."""
    body = message.body
    return message.expects_continue and isinstance(body, LongBody) and not body.consumed


def _choose_connection(
    pool: ConnectionPool, address: str, left_s: float, retryable: bool
) -> PooledConnection:
    idle = pool.idle.get(address)
    if not retryable and idle and monotonic() - idle[-1].idle_since > SAFE_IDLE_S:
        return open_connection(address, left_s)
    return acquire_connection(pool, address, left_s)


def _open_socket(connection: PooledConnection, left_s: float, timeouts: ConnectionTimeouts) -> None:
    try:
        connect(connection, min(left_s, timeouts.connect_s))
        connection.http.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeouts.unacknowledged_ms
        )
    except Exception as error:  # urllib3's errors and socket errors have no common base class
        connection.http.close()
        raise NotSentError(ErrorCode.NOT_RUN, str(error)) from error


def _send(connection: PooledConnection, message: Message, deadline: float) -> bool:
    """Send a request; return whether all of it was sent before the response arrived."""
    http_connection, body = connection.http, message.body
    _set_deadline(connection, deadline)
    http_connection.putrequest(
        message.method, message.target, skip_host=True, skip_accept_encoding=True
    )
    for name, value in message.headers:
        http_connection.putheader(name, value)
    if isinstance(body, LongBody):
        return _send_long_body(connection, message, body, deadline)
    if body is not None:
        http_connection.putheader("Content-Length", str(len(body)))
    elif message.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        http_connection.putheader("Content-Length", "0")
    with suppress(BrokenPipeError):  # the other end may respond before it reads the whole body
        http_connection.endheaders(body)
    return True


def _send_long_body(
    connection: PooledConnection, message: Message, body: LongBody, deadline: float
) -> bool:
    chunked = body.length is None
    connection.http.putheader(
        *(("Transfer-Encoding", "chunked") if chunked else _build_length_header(body))
    )
    if message.expects_continue:
        connection.http.putheader("Expect", "100-continue")
    connection.http.endheaders()
    if message.expects_continue and not connection.reader.read_continue():
        return False
    for chunk in read_chunks(body):
        if wait_readable(connection, 0):
            return False
        _set_deadline(connection, deadline)
        try:
            connection.http.send(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
        except BrokenPipeError:
            return False
    if chunked:
        connection.http.send(b"0\r\n\r\n")
    return True


def _build_length_header(body: LongBody) -> tuple[str, str]:
    return ("Content-Length", str(body.length))


def _set_deadline(connection: PooledConnection, deadline: float) -> None:
    connection.reader.source.deadline = deadline
    connection.http.sock.settimeout(max(deadline - monotonic(), MIN_TIMEOUT_S))


def _receive(
    connection: PooledConnection,
    method: str,
    deadline: float,
    match_response: Callable[[int, list[tuple[str, str]]], Match],
) -> _Response:
    """Return the response to this request, skipping complete responses to earlier requests."""
    _set_deadline(connection, deadline)
    connection.http.response_class = lambda sock, **options: _Response(connection.reader, **options)
    response = BaseConnection.getresponse(connection.http)
    is_first = connection.idle_since is None
    for _ in range(MAX_STALE_RESPONSES + 1):
        match = match_response(response.status, response.getheaders())
        if match is Match.OWN:
            return response
        if match is Match.UNNAMED and is_first:
            response.closes = True  # its copy can't be told from the response to a later request
            return response
        if response.closes:
            break
        is_first = False
        _skip_body(response)
        _set_deadline(connection, deadline)
        response = _Response(connection.reader, method=method)
        response.begin()
    raise http.client.HTTPException("the response belongs to another request")


def _skip_body(response: _Response) -> None:
    """Read the body of a response that belongs to no request.

    Raises:
        HTTPException: If it is long.
    """
    size = 0
    while chunk := response.read(READ_SIZE_BYTES):
        size += len(chunk)
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            raise http.client.HTTPException("a response that belongs to no request does not end")


def _read_reply(
    pool: ConnectionPool,
    address: str,
    connection: PooledConnection,
    response: _Response,
    deadline: float,
    fully_sent: bool,
) -> Reply:
    headers = response.getheaders()
    if any(name.lower() == "content-encoding" for name, _ in headers):
        raise http.client.HTTPException("the response has a Content-Encoding header")
    _record_idle_bound(pool, address, headers)
    chunks = _read_chunks(pool, address, connection, response, deadline, fully_sent)
    first_bytes, ended = _buffer_chunks(chunks)
    remaining_chunks = None if ended else chunks
    return Reply(response.status, response.reason or "", headers, first_bytes, remaining_chunks)


def _buffer_chunks(chunks: Iterator[bytes]) -> tuple[bytes, bool]:
    buffered: deque[bytes] = deque()
    size = 0
    for chunk in chunks:
        buffered.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            return b"".join(buffered), False
    return b"".join(buffered), True


def _read_chunks(
    pool: ConnectionPool,
    address: str,
    connection: PooledConnection,
    response: _Response,
    deadline: float,
    fully_sent: bool,
) -> Iterator[bytes]:
    complete = False
    closes = response.closes or not fully_sent
    try:
        while True:
            _set_deadline(connection, deadline)
            chunk = response.read(READ_SIZE_BYTES)
            if not chunk:
                break
            yield chunk
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        complete = True
    finally:
        if complete and not closes and not connection.reader.has_more():
            release_connection(pool, address, connection)
        else:
            connection.http.close()


def _record_idle_bound(pool: ConnectionPool, address: str, headers: list[tuple[str, str]]) -> None:
    if address in pool.bounds:
        return
    for name, value in headers:
        if name.lower() == "keep-alive" and "timeout=" in value:
            text = value.split("timeout=", 1)[1].split(",", 1)[0].strip()
            if _SECONDS.fullmatch(text):
                bound = IdleBound(MAX_IDLE_CONNECTIONS, int(text) * IDLE_TIMEOUT_SHARE)
                pool.bounds[address] = bound
