"""The client of the platform's store, over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import msgspec
import urllib3

from .actions import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    StoreAction,
    StoreDelete,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from .codes import ErrorCode
from .errors import StoreError, StoreOutcomeUnknownError
from .events import StoreAnswered

StoreFunction: TypeAlias = Callable[[StoreAction], StoreAnswered]

STORE_PATHS: dict[type, str] = {
    StoreRead: "/v1/read",
    StoreWatch: "/v1/watch",
    StoreWrite: "/v1/write",
    StoreDelete: "/v1/delete",
    LeaseGrant: "/v1/lease/grant",
    LeaseKeepAlive: "/v1/lease/keep",
    LeaseRevoke: "/v1/lease/revoke",
}
_CONNECTIONS = 8
_READ_ONLY = (StoreRead, StoreWatch)
_STATUS_OK = 200


def connect_store(url: str, timeout_s: float) -> StoreFunction:
    """Return a function that performs one request and waits for its answer.

    Args:
        url: The store's address, `http://ip:port`.
        timeout_s: Seconds to wait for an answer; a watch waits longer by its own time.

    Returns:
        A function that raises `StoreError` where a request certainly had no effect and
        `StoreOutcomeUnknownError` where a write may have had one.
    """
    pool = urllib3.PoolManager(maxsize=_CONNECTIONS, retries=False)

    def perform(action: StoreAction) -> StoreAnswered:
        wait_s = action.wait_ms / 1000 if isinstance(action, StoreWatch) else 0.0
        timeout = urllib3.Timeout(connect=timeout_s, read=timeout_s + wait_s)
        body = msgspec.json.encode(action)
        target = url + STORE_PATHS[type(action)]
        try:
            response = pool.request("POST", target, body=body, timeout=timeout)
        except urllib3.exceptions.NewConnectionError as error:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _classify_failure(action, str(error)) from error
        if response.status != _STATUS_OK:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, f"status {response.status}")
        try:
            return msgspec.json.decode(response.data, type=StoreAnswered)
        except msgspec.MsgspecError as error:
            raise _classify_failure(action, str(error)) from error

    return perform


def _classify_failure(action: StoreAction, reason: str) -> StoreError:
    if isinstance(action, _READ_ONLY):
        return StoreError(ErrorCode.STORE_UNAVAILABLE, reason)
    return StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, reason)
