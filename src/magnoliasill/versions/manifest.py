"""Defines the head of the configuration and its deltas, and checks across services.

The manifest of a head is its list of services with their blob hashes.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json
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
    """One version of the configuration, with the hash of each service's blob.

    Attributes:
        version: The number of publishes accepted so far, starting with 1.
        publish_id: The identifier that the publisher generated before its first write.
        published_at: Seconds since the epoch on the publisher's clock.
        services: For each service name, the hash of its blob.
        recent_publishes: Identifiers of the latest publishes, this one last. Set only in the store.
        previous: For each service that this version changed, the hash of its previous blob, empty
            if there was none. Set only in the store.
    """

    version: int
    publish_id: str
    published_at: float
    services: dict[str, str]
    recent_publishes: list[str] = attrs.field(factory=list)
    previous: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HeadDelta:
    """A newer head, expressed as its differences from an older one.

    Attributes:
        base: The older version.
        base_manifest: The hash of the older version's manifest.
        version: The newer version.
        publish_id: The identifier of the newer version's publish.
        published_at: Seconds since the epoch on its publisher's clock.
        changed: The blob hashes of new and changed services.
        removed: The services that the newer version does not have.
        manifest: The hash of the newer version's manifest.
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
    """Return the hash over the name and the blob hash of each service."""
    lines = (f"{name}={digest}\n" for name, digest in sorted(services.items()))
    return hash_blob("".join(lines).encode())


def build_delta(base: Head, head: Head) -> HeadDelta:
    """Return the delta that leads from an older head to a newer one."""
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
    """Apply a delta to its base and return the newer head.

    Args:
        base: The head that the delta was built from.
        delta: The differences to the newer head.

    Raises:
        ConfigurationError: If the delta was built from another base, or the result does not match
            its manifest hash.
    """
    if delta.base != base.version or delta.base_manifest != hash_manifest(base.services):
        raise ConfigurationError(
            ErrorCode.DELTA_MISMATCH, f"the delta is based on another head (version {delta.base})"
        )
    services = {**base.services, **delta.changed}
    for name in delta.removed:
        services.pop(name, None)
    if hash_manifest(services) != delta.manifest:
        raise ConfigurationError(
            ErrorCode.DELTA_MISMATCH, f"the delta gives a wrong manifest (version {delta.version})"
        )
    return Head(delta.version, delta.publish_id, delta.published_at, services)


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Decode the stored form of a head.

    Args:
        value: The value that the store holds under `HEAD_KEY`.

    Returns:
        The head.

    Raises:
        ConfigurationError: If the value can't be decoded.
    """
    try:
        return decode_json(value, Head)
    except DecodingError as error:
        raise ConfigurationError(ErrorCode.BLOB_CORRUPT, f"invalid head: {error}") from error


def strip_publisher_fields(head: Head) -> Head:
    """Return a copy of a head without the fields that only publishers use."""
    return attrs.evolve(head, recent_publishes=[], previous={})


def check_services(services: Mapping[str, ServiceFile]) -> None:
    """Check a complete set of services for missing references and overlapping routes.

    Args:
        services: All services of the configuration by name.

    Raises:
        ServiceFileError: For the first problem found.
    """
    known_routes = {
        f"{name}.{route.name}" for name, file in services.items() for route in file.routes
    }
    owners: dict[tuple[str, str], str] = {}
    for name in sorted(services):
        for route in services[name].routes:
            label = f"{name}.{route.name}"
            _check_dependencies(label, route.depends_on, known_routes)
            endpoint = (route.method, route.path)
            if endpoint in owners:
                message = f"{label} and {owners[endpoint]} both serve {route.method} {route.path}"
                raise ServiceFileError(ErrorCode.ROUTE_OVERLAP, message)
            owners[endpoint] = label


def check_finish_times(services: Mapping[str, ServiceFile], now: datetime) -> None:
    """Check that no takeover has a `finish_by` that is already past.

    Args:
        services: The services that a publish changes, by name.
        now: The current time, with a UTC offset.

    Raises:
        ServiceFileError: For the first takeover whose `finish_by` is not after `now`.
    """
    for name in sorted(services):
        takeover = services[name].takeover
        if takeover is not None and takeover.finish_by <= now:
            message = (
                f"{name}: `takeover.finish_by` {takeover.finish_by.isoformat()} is in the past"
            )
            raise ServiceFileError(ErrorCode.TAKEOVER_INVALID, message, "set a later time")


def _check_dependencies(label: str, depends_on: list[str], known_routes: set[str]) -> None:
    for target in depends_on:
        if target not in known_routes:
            message = f"{label}: `depends_on` names {target!r}, which does not exist"
            raise ServiceFileError(ErrorCode.REFERENCE_MISSING, message)
