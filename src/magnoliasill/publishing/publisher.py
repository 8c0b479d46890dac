"""Reads service files, checks the resulting configuration and publishes it to the store.

A publish writes the blobs first, then replaces the head by a conditional write. It is retried if
another publish came first or if a response of the store was lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..codes import ErrorCode
from ..core.actions import StoreRead, StoreWrite
from ..errors import (
    ConfigurationError,
    PublishError,
    ServiceFileError,
    StoreError,
    StoreOutcomeUnknownError,
)
from ..versions.manifest import (
    BLOB_PREFIX,
    HEAD_KEY,
    RECENT_PUBLISHES,
    Head,
    check_finish_times,
    check_services,
    decode_head,
    encode_head,
    hash_blob,
)
from ..versions.service_file import (
    ServiceFile,
    decode_service_file,
    encode_service_file,
    parse_service_file,
)
from .history import read_changes, record_change, record_lost_versions

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from datetime import datetime
    from pathlib import Path

    from ..store import StoreFunction

MAX_PUBLISH_ATTEMPTS = 8


@attrs.frozen
class ChangeSet:
    """The services to set and to remove in one publish.

    Attributes:
        publish_id: Generated before the first write, to recognise this publish on a retry.
        services: The services to set, by name.
        base: The hash of each service that the change is based on, with no entry for absent
            services; or None to overwrite the accepted services without a conflict check.
        removed: The services to remove.
        team: The team that publishes, or empty for a platform administrator.
        transfer: Whether an administrator may give a service to another team.
    """

    publish_id: str
    services: dict[str, ServiceFile]
    base: Mapping[str, str] | None
    removed: frozenset[str] = frozenset()
    team: str = ""
    transfer: bool = False


def collect_services(folder: Path) -> dict[str, ServiceFile]:
    """Read every service file in a folder and its subfolders.

    Args:
        folder: The folder; every file in it whose name ends in `.toml` is a service file.

    Returns:
        The services by name.

    Raises:
        ServiceFileError: If there is no service file, or one can't be read or is invalid.
    """
    located = locate_services(folder)
    if not located:
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{folder}: no service file found")
    return {name: file for name, (_, file) in located.items()}


def locate_services(folder: Path) -> dict[str, tuple[Path, ServiceFile]]:
    """Return the path and content of each service file in a folder and its subfolders.

    Args:
        folder: The folder; it may be missing or empty.

    Raises:
        ServiceFileError: If a file can't be read or is invalid, or two files define one service.
    """
    located: dict[str, tuple[Path, ServiceFile]] = {}
    for path in sorted(folder.rglob("*.toml")):
        parsed = parse_service_file(_read_text(path), str(path))
        if parsed.service in located:
            message = f"{path}: service {parsed.service!r} is already defined in another file"
            raise ServiceFileError(ErrorCode.SERVICE_DUPLICATE, message)
        located[parsed.service] = (path, parsed)
    return located


def read_head(store: StoreFunction) -> tuple[Head | None, int]:
    """Return the accepted head and its store revision, or None and 0 before the first publish.

    Raises:
        StoreError: If the store does not respond.
        ConfigurationError: If the stored head can't be decoded.
    """
    entry = store(StoreRead("head", keys=(HEAD_KEY,))).entries[0]
    if not entry.revision:
        return None, 0
    return decode_head(entry.value), entry.revision


def read_accepted(store: StoreFunction) -> tuple[Head | None, dict[str, ServiceFile]]:
    """Return the accepted head and its services by name, or None and {} before the first publish.

    Raises:
        StoreError: If the store does not respond.
        ConfigurationError: If the stored head can't be decoded.
        ServiceFileError: If a stored service can't be decoded.
    """
    head, _ = read_head(store)
    return head, _read_services(store, head, head.services) if head is not None else {}


def plan_undo(store: StoreFunction, publish_id: str, version: int, team: str = "") -> ChangeSet:
    """Build the change set that undoes the changes of one version.

    Args:
        store: Sends a request to the platform's store and returns the response.
        publish_id: The identifier of the new publish.
        version: The version to undo.
        team: The team that requests it, or empty for a platform administrator.

    Raises:
        PublishError: If the history has no record of the version.
        StoreError: If the store does not respond.
    """
    head, _ = read_head(store)
    if head is None or not 0 < version <= head.version:
        raise PublishError(ErrorCode.VERSION_UNKNOWN, f"version {version} was never accepted")
    change = read_changes(store, head, [version])[0]
    if not change.publish_id:
        message = f"version {version} was lost when the store came back from an older copy"
        raise PublishError(ErrorCode.VERSION_UNKNOWN, message)
    restored = {name: digest for name, digest in change.before.items() if digest}
    base = {name: digest for name, digest in change.after.items() if digest}
    removed = frozenset(change.before) - restored.keys()
    services = _read_services(store, Head(version, "", 0.0, restored), restored)
    return ChangeSet(publish_id, services, base, removed, team, transfer=not team)


def publish(
    store: StoreFunction,
    change_set: ChangeSet,
    now: datetime,
    pause: Callable[[int], None],
    held_version: int = 0,
) -> Head:
    """Publish a change set exactly once, even if responses of the store are lost.

    A retry finds its own `publish_id` in the head's recent publishes and does not publish again.

    Args:
        store: Sends a request to the platform's store and returns the response.
        change_set: The services to set and to remove.
        now: The current time, with a UTC offset.
        pause: Waits before a retry; called with the number of attempts made so far.
        held_version: The newest version that the publishing daemon holds. It is above the head's
            if the store came back from an older copy; the new version is above both, since daemons
            ignore a version that is not above theirs.

    Returns:
        The accepted head that holds this publish.

    Raises:
        ServiceFileError: If the resulting configuration has missing references or overlapping
            routes, or the `finish_by` of a takeover is past.
        PublishError: If one of these services has changed since the base, belongs to another
            team, or is to be removed but does not exist, or if other publishes came first in
            every attempt.
        StoreError: If the store did not respond within the attempts. Nothing was accepted, unless
            this is a `StoreOutcomeUnknownError`; then publish again with the same identifier.
    """
    check_finish_times(change_set.services, now)
    outcome_unknown = False
    last_error: StoreError | None = None
    for attempt in range(MAX_PUBLISH_ATTEMPTS):
        if attempt:
            pause(attempt)
        try:
            accepted = _try_publish(store, change_set, now, held_version)
        except StoreError as error:
            outcome_unknown = outcome_unknown or isinstance(error, StoreOutcomeUnknownError)
            last_error = error
            continue
        if accepted is not None:
            return accepted
    if last_error is None:
        raise PublishError(
            ErrorCode.PUBLISH_CONFLICT, "other publishes came first in every attempt", "try again"
        )
    error_class = StoreOutcomeUnknownError if outcome_unknown else StoreError
    code = ErrorCode.STORE_OUTCOME_UNKNOWN if outcome_unknown else ErrorCode.STORE_UNAVAILABLE
    advice = f"publish again with --publish-id {change_set.publish_id}"
    raise error_class(code, last_error.message, advice) from last_error


def _try_publish(
    store: StoreFunction, change_set: ChangeSet, now: datetime, held_version: int
) -> Head | None:
    head, revision = read_head(store)
    if head is not None and change_set.publish_id in head.recent_publishes:
        return head
    _check_conflicts(change_set, head)
    current_services = _read_current_services(store, change_set, head)
    _check_teams(change_set, current_services)
    changed = change_set.services.keys() | change_set.removed
    unchanged = {name: file for name, file in current_services.items() if name not in changed}
    check_services({**unchanged, **change_set.services})
    digests = _write_blobs(store, change_set.services)
    if head is not None:
        record_change(store, head)
        record_lost_versions(store, head, held_version)
    new_head = _build_head(change_set, head, digests, now, held_version)
    answer = store(StoreWrite("head", HEAD_KEY, encode_head(new_head), revision))
    return new_head if answer.succeeded else None


def _build_head(
    change_set: ChangeSet,
    head: Head | None,
    digests: dict[str, str],
    now: datetime,
    held_version: int,
) -> Head:
    current_hashes = head.services if head is not None else {}
    services = {**current_hashes, **digests}
    for name in change_set.removed:
        services.pop(name, None)
    previous = {
        name: current_hashes.get(name, "")
        for name in sorted(digests.keys() | change_set.removed)
        if current_hashes.get(name, "") != services.get(name, "")
    }
    recent = [*(head.recent_publishes if head is not None else []), change_set.publish_id]
    version = max(head.version if head is not None else 0, held_version) + 1
    recent = recent[-RECENT_PUBLISHES:]
    return Head(version, change_set.publish_id, now.timestamp(), services, recent, previous)


def _check_conflicts(change_set: ChangeSet, head: Head | None) -> None:
    current_hashes = head.services if head is not None else {}
    new_hashes: dict[str, str | None] = dict.fromkeys(change_set.removed)
    for name, file in change_set.services.items():
        new_hashes[name] = hash_blob(encode_service_file(file))
    for name in sorted(change_set.removed - current_hashes.keys()):
        raise PublishError(ErrorCode.SERVICE_UNKNOWN, f"service {name} does not exist")
    if head is None or change_set.base is None:
        return
    for name, new_hash in sorted(new_hashes.items()):
        base_hash, current_hash = change_set.base.get(name), current_hashes.get(name)
        if current_hash not in (base_hash, new_hash):
            conflict = "already exists" if base_hash is None else "has been changed or removed"
            message = f"service {name} {conflict}; the last publish is {head.publish_id}, version"
            raise PublishError(ErrorCode.PUBLISH_CONFLICT, f"{message} {head.version}")


def _read_current_services(
    store: StoreFunction, change_set: ChangeSet, head: Head | None
) -> dict[str, ServiceFile]:
    if head is None:
        return {}
    overwritten = change_set.services.keys() | change_set.removed if change_set.transfer else set()
    return _read_services(store, head, sorted(head.services.keys() - overwritten))


def _check_teams(change_set: ChangeSet, current_services: Mapping[str, ServiceFile]) -> None:
    for name in sorted(change_set.services.keys() | change_set.removed):
        teams = {
            file.team
            for file in (current_services.get(name), change_set.services.get(name))
            if file
        }
        if change_set.team:
            teams.add(change_set.team)
        if len(teams) > 1 and not change_set.transfer:
            message = f"service {name} is claimed by teams {' and '.join(sorted(teams))}"
            raise PublishError(ErrorCode.TEAM_MISMATCH, message)


def _read_services(
    store: StoreFunction, head: Head, names: Iterable[str]
) -> dict[str, ServiceFile]:
    wanted = list(names)
    if not wanted:
        return {}
    keys = tuple(BLOB_PREFIX + head.services[name] for name in wanted)
    entries = store(StoreRead("blobs", keys=keys)).entries
    services: dict[str, ServiceFile] = {}
    for name, entry in zip(wanted, entries, strict=True):
        if hash_blob(entry.value) != head.services[name]:
            message = f"the stored blob of service {name} is missing or corrupt"
            raise ConfigurationError(ErrorCode.BLOB_CORRUPT, message)
        services[name] = decode_service_file(entry.value)
    return services


def _write_blobs(store: StoreFunction, services: dict[str, ServiceFile]) -> dict[str, str]:
    digests: dict[str, str] = {}
    for name, file in sorted(services.items()):
        blob = encode_service_file(file)
        digests[name] = hash_blob(blob)
        _write_blob(store, digests[name], blob)
    return digests


def _write_blob(store: StoreFunction, digest: str, blob: bytes) -> None:
    key = BLOB_PREFIX + digest
    answer = store(StoreWrite("blob", key, blob, 0))
    stored_entry = answer.entries[0]
    if answer.succeeded or stored_entry.value == blob:
        return
    # a corrupt value under this hash would make every daemon refuse the version: overwrite it
    if not store(StoreWrite("blob", key, blob, stored_entry.revision)).succeeded:
        raise PublishError(
            ErrorCode.BLOB_CORRUPT, f"could not replace the corrupt value of {key} in the store"
        )


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{path}: {error}") from error
