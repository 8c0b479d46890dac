"""The command that shows where a sidecar would send a request now."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import attrs

from ..codes import ErrorCode
from ..errors import AdministrationError
from ..mesh.where_answer import WhereAnswer
from ..publishing.command_targets import DAEMON_VARIABLE
from .client import read_daemon
from .publishing_commands import format_output

if TYPE_CHECKING:
    from ..mesh.where_answer import Candidate, RefusalForecast, TeamStanding

TIMEOUT_S = 20.0  # a busy process answers other requests between the choices
COLUMNS = (
    "share",
    "server",
    "data centre",
    "service",
    "release",
    "expected",
    "load",
    "pace",
    "report age",
    "left out",
)
EXCLUSIONS = {
    "leaving": "its server or sidecar is leaving",
    "evacuated": "its data centre is being evacuated",
    "release_withheld": "its release gets no requests",
    "release_share": "its release's share gave the request to other servers",
    "avoided": "avoided: unreachable, or its gate closed",
    "full": "too full to meet the target",
    "closed": "too full, also for late requests",
    "cold": "cold: its next turn is too late",
    "rate_limited": "at its rate limit",
    "remote_not_needed": "not needed: the own data centre is fast enough",
}


def where(
    method: str,
    host: str,
    path: str,
    at: str = "",
    key_file: str = "",
    count: int = 1,
    json: bool = False,
) -> str:
    """Show where a sidecar would send a request now, without sending it.

    Args:
        method: The request's method.
        host: The value of its Host header.
        path: Its path.
        at: The metrics address of the sidecar on this VM, `ip:port`.
        key_file: A file with the key of the team that sends it.
        count: Repeats the choice so often and shows the share of each server.
        json: Print JSON.

    Raises:
        AdministrationError: If no address is given, the file can't be read, or the sidecar does
            not answer.
    """
    address = str(at) or os.environ.get(DAEMON_VARIABLE, "")
    if not address:
        message = f"no address: --at and {DAEMON_VARIABLE} are empty"
        advice = "give the metrics address of this VM's sidecar, --at ip:port"
        raise AdministrationError(ErrorCode.USAGE_INVALID, message, advice)
    if key_file:
        _require_own_address(address)
    fields = {"method": str(method), "host": str(host), "path": str(path), "count": str(count)}
    headers = _read_key(str(key_file)) if key_file else {}
    target = f"/where?{urlencode(fields)}"
    answer = read_daemon(address, target, WhereAnswer, TIMEOUT_S, headers)
    return format_output(attrs.asdict(answer), format_answer(answer), json)


def _require_own_address(address: str) -> None:
    """Refuse to send a key to another VM, where the connection is not encrypted either.

    Raises:
        AdministrationError: If the address is not one of this VM.
    """
    host = address.rpartition(":")[0]
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((host, 0))  # possible only at an own address
    except OSError as error:
        message = f"{address} is not on this VM, so no key is sent there"
        advice = "run the command on the VM of the sidecar, or without --key-file"
        raise AdministrationError(ErrorCode.USAGE_INVALID, message, advice) from error


def _read_key(file: str) -> dict[str, str]:
    """Return the header with the key in a file; errors name the file, never its content."""
    try:
        with open(file, encoding="ascii") as lines:
            key = lines.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not plain ASCII"
        raise AdministrationError(ErrorCode.FILE_UNREADABLE, f"{file}: {reason}") from None
    if not key or not key.isprintable() or " " in key:
        message = f"{file}: holds no single key"
        raise AdministrationError(ErrorCode.FILE_INVALID, message)
    return {"Authorization": f"Bearer {key}"}


def format_answer(answer: WhereAnswer) -> str:
    """Return an answer as text for people: a few lines and one table."""
    lines = [
        f"{answer.method} {answer.host} {answer.path} at {answer.sidecar} ({answer.data_centre})",
        f"configuration r{answer.version}, copy of the store {answer.store_age_s:.1f} s old",
    ]
    if answer.route:
        split = ", ".join(
            f"{each.service} (weight {each.weight:g}, got {each.share:.1%})"
            for each in answer.destinations
        )
        lines.append(f"route {answer.route}, {answer.kind}, to {split or 'no service'}")
    if answer.team is not None:
        lines.append(_describe_team(answer.team))
    if answer.shed_share:
        lines.append(f"the process is late: {answer.shed_share:.1%} of requests are refused first")
    if answer.evacuated:
        lines.append(f"evacuated data centres: {', '.join(answer.evacuated)}")
    if answer.refusal is not None:
        lines.append(f"refused: {_describe_refusal(answer.refusal)}")
    elif answer.chosen:
        lines.append(f"goes to {answer.chosen}, release {answer.release}")
    if answer.count > 1:
        lines.append(f"{answer.count} choices, {answer.unserved:.1%} found no server")
    if answer.otherwise is not None:
        lines.append(f"if no server takes it: {_describe_refusal(answer.otherwise)}")
    if answer.candidates:
        lines += ["", *_format_table([COLUMNS, *map(_list_cells, answer.candidates)])]
    return "\n".join(lines)


def _describe_team(team: TeamStanding) -> str:
    text = f"team {team.name}, priority {team.priority}"
    if team.left is None:
        return f"{text}, no quota"
    beyond = f"429 with Retry-After {team.retry_after_s:g} s"
    if team.asks_coordinator:
        beyond = f"the coordinator is asked for more, or {beyond}"
    return f"{text}, quota {team.rate_per_s:g}/s, {team.left} left here now; beyond that: {beyond}"


def _describe_refusal(refusal: RefusalForecast) -> str:
    text = f"{refusal.status} {refusal.code} ({refusal.reason})"
    if refusal.retry_after_s is None:
        return text
    low_s, high_s = refusal.retry_after_s
    return f"{text}, Retry-After {low_s:g} to {high_s:g} s"


def _list_cells(candidate: Candidate) -> tuple[str, ...]:
    age_s = candidate.report_age_s
    load = f"{candidate.busy}/{candidate.slots}"
    if candidate.in_flight:
        load += f" +{candidate.in_flight} sent"
    if candidate.failing:
        load += f" {candidate.failing:.0%} failing"
    return (
        f"{candidate.share:.1%}",
        candidate.member,
        candidate.data_centre,
        candidate.service,
        f"{candidate.release} ({candidate.release_share:.3g})",
        f"{candidate.expected_s:.3f} s",
        load,
        f"{candidate.pace:.2f}",
        "no report" if age_s is None else f"{age_s:.2f} s",
        _describe_exclusion(candidate),
    )


def _describe_exclusion(candidate: Candidate) -> str:
    text = EXCLUSIONS.get(candidate.excluded, candidate.excluded)
    if candidate.excluded_s is None:
        return text
    return f"{text}, {candidate.excluded_s:g} s more"


def _format_table(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
