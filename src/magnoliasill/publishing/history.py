"""Keeps a bounded history in the platform's store of what each accepted version changed.

An undo restores the hashes from before a version, and a publish that is based on an older version
is compared with the hashes of that version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..core.actions import StoreRead, StoreWrite
from ..decoding import DecodingError, decode_json
from ..errors import ConfigurationError, PublishError
from ..versions.manifest import Head

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..store import StoreFunction

HISTORY_PREFIX = "configuration/history/"
HISTORY_SLOTS = 4_096  # a version is recorded under its number modulo this, over the oldest one
RECORDS_PER_READ = 256
MAX_LOST_VERSIONS = 64  # far more than are published in the age of a copy


@attrs.frozen
class VersionChange:
    """The services that one accepted version changed, as stored in the history.

    Attributes:
        version: The version.
        publish_id: The identifier of the publish that created it; empty if the store has lost it.
        published_at: Seconds since the epoch on the publisher's clock.
        before: For each changed service, the hash of its previous blob, empty if it was absent.
        after: For each changed service, the hash of its new blob, empty if it was removed.
    """

    version: int
    publish_id: str
    published_at: float
    before: dict[str, str]
    after: dict[str, str]


def build_change(head: Head) -> VersionChange:
    """Build the history record of the version that a stored head describes."""
    after = {name: head.services.get(name, "") for name in head.previous}
    return VersionChange(
        head.version, head.publish_id, head.published_at, dict(head.previous), after
    )


def record_change(store: StoreFunction, head: Head) -> None:
    """Write the accepted head's change to the history, before a newer head replaces that head.

    Every publisher writes the same record for a version, so a repeated write and a write whose
    response was lost are harmless. A slot is never overwritten with an older version.

    Args:
        store: Sends a request to the platform's store and returns the response.
        head: The accepted head.

    Raises:
        StoreError: If the store does not respond.
    """
    key = _format_key(head.version)
    entry = store(StoreRead("history", keys=(key,))).entries[0]
    if entry.revision and _decode_change(entry.value).version >= head.version:
        return
    value = msgspec.json.encode(build_change(head))
    store(StoreWrite("history", key, value, entry.revision))


def record_lost_versions(store: StoreFunction, head: Head, held_version: int) -> None:
    """Write records without changes for versions that the store has lost, up to a version.

    An older version can then still be compared with later ones.

    Args:
        store: Sends a request to the platform's store and returns the response.
        head: The accepted head.
        held_version: The newest version that a daemon holds.

    Raises:
        StoreError: If the store does not respond.
    """
    first = max(head.version + 1, held_version - MAX_LOST_VERSIONS + 1)
    for version in range(first, held_version + 1):
        record_change(store, Head(version, "", 0.0, {}))


def read_changes(store: StoreFunction, head: Head, versions: Iterable[int]) -> list[VersionChange]:
    """Return the changes of the given versions, in the given order.

    Args:
        store: Sends a request to the platform's store and returns the response.
        head: The accepted head.
        versions: Versions that are not newer than the head.

    Raises:
        PublishError: `VERSION_UNKNOWN` if the history has no record of one of them.
        StoreError: If the store does not respond.
    """
    wanted = list(versions)
    stored_versions = [version for version in wanted if version != head.version]
    changes_by_version = {head.version: build_change(head)}
    for start in range(0, len(stored_versions), RECORDS_PER_READ):
        keys = tuple(
            _format_key(version) for version in stored_versions[start : start + RECORDS_PER_READ]
        )
        for entry in store(StoreRead("history", keys=keys)).entries:
            if entry.revision:
                change = _decode_change(entry.value)
                changes_by_version[change.version] = change
    for version in wanted:
        if version not in changes_by_version:
            message = f"version {version} is not in the history (newest version: {head.version})"
            raise PublishError(ErrorCode.VERSION_UNKNOWN, message)
    return [changes_by_version[version] for version in wanted]


def read_service_hashes(store: StoreFunction, head: Head, version: int) -> dict[str, str]:
    """Return the blob hash of each service in an earlier version, by undoing later changes.

    Args:
        store: Sends a request to the platform's store and returns the response.
        head: The accepted head.
        version: The earlier version, or the head's own version.

    Raises:
        PublishError: `VERSION_UNKNOWN` if the history does not reach back to that version.
        StoreError: If the store does not respond.
    """
    if not 0 <= head.version - version < HISTORY_SLOTS:
        message = f"version {version} is outside the history (newest version: {head.version})"
        raise PublishError(ErrorCode.VERSION_UNKNOWN, message)
    services = dict(head.services)
    for change in read_changes(store, head, range(head.version, version, -1)):
        services.update(change.before)
    return {name: digest for name, digest in services.items() if digest}


def _format_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version % HISTORY_SLOTS}"


def _decode_change(value: bytes) -> VersionChange:
    try:
        return decode_json(value, VersionChange)
    except DecodingError as error:
        raise ConfigurationError(
            ErrorCode.BLOB_CORRUPT, f"invalid history record: {error}"
        ) from error
