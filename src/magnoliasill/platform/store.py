"""HTTP client of the platform's key-value store: keys, watches, transactions and leases."""

from __future__ import annotations

import base64
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from time import monotonic
from typing import Any, TypeAlias
from urllib.parse import urlencode

import attrs
import msgspec
import urllib3
from urllib3.connection import HTTPConnection

from ..calls.responses import CheckedConnectionPool
from ..calls.sockets import SOCKET_OPTIONS
from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json, describe_error
from ..errors import (
    ConditionFailedError,
    HistoryLostError,
    LeaseEndedError,
    StoreError,
    StoreOutcomeUnknownError,
)
from ..mesh.positions import REVISIONS_PER_ERA, find_era, find_revision, join_position
from ..mesh.store_items import Item, Page, Transaction
from .store_era import ERA_HEADER, EraTracker

MAX_CONNECTIONS = 4  # one for a watch, and a few for short requests that run meanwhile
CONNECT_TIMEOUT_S = 1.0  # a store within the region answers in milliseconds
MAX_WATCH_WAIT_MS = 30_000  # the longest watch that the store accepts
MAX_RESPONSE_S = 10.0  # until its end, on top of the wait; thin links need a second for a page
MAX_RESPONSE_BYTES = 67_108_864  # many times the longest page; a watch may have several versions
READ_BYTES = 65_536
_OK, _NOT_FOUND, _GONE, _CONDITION_FAILED = 200, 404, 410, 412
_NOT_EXECUTED_STATUSES = frozenset({400, 403, 413, 429, 503})
_UNUSED_REVISION = REVISIONS_PER_ERA - 1  # that of no item, so that a condition on it fails


@attrs.frozen
class StoreRequest:
    """One HTTP request to the store.

    Attributes:
        method: The HTTP method.
        path: The path with its query.
        body: The content to send as JSON, or None.
        wait_s: Seconds for which the store may hold the request open, on top of the read timeout.
        read_timeout_s: The read timeout in seconds, or None for that of the client.
    """

    method: str
    path: str
    body: Any = None
    wait_s: float = 0.0
    read_timeout_s: float | None = None


@attrs.frozen
class StoreResponse:
    """The store's response to one HTTP request.

    Attributes:
        status: The HTTP status.
        fields: The decoded body.
        era: The header that tells the era of the store's data, or None if it is absent.
    """

    status: int
    fields: Any
    era: str | None = None


SendRequest: TypeAlias = Callable[[StoreRequest], StoreResponse]
LimitTime: TypeAlias = Callable[[float], AbstractContextManager]


def _leave_unlimited(seconds: float) -> AbstractContextManager:
    """Set no limit, as in a program without the event loop, which its user ends."""
    return nullcontext()


def connect_client(
    address: str,
    timeout_s: float,
    observe: Callable[[float], None] = lambda seconds: None,
    limit_time: LimitTime = _leave_unlimited,
    observe_size: Callable[[int], None] = lambda size: None,
) -> StoreClient:
    """Return a client with a connection pool, without connecting yet.

    Args:
        address: The store's `ip:port`.
        timeout_s: Read timeout in seconds; a watch adds its own wait to it.
        observe: Called with the seconds that each answered request took, except watches.
        limit_time: Returns a context that raises a `TimeoutError` after some seconds. The read
            timeout ends a silence, but no response that goes on without end.
        observe_size: Called with the bytes of each answer's body.
    """
    # SOCKET_OPTIONS detect a dead connection; without them, a watch on one would miss every
    # change until its wait is over
    options = [*HTTPConnection.default_socket_options, *SOCKET_OPTIONS]
    pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False, socket_options=options)
    pool.pool_classes_by_scheme = {"http": CheckedConnectionPool}

    def send_request(store_request: StoreRequest) -> StoreResponse:
        read_timeout_s = store_request.read_timeout_s or timeout_s
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=read_timeout_s + store_request.wait_s
        )
        data = msgspec.json.encode(store_request.body) if store_request.body is not None else None
        headers = {"Content-Type": "application/json"} if data else {}
        started = monotonic()
        try:
            with limit_time(MAX_RESPONSE_S + store_request.wait_s):
                response = pool.request(
                    store_request.method,
                    f"http://{address}{store_request.path}",
                    body=data,
                    headers=headers,
                    timeout=timeout,
                    preload_content=False,
                )
                content = _read_content(response)
        except urllib3.exceptions.NewConnectionError as error:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _build_no_response_error(store_request, str(error)) from error
        observe_size(len(content))
        if not store_request.wait_s:
            observe(monotonic() - started)
        era = response.headers.get(ERA_HEADER)
        return StoreResponse(response.status, _decode_body(response.status, content), era)

    return StoreClient(send_request)


def _build_no_response_error(store_request: StoreRequest, reason: str) -> StoreError:
    if store_request.method == "GET":
        return StoreError(ErrorCode.STORE_UNAVAILABLE, reason)
    return StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, reason)


class StoreClient:
    """Encodes requests to the store and decodes its responses.

    All revisions that it takes and returns are positions. What belongs to an earlier era than that
    of the store's data is treated as gone: a watch from there has lost its history, a condition on
    it fails, and a lease has ended.
    """

    def __init__(self, send_request: SendRequest) -> None:
        """Create a client that sends its requests through a function.

        Args:
            send_request: Sends a request and returns the response, or raises `StoreError`.
        """
        self._send_request = send_request
        self._lease_eras: dict[int, int] = {}
        self.eras = EraTracker()

    @property
    def era(self) -> int:
        """The latest era that is known of the store's data, or 0."""
        return self.eras.known

    def read_key(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key is absent.

        Raises:
            StoreError: If there was no response, or the store refused the request.
        """
        status, fields = self._read("/-/kv-key", {"key": key})
        if status == _NOT_FOUND:
            return None
        return _convert_decode_errors(lambda: _decode_item(_require_ok(status, fields), self.era))

    def read_page(self, prefix: str, after: str = "", stale: bool = False) -> Page:
        """Return one page of the items whose keys begin with a prefix.

        Args:
            prefix: The beginning of the keys.
            after: The last key of the previous page, or an empty string for the first page.
            stale: Whether the store may answer from data that is seconds old.

        Raises:
            StoreError: If there was no response, or the store refused the request.
        """
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["allow_stale"] = "1"
        status, fields = self._read("/-/kv-range", query)
        return _convert_decode_errors(
            lambda: _decode_page(_require_ok(status, fields), "items", self.era)
        )

    def watch(
        self, prefix: str, after: int, wait_s: float, read_timeout_s: float | None = None
    ) -> Page:
        """Wait for changes after a revision; return an empty page if there are none in time.

        Args:
            prefix: The beginning of the keys.
            after: The position after which changes are wanted.
            wait_s: The longest wait, in seconds.
            read_timeout_s: Seconds after that until the response counts as lost, or None for the
                client's read timeout.

        Raises:
            HistoryLostError: If the store no longer has the changes since that position.
            StoreError: If there was no response, or the store refused the request.
        """
        self._require_present_era(after)
        wait_ms = min(int(wait_s * 1000), MAX_WATCH_WAIT_MS)
        query = {"prefix": prefix, "after": find_revision(after), "wait_ms": wait_ms}
        status, fields = self._read("/-/kv-watch", query, wait_ms / 1000, read_timeout_s)
        self._require_present_era(after)
        if status == _GONE:
            raise _build_history_lost_error(after)
        return _convert_decode_errors(
            lambda: _decode_page(_require_ok(status, fields), "events", self.era)
        )

    def transact(self, transaction: Transaction) -> int:
        """Execute a transaction and return the store's revision after it.

        Raises:
            ConditionFailedError: If a condition does not hold; carries the current items.
            LeaseEndedError: If the lease of an item to write has expired or was revoked.
            StoreOutcomeUnknownError: If it may have been executed, or may still be executed later.
            StoreError: If it was not executed.
        """
        for put in transaction.puts:
            self._require_present_lease(put.lease)
        era, body = self.era, _encode_transaction(transaction, self.era)
        status, fields = self._write("POST", "/-/kv-txn", body)
        if status == _CONDITION_FAILED:
            items = _convert_decode_errors(
                lambda: tuple(
                    _decode_item(encoded, self.era) for encoded in fields.get("items", ())
                )
            )
            raise ConditionFailedError(ErrorCode.PUBLISH_CONFLICT, "a condition failed", items)
        if status == _NOT_FOUND:
            raise LeaseEndedError(ErrorCode.STORE_UNAVAILABLE, "the lease has ended")
        revision = _convert_decode_errors(lambda: int(_require_ok(status, fields)["revision"]))
        if era != self.era and _depends_on_era(transaction):
            # its conditions may have held for other items, whose revisions were given out again
            message = "the era of the store changed during the call"
            raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message)
        return _convert_decode_errors(lambda: join_position(self.era, revision))

    def grant_lease(self, ttl_s: float) -> int:
        """Request a lease and return its identifier.

        Raises:
            StoreError: If there was no response, or the store refused the request.
        """
        status, fields = self._write("POST", "/-/kv-lease", {"ttl_s_time": ttl_s})
        lease = _convert_decode_errors(lambda: int(_require_ok(status, fields)["lease"]))
        self._lease_eras[lease] = self.era
        return lease

    def renew_lease(self, lease: int) -> None:
        """Renew a lease for its full duration.

        Raises:
            LeaseEndedError: If it has expired or was revoked.
            StoreError: If there was no response, or the store refused the request.
        """
        self._require_present_lease(lease)
        status, fields = self._write("POST", f"/-/kv-keep/{lease}", None)
        self._require_present_lease(lease)
        if status == _NOT_FOUND:
            self._lease_eras.pop(lease, None)
            raise LeaseEndedError(ErrorCode.STORE_UNAVAILABLE, "the lease has ended")
        _require_ok(status, fields)

    def end_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its items; do nothing if it has already ended.

        Raises:
            StoreError: If there was no response, or the store refused the request.
        """
        era = self._lease_eras.pop(lease, self.era)
        if era < self.era:
            return  # its identifier may now be that of another one
        status, fields = self._write("DELETE", f"/-/kv-lease-end/{lease}", None)
        if status != _NOT_FOUND:
            _require_ok(status, fields)

    def _require_present_era(self, after: int) -> None:
        if find_era(after) != self.era:
            raise _build_history_lost_error(after)

    def _require_present_lease(self, lease: int) -> None:
        if self._lease_eras.get(lease, self.era) < self.era:
            del self._lease_eras[lease]
            message = "the lease is of an earlier era of the store"
            raise LeaseEndedError(ErrorCode.STORE_UNAVAILABLE, message)

    def _read(
        self,
        path: str,
        query: dict[str, Any],
        wait_s: float = 0.0,
        read_timeout_s: float | None = None,
    ) -> tuple[int, Any]:
        target = f"{path}?{urlencode(query)}"
        return self._exchange(
            StoreRequest("GET", target, wait_s=wait_s, read_timeout_s=read_timeout_s)
        )

    def _write(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        return self._exchange(StoreRequest(method, path, body))

    def _exchange(self, store_request: StoreRequest) -> tuple[int, Any]:
        era = self.era
        response = self._send_request(store_request)
        if not self.eras.observe(response.era, era):
            raise _build_no_response_error(store_request, "the answer is of an earlier era")
        return response.status, response.fields


def _read_content(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the complete body of a response.

    Raises:
        HTTPError: If it is longer than any that the store sends, or is cut short.
    """
    parts, size = [], 0
    try:
        while chunk := response.read(READ_BYTES):
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                message = f"the response is longer than {MAX_RESPONSE_BYTES} bytes"
                raise urllib3.exceptions.HTTPError(message)
    except BaseException:
        response.close()  # also if the caller was cancelled: the rest must not be read by the next
        raise
    response.release_conn()
    return b"".join(parts)


def _decode_body(status: int, content: bytes) -> Any:
    try:
        return decode_json(content) if content else {}
    except DecodingError as error:
        if status != _OK:
            return {}  # the status alone determines the outcome
        raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, str(error)) from error


def _build_history_lost_error(after: int) -> HistoryLostError:
    message = f"the store's history after position {after} is gone"
    return HistoryLostError(ErrorCode.STORE_UNAVAILABLE, message)


def _depends_on_era(transaction: Transaction) -> bool:
    conditions = any(condition.revision for condition in transaction.conditions)
    return conditions or any(put.lease for put in transaction.puts)


def _require_ok(status: int, fields: Any) -> Any:
    if status == _OK:
        return fields
    message = f"the store answered {status}"
    if status in _NOT_EXECUTED_STATUSES:
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, message)
    raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message)


def _convert_decode_errors(decode: Any) -> Any:
    try:
        return decode()
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        message = f"the store's answer can't be understood: {describe_error(error)}"
        raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message) from error


def _decode_page(fields: Any, name: str, era: int) -> Page:
    items = tuple(_decode_item(encoded, era) for encoded in fields[name])
    position = join_position(era, int(fields["store_revision"]))
    return Page(items, position, bool(fields.get("more_pages", False)))


def _decode_item(encoded: Any, era: int) -> Item:
    position = join_position(era, int(encoded["revision"]))
    if encoded.get("tombstone"):
        return Item(encoded["key"], position, None)
    value = base64.b64decode(encoded["value"], validate=True)
    return Item(encoded["key"], position, value, int(encoded.get("lease") or 0))


def _encode_transaction(transaction: Transaction, era: int) -> dict[str, Any]:
    return {
        "precondition": [
            {"key": condition.key, "revision": _encode_condition(condition.revision, era)}
            for condition in transaction.conditions
        ],
        "puts": [
            {
                "key": put.key,
                "value": base64.b64encode(put.value).decode("ascii"),
                "lease": put.lease,
            }
            for put in transaction.puts
        ],
        "remove": list(transaction.removals),
    }


def _encode_condition(position: int, era: int) -> int:
    """Return the revision for a condition; the store refuses one of an earlier era."""
    if position and find_era(position) != era:
        return _UNUSED_REVISION
    return find_revision(position)
