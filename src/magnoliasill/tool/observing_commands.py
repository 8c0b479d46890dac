"""The commands that show what daemons do: state, members and convergence."""

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
from ..process.progress import VersionReport
from .client import read_daemon
from .publishing_commands import format_output

PARALLEL_REQUESTS = 32
VERSION_TIMEOUT_S = 2.0
POLL_S = 0.2


@attrs.frozen
class Standing:
    """How far one daemon has come, as the tool saw it.

    Attributes:
        name: The daemon's name.
        data_centre: Its data centre.
        version: The version in force, or None where it did not answer.
        reason: Why it is behind, or empty.
    """

    name: str
    data_centre: str
    version: int | None
    reason: str = ""


@attrs.frozen
class Convergence:
    """How far all daemons have come.

    Attributes:
        newest: The newest version that any daemon knows of.
        converged: Whether every daemon has it in force.
        versions: For each data centre, how many daemons have which version in force.
        behind: The daemons that don't have the newest version.
    """

    newest: int
    converged: bool
    versions: dict[str, dict[str, int]]
    behind: list[Standing]


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
    until = time.monotonic() + float(wait)
    report = measure_convergence(str(address), int(version))
    while not report.converged and time.monotonic() < until:
        time.sleep(POLL_S)
        report = measure_convergence(str(address), int(version))
    if wait and not report.converged:
        message = f"after {wait} s\n{_format_convergence(report)}\n"
        raise AdministrationError(ErrorCode.NOT_CONVERGED, message)
    return format_output(attrs.asdict(report), _format_convergence(report), json)


def measure_convergence(address: str, version: int = 0) -> Convergence:
    """Ask every daemon that one daemon knows for its version.

    Args:
        address: The administration address of a daemon.
        version: The least version to look for.

    Raises:
        AdministrationError: If that daemon does not answer.
    """
    records = read_daemon(address, "/v1/members", list[MemberRecord])
    present = [record for record in records if record.status in ("alive", "suspect")]
    with ThreadPoolExecutor(PARALLEL_REQUESTS) as pool:
        answers = list(pool.map(_read_version, present))
    known = [_find_newest(answer) for answer in answers if not isinstance(answer, str)]
    newest = max([version, *known])
    pairs = zip(present, answers, strict=True)
    standings = [_judge(record, answer, newest) for record, answer in pairs]
    behind = [standing for standing in standings if standing.version != newest]
    versions: dict[str, Counter[str]] = {}
    for standing in standings:
        label = "no answer" if standing.version is None else str(standing.version)
        versions.setdefault(standing.data_centre, Counter())[label] += 1
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


def _judge(record: MemberRecord, answer: VersionReport | str, newest: int) -> Standing:
    if isinstance(answer, str):
        return Standing(record.name, record.data_centre, None, answer)
    if answer.version == newest:
        return Standing(record.name, record.data_centre, newest)
    if answer.refused_version:
        reason = f"refused version {answer.refused_version}: {answer.refused_reason}"
    elif answer.pending_version:
        reason = f"waits for the content of version {answer.pending_version}"
    elif not answer.joined:
        reason = "has not heard enough other daemons since its start"
    elif answer.held_version == newest:
        reason = f"holds version {newest} and waits for other daemons to confirm theirs"
    elif answer.store_available:
        reason = f"has not heard of version {newest}"
    else:
        reason = f"has not heard of version {newest}, and the store does not answer it"
    return Standing(record.name, record.data_centre, answer.version, reason)


def _format_convergence(report: Convergence) -> str:
    state = "in force everywhere" if report.converged else "not in force everywhere"
    lines = [f"version {report.newest} is {state}"]
    for data_centre, counts in report.versions.items():
        parts = [f"{count} on {label}" for label, count in counts.items()]
        lines.append(f"  {data_centre}: {', '.join(parts)}")
    for standing in report.behind:
        version = "?" if standing.version is None else standing.version
        lines.append(f"  behind: {standing.name} on {version}: {standing.reason}")
    return "\n".join(lines)
