"""Sends gates notices of requests under which backend servers ended.

A data centre that is cut off, or an overload, lets many requests end without an answer at once. The
number of messages about them is bounded: all findings of a sidecar share a rate of rounds to the
gates, and a gate gets one notice at a time, with all that it has not been told.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import eventlet

from ..codes import LogEvent
from ..mesh.crash_findings import CrashRecord, describe_request
from ..mesh.members import find_condition
from ..mesh.rate_limits import estimate_token_wait, take_token
from ..mesh.records import encode_record
from ..urgent_hub import set_urgent, spawn_urgent
from .member_requests import request_from_member
from .state import NEVER

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..mesh.members import Member
    from .state import Sidecar

NOTICE_PATH = "/mesh/crashes"
MAX_NOTICE_RECORDS = 128
MAX_NOTICE_BYTES = 262_144  # such a notice with the most servers for each request
NOTICE_TIMEOUT_S = 0.5
NOTICE_RETRY_S = (0.2, 0.6)
SILENT_S = 4.0  # without notices to a gate that answered none
MIN_ROUND_WAIT_S = 0.001


def schedule_round(
    sidecar: Sidecar,
    finding: tuple[str, bytes],
    delay_s: float,
    handle_answer: Callable[[list[CrashRecord]], None],
) -> None:
    """Have the gates of a service told of a request, together with others found until then.

    Args:
        sidecar: State of this sidecar.
        finding: The service and the request's fingerprint.
        delay_s: The seconds after which it should be told; later if there were many rounds.
        handle_answer: Called with what a gate knows beyond a notice.
    """
    reports, now = sidecar.crash_reports, sidecar.clock()
    reports.unsent.add(finding)
    wait_s = max(delay_s, estimate_token_wait(reports.rounds, 0, now))
    if now + wait_s < reports.due_at:
        reports.due_at = now + wait_s
        eventlet.spawn_after(wait_s, _begin_round, sidecar, handle_answer)


def _begin_round(sidecar: Sidecar, handle_answer: Callable[[list[CrashRecord]], None]) -> None:
    set_urgent(True)
    reports, now = sidecar.crash_reports, sidecar.clock()
    if not reports.unsent:
        return
    if not take_token(reports.rounds, now):
        wait_s = max(estimate_token_wait(reports.rounds, 0, now), MIN_ROUND_WAIT_S)
        reports.due_at = now + wait_s
        eventlet.spawn_after(wait_s, _begin_round, sidecar, handle_answer)
        return
    unsent, reports.unsent, reports.due_at = reports.unsent, set(), inf
    for service in sorted({service for service, _ in unsent}):
        findings = {finding for finding in unsent if finding[0] == service}
        for member in _list_reachable_gates(sidecar, service):
            untold = reports.untold.get(member.name)
            if untold is not None:  # a notice is on its way
                untold |= findings
                continue
            reports.untold[member.name] = set(findings)
            spawn_urgent(_notify_member, sidecar, member, handle_answer)


def _list_reachable_gates(sidecar: Sidecar, service: str) -> list[Member]:
    """Return the other gates of a service, without those that could not be reached just now."""
    return [
        member
        for name, member in sidecar.members.by_service.get(service, {}).items()
        if name != sidecar.settings.name and _is_reachable(sidecar, member)
    ]


def _is_reachable(sidecar: Sidecar, member: Member) -> bool:
    """Return whether neither requests nor notices to a gate have failed just now."""
    silent_until = sidecar.crash_reports.silent_until.get(member.name, NEVER)
    avoid_until = find_condition(sidecar.members, member).avoid_until
    return max(silent_until, avoid_until) <= sidecar.clock()


def _notify_member(
    sidecar: Sidecar, member: Member, handle_answer: Callable[[list[CrashRecord]], None]
) -> None:
    """Send a gate notices until it knows all that it was to be told, or does not answer."""
    untold, failures = sidecar.crash_reports.untold[member.name], 0
    try:
        while untold:
            chosen = sorted(untold)[:MAX_NOTICE_RECORDS]
            untold.difference_update(chosen)  # what is found about them from now on is told again
            answer = exchange_records(
                sidecar, member, NOTICE_PATH, describe_findings(sidecar, chosen)
            )
            if answer is not None:
                failures = 0
                handle_answer(answer)
                continue
            untold.update(chosen)
            log_unshared(sidecar, "notice_lost", member.name, "no answer to a notice")
            if failures == len(NOTICE_RETRY_S) or not _is_reachable(sidecar, member):
                # Until it can be reached again, it learns of findings from the store.
                sidecar.crash_reports.silent_until[member.name] = sidecar.clock() + SILENT_S
                return
            eventlet.sleep(NOTICE_RETRY_S[failures])
            failures += 1
    finally:
        del sidecar.crash_reports.untold[member.name]


def exchange_records(
    sidecar: Sidecar,
    member: Member,
    target: str,
    records: list[CrashRecord],
    timeout_s: float = NOTICE_TIMEOUT_S,
) -> list[CrashRecord] | None:
    """Send records to a gate and return those that it answers with, or None without an answer."""
    body = encode_record(records)
    return request_from_member(sidecar, member, target, timeout_s, list[CrashRecord], body)


def describe_findings(sidecar: Sidecar, findings: Iterable[tuple[str, bytes]]) -> list[CrashRecord]:
    """Return what is known of requests, each given by its service and its fingerprint."""
    found = [describe_request(sidecar.crash_findings, *finding) for finding in findings]
    return [record for record in found if record is not None]


def log_unshared(sidecar: Sidecar, outcome: str, other: str, reason: str) -> None:
    """Count and log that findings could not be exchanged with the store or another sidecar."""
    sidecar.meters.count("crashes", outcome)
    sidecar.log(LogEvent.FINDINGS_UNSHARED, other=other, reason=reason)
