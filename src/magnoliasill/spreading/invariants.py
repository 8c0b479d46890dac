"""Invariants of configuration distribution, checked over a recorded history.

A recorder creates an `Observation` whenever a daemon applies a configuration, and an `Acceptance`
whenever the platform's store accepts one. Each check returns the violations as text.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..versions.manifest import hash_blob, hash_manifest
from ..versions.service_file import decode_service_file

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..core.messages import MemberRecord
    from ..versions.configuration import ConfigurationState, Snapshot

CONVERGENCE_LIMIT_S = 6.0
LEAVING_LIMIT_S = 3.0


@attrs.frozen
class Observation:
    """The event that a daemon applied a configuration.

    Attributes:
        at: Seconds of the recorder's clock.
        daemon: The daemon's name, which does not change at a restart.
        version: The applied version.
        manifest: The hash of its manifest.
    """

    at: float
    daemon: str
    version: int
    manifest: str


@attrs.frozen
class Acceptance:
    """The event that the platform's store accepted a configuration."""

    at: float
    version: int
    manifest: str


def check_versions(observations: Iterable[Observation]) -> list[str]:
    """Find daemons that applied an older version after a newer one."""
    violations: list[str] = []
    latest: dict[str, Observation] = {}
    for observed in sorted(observations, key=lambda observation: observation.at):
        previous = latest.get(observed.daemon)
        if previous is not None and observed.version < previous.version:
            violations.append(
                f"{observed.daemon}: {previous.version} then {observed.version} at {observed.at}"
            )
        latest[observed.daemon] = observed
    return violations


def check_accepted(
    observations: Iterable[Observation], acceptances: Iterable[Acceptance]
) -> list[str]:
    """Find applied versions that were never accepted, or whose contents differ."""
    manifests = {acceptance.version: acceptance.manifest for acceptance in acceptances}
    return [
        f"{observed.daemon}: version {observed.version} differs from what was accepted"
        for observed in observations
        if manifests.get(observed.version) != observed.manifest
    ]


def check_convergence(
    observations: Iterable[Observation],
    acceptance: Acceptance,
    daemons: Iterable[str],
    limit_s: float = CONVERGENCE_LIMIT_S,
) -> list[str]:
    """Find daemons that did not apply an accepted version, or a newer one, in time.

    Args:
        observations: The recorded history.
        acceptance: The accepted version.
        daemons: The daemons that were reachable all the time.
        limit_s: The time limit, in seconds after the acceptance.
    """
    in_time = {
        observed.daemon
        for observed in observations
        if observed.version >= acceptance.version and observed.at <= acceptance.at + limit_s
    }
    late = sorted(set(daemons) - in_time)
    return [f"{name}: version {acceptance.version} not within {limit_s} s" for name in late]


def check_snapshot(snapshot: Snapshot) -> list[str]:
    """Find active routes that refer to a service or a route that the daemon does not have."""
    violations: list[str] = []
    if snapshot.services.keys() != snapshot.head.services.keys():
        violations.append(f"version {snapshot.head.version} is only partly active")
    tables = (snapshot.routes.exact, snapshot.routes.prefixes)
    targets = [target for table in tables for target in table.values()]
    routes = {
        f"{name}.{route.name}"
        for name, service in snapshot.services.items()
        for route in service.routes
    }
    if len(targets) != len(routes):
        violations.append(
            f"version {snapshot.head.version}: {len(targets)} of {len(routes)} routes"
        )
    for target in targets:
        name = target.service.service
        if snapshot.services.get(name) is not target.service:
            violations.append(f"route {target.route.name} refers to missing service {name}")
        missing = sorted(set(target.route.depends_on) - routes)
        violations += [
            f"route {name}.{target.route.name} depends on missing {route_name}"
            for route_name in missing
        ]
    return violations


def check_table(table: ConfigurationState) -> list[str]:
    """Find inconsistencies in a node's current configuration."""
    if table.applied is None:
        return []
    violations = check_snapshot(table.applied)
    for name, digest in table.applied.head.services.items():
        blob = table.blobs.get(digest, b"")
        if hash_blob(blob) != digest:
            violations.append(f"{name}: the blob of the active service is missing or corrupt")
        elif decode_service_file(blob) != table.applied.services[name]:
            violations.append(f"{name}: the stored blob differs from the active service")
    return violations


def check_leaving(
    views: Mapping[str, Iterable[MemberRecord]], server_address: str, age_s: float
) -> list[str]:
    """Find daemons that still send requests to a backend server that is leaving.

    Args:
        views: For each daemon, the backend servers to which it sends new requests.
        server_address: The backend server that is leaving.
        age_s: Seconds since it reported that it is leaving.
    """
    if age_s <= LEAVING_LIMIT_S:
        return []
    return [
        f"{name}: sends requests to {server_address} after {age_s:.1f} s"
        for name, servers in views.items()
        if any(record.server_address == server_address for record in servers)
    ]


def observe(at: float, daemon: str, table: ConfigurationState) -> Observation | None:
    """Return an observation of a daemon's active configuration, or None if there is none yet."""
    if table.applied is None:
        return None
    head = table.applied.head
    return Observation(at, daemon, head.version, hash_manifest(head.services))
