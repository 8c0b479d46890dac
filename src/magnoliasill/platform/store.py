"""The client of the platform's store: its paths, bodies and statuses."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from time import monotonic
from typing import Any, TypeAlias
from urllib.parse import urlencode

import attrs
import msgspec
import urllib3
from urllib3.connection import HTTPConnection

from ..calls.sockets import SOCKET_OPTIONS
from ..codes import ErrorCode
from ..errors import (
    ConditionFailedError,
    HistoryLostError,
    LeaseEndedError,
    StoreError,
    StoreOutcomeUnknownError,
)
from ..mesh.items import Item, Page, Transaction

CONNECTIONS = 4  # a watch, and a few short requests beside it
CONNECT_TIMEOUT_S = 1.0  # a store within the region answers in milliseconds
MAX_WAIT_MS = 30_000  # the longest watch that the store allows
_OK, _NOT_FOUND, _GONE, _CONDITION_FAILED = 200, 404, 410, 412
_NOTHING_DONE = frozenset({400, 403, 413, 429, 503})


@attrs.frozen
class StoreRequest:
    """One call of the store.

    Attributes:
        method: The HTTP method.
        path: The path with its query.
        body: What is sent as JSON, or None.
        wait_s: Seconds that the store itself may wait before it answers.
    """

    method: str
    path: str
    body: Any = None
    wait_s: float = 0.0


Ask: TypeAlias = Callable[[StoreRequest], tuple[int, Any]]


def connect_client(
    address: str, timeout_s: float, observe: Callable[[float], None] = lambda seconds: None
) -> StoreClient:
    """Return a client that keeps its connections; nothing is sent yet.

    Args:
        address: The store's `ip:port`.
        timeout_s: Seconds to wait for an answer; a watch waits longer by its own time.
        observe: Is told the seconds of each call that was answered, watches left out.
    """
    # a watch on a connection that went silent would miss every change until its time is over
    options = [*HTTPConnection.default_socket_options, *SOCKET_OPTIONS]
    pool = urllib3.PoolManager(maxsize=CONNECTIONS, retries=False, socket_options=options)

    def ask(call: StoreRequest) -> tuple[int, Any]:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s + call.wait_s)
        data = msgspec.json.encode(call.body) if call.body is not None else None
        headers = {"Content-Type": "application/json"} if data else {}
        started = monotonic()
        try:
            response = pool.request(
                call.method,
                f"http://{address}{call.path}",
                body=data,
                headers=headers,
                timeout=timeout,
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _classify_silence(call, str(error)) from error
        if not call.wait_s:
            observe(monotonic() - started)
        return response.status, _decode_body(response)

    return StoreClient(ask)


def _classify_silence(call: StoreRequest, reason: str) -> StoreError:
    if call.method == "GET":
        return StoreError(ErrorCode.STORE_UNAVAILABLE, reason)
    return StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, reason)


class StoreClient:
    """Requests to the store."""

    def __init__(self, ask: Ask) -> None:
        """Take the function that carries a call to the store.

        Args:
            ask: Returns the status and the decoded body, or raises `StoreError`.
        """
        self._ask = ask

    def read_key(self, key: str) -> Item | None:
        """Return one item, or None if there is none.

        Raises:
            StoreError: If there was no answer.
        """
        status, fields = self._get("/-/kv-key", {"key": key})
        if status == _NOT_FOUND:
            return None
        return _guard(lambda: _decode_item(_expect(status, fields)))

    def read_page(self, prefix: str, after: str = "", stale: bool = False) -> Page:
        """Return the items whose keys begin with a prefix, a page at a time.

        Args:
            prefix: The beginning of the keys.
            after: The last key of the page before.
            stale: Whether an answer that is seconds old will do.

        Raises:
            StoreError: If there was no answer.
        """
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        if stale:
            query["allow_stale"] = "1"
        status, fields = self._get("/-/kv-range", query)
        return _guard(lambda: _decode_page(_expect(status, fields), "items"))

    def watch(self, prefix: str, after: int, wait_s: float) -> Page:
        """Wait for changes after a revision; returns an empty page if there were none in time.

        Args:
            prefix: The beginning of the keys.
            after: The revision.
            wait_s: The longest wait, in seconds.

        Raises:
            HistoryLostError: If the store no longer knows what changed.
            StoreError: If there was no answer.
        """
        wait_ms = min(int(wait_s * 1000), MAX_WAIT_MS)
        query = {"prefix": prefix, "after": after, "wait_ms": wait_ms}
        status, fields = self._get("/-/kv-watch", query, wait_ms / 1000)
        if status == _GONE:
            message = f"the store's history after revision {after} is gone"
            raise HistoryLostError(ErrorCode.STORE_UNAVAILABLE, message)
        return _guard(lambda: _decode_page(_expect(status, fields), "events"))

    def transact(self, transaction: Transaction) -> int:
        """Carry out a transaction; returns the store's revision after it.

        Raises:
            ConditionFailedError: If a condition does not hold; it holds the items as they are.
            LeaseEndedError: If a lease of an item to write has ended.
            StoreOutcomeUnknownError: If it may have been carried out, or may be later.
            StoreError: If it was not.
        """
        status, fields = self._send("POST", "/-/kv-txn", _encode_transaction(transaction))
        if status == _CONDITION_FAILED:
            items = _guard(lambda: tuple(_decode_item(row) for row in fields.get("items", ())))
            raise ConditionFailedError(ErrorCode.PUBLISH_CONFLICT, "a condition failed", items)
        if status == _NOT_FOUND:
            raise LeaseEndedError(ErrorCode.STORE_UNAVAILABLE, "the lease has ended")
        return _guard(lambda: int(_expect(status, fields)["revision"]))

    def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease.

        Raises:
            StoreError: If there was no answer.
        """
        status, fields = self._send("POST", "/-/kv-lease", {"ttl_s_time": ttl_s})
        return _guard(lambda: int(_expect(status, fields)["lease"]))

    def renew_lease(self, lease: int) -> None:
        """Let a lease run anew.

        Raises:
            LeaseEndedError: If it has ended.
            StoreError: If there was no answer.
        """
        status, fields = self._send("POST", f"/-/kv-keep/{lease}", None)
        if status == _NOT_FOUND:
            raise LeaseEndedError(ErrorCode.STORE_UNAVAILABLE, "the lease has ended")
        _expect(status, fields)

    def end_lease(self, lease: int) -> None:
        """End a lease and so remove its items; one that has ended already is left alone.

        Raises:
            StoreError: If there was no answer, or the store refused the call.
        """
        status, fields = self._send("DELETE", f"/-/kv-lease-end/{lease}", None)
        if status != _NOT_FOUND:
            _expect(status, fields)

    def _get(self, path: str, query: dict[str, Any], wait_s: float = 0.0) -> tuple[int, Any]:
        return self._ask(StoreRequest("GET", f"{path}?{urlencode(query)}", wait_s=wait_s))

    def _send(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        return self._ask(StoreRequest(method, path, body))


def _decode_body(response: Any) -> Any:
    if response.status != _OK and not response.data:
        return {}
    try:
        return msgspec.json.decode(response.data) if response.data else {}
    except msgspec.MsgspecError as error:
        if response.status != _OK:
            return {}  # the status says all that counts
        raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, str(error)) from error


def _expect(status: int, fields: Any) -> Any:
    if status == _OK:
        return fields
    message = f"the store answered {status}"
    if status in _NOTHING_DONE:
        raise StoreError(ErrorCode.STORE_UNAVAILABLE, message)
    raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message)


def _guard(decode: Any) -> Any:
    try:
        return decode()
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as error:
        message = f"the store's answer can't be understood: {error!r}"
        raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, message) from error


def _decode_page(fields: Any, name: str) -> Page:
    items = tuple(_decode_item(row) for row in fields[name])
    return Page(items, int(fields["store_revision"]), bool(fields.get("more_pages", False)))


def _decode_item(row: Any) -> Item:
    if row.get("tombstone"):
        return Item(row["key"], int(row["revision"]), None)
    value = base64.b64decode(row["value"], validate=True)
    return Item(row["key"], int(row["revision"]), value, int(row.get("lease") or 0))


def _encode_transaction(transaction: Transaction) -> dict[str, Any]:
    return {
        "precondition": [
            {"key": condition.key, "revision": condition.revision}
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
