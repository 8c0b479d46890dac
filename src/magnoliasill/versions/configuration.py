"""Checks, stages and applies a node's configuration.

A version is applied completely or not at all, and never replaced by an older one.
"""

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
MAX_REFUSED_VERSIONS = 16


@attrs.frozen
class Snapshot:
    """A complete configuration that has been checked and is ready to serve.

    Attributes:
        head: The version and the hashes of its services.
        services: All services by name.
        routes: The compiled route table.
    """

    head: Head
    services: dict[str, ServiceFile]
    routes: RouteTable


@attrs.define
class ConfigurationState:
    """The configuration that a node has applied, and newer ones that it is receiving.

    Attributes:
        applied: The applied configuration, or None before the first one.
        applied_at: When it was applied, in seconds of the node's clock.
        blobs: The blobs of the applied, the staged and the pending head, by hash.
        pending: A newer head, some of whose blobs are still missing.
        staged: A newer configuration that is complete and checked but not applied yet.
        staged_at: When it was staged, in seconds of the node's clock.
        confirming_daemons: Daemons of this node's data centre that hold the staged version or a
            newer one.
        recent_heads: The heads that were applied last, oldest first; deltas are built from them.
        refused: The newest versions that failed the checks and are not fetched again.
        refused_reason: Why the version refused last was refused.
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
        """The applied version, 0 before the first one."""
        return self.applied.head.version if self.applied is not None else 0

    @property
    def held(self) -> Snapshot | None:
        """The newest complete configuration: the staged one, else the applied one."""
        return self.staged if self.staged is not None else self.applied

    @property
    def held_version(self) -> int:
        """The version of `held`, 0 if there is none."""
        return self.held.head.version if self.held is not None else 0

    @property
    def refused_version(self) -> int:
        """The greatest refused version, 0 if there is none."""
        return max(self.refused, default=0)


def is_fetch_needed(state: ConfigurationState, version: int) -> bool:
    """Return whether a version is newer than the held one and was not refused."""
    return version > state.held_version and version not in state.refused


def record_refused(state: ConfigurationState, version: int, reason: str) -> None:
    """Record that a version was refused, so that it is not fetched again."""
    state.refused.add(version)
    state.refused_reason = reason
    if len(state.refused) > MAX_REFUSED_VERSIONS:
        state.refused.remove(min(state.refused))


def list_missing_blobs(state: ConfigurationState, head: Head) -> list[str]:
    """Return the sorted hashes of a head's blobs that the node does not have."""
    return sorted(set(head.services.values()) - state.blobs.keys())


def build_snapshot(head: Head, blobs: Mapping[str, bytes]) -> Snapshot:
    """Decode and check a complete configuration and compile its route table.

    Args:
        head: The head of the configuration.
        blobs: Blobs by hash, including those that the head references.

    Returns:
        The snapshot.

    Raises:
        ConfigurationError: If a blob is missing or corrupt, a reference is missing, or routes
            overlap.
    """
    services: dict[str, ServiceFile] = {}
    for name, digest in head.services.items():
        blob = blobs.get(digest)
        if blob is None or hash_blob(blob) != digest:
            raise ConfigurationError(
                ErrorCode.BLOB_CORRUPT, f"{name}: blob {digest} is missing or corrupt"
            )
        try:
            services[name] = decode_service_file(blob)
        except ServiceFileError as error:
            raise ConfigurationError(error.code, error.message) from error
        if services[name].service != name:
            raise ConfigurationError(
                ErrorCode.BLOB_CORRUPT, f"{name}: the blob belongs to another service"
            )
    try:
        check_services(services)
    except ServiceFileError as error:
        raise ConfigurationError(error.code, error.message) from error
    return Snapshot(head, services, compile_routes(services))


def stage_head(state: ConfigurationState, now: float, head: Head) -> None:
    """Check a newer configuration and stage it, without applying it yet.

    Args:
        state: The node's configuration.
        now: The current time, in seconds of the node's clock.
        head: A head whose blobs are all in `state`.

    Raises:
        ConfigurationError: If the head is not newer than the held one or fails the checks. The held
            configuration is then unchanged.
    """
    if head.version <= state.held_version:
        message = f"version {head.version} is not newer than {state.held_version}"
        raise ConfigurationError(ErrorCode.VERSION_STALE, message)
    state.staged = build_snapshot(head, state.blobs)
    state.staged_at = now
    state.confirming_daemons = set()
    if state.pending is not None and state.pending.version <= head.version:
        state.pending = None
    drop_unused_blobs(state)


def apply_staged(state: ConfigurationState, now: float) -> None:
    """Apply the staged configuration, in a single assignment.

    Args:
        state: The node's configuration, with a staged one.
        now: The current time, in seconds of the node's clock.

    Raises:
        ConfigurationError: If no configuration is staged that is newer than the applied one.
    """
    if state.staged is None or state.staged.head.version <= state.version:
        raise ConfigurationError(ErrorCode.VERSION_STALE, "no newer configuration is staged")
    state.applied, state.staged = state.staged, None
    state.applied_at = now
    state.recent_heads = [*state.recent_heads, state.applied.head][-RECENT_HEADS:]
    drop_unused_blobs(state)


def drop_unused_blobs(state: ConfigurationState) -> None:
    """Remove blobs that none of the applied, staged and pending heads references."""
    heads = [snapshot.head for snapshot in (state.applied, state.staged) if snapshot is not None]
    if state.pending is not None:
        heads.append(state.pending)
    wanted = {digest for head in heads for digest in head.services.values()}
    state.blobs = {digest: blob for digest, blob in state.blobs.items() if digest in wanted}
