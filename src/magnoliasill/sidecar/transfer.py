"""One request over one connection: sends it whole, and tells how far it got."""

from __future__ import annotations

import http.client
import io
import socket
from collections import deque
from contextlib import suppress
from http.client import HTTPConnection as BaseConnection
from http.client import HTTPResponse
from time import monotonic
from typing import TYPE_CHECKING, Any

import attrs
from eventlet.hubs import trampoline

from ..balancing.idle_bounds import IdleBound
from ..calls.connections import (
    ConnectionPool,
    PooledConnection,
    acquire_connection,
    connect,
    drop_older_connections,
    open_connection,
    release_connection,
    wait_readable,
)
from ..codes import ErrorCode
from ..errors import MagnoliasillError
from .bodies import LongBody, read_pieces

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

WHOLE_BYTES = 262_144  # a longer answer is passed on in pieces
PIECE_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
EARLY_S = 0.02  # a timer of ours never fires so much early
SURE_IDLE_S = 1.0  # a connection used within this is still open at the other end
MAX_IDLE_CONNECTIONS = 64
KEPT_SHARE = 0.7  # of the time after which the other end closes an idle connection
MAX_STRAY_ANSWERS = 2
_BREAKS = (http.client.HTTPException, OSError, ValueError)


class NotSentError(MagnoliasillError):
    """The request certainly did not reach the other end."""


class BrokenError(MagnoliasillError):
    """The request may have reached the other end, and there is no whole answer."""


class TimedOutError(BrokenError):
    """There was no answer in time."""


@attrs.frozen
class Message:
    """A request as it is sent.

    Attributes:
        method: The HTTP method.
        target: Path and query, as the caller wrote them.
        headers: The headers, in order.
        body: The body, or None.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | LongBody | None


@attrs.frozen
class Reply:
    """An answer.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        headers: The headers, in order.
        body: The whole body, or its first piece where `rest` follows.
        rest: Yields the further pieces; raises `BrokenError` where the body breaks off.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    rest: Iterator[bytes] | None = None


class _Source(io.RawIOBase):
    """Reads from a socket, or not at all while it is paused.

    The library's green sockets read a reset as the end of the stream, which would let an answer
    without a length look whole.
    """

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.paused = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.paused:
            return None
        while True:
            try:
                return self.sock.fd.recv_into(buffer)
            except BlockingIOError:
                timeout_s = self.sock.gettimeout()
                trampoline(self.sock, read=True, timeout=timeout_s, timeout_exc=TimeoutError)


class _Reader:
    """Gives each response of a connection the same buffer, so that no bytes are lost between."""

    def __init__(self, sock: Any) -> None:
        self.source = _Source(sock)
        self.buffer = io.BufferedReader(self.source, PIECE_BYTES)

    def makefile(self, mode: str) -> Any:
        return _Unclosed(self.buffer)

    def has_more(self) -> bool:
        """Return whether bytes follow that belong to no answer that was read."""
        self.source.paused = True
        try:
            return bool(self.buffer.peek(1))
        finally:
            self.source.paused = False


class _Response(HTTPResponse):
    """A response that leaves it to us when its connection is closed.

    Attributes:
        closes: Whether the connection ends with it.
    """

    closes = False

    def begin(self) -> None:
        """Read the head; the library would close the connection before the body is read."""
        super().begin()
        self.closes, self.will_close = self.will_close, False


class _Unclosed:
    """The buffer for one response, which must not close it."""

    def __init__(self, buffer: io.BufferedReader) -> None:
        self._buffer = buffer

    def __getattr__(self, name: str) -> Any:
        return getattr(self._buffer, name)

    def close(self) -> None:
        """Leave the buffer open for the next response."""

    def flush(self) -> None:
        """Nothing is written to it."""


@attrs.frozen
class Patience:
    """How soon a connection that is silent counts as dead.

    Attributes:
        connect_s: Until a new connection is established.
        unacknowledged_ms: Until bytes that were sent are acknowledged.
    """

    connect_s: float
    unacknowledged_ms: int


WITHIN_VM = Patience(1.0, 2_000)
BETWEEN_VMS = Patience(0.25, 700)  # many round trips; a packet lost once is sent again in time


def exchange(
    table: ConnectionPool,
    address: str,
    message: Message,
    deadline: float,
    repeatable: bool,
    belongs: Callable[[int, list[tuple[str, str]]], bool] = lambda status, headers: True,
    patience: Patience = WITHIN_VM,
) -> Reply:
    """Send a request and read its answer.

    Args:
        table: The idle connections.
        address: The other end's `ip:port`.
        message: The request.
        deadline: Seconds on the monotonic clock after which nobody waits.
        repeatable: Whether it may be sent on a connection that the other end may have closed.
        belongs: Tells by status and headers whether an answer is that of this request.
        patience: How soon a silent connection counts as dead.

    Raises:
        NotSentError: If it was certainly not sent.
        TimedOutError: If there was no answer in time.
        BrokenError: If the answer is missing, cut short or not that of this request.
    """
    left_s = max(deadline - monotonic(), MIN_TIMEOUT_S)
    link = _take(table, address, left_s, repeatable)
    if link.http.sock is None:
        _connect(link, left_s, patience)
    if link.reader is None:
        link.reader = _Reader(link.http.sock)
    try:
        whole = _send(link, message, deadline)
        response = _receive(link, message.method, deadline, belongs)
        return _read_reply(table, address, link, response, deadline, whole)
    except TimeoutError as error:
        link.http.close()
        if monotonic() < deadline - EARLY_S:  # the system gave the connection up, not we
            raise BrokenError(ErrorCode.OUTCOME_UNKNOWN, "the connection is silent") from error
        raise TimedOutError(ErrorCode.OUTCOME_UNKNOWN, "no answer in time") from error
    except _BREAKS as error:
        link.http.close()
        if link.idle_since is not None:  # its neighbours are likely to be as old and as dead
            drop_older_connections(table, address, link.idle_since)
        raise BrokenError(ErrorCode.OUTCOME_UNKNOWN, repr(error)) from error
    except BaseException:
        link.http.close()
        raise


def _take(table: ConnectionPool, address: str, left_s: float, repeatable: bool) -> PooledConnection:
    idle = table.idle.get(address)
    if not repeatable and idle and monotonic() - idle[-1].idle_since > SURE_IDLE_S:
        return open_connection(address, left_s)
    return acquire_connection(table, address, left_s)


def _connect(link: PooledConnection, left_s: float, patience: Patience) -> None:
    try:
        connect(link, min(left_s, patience.connect_s))
        link.http.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, patience.unacknowledged_ms
        )
    except Exception as error:  # the library's errors and those of the socket have no common base
        link.http.close()
        raise NotSentError(ErrorCode.NOT_RUN, str(error)) from error


def _send(link: PooledConnection, message: Message, deadline: float) -> bool:
    """Send a request; returns whether all of it was sent before an answer came."""
    http_link, body = link.http, message.body
    _limit(link, deadline)
    http_link.putrequest(message.method, message.target, skip_host=True, skip_accept_encoding=True)
    for name, value in message.headers:
        http_link.putheader(name, value)
    if isinstance(body, LongBody):
        return _send_long(link, body, deadline)
    if body is not None:
        http_link.putheader("Content-Length", str(len(body)))
    elif message.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        http_link.putheader("Content-Length", "0")
    with suppress(BrokenPipeError):  # the answer may have come before the body was read
        http_link.endheaders(body)
    return True


def _send_long(link: PooledConnection, body: LongBody, deadline: float) -> bool:
    chunked = body.length is None
    link.http.putheader(*(("Transfer-Encoding", "chunked") if chunked else _length(body)))
    link.http.endheaders()
    for piece in read_pieces(body):
        if wait_readable(link, 0):
            return False
        _limit(link, deadline)
        try:
            link.http.send(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
        except BrokenPipeError:
            return False
    if chunked:
        link.http.send(b"0\r\n\r\n")
    return True


def _length(body: LongBody) -> tuple[str, str]:
    return ("Content-Length", str(body.length))


def _limit(link: PooledConnection, deadline: float) -> None:
    link.http.sock.settimeout(max(deadline - monotonic(), MIN_TIMEOUT_S))


def _receive(
    link: PooledConnection,
    method: str,
    deadline: float,
    belongs: Callable[[int, list[tuple[str, str]]], bool],
) -> _Response:
    """Return the response to this request; passes over whole answers to earlier ones."""
    _limit(link, deadline)
    link.http.response_class = lambda sock, **options: _Response(link.reader, **options)
    response = BaseConnection.getresponse(link.http)
    for _ in range(MAX_STRAY_ANSWERS):
        if belongs(response.status, response.getheaders()):
            return response
        if response.closes:
            break
        response.read()
        _limit(link, deadline)
        response = _Response(link.reader, method=method)
        response.begin()
    if belongs(response.status, response.getheaders()):
        return response
    raise http.client.HTTPException("the answer is not that of this request")


def _read_reply(
    table: ConnectionPool,
    address: str,
    link: PooledConnection,
    response: _Response,
    deadline: float,
    whole: bool,
) -> Reply:
    headers = response.getheaders()
    names = [name.lower() for name, _ in headers]
    if names.count("content-length") > 1 or "content-encoding" in names:
        raise http.client.HTTPException("the answer's framing is not that of a backend server")
    _note_idle_bound(table, address, headers)
    pieces = _read_pieces(table, address, link, response, deadline, whole)
    first, ended = _gather(pieces)
    rest = None if ended else pieces
    return Reply(response.status, response.reason or "", headers, first, rest)


def _gather(pieces: Iterator[bytes]) -> tuple[bytes, bool]:
    gathered: deque[bytes] = deque()
    size = 0
    for piece in pieces:
        gathered.append(piece)
        size += len(piece)
        if size > WHOLE_BYTES:
            return b"".join(gathered), False
    return b"".join(gathered), True


def _read_pieces(
    table: ConnectionPool,
    address: str,
    link: PooledConnection,
    response: _Response,
    deadline: float,
    whole: bool,
) -> Iterator[bytes]:
    done = False
    closes = response.closes or not whole
    try:
        while True:
            _limit(link, deadline)
            piece = response.read(PIECE_BYTES)
            if not piece:
                break
            yield piece
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        done = True
    finally:
        if done and not closes and not link.reader.has_more():
            release_connection(table, address, link)
        else:
            link.http.close()


def _note_idle_bound(table: ConnectionPool, address: str, headers: list[tuple[str, str]]) -> None:
    if address in table.bounds:
        return
    for name, value in headers:
        if name.lower() == "keep-alive" and "timeout=" in value:
            text = value.split("timeout=", 1)[1].split(",", 1)[0].strip()
            if text.isdecimal():
                bound = IdleBound(MAX_IDLE_CONNECTIONS, int(text) * KEPT_SHARE)
                table.bounds[address] = bound
