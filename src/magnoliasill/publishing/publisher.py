"""Publishing: collects service files, checks the whole, and has it accepted by the store."""

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
from .history import keep_change, read_changes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from datetime import datetime
    from pathlib import Path

    from ..store import StoreFunction

ATTEMPTS = 8


@attrs.frozen
class ChangeSet:
    """What an operator wants accepted.

    Attributes:
        publish_id: Made before the first write, to recognise this publish later.
        services: The services to set, by name.
        base: The hash of each service that the operator started from, without the absent ones;
            or None to replace whatever is accepted.
        removed: The services to remove.
        team: The team that publishes, or empty for an administrator of the platform.
        transfer: Whether an administrator may give a service to another team.
    """

    publish_id: str
    services: dict[str, ServiceFile]
    base: Mapping[str, str] | None
    removed: frozenset[str] = frozenset()
    team: str = ""
    transfer: bool = False


def collect_services(folder: Path) -> dict[str, ServiceFile]:
    """Read every service file of a folder and of its subfolders.

    Args:
        folder: The folder; each file in it that ends in `.toml` is a service file.

    Returns:
        The services by name.

    Raises:
        ServiceFileError: If there is none, or one can't be read or is not acceptable.
    """
    located = locate_services(folder)
    if not located:
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{folder}: no service file")
    return {name: file for name, (_, file) in located.items()}


def locate_services(folder: Path) -> dict[str, tuple[Path, ServiceFile]]:
    """Return the path and the content of each service file of a folder and its subfolders.

    Args:
        folder: The folder; it may be absent or empty.

    Raises:
        ServiceFileError: If a file can't be read or is not acceptable.
    """
    located: dict[str, tuple[Path, ServiceFile]] = {}
    for path in sorted(folder.rglob("*.toml")):
        parsed = parse_service_file(_read_text(path), str(path))
        if parsed.service in located:
            message = f"{path}: service {parsed.service!r} has another file"
            raise ServiceFileError(ErrorCode.SERVICE_DUPLICATE, message)
        located[parsed.service] = (path, parsed)
    return located


def read_head(store: StoreFunction) -> tuple[Head | None, int]:
    """Return the accepted head and its revision; None and 0 before the first publish.

    Raises:
        StoreError: If the store does not answer.
        ConfigurationError: If the stored head is not readable.
    """
    entry = store(StoreRead("head", keys=(HEAD_KEY,))).entries[0]
    if not entry.revision:
        return None, 0
    return decode_head(entry.value), entry.revision


def read_accepted(store: StoreFunction) -> tuple[Head | None, dict[str, ServiceFile]]:
    """Return the accepted head and its services by name; None and nothing before the first.

    Raises:
        StoreError: If the store does not answer.
        ConfigurationError: If the stored head is not readable.
        ServiceFileError: If a stored service is not readable.
    """
    head, _ = read_head(store)
    return head, _read_services(store, head, head.services) if head is not None else {}


def plan_undo(store: StoreFunction, publish_id: str, version: int, team: str = "") -> ChangeSet:
    """Return the publish that takes back what one version changed.

    Args:
        store: Performs requests to the platform's store.
        publish_id: The identifier of the new publish.
        version: The version to take back.
        team: The team that asks, or empty for an administrator of the platform.

    Raises:
        PublishError: If the history does not hold the version.
        StoreError: If the store does not answer.
    """
    head, _ = read_head(store)
    if head is None or not 0 < version <= head.version:
        raise PublishError(ErrorCode.VERSION_UNKNOWN, f"no version {version} was accepted")
    change = read_changes(store, head, [version])[0]
    restored = {name: digest for name, digest in change.before.items() if digest}
    base = {name: digest for name, digest in change.after.items() if digest}
    removed = frozenset(change.before) - restored.keys()
    services = _read_services(store, Head(version, "", 0.0, restored), restored)
    return ChangeSet(publish_id, services, base, removed, team, transfer=not team)


def publish(
    store: StoreFunction, request: ChangeSet, now: datetime, pause: Callable[[int], None]
) -> Head:
    """Have a publish accepted, exactly once even where answers of the store are lost.

    Args:
        store: Performs requests to the platform's store.
        request: What to publish.
        now: The present, with a UTC offset.
        pause: Called with the number of the attempt before each further attempt.

    Returns:
        The accepted head that holds this publish.

    Raises:
        ServiceFileError: If the resulting whole is not closed, or a takeover's time is over.
        PublishError: If one of these services was changed since the base, belongs to another
            team, or is to be removed and absent.
        StoreError: If the store did not answer within the attempts. Nothing was accepted,
            unless it is a `StoreOutcomeUnknownError`; publish the same identifier again then.
    """
    check_finish_times(request.services, now)
    unknown = False
    last: StoreError | None = None
    for attempt in range(ATTEMPTS):
        if attempt:
            pause(attempt)
        try:
            accepted = _attempt(store, request, now)
        except StoreError as error:
            unknown = unknown or isinstance(error, StoreOutcomeUnknownError)
            last = error
            continue
        if accepted is not None:
            return accepted
    if last is None:
        raise PublishError(ErrorCode.PUBLISH_CONFLICT, "too many other publishes", "try again")
    kind = StoreOutcomeUnknownError if unknown else StoreError
    code = ErrorCode.STORE_OUTCOME_UNKNOWN if unknown else ErrorCode.STORE_UNAVAILABLE
    advice = f"publish again with --publish-id {request.publish_id}"
    raise kind(code, last.message, advice) from last


def _attempt(store: StoreFunction, request: ChangeSet, now: datetime) -> Head | None:
    head, revision = read_head(store)
    if head is not None and request.publish_id in head.recent_publishes:
        return head
    _check_conflicts(request, head)
    present = _read_present(store, request, head)
    _check_teams(request, present)
    changed = request.services.keys() | request.removed
    kept = {name: file for name, file in present.items() if name not in changed}
    check_services({**kept, **request.services})
    digests = _write_blobs(store, request.services)
    if head is not None:
        keep_change(store, head)
    accepted = _build_head(request, head, digests, now)
    answer = store(StoreWrite("head", HEAD_KEY, encode_head(accepted), revision))
    return accepted if answer.succeeded else None


def _build_head(
    request: ChangeSet, head: Head | None, digests: dict[str, str], now: datetime
) -> Head:
    present = head.services if head is not None else {}
    services = {**present, **digests}
    for name in request.removed:
        services.pop(name, None)
    previous = {
        name: present.get(name, "")
        for name in sorted(digests.keys() | request.removed)
        if present.get(name, "") != services.get(name, "")
    }
    recent = [*(head.recent_publishes if head is not None else []), request.publish_id]
    version = head.version + 1 if head is not None else 1
    recent = recent[-RECENT_PUBLISHES:]
    return Head(version, request.publish_id, now.timestamp(), services, recent, previous)


def _check_conflicts(request: ChangeSet, head: Head | None) -> None:
    present = head.services if head is not None else {}
    wanted: dict[str, str | None] = dict.fromkeys(request.removed)
    for name, file in request.services.items():
        wanted[name] = hash_blob(encode_service_file(file))
    for name in sorted(request.removed - present.keys()):
        raise PublishError(ErrorCode.SERVICE_UNKNOWN, f"{name} is not accepted at present")
    if head is None or request.base is None:
        return
    for name, digest in sorted(wanted.items()):
        before, accepted = request.base.get(name), present.get(name)
        if accepted not in (before, digest):
            state = "exists" if before is None else "was changed or removed"
            message = f"{name} {state}; the last publish is {head.publish_id}, version"
            raise PublishError(ErrorCode.PUBLISH_CONFLICT, f"{message} {head.version}")


def _read_present(
    store: StoreFunction, request: ChangeSet, head: Head | None
) -> dict[str, ServiceFile]:
    if head is None:
        return {}
    replaced = request.services.keys() | request.removed if request.transfer else set()
    return _read_services(store, head, sorted(head.services.keys() - replaced))


def _check_teams(request: ChangeSet, present: Mapping[str, ServiceFile]) -> None:
    for name in sorted(request.services.keys() | request.removed):
        teams = {file.team for file in (present.get(name), request.services.get(name)) if file}
        if request.team:
            teams.add(request.team)
        if len(teams) > 1 and not request.transfer:
            message = f"{name}: teams {' and '.join(sorted(teams))} both claim it"
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
            message = f"the stored blob of {name} is missing or damaged"
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
    present = answer.entries[0]
    if answer.succeeded or present.value == blob:
        return
    # a damaged value under this hash would make every daemon refuse the version
    if not store(StoreWrite("blob", key, blob, present.revision)).succeeded:
        raise PublishError(ErrorCode.BLOB_CORRUPT, f"the store does not take {key}")


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{path}: {error}") from error
