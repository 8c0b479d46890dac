"""Synchronous access to the platform's store: runs one store action and returns its result."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import takewhile
from typing import TYPE_CHECKING, TypeAlias

from .core.actions import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    StoreAction,
    StoreDelete,
    StoreRead,
    StoreWatch,
    StoreWrite,
)
from .core.events import StoreAnswered, StoreEntry
from .errors import ConditionFailedError, HistoryLostError, LeaseEndedError
from .mesh.store_items import Condition, Put, Transaction
from .platform.store import connect_client

if TYPE_CHECKING:
    from .mesh.store_items import Item
    from .platform.store import LimitTime, StoreClient

PAGED_READ_MIN_KEYS = 3  # from this many keys on, reading pages takes fewer calls than one per key
StoreFunction: TypeAlias = Callable[[StoreAction], StoreAnswered]


def connect_store(url: str, timeout_s: float, limit_time: LimitTime | None = None) -> StoreFunction:
    """Return a function that performs one store request and waits for its response.

    Args:
        url: The store's address, `http://ip:port`.
        timeout_s: Seconds to wait for a response; a watch adds its own wait time to this.
        limit_time: Limits the time of a whole response, or None in programs without the event loop.

    Returns:
        A function that raises `StoreError` if a request is known to have had no effect and
        `StoreOutcomeUnknownError` if a write may have taken effect.
    """
    options = {} if limit_time is None else {"limit_time": limit_time}
    return build_store_function(connect_client(url.removeprefix("http://"), timeout_s, **options))


def build_store_function(client: StoreClient) -> StoreFunction:
    """Return a function that performs one store request with a client.

    Args:
        client: The client of the platform's store.
    """

    def execute(action: StoreAction) -> StoreAnswered:
        match action:
            case StoreRead():
                return _read(client, action)
            case StoreWatch():
                return _watch(client, action)
            case StoreWrite():
                return _write(client, action)
            case StoreDelete():
                return _delete(client, action)
            case LeaseGrant(purpose=purpose, ttl_ms=ttl_ms):
                return StoreAnswered(purpose, lease=str(client.grant_lease(ttl_ms / 1000)))
            case LeaseKeepAlive():
                return _renew(client, action)
            case LeaseRevoke(purpose=purpose, lease=lease):
                client.end_lease(int(lease))
                return StoreAnswered(purpose, lease=lease)
        raise TypeError(type(action).__name__)

    return execute


def _read(client: StoreClient, action: StoreRead) -> StoreAnswered:
    keys = action.keys
    if len(keys) >= PAGED_READ_MIN_KEYS:
        prefix = _find_common_prefix(min(keys), max(keys))
        items_by_key = {item.key: item for item in _read_pages(client, prefix, max(keys))}
        entries = [_build_entry(key, items_by_key.get(key)) for key in keys]
    else:
        entries = [_build_entry(key, client.read_key(key)) for key in keys]
    if action.prefix:
        entries += [_build_entry(item.key, item) for item in _read_pages(client, action.prefix)]
    return StoreAnswered(action.purpose, entries=tuple(entries))


def _find_common_prefix(first: str, last: str) -> str:
    pairs = zip(first, last, strict=False)
    return first[: sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], pairs))]


def _read_pages(client: StoreClient, prefix: str, last: str | None = None) -> Iterator[Item]:
    """Yield the items whose keys begin with a prefix, page by page.

    Args:
        client: The client of the platform's store.
        prefix: The prefix of the keys.
        last: The last key that is needed: no page after the one that reaches it is read; all
            pages if None.
    """
    page = client.read_page(prefix)
    yield from page.items
    while page.more and (last is None or page.items[-1].key < last):
        page = client.read_page(prefix, page.items[-1].key)
        yield from page.items


def _watch(client: StoreClient, action: StoreWatch) -> StoreAnswered:
    """Wait for a change of a key.

    If none comes in time, the entry returned is empty and has the revision that was passed. If
    the store has dropped the history since that revision, the current item counts as the change;
    without a newer item, the watch starts again at the store's current revision.
    """
    key, after, wait_s = action.key, action.after_revision, action.wait_ms / 1000
    try:
        page = client.watch(key, after, wait_s)
    except HistoryLostError:
        page = client.read_page(key)
        if not any(item.key == key and item.revision > after for item in page.items):
            page = client.watch(key, page.revision, wait_s)
    changes = [item for item in page.items if item.key == key]
    entry = _build_entry(key, changes[-1]) if changes else StoreEntry(key, b"", after)
    return StoreAnswered(action.purpose, entries=(entry,), revision=page.revision)


def _write(client: StoreClient, action: StoreWrite) -> StoreAnswered:
    key = action.key
    put = Put(key, action.value, int(action.lease) if action.lease else 0)
    condition = Condition(key, action.expected_revision)
    try:
        revision = client.transact(Transaction((put,), (condition,)))
    except ConditionFailedError as error:
        return StoreAnswered(action.purpose, False, (_find_current_entry(key, error),))
    except LeaseEndedError:
        return StoreAnswered(action.purpose, False, (_build_entry(key, client.read_key(key)),))
    entry = StoreEntry(key, action.value, revision)
    return StoreAnswered(action.purpose, True, (entry,), revision=revision)


def _delete(client: StoreClient, action: StoreDelete) -> StoreAnswered:
    key = action.key
    condition = Condition(key, action.expected_revision)
    try:
        revision = client.transact(Transaction((), (condition,), (key,)))
    except ConditionFailedError as error:
        return StoreAnswered(action.purpose, False, (_find_current_entry(key, error),))
    succeeded = action.expected_revision > 0  # deleting an absent key changes nothing
    return StoreAnswered(action.purpose, succeeded, (_build_entry(key, None),), revision=revision)


def _renew(client: StoreClient, action: LeaseKeepAlive) -> StoreAnswered:
    try:
        client.renew_lease(int(action.lease))
    except LeaseEndedError:
        return StoreAnswered(action.purpose, False, lease=action.lease)
    return StoreAnswered(action.purpose, lease=action.lease)


def _find_current_entry(key: str, error: ConditionFailedError) -> StoreEntry:
    matching = [item for item in error.items if item.key == key]
    return _build_entry(key, matching[0] if matching else None)


def _build_entry(key: str, item: Item | None) -> StoreEntry:
    if item is None or item.value is None:
        return StoreEntry(key, b"", 0)
    return StoreEntry(key, item.value, item.revision)
