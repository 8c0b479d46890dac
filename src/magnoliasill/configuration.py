"""The configuration that a node holds: applied whole, and never an older one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .codes import ErrorCode
from .errors import ConfigurationError, ServiceFileError
from .manifest import check_services, hash_blob
from .routing import RouteTable, compile_routes
from .service_file import ServiceFile, decode_service_file

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .manifest import Head


@attrs.frozen
class Snapshot:
    """One whole configuration, checked and ready to serve.

    Attributes:
        head: The version and the hashes of its services.
        services: Every service by name.
        routes: The compiled route table.
    """

    head: Head
    services: dict[str, ServiceFile]
    routes: RouteTable


@attrs.define
class ConfigurationTable:
    """What a node has applied and what it is about to apply.

    Attributes:
        applied: The configuration in force, or None before the first.
        applied_at: When it was applied, in seconds of the node's clock.
        blobs: Blobs by hash: those of the applied head and of the pending one.
        pending: A newer head, some of whose blobs are still missing.
        refused_version: The greatest version that was refused as a whole.
        refused_reason: Why it was refused.
    """

    applied: Snapshot | None = None
    applied_at: float = 0.0
    blobs: dict[str, bytes] = attrs.field(factory=dict)
    pending: Head | None = None
    refused_version: int = 0
    refused_reason: str = ""

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.applied.head.version if self.applied is not None else 0


def list_missing_blobs(table: ConfigurationTable, head: Head) -> list[str]:
    """Return the hashes of a head's blobs that the node lacks, sorted."""
    return sorted(set(head.services.values()) - table.blobs.keys())


def build_snapshot(head: Head, blobs: Mapping[str, bytes]) -> Snapshot:
    """Check a whole configuration and make it ready to serve.

    Args:
        head: The head to build.
        blobs: At least the blobs that the head names.

    Returns:
        The snapshot.

    Raises:
        ConfigurationError: If a blob is missing or corrupt, or the set is not closed.
    """
    services: dict[str, ServiceFile] = {}
    for name, digest in head.services.items():
        blob = blobs.get(digest)
        if blob is None or hash_blob(blob) != digest:
            raise ConfigurationError(ErrorCode.BLOB_CORRUPT, f"{name}: blob {digest}")
        try:
            services[name] = decode_service_file(blob)
        except ServiceFileError as error:
            raise ConfigurationError(error.code, error.message) from error
        if services[name].service != name:
            raise ConfigurationError(ErrorCode.BLOB_CORRUPT, f"{name}: blob of another service")
    try:
        check_services(services)
    except ServiceFileError as error:
        raise ConfigurationError(error.code, error.message) from error
    return Snapshot(head, services, compile_routes(services))


def apply_head(table: ConfigurationTable, now: float, head: Head) -> None:
    """Put a newer configuration in force, whole, once all its blobs are held.

    Args:
        table: The node's configuration.
        now: Seconds of the node's clock.
        head: A head whose blobs are all in the table.

    Raises:
        ConfigurationError: If the head is not newer, or can't be built. The one in force stays.
    """
    if head.version <= table.version:
        message = f"version {head.version} is not above {table.version}"
        raise ConfigurationError(ErrorCode.VERSION_STALE, message)
    snapshot = build_snapshot(head, table.blobs)
    wanted = set(head.services.values())
    table.applied = snapshot
    table.applied_at = now
    table.blobs = {digest: blob for digest, blob in table.blobs.items() if digest in wanted}
    table.pending = None
