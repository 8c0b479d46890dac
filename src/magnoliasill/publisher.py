"""Publishing: collects service files, checks the whole, and has it accepted by the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .actions import StoreRead, StoreWrite
from .codes import ErrorCode
from .errors import PublishError, ServiceFileError, StoreError, StoreOutcomeUnknownError
from .manifest import (
    BLOB_PREFIX,
    HEAD_KEY,
    RECENT_PUBLISHES,
    Head,
    check_deadlines,
    check_services,
    decode_head,
    encode_head,
    hash_blob,
)
from .service_file import (
    ServiceFile,
    decode_service_file,
    encode_service_file,
    parse_service_file,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import datetime
    from pathlib import Path

    from .store import StoreFunction

ATTEMPTS = 8


@attrs.frozen
class Publish:
    """What an operator wants accepted.

    Attributes:
        publish_id: Made before the first write, to recognise this publish later.
        services: The services to set, by name.
        base: The head that the operator started from, or None.
    """

    publish_id: str
    services: dict[str, ServiceFile]
    base: Head | None


def collect_services(folder: Path) -> dict[str, ServiceFile]:
    """Read every service file of a folder and of its subfolders.

    Args:
        folder: The folder; each file in it that ends in `.toml` is a service file.

    Returns:
        The services by name.

    Raises:
        ServiceFileError: If there is none, or one can't be read or is not acceptable.
    """
    services: dict[str, ServiceFile] = {}
    for path in sorted(folder.rglob("*.toml")):
        parsed = parse_service_file(_read_text(path), str(path))
        if parsed.service in services:
            message = f"{path}: service {parsed.service!r} has another file"
            raise ServiceFileError(ErrorCode.SERVICE_DUPLICATE, message)
        services[parsed.service] = parsed
    if not services:
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{folder}: no service file")
    return services


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


def publish(
    store: StoreFunction, request: Publish, now: datetime, pause: Callable[[int], None]
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
        PublishError: If another operator changed one of these services in the meantime.
        StoreError: If the store did not answer within the attempts. Nothing was accepted,
            unless it is a `StoreOutcomeUnknownError`; publish the same identifier again then.
    """
    check_deadlines(request.services, now)
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


def _attempt(store: StoreFunction, request: Publish, now: datetime) -> Head | None:
    head, revision = read_head(store)
    recent = head.recent_publishes if head is not None else []
    if head is not None and request.publish_id in recent:
        return head
    _check_conflicts(request, head)
    merged = _merge(store, request, head)
    check_services(merged)
    digests = _write_blobs(store, request.services)
    services = {**(head.services if head is not None else {}), **digests}
    version = head.version + 1 if head is not None else 1
    recent = [*recent, request.publish_id][-RECENT_PUBLISHES:]
    accepted = Head(version, request.publish_id, now.timestamp(), services, recent)
    answer = store(StoreWrite("head", HEAD_KEY, encode_head(accepted), revision))
    return accepted if answer.succeeded else None


def _check_conflicts(request: Publish, head: Head | None) -> None:
    if head is None or request.base is None:
        return
    for name, file in sorted(request.services.items()):
        before, present = request.base.services.get(name), head.services.get(name)
        if before != present and present != hash_blob(encode_service_file(file)):
            message = f"{name} was changed by publish {head.publish_id} (version {head.version})"
            advice = "read its change, adapt yours, publish again"
            raise PublishError(ErrorCode.PUBLISH_CONFLICT, message, advice)


def _merge(store: StoreFunction, request: Publish, head: Head | None) -> dict[str, ServiceFile]:
    if head is None:
        return dict(request.services)
    others = sorted(set(head.services) - set(request.services))
    if not others:
        return dict(request.services)
    keys = tuple(BLOB_PREFIX + head.services[name] for name in others)
    entries = store(StoreRead("blobs", keys=keys)).entries
    present = {
        name: decode_service_file(entry.value) for name, entry in zip(others, entries, strict=True)
    }
    return {**present, **request.services}


def _write_blobs(store: StoreFunction, services: dict[str, ServiceFile]) -> dict[str, str]:
    digests: dict[str, str] = {}
    for name, file in sorted(services.items()):
        blob = encode_service_file(file)
        digests[name] = hash_blob(blob)
        store(StoreWrite("blob", BLOB_PREFIX + digests[name], blob, 0))
    return digests


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{path}: {error}") from error
