"""What must always hold, as checks over a recorded history.

A recorder writes down an `Observation` whenever a configuration comes in force on a daemon, and
an `Acceptance` whenever the platform's store accepts one. The checks return breaches as text.
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
    """A configuration came in force on a daemon.

    Attributes:
        at: Seconds of the recorder's clock.
        daemon: The daemon's name, the same before and after a restart.
        version: The version that came in force.
        manifest: The hash of its manifest.
    """

    at: float
    daemon: str
    version: int
    manifest: str


@attrs.frozen
class Acceptance:
    """The platform's store accepted a configuration."""

    at: float
    version: int
    manifest: str


def check_versions(observations: Iterable[Observation]) -> list[str]:
    """Find daemons that returned to an older version, or applied one twice as something new."""
    breaches: list[str] = []
    latest: dict[str, Observation] = {}
    for seen in sorted(observations, key=lambda observation: observation.at):
        before = latest.get(seen.daemon)
        if before is not None and seen.version < before.version:
            breaches.append(f"{seen.daemon}: {before.version} then {seen.version} at {seen.at}")
        latest[seen.daemon] = seen
    return breaches


def check_accepted(
    observations: Iterable[Observation], acceptances: Iterable[Acceptance]
) -> list[str]:
    """Find versions in force that were never accepted, or with other contents."""
    manifests = {acceptance.version: acceptance.manifest for acceptance in acceptances}
    return [
        f"{seen.daemon}: version {seen.version} is not what was accepted"
        for seen in observations
        if manifests.get(seen.version) != seen.manifest
    ]


def check_convergence(
    observations: Iterable[Observation],
    acceptance: Acceptance,
    daemons: Iterable[str],
    limit_s: float = CONVERGENCE_LIMIT_S,
) -> list[str]:
    """Find daemons on which an accepted version, or a newer one, was not in force in time.

    Args:
        observations: The history.
        acceptance: What was accepted.
        daemons: Those that a path led to, all the time.
        limit_s: Seconds from the acceptance.
    """
    in_time = {
        seen.daemon
        for seen in observations
        if seen.version >= acceptance.version and seen.at <= acceptance.at + limit_s
    }
    late = sorted(set(daemons) - in_time)
    return [f"{name}: version {acceptance.version} not within {limit_s} s" for name in late]


def check_snapshot(snapshot: Snapshot) -> list[str]:
    """Find routes in force that point at a resource that the daemon does not have."""
    breaches: list[str] = []
    if snapshot.services.keys() != snapshot.head.services.keys():
        breaches.append(f"version {snapshot.head.version} is in force in part")
    tables = (snapshot.routes.exact, snapshot.routes.prefixes)
    targets = [target for table in tables for target in table.values()]
    routes = {
        f"{name}.{route.name}"
        for name, service in snapshot.services.items()
        for route in service.routes
    }
    if len(targets) != len(routes):
        breaches.append(f"version {snapshot.head.version}: {len(targets)} of {len(routes)} routes")
    for target in targets:
        name = target.service.service
        if snapshot.services.get(name) is not target.service:
            breaches.append(f"route {target.route.name} points at a missing service {name}")
        missing = sorted(set(target.route.depends_on) - routes)
        breaches += [f"route {name}.{target.route.name} needs missing {label}" for label in missing]
    return breaches


def check_table(table: ConfigurationState) -> list[str]:
    """Find what is wrong with a node's configuration at this instant."""
    if table.applied is None:
        return []
    breaches = check_snapshot(table.applied)
    for name, digest in table.applied.head.services.items():
        blob = table.blobs.get(digest, b"")
        if hash_blob(blob) != digest:
            breaches.append(f"{name}: the blob in force is not held")
        elif decode_service_file(blob) != table.applied.services[name]:
            breaches.append(f"{name}: the blob held is not in force")
    return breaches


def check_leaving(
    views: Mapping[str, Iterable[MemberRecord]], server_address: str, age_s: float
) -> list[str]:
    """Find daemons that still give work to a backend server that is leaving.

    Args:
        views: For each daemon, the backend servers that it gives new work to.
        server_address: The backend server that is leaving.
        age_s: Seconds since it said so.
    """
    if age_s <= LEAVING_LIMIT_S:
        return []
    return [
        f"{name}: gives work to {server_address} after {age_s:.1f} s"
        for name, servers in views.items()
        if any(record.server_address == server_address for record in servers)
    ]


def observe(at: float, daemon: str, table: ConfigurationState) -> Observation | None:
    """Return what is in force on a daemon, or None before the first configuration."""
    if table.applied is None:
        return None
    head = table.applied.head
    return Observation(at, daemon, head.version, hash_manifest(head.services))
