"""The history of accepted versions: what each one changed, bounded, in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..core.actions import StoreRead, StoreWrite
from ..errors import ConfigurationError, PublishError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..store import StoreFunction
    from ..versions.manifest import Head

HISTORY_PREFIX = "configuration/history/"
HISTORY_SLOTS = 4_096
READ_BATCH = 256  # records in one read of the store


@attrs.frozen
class Change:
    """What one accepted version changed.

    Attributes:
        version: The version.
        publish_id: The publish that made it.
        published_at: Seconds since the epoch at the publisher.
        before: For each changed service, the hash of its blob before, empty where it was absent.
        after: The same after the change.
    """

    version: int
    publish_id: str
    published_at: float
    before: dict[str, str]
    after: dict[str, str]


def describe_change(head: Head) -> Change:
    """Return what a stored head changed."""
    after = {name: head.services.get(name, "") for name in head.previous}
    return Change(head.version, head.publish_id, head.published_at, dict(head.previous), after)


def keep_change(store: StoreFunction, head: Head) -> None:
    """Record the change of the accepted head, before a newer one replaces it.

    Every publisher writes the same record for one version, so a repeated or a lost write does no
    harm, and a slot never goes back to an older version.

    Args:
        store: Performs requests to the platform's store.
        head: The accepted head.

    Raises:
        StoreError: If the store does not answer.
    """
    key = _format_key(head.version)
    entry = store(StoreRead("history", keys=(key,))).entries[0]
    if entry.revision and _decode(entry.value).version >= head.version:
        return
    value = msgspec.json.encode(describe_change(head))
    store(StoreWrite("history", key, value, entry.revision))


def read_changes(store: StoreFunction, head: Head, versions: Iterable[int]) -> list[Change]:
    """Return the changes of some versions, in their order.

    Args:
        store: Performs requests to the platform's store.
        head: The accepted head.
        versions: Versions up to that of the head.

    Raises:
        PublishError: `VERSION_UNKNOWN` if the history does not hold one of them.
        StoreError: If the store does not answer.
    """
    wanted = list(versions)
    older = [version for version in wanted if version != head.version]
    found = {head.version: describe_change(head)}
    for start in range(0, len(older), READ_BATCH):
        keys = tuple(_format_key(version) for version in older[start : start + READ_BATCH])
        for entry in store(StoreRead("history", keys=keys)).entries:
            if entry.revision:
                change = _decode(entry.value)
                found[change.version] = change
    for version in wanted:
        if version not in found:
            message = f"version {version} is not in the history (the head is {head.version})"
            raise PublishError(ErrorCode.VERSION_UNKNOWN, message)
    return [found[version] for version in wanted]


def read_base(store: StoreFunction, head: Head, version: int) -> dict[str, str]:
    """Return the hash of each service as of an earlier version.

    Args:
        store: Performs requests to the platform's store.
        head: The accepted head.
        version: The earlier version, or that of the head.

    Raises:
        PublishError: `VERSION_UNKNOWN` if the history does not reach back to it.
        StoreError: If the store does not answer.
    """
    if not 0 <= head.version - version < HISTORY_SLOTS:
        message = f"version {version} is out of reach of the history (the head is {head.version})"
        raise PublishError(ErrorCode.VERSION_UNKNOWN, message)
    services = dict(head.services)
    for change in read_changes(store, head, range(head.version, version, -1)):
        services.update(change.before)
    return {name: digest for name, digest in services.items() if digest}


def _format_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version % HISTORY_SLOTS}"


def _decode(value: bytes) -> Change:
    try:
        return msgspec.json.decode(value, type=Change)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(ErrorCode.BLOB_CORRUPT, f"history: {error}") from error
