"""The commands that show the state of daemons, their members and their convergence."""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import msgspec

from ..codes import ErrorCode
from ..core.messages import MemberRecord
from ..errors import AdministrationError
from ..process.version_report import VersionReport
from .client import read_daemon
from .publishing_commands import format_output

PARALLEL_REQUESTS = 32
VERSION_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.2


@attrs.frozen
class DaemonVersion:
    """The configuration version that one daemon has applied, as it reported.

    Attributes:
        name: The daemon's name.
        data_centre: Its data centre.
        version: The applied version, or None if the daemon did not respond.
        reason: Why it is behind the newest version, or empty.
    """

    name: str
    data_centre: str
    version: int | None
    reason: str = ""


@attrs.frozen
class Convergence:
    """Which configuration versions all daemons have applied.

    Attributes:
        newest: The newest version that any daemon reports or that the operator named.
        converged: Whether every daemon has applied it.
        versions: For each data centre, how many daemons have applied each version.
        behind: The daemons that have not applied the newest version.
    """

    newest: int
    converged: bool
    versions: dict[str, dict[str, int]]
    behind: list[DaemonVersion]


def dump(address: str) -> str:
    """Print the state of a daemon.

    Args:
        address: The daemon's administration address, `ip:port`.
    """
    state = read_daemon(str(address), "/v1/state", dict[str, Any])
    return msgspec.json.format(msgspec.json.encode(state), indent=2).decode()


def members(address: str, json: bool = False) -> str:
    """Show the daemons and backend servers that a daemon knows.

    Args:
        address: The daemon's administration address, `ip:port`.
        json: Print JSON.
    """
    records = read_daemon(str(address), "/v1/members", list[MemberRecord])
    lines = [f"{len(records)} daemons"]
    for record in sorted(records, key=lambda record: (record.data_centre, record.name)):
        server = "no backend server"
        if record.service:
            state = "serving" if record.serving else "not serving"
            server = f"{record.service} {record.release} {record.server_address} {state}"
        lines.append(f"  {record.data_centre}  {record.name}  {record.status}  {server}")
    data = [attrs.asdict(record) for record in records]
    return format_output(data, "\n".join(lines), json)


def convergence(address: str, version: int = 0, wait: float = 0.0, json: bool = False) -> str:
    """Show how many daemons of each data centre have which version, and who is behind and why.

    Args:
        address: The administration address of any daemon, `ip:port`; it names the others.
        version: The version to look for, where a newer one is not known.
        wait: Seconds to wait for every daemon; the command fails when they are over.
        json: Print JSON.
    """
    deadline = time.monotonic() + float(wait)
    report = measure_convergence(str(address), int(version))
    while not report.converged and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
        report = measure_convergence(str(address), int(version))
    if wait and not report.converged:
        message = f"after {wait} s\n{_format_convergence(report)}\n"
        raise AdministrationError(ErrorCode.NOT_CONVERGED, message)
    return format_output(attrs.asdict(report), _format_convergence(report), json)


def measure_convergence(address: str, version: int = 0) -> Convergence:
    """Read the version of every daemon that one daemon knows as alive or suspect.

    Args:
        address: The administration address of a daemon.
        version: The version to look for, unless a daemon reports a newer one.

    Raises:
        AdministrationError: If that daemon does not respond.
    """
    records = read_daemon(address, "/v1/members", list[MemberRecord])
    polled = [record for record in records if record.status in ("alive", "suspect")]
    with ThreadPoolExecutor(PARALLEL_REQUESTS) as pool:
        results = list(pool.map(_read_version, polled))
    known_versions = [_find_newest(result) for result in results if not isinstance(result, str)]
    newest = max([version, *known_versions])
    pairs = zip(polled, results, strict=True)
    daemon_versions = [_build_daemon_version(record, result, newest) for record, result in pairs]
    behind = [
        daemon_version for daemon_version in daemon_versions if daemon_version.version != newest
    ]
    versions: dict[str, Counter[str]] = {}
    for daemon_version in daemon_versions:
        label = "no answer" if daemon_version.version is None else str(daemon_version.version)
        versions.setdefault(daemon_version.data_centre, Counter())[label] += 1
    counts = {name: dict(sorted(counter.items())) for name, counter in sorted(versions.items())}
    return Convergence(newest, not behind, counts, behind)


def _read_version(record: MemberRecord) -> VersionReport | str:
    host, _, _ = record.peer_address.rpartition(":")
    try:
        address = f"{host}:{record.admin_port}"
        return read_daemon(address, "/v1/version", VersionReport, VERSION_TIMEOUT_S)
    except AdministrationError as error:
        return f"does not answer ({record.status}): {error.message}"


def _find_newest(report: VersionReport) -> int:
    return max(report.version, report.held_version, report.pending_version, report.refused_version)


def _build_daemon_version(
    record: MemberRecord, result: VersionReport | str, newest: int
) -> DaemonVersion:
    if isinstance(result, str):
        return DaemonVersion(record.name, record.data_centre, None, result)
    if result.version == newest:
        return DaemonVersion(record.name, record.data_centre, newest)
    if result.refused_version:
        reason = f"refused version {result.refused_version}: {result.refused_reason}"
    elif result.pending_version:
        reason = f"waits for the content of version {result.pending_version}"
    elif not result.joined:
        reason = "has not heard enough other daemons since its start"
    elif result.held_version == newest:
        reason = f"holds version {newest} and waits for other daemons to confirm theirs"
    elif result.store_available:
        reason = f"has not heard of version {newest}"
    else:
        reason = f"has not heard of version {newest}, and the store does not answer it"
    return DaemonVersion(record.name, record.data_centre, result.version, reason)


def _format_convergence(report: Convergence) -> str:
    state = "in force everywhere" if report.converged else "not in force everywhere"
    lines = [f"version {report.newest} is {state}"]
    for data_centre, counts in report.versions.items():
        parts = [f"{count} on {label}" for label, count in counts.items()]
        lines.append(f"  {data_centre}: {', '.join(parts)}")
    for daemon_version in report.behind:
        version = "?" if daemon_version.version is None else daemon_version.version
        lines.append(f"  behind: {daemon_version.name} on {version}: {daemon_version.reason}")
    return "\n".join(lines)
