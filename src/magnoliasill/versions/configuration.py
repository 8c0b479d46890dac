"""The configuration that a node holds: applied whole, and never an older one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..codes import ErrorCode
from ..errors import ConfigurationError, ServiceFileError
from .manifest import check_services, hash_blob
from .routing import RouteTable, compile_routes
from .service_file import ServiceFile, decode_service_file

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .manifest import Head


RECENT_HEADS = 16
MAX_REFUSED = 16


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
class ConfigurationState:
    """What a node has applied and what it is about to apply.

    Attributes:
        applied: The configuration in force, or None before the first.
        applied_at: When it was applied, in seconds of the node's clock.
        blobs: Blobs by hash: those of the applied, the staged and the pending head.
        pending: A newer head, some of whose blobs are still missing.
        staged: A newer configuration, whole and checked, that is not in force yet.
        staged_at: When it became whole.
        confirming_daemons: Daemons of the own data centre that hold the staged version or a newer one.
        recent_heads: The latest heads that were in force, the oldest first.
        refused: The latest versions that were refused as a whole.
        refused_reason: Why the last of them was refused.
    """

    applied: Snapshot | None = None
    applied_at: float = 0.0
    blobs: dict[str, bytes] = attrs.field(factory=dict)
    pending: Head | None = None
    staged: Snapshot | None = None
    staged_at: float = 0.0
    confirming_daemons: set[str] = attrs.field(factory=set)
    recent_heads: list[Head] = attrs.field(factory=list)
    refused: set[int] = attrs.field(factory=set)
    refused_reason: str = ""

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.applied.head.version if self.applied is not None else 0

    @property
    def held(self) -> Snapshot | None:
        """The newest configuration that is held whole, in force or about to be."""
        return self.staged if self.staged is not None else self.applied

    @property
    def held_version(self) -> int:
        """The version of `held`, 0 if there is none."""
        return self.held.head.version if self.held is not None else 0

    @property
    def refused_version(self) -> int:
        """The greatest version that was refused as a whole, 0 if there is none."""
        return max(self.refused, default=0)


def is_fetch_needed(table: ConfigurationState, version: int) -> bool:
    """Return whether a version is newer than what is held, and was not refused."""
    return version > table.held_version and version not in table.refused


def record_refused(table: ConfigurationState, version: int, reason: str) -> None:
    """Remember that a version was refused, so that it is not fetched again."""
    table.refused.add(version)
    table.refused_reason = reason
    if len(table.refused) > MAX_REFUSED:
        table.refused.remove(min(table.refused))


def list_missing_blobs(table: ConfigurationState, head: Head) -> list[str]:
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


def stage_head(table: ConfigurationState, now: float, head: Head) -> None:
    """Check a newer configuration as a whole and keep it ready, not in force yet.

    Args:
        table: The node's configuration.
        now: Seconds of the node's clock.
        head: A head whose blobs are all in the table.

    Raises:
        ConfigurationError: If the head is not newer, or can't be built. What is held stays.
    """
    if head.version <= table.held_version:
        message = f"version {head.version} is not above {table.held_version}"
        raise ConfigurationError(ErrorCode.VERSION_STALE, message)
    table.staged = build_snapshot(head, table.blobs)
    table.staged_at = now
    table.confirming_daemons = set()
    if table.pending is not None and table.pending.version <= head.version:
        table.pending = None
    drop_unused_blobs(table)


def apply_staged(table: ConfigurationState, now: float) -> None:
    """Put the staged configuration in force, by one assignment.

    Args:
        table: The node's configuration, with a staged one.
        now: Seconds of the node's clock.
    """
    if table.staged is None or table.staged.head.version <= table.version:
        raise ConfigurationError(ErrorCode.VERSION_STALE, "nothing newer is staged")
    table.applied, table.staged = table.staged, None
    table.applied_at = now
    table.recent_heads = [*table.recent_heads, table.applied.head][-RECENT_HEADS:]
    drop_unused_blobs(table)


def drop_unused_blobs(table: ConfigurationState) -> None:
    """Forget blobs that neither the applied, the staged nor the pending head names."""
    heads = [snapshot.head for snapshot in (table.applied, table.staged) if snapshot is not None]
    if table.pending is not None:
        heads.append(table.pending)
    wanted = {digest for head in heads for digest in head.services.values()}
    table.blobs = {digest: blob for digest, blob in table.blobs.items() if digest in wanted}
