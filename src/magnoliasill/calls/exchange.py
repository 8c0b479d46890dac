"""One exchange: sends a call to one backend server and reads its answer."""

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
from .uploads import Upload, check_sendable, read_pieces

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from http.client import HTTPResponse

    from .call import Call
    from .connections import ConnectionPool, PooledConnection

NOT_RUN_HEADER = "X-Not-Run"
MIN_TIMEOUT_S = 0.001
MAX_WHOLE_BYTES = 262_144  # a longer answer is passed on in pieces
PIECE_BYTES = 65_536
SILENT_AFTER_S = 1.0
PROBE_TIMEOUT_S = 0.5
PROBE_PATH = "/healthz"
_NO_CONNECTION = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_BREAKS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


@attrs.frozen
class CallResponse:
    """An answer of a backend server.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        headers: The headers.
        body: The whole body, or its first piece where `remaining_chunks` follows.
        remaining_chunks: The further pieces; it raises an error where the body breaks off.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    remaining_chunks: Iterator[bytes] | None = None


@attrs.frozen
class Exchange:
    """The end of one exchange.

    Attributes:
        kind: How it ended.
        answer: The answer, or None where there is none.
        problem: What went wrong, for a person.
    """

    kind: OutcomeKind
    answer: CallResponse | None = None
    problem: str = ""


ExchangeFunction: TypeAlias = "Callable[[ConnectionTable, str, Call, float], Exchange]"


def exchange_call(
    connections: ConnectionPool, address: str, call: Call, timeout_s: float
) -> Exchange:
    """Send a call to one backend server.

    Args:
        connections: The idle connections.
        address: The backend server's `ip:port`.
        call: The call.
        timeout_s: Seconds within which the answer has to be whole.

    Returns:
        How it ended; never an answer that was cut short.
    """
    if not isinstance(call.body, Upload):
        return _exchange(connections, address, call, timeout_s)
    check_sendable(call.body)
    result = _exchange(connections, address, call, timeout_s)
    call.body.ended = result.kind
    return result


def _exchange(connections: ConnectionPool, address: str, call: Call, timeout_s: float) -> Exchange:
    timeout_s = max(timeout_s, MIN_TIMEOUT_S)
    link = acquire_connection(connections, address, timeout_s, call.fresh)
    sent_at = monotonic()
    try:
        connect(link, timeout_s)
        _send(link, call)
        if link.idle_since is not None:
            if _is_silent(connections, address, link, sent_at, timeout_s):
                return _break(connections, address, link, OutcomeKind.BROKEN, "silent connection")
            link.http.sock.settimeout(max(sent_at + timeout_s - monotonic(), MIN_TIMEOUT_S))
        response = read_response(link)
        answer = _read_answer(connections, address, link, response)
    except _NO_CONNECTION as error:
        return Exchange(OutcomeKind.UNREACHABLE, problem=str(error))
    except (urllib3.exceptions.TimeoutError, TimeoutError) as error:
        return _break(connections, address, link, OutcomeKind.TIMED_OUT, str(error))
    except _BREAKS as error:
        return _break(connections, address, link, OutcomeKind.BROKEN, str(error))
    except BaseException:
        link.http.close()
        raise
    return Exchange(_classify(answer), answer)


def _send(link: PooledConnection, call: Call) -> None:
    if not isinstance(call.body, Upload):
        send_request(link, call.method, call.target, call.headers, call.body)
        return
    headers = {**call.headers, "Content-Length": str(call.body.length)}
    with suppress(BrokenPipeError):  # the server may answer before it has read the whole body
        send_request(link, call.method, call.target, headers, read_pieces(call.body))


def _break(
    connections: ConnectionPool,
    address: str,
    link: PooledConnection,
    kind: OutcomeKind,
    problem: str,
) -> Exchange:
    link.http.close()
    drop_older_connections(connections, address, monotonic())
    return Exchange(kind, problem=problem)


def _read_answer(
    connections: ConnectionPool, address: str, link: PooledConnection, response: HTTPResponse
) -> CallResponse:
    if response.length is None and not response.chunked:
        raise http.client.HTTPException("the answer does not tell where it ends")
    headers = response.getheaders()
    if sum(name.lower() == "content-length" for name, _ in headers) > 1:
        raise http.client.HTTPException("the answer has more than one length")
    if not response.chunked and response.length <= MAX_WHOLE_BYTES:
        body = response.read()
        release_connection(connections, address, link)
        return CallResponse(response.status, response.reason or "", headers, body)
    pieces = _read_pieces(connections, address, link, response)
    first, ended = _gather(pieces)
    rest = None if ended else pieces
    return CallResponse(response.status, response.reason or "", headers, first, rest)


def _gather(pieces: Iterator[bytes]) -> tuple[bytes, bool]:
    gathered: list[bytes] = []
    size = 0
    for piece in pieces:
        gathered.append(piece)
        size += len(piece)
        if size >= MAX_WHOLE_BYTES:
            return b"".join(gathered), False
    return b"".join(gathered), True


def _read_pieces(
    connections: ConnectionPool, address: str, link: PooledConnection, response: HTTPResponse
) -> Iterator[bytes]:
    whole = False
    try:
        while piece := response.read(PIECE_BYTES):
            yield piece
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)
        whole = True
    finally:
        if whole:
            release_connection(connections, address, link)
        else:
            link.http.close()


def _is_silent(
    connections: ConnectionPool,
    address: str,
    link: PooledConnection,
    sent_at: float,
    timeout_s: float,
) -> bool:
    """Tell a connection that something between the ends forgot from a slow answer.

    A slow backend server answers a probe on every connection; one behind a box that lost track
    of the open connections answers on a new connection only.
    """
    if timeout_s <= SILENT_AFTER_S or wait_readable(link, SILENT_AFTER_S):
        return False
    older = take_older_connection(connections, address, sent_at)
    if older is None or _probe(older):
        if older is not None:
            release_connection(connections, address, older)
        return False
    older.http.close()
    return probe_server(address) and not wait_readable(link, MIN_TIMEOUT_S)


def probe_server(address: str) -> bool:
    """Return whether a backend server answers on a new connection."""
    link = open_connection(address, PROBE_TIMEOUT_S)
    answered = _probe(link)
    link.http.close()
    return answered


def _probe(link: PooledConnection) -> bool:
    link.http.timeout = PROBE_TIMEOUT_S
    if link.http.sock is not None:
        link.http.sock.settimeout(PROBE_TIMEOUT_S)
    try:
        send_request(link, "GET", PROBE_PATH, {}, None)
        read_response(link).read()
    except _BREAKS:
        return False
    return True


def _classify(answer: CallResponse) -> OutcomeKind:
    if any(name.lower() == NOT_RUN_HEADER.lower() for name, _ in answer.headers):
        return OutcomeKind.SHED
    return OutcomeKind.FAILED if answer.status >= 500 else OutcomeKind.SUCCEEDED
