"""The head of the accepted configuration and the checks of a whole set of services."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..errors import ConfigurationError, ServiceFileError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import datetime

    from .service_file import ServiceFile

HASH_BYTES = 16
RECENT_PUBLISHES = 64
HEAD_KEY = "configuration/head"
BLOB_PREFIX = "configuration/blob/"


@attrs.frozen
class Head:
    """The accepted configuration: one version and the hash of each service's blob.

    Attributes:
        version: Counts accepted publishes from 1.
        publish_id: The identifier that the publisher made before its first write.
        published_at: Seconds since the epoch at the publisher.
        services: For each service name, the hash of its blob.
        recent_publishes: In the store only: identifiers of the latest publishes, this one last.
        previous: In the store only: for each service that this version changed, the hash of its
            blob before, empty where there was none.
    """

    version: int
    publish_id: str
    published_at: float
    services: dict[str, str]
    recent_publishes: list[str] = attrs.field(factory=list)
    previous: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HeadDelta:
    """A head as a change of an older one.

    Attributes:
        base: The older version.
        base_manifest: The hash of its manifest.
        version: The newer version.
        publish_id: The identifier of the newer version's publish.
        published_at: Seconds since the epoch at its publisher.
        changed: The blob hashes of new and changed services.
        removed: The services that are gone.
        manifest: The hash of the newer manifest.
    """

    base: int
    base_manifest: str
    version: int
    publish_id: str
    published_at: float
    changed: dict[str, str]
    removed: list[str]
    manifest: str


def hash_blob(blob: bytes) -> str:
    """Return the content hash of a blob, in hexadecimal digits."""
    return hashlib.blake2b(blob, digest_size=HASH_BYTES).hexdigest()


def hash_manifest(services: Mapping[str, str]) -> str:
    """Return the hash of a manifest: of each service's name and blob hash."""
    lines = (f"{name}={digest}\n" for name, digest in sorted(services.items()))
    return hash_blob("".join(lines).encode())


def build_delta(base: Head, head: Head) -> HeadDelta:
    """Return a head as a change of an older one."""
    changed = {
        name: digest for name, digest in head.services.items() if base.services.get(name) != digest
    }
    removed = sorted(base.services.keys() - head.services.keys())
    return HeadDelta(
        base.version,
        hash_manifest(base.services),
        head.version,
        head.publish_id,
        head.published_at,
        changed,
        removed,
        hash_manifest(head.services),
    )


def apply_delta(base: Head, delta: HeadDelta) -> Head:
    """Return the newer head that a delta leads to.

    Args:
        base: The head that the delta names as its base.
        delta: The change.

    Raises:
        ConfigurationError: If the delta has another base, or does not lead to what it says.
    """
    if delta.base != base.version or delta.base_manifest != hash_manifest(base.services):
        raise ConfigurationError(ErrorCode.DELTA_MISMATCH, f"delta of version {delta.base}")
    services = {**base.services, **delta.changed}
    for name in delta.removed:
        services.pop(name, None)
    if hash_manifest(services) != delta.manifest:
        raise ConfigurationError(ErrorCode.DELTA_MISMATCH, f"delta to version {delta.version}")
    return Head(delta.version, delta.publish_id, delta.published_at, services)


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Decode the stored form of a head.

    Args:
        value: What the store holds under `HEAD_KEY`.

    Returns:
        The head.

    Raises:
        ConfigurationError: If the value is not a head.
    """
    try:
        return msgspec.json.decode(value, type=Head)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(ErrorCode.BLOB_CORRUPT, f"head: {error}") from error


def strip_publisher_fields(head: Head) -> Head:
    """Return a head without what only publishers need."""
    return attrs.evolve(head, recent_publishes=[], previous={})


def check_services(services: Mapping[str, ServiceFile]) -> None:
    """Check that a set of services is closed: no missing reference, no overlapping route.

    Args:
        services: Every service of the set by name.

    Raises:
        ServiceFileError: For the first problem found.
    """
    known = {f"{name}.{route.name}" for name, file in services.items() for route in file.routes}
    owners: dict[tuple[str, str], str] = {}
    for name in sorted(services):
        for route in services[name].routes:
            label = f"{name}.{route.name}"
            _check_dependencies(label, route.depends_on, known)
            place = (route.method, route.path)
            if place in owners:
                message = f"{label} and {owners[place]} both serve {route.method} {route.path}"
                raise ServiceFileError(ErrorCode.ROUTE_OVERLAP, message)
            owners[place] = label


def check_finish_times(services: Mapping[str, ServiceFile], now: datetime) -> None:
    """Refuse a takeover whose time is already over.

    Args:
        services: The services that a publish changes, by name.
        now: The present, with a UTC offset.

    Raises:
        ServiceFileError: For the first takeover that should have finished before now.
    """
    for name in sorted(services):
        takeover = services[name].takeover
        if takeover is not None and takeover.finish_by <= now:
            message = f"{name}: `takeover.finish_by` {takeover.finish_by.isoformat()} is past"
            raise ServiceFileError(ErrorCode.TAKEOVER_INVALID, message, "set a later time")


def _check_dependencies(label: str, depends_on: list[str], known: set[str]) -> None:
    for target in depends_on:
        if target not in known:
            message = f"{label}: `depends_on` names {target!r}, which no service has"
            raise ServiceFileError(ErrorCode.REFERENCE_MISSING, message)
