"""The store as the product's own systems use it: one request, one answer."""

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
from .mesh.items import Condition, Put, Transaction
from .platform.store import connect_client

if TYPE_CHECKING:
    from .mesh.items import Item
    from .platform.store import StoreClient

PAGED_KEYS = 3  # from so many keys on, pages cost fewer calls than a call for each key
StoreFunction: TypeAlias = Callable[[StoreAction], StoreAnswered]


def connect_store(url: str, timeout_s: float) -> StoreFunction:
    """Return a function that performs one request and waits for its answer.

    Args:
        url: The store's address, `http://ip:port`.
        timeout_s: Seconds to wait for an answer; a watch waits longer by its own time.

    Returns:
        A function that raises `StoreError` where a request certainly had no effect and
        `StoreOutcomeUnknownError` where a write may have had one.
    """
    return build_store(connect_client(url.removeprefix("http://"), timeout_s))


def build_store(client: StoreClient) -> StoreFunction:
    """Return a function that performs one request through a client.

    Args:
        client: The client of the platform's store.
    """

    def perform(action: StoreAction) -> StoreAnswered:
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

    return perform


def _read(client: StoreClient, action: StoreRead) -> StoreAnswered:
    keys = action.keys
    if len(keys) >= PAGED_KEYS:
        prefix = _find_prefix(min(keys), max(keys))
        found = {item.key: item for item in _read_pages(client, prefix, max(keys))}
        entries = [_describe(key, found.get(key)) for key in keys]
    else:
        entries = [_describe(key, client.read_key(key)) for key in keys]
    if action.prefix:
        entries += [_describe(item.key, item) for item in _read_pages(client, action.prefix)]
    return StoreAnswered(action.purpose, entries=tuple(entries))


def _find_prefix(first: str, last: str) -> str:
    pairs = zip(first, last, strict=False)
    return first[: sum(1 for _ in takewhile(lambda pair: pair[0] == pair[1], pairs))]


def _read_pages(client: StoreClient, prefix: str, last: str | None = None) -> Iterator[Item]:
    """Yield the items whose keys begin with a prefix, up to the page that holds the last one."""
    page = client.read_page(prefix)
    yield from page.items
    while page.more and (last is None or page.items[-1].key < last):
        page = client.read_page(prefix, page.items[-1].key)
        yield from page.items


def _watch(client: StoreClient, action: StoreWatch) -> StoreAnswered:
    """Wait for a change of the key; without one, the entry has the revision that was given."""
    key, after, wait_s = action.key, action.after_revision, action.wait_ms / 1000
    try:
        page = client.watch(key, after, wait_s)
    except HistoryLostError:
        page = client.read_page(key)
        if not any(item.key == key and item.revision > after for item in page.items):
            page = client.watch(key, page.revision, wait_s)
    changes = [item for item in page.items if item.key == key]
    entry = _describe(key, changes[-1]) if changes else StoreEntry(key, b"", after)
    return StoreAnswered(action.purpose, entries=(entry,), revision=page.revision)


def _write(client: StoreClient, action: StoreWrite) -> StoreAnswered:
    key = action.key
    put = Put(key, action.value, int(action.lease) if action.lease else 0)
    condition = Condition(key, action.expected_revision)
    try:
        revision = client.transact(Transaction((put,), (condition,)))
    except ConditionFailedError as error:
        return StoreAnswered(action.purpose, False, (_find_present(key, error),))
    except LeaseEndedError:
        return StoreAnswered(action.purpose, False, (_describe(key, client.read_key(key)),))
    entry = StoreEntry(key, action.value, revision)
    return StoreAnswered(action.purpose, True, (entry,), revision=revision)


def _delete(client: StoreClient, action: StoreDelete) -> StoreAnswered:
    key = action.key
    condition = Condition(key, action.expected_revision)
    try:
        revision = client.transact(Transaction((), (condition,), (key,)))
    except ConditionFailedError as error:
        return StoreAnswered(action.purpose, False, (_find_present(key, error),))
    succeeded = action.expected_revision > 0  # removing what is absent changes nothing
    return StoreAnswered(action.purpose, succeeded, (_describe(key, None),), revision=revision)


def _renew(client: StoreClient, action: LeaseKeepAlive) -> StoreAnswered:
    try:
        client.renew_lease(int(action.lease))
    except LeaseEndedError:
        return StoreAnswered(action.purpose, False, lease=action.lease)
    return StoreAnswered(action.purpose, lease=action.lease)


def _find_present(key: str, error: ConditionFailedError) -> StoreEntry:
    found = [item for item in error.items if item.key == key]
    return _describe(key, found[0] if found else None)


def _describe(key: str, item: Item | None) -> StoreEntry:
    if item is None or item.value is None:
        return StoreEntry(key, b"", 0)
    return StoreEntry(key, item.value, item.revision)
