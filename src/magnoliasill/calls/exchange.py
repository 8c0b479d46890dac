"""Sends a call to one backend server and reads its response."""

from __future__ import annotations

import http.client
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING, TypeAlias

import attrs
import urllib3

from ..core.outcomes import OutcomeKind
from .connections import (
    acquire_connection,
    connect,
    drop_older_connections,
    open_connection,
    read_response,
    release_connection,
    send_request,
    take_older_connection,
    wait_readable,
)
from .uploads import Upload, check_sendable, iter_chunks

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from http.client import HTTPResponse

    from .call import Call
    from .connections import ConnectionPool, PooledConnection

NOT_RUN_HEADER = "X-Not-Run"
MIN_TIMEOUT_S = 0.001
MAX_BUFFERED_BYTES = 262_144  # longer responses are streamed
CHUNK_BYTES = 65_536
SILENCE_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.5
PROBE_PATH = "/healthz"
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_TRANSPORT_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


@attrs.frozen
class CallResponse:
    """An HTTP response to a call.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        headers: The headers.
        body: The complete body, or its beginning if `remaining_chunks` is set.
        remaining_chunks: Yields the rest of the body; raises an error if the body is truncated.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_chunks: Iterator[bytes] | None = None


@attrs.frozen
class ExchangeResult:
    """The result of sending a call to one backend server.

    Attributes:
        kind: How it ended.
        response: The response, or None if there is none.
        problem: Error message, or an empty string.
    """

    kind: OutcomeKind
    response: CallResponse | None = None
    problem: str = ""


ExchangeFunction: TypeAlias = "Callable[[ConnectionPool, str, Call, float], ExchangeResult]"


def exchange_call(
    pool: ConnectionPool, address: str, call: Call, timeout_s: float
) -> ExchangeResult:
    """Send a call to one backend server and read its response.

    Args:
        pool: The connection pool.
        address: The backend server's `ip:port`.
        call: The call.
        timeout_s: Seconds to wait for the response; the timeout of each read and write.

    Returns:
        How it ended. A buffered response is always complete, never truncated.
    """
    if not isinstance(call.body, Upload):
        return _exchange(pool, address, call, timeout_s)
    check_sendable(call.body)
    result = _exchange(pool, address, call, timeout_s)
    call.body.outcome = result.kind
    return result


def _exchange(pool: ConnectionPool, address: str, call: Call, timeout_s: float) -> ExchangeResult:
    timeout_s = max(timeout_s, MIN_TIMEOUT_S)
    connection = acquire_connection(pool, address, timeout_s, call.new_connection)
    sent_at = monotonic()
    try:
        connect(connection, timeout_s)
        _send(connection, call)
        if connection.idle_since is not None:
            if _is_silent(pool, address, connection, sent_at, timeout_s):
                return _discard_connection(
                    pool, address, connection, OutcomeKind.BROKEN, "silent connection"
                )
            connection.http.sock.settimeout(max(sent_at + timeout_s - monotonic(), MIN_TIMEOUT_S))
        response = read_response(connection)
        call_response = _read_call_response(pool, address, connection, response)
    except _CONNECT_ERRORS as error:
        return ExchangeResult(OutcomeKind.UNREACHABLE, problem=str(error))
    except (urllib3.exceptions.TimeoutError, TimeoutError) as error:
        return _discard_connection(pool, address, connection, OutcomeKind.TIMED_OUT, str(error))
    except _TRANSPORT_ERRORS as error:
        return _discard_connection(pool, address, connection, OutcomeKind.BROKEN, str(error))
    except BaseException:
        connection.http.close()
        raise
    return ExchangeResult(_classify(call_response), call_response)


def _send(connection: PooledConnection, call: Call) -> None:
    if not isinstance(call.body, Upload):
        send_request(connection, call.method, call.target, call.headers, call.body)
        return
    headers = {**call.headers, "Content-Length": str(call.body.length)}
    with suppress(BrokenPipeError):  # the server may answer before it has read the whole body
        send_request(connection, call.method, call.target, headers, iter_chunks(call.body))


def _discard_connection(
    pool: ConnectionPool,
    address: str,
    connection: PooledConnection,
    kind: OutcomeKind,
    problem: str,
) -> ExchangeResult:
    connection.http.close()
    drop_older_connections(pool, address, monotonic())
    return ExchangeResult(kind, problem=problem)


def _read_call_response(
    pool: ConnectionPool, address: str, connection: PooledConnection, response: HTTPResponse
) -> CallResponse:
    if response.length is None and not response.chunked:
        raise http.client.HTTPException("the response has neither a length nor chunked encoding")
    headers = response.getheaders()
    if not response.chunked and response.length <= MAX_BUFFERED_BYTES:
        body = response.read()
        if _is_refusal(headers):  # nothing tells its copy from the response to a later request
            connection.http.close()
        else:
            release_connection(pool, address, connection)
        return CallResponse(response.status, response.reason or "", headers, body)
    chunks = _iter_chunks(pool, address, connection, response)
    first, ended = _read_buffered(chunks)
    remaining = None if ended else chunks
    return CallResponse(response.status, response.reason or "", headers, first, remaining)


def _read_buffered(chunks: Iterator[bytes]) -> tuple[bytes, bool]:
    buffered: list[bytes] = []
    size = 0
    for chunk in chunks:
        buffered.append(chunk)
        size += len(chunk)
        if size >= MAX_BUFFERED_BYTES:
            return b"".join(buffered), False
    return b"".join(buffered), True


def _iter_chunks(
    pool: ConnectionPool, address: str, connection: PooledConnection, response: HTTPResponse
) -> Iterator[bytes]:
    reusable = False
    try:
        while chunk := response.read(CHUNK_BYTES):
            yield chunk
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        reusable = not _is_refusal(response.getheaders())
    finally:
        if reusable:
            release_connection(pool, address, connection)
        else:
            connection.http.close()


def _is_silent(
    pool: ConnectionPool,
    address: str,
    connection: PooledConnection,
    sent_at: float,
    timeout_s: float,
) -> bool:
    """Return whether a connection is dead without having been closed, rather than just slow.

    Middleboxes such as firewalls and load balancers may drop their state of open connections. The
    backend server then answers a probe only on a new connection, while a slow server answers on
    every connection.
    """
    if timeout_s <= SILENCE_TIMEOUT_S or wait_readable(connection, SILENCE_TIMEOUT_S):
        return False
    older = take_older_connection(pool, address, sent_at)
    if older is None or _probe(older):
        if older is not None:
            release_connection(pool, address, older)
        return False
    older.http.close()
    return probe_server(address) and not wait_readable(connection, MIN_TIMEOUT_S)


def probe_server(address: str) -> bool:
    """Return whether a backend server answers a health check on a new connection."""
    connection = open_connection(address, PROBE_TIMEOUT_S)
    answered = _probe(connection)
    connection.http.close()
    return answered


def _probe(connection: PooledConnection) -> bool:
    connection.http.timeout = PROBE_TIMEOUT_S
    if connection.http.sock is not None:
        connection.http.sock.settimeout(PROBE_TIMEOUT_S)
    try:
        send_request(connection, "GET", PROBE_PATH, {}, None)
        read_response(connection).read()
    except _TRANSPORT_ERRORS:
        return False
    return True


def _is_refusal(headers: list[tuple[str, str]]) -> bool:
    return any(name.lower() == NOT_RUN_HEADER.lower() for name, _ in headers)


def _classify(response: CallResponse) -> OutcomeKind:
    if _is_refusal(response.headers):
        return OutcomeKind.SHED
    return OutcomeKind.FAILED if response.status >= 500 else OutcomeKind.SUCCEEDED
