"""Admits teams' requests within their quotas, and exchanges reports with the coordinators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import msgspec
from eventlet.event import Event

from ..codes import ErrorCode, LogEvent
from ..errors import CallError, ConfigurationError
from ..mesh.quota_coordinator import answer_report, choose_coordinator
from ..mesh.quota_messages import QuotaAnswer, QuotaReport, decode_report
from ..mesh.quotas import (
    REFUSAL_S,
    REPORT_INTERVAL_S,
    URGENT_INTERVAL_S,
    TeamUse,
    apply_answer,
    compute_quota,
    compute_share,
    describe_use,
    estimate_retry_after,
    forget_request,
    needs_report,
    take_token,
    update_use,
)
from ..urgent_hub import spawn_urgent
from .member_requests import request_from_member
from .quota_list import follow_stored_list, list_limited_teams
from .quota_records import (
    is_full_report_due,
    is_second_report_due,
    list_held_teams,
    note_full_answer,
)

if TYPE_CHECKING:
    from ..mesh.members import Member
    from ..mesh.quotas import Quota
    from ..mesh.routes import Team
    from .state import Sidecar

QUOTAS_PATH = "/mesh/quotas"
MAX_REPORT_BYTES = 262_144
REPORT_TIMEOUT_S = 0.4
# Of a request for an answer: two exchanges with another data centre, as it may arrive during one.
MAX_WAIT_S = 0.25
MAX_WAIT_SHARE = 0.25  # the same, of the time that its caller has left
CHECK_INTERVAL_S = 0.1  # between checks for teams to report without a request that waits
URGENT_CHECK_S = 0.02  # the same while one waits and the last report is not answered yet
UNKNOWN_RETRY_AFTER_S = 0.3  # while no coordinator is known, such as in a fleet that starts
IDLE_INTERVAL_S = 0.2  # between checks whether the configuration has teams with a quota
REFUSAL_END_S = 5.0  # without a refusal, after which a team counts as within its quota again


def admit_team_request(sidecar: Sidecar, team: Team, time_left_s: float) -> float:
    """Admit a request of a team, at once or once the coordinator has answered.

    Args:
        sidecar: State of this sidecar.
        team: The team.
        time_left_s: The seconds that the request's caller has left.

    Returns:
        When the request was admitted, for `return_token`.

    Raises:
        CallError: If the team is over its quota, or quotas are not divided yet.
    """
    now = sidecar.clock()
    if team.rate_per_s <= 0:
        return now
    use = sidecar.quotas.uses.setdefault(team.name, TeamUse())
    if (admitted_at := _try_to_admit(sidecar, team, use)) is not None:
        return admitted_at
    until = now + min(MAX_WAIT_S, time_left_s * MAX_WAIT_SHARE)
    if now >= use.refused_until:
        use.waiting += 1
        try:
            while (left_s := until - sidecar.clock()) > 0 and sidecar.clock() >= use.refused_until:
                _wake_reports(sidecar)
                answered = sidecar.quotas.answered.setdefault(team.name, Event())
                with eventlet.Timeout(left_s, False):
                    answered.wait()
                if (admitted_at := _try_to_admit(sidecar, team, use)) is not None:
                    return admitted_at
        finally:
            use.waiting -= 1
    if sidecar.quotas.listed is None:
        message = "no coordinator of quotas is known yet"
        raise CallError(ErrorCode.NOT_READY, message, UNKNOWN_RETRY_AFTER_S)
    use.missed += 1
    _record_refusal(sidecar, team)
    window_s = sidecar.settings.bounds.quota_window_s
    raise CallError(
        ErrorCode.TEAM_OVER_QUOTA,
        f"team {team.name} is over its quota of {team.rate_per_s:g} requests a second",
        estimate_retry_after(use, window_s, sidecar.clock()),
    )


def return_token(sidecar: Sidecar, team: Team, admitted_at: float | None = None) -> None:
    """Return the token of an admitted request that reached no backend server.

    Args:
        sidecar: State of this sidecar.
        team: The team.
        admitted_at: What `admit_team_request` returned, or None if that is not known.
    """
    use = sidecar.quotas.uses.get(team.name)
    if use is not None and team.rate_per_s > 0:
        sidecar.meters.count("quotas", "returned")
        forget_request(use, admitted_at)


def _try_to_admit(sidecar: Sidecar, team: Team, use: TeamUse) -> float | None:
    """Return when the request is admitted, or None if it is not."""
    quotas, bounds, now = sidecar.quotas, sidecar.settings.bounds, sidecar.clock()
    quota = compute_quota(team, bounds)
    update_use(use, quota.capacity, bounds.quota_window_s, now)
    share = find_share(sidecar, team, quota)
    if not take_token(use, share, now):
        return None
    sidecar.meters.count("quotas", "admitted")
    if team.name in quotas.refusing and now - quotas.refusing[team.name] >= REFUSAL_END_S:
        del quotas.refusing[team.name]
        sidecar.log(LogEvent.TEAM_WITHIN_QUOTA, team=team.name)
    return now


def find_share(sidecar: Sidecar, team: Team, quota: Quota) -> int:
    """Return the share; none in the first window of a process, whose predecessor may have used it.

    The state has no position before `run_quota_reports` has run for that long.
    """
    quotas = sidecar.quotas
    return compute_share(quota.shared, team.name, quotas.position, quotas.members)


def _record_refusal(sidecar: Sidecar, team: Team) -> None:
    quotas = sidecar.quotas
    sidecar.meters.count("quotas", "refused")
    if team.name not in quotas.refusing:
        sidecar.log(LogEvent.TEAM_OVER_QUOTA, team=team.name, rate_per_s=team.rate_per_s)
    quotas.refusing[team.name] = sidecar.clock()


def _wake_reports(sidecar: Sidecar) -> None:
    if not sidecar.quotas.wake.ready():
        sidecar.quotas.wake.send()


def run_quota_reports(sidecar: Sidecar) -> None:
    """Report teams' requests to the coordinators while there are quotas, until the process ends."""
    quotas, started_at = sidecar.quotas, sidecar.clock()
    checked_at = started_at
    while True:
        teams = list_limited_teams(sidecar)
        if not teams:
            eventlet.sleep(IDLE_INTERVAL_S)
            continue
        now = sidecar.clock()
        follow_stored_list(sidecar)
        if min(now - checked_at, now - started_at) >= sidecar.settings.bounds.quota_window_s:
            checked_at = now
            _find_position(sidecar)
        is_waiting = _send_due_reports(sidecar, teams)
        with eventlet.Timeout(URGENT_CHECK_S if is_waiting else CHECK_INTERVAL_S, False):
            quotas.wake.wait()
        if quotas.wake.ready():
            quotas.wake = Event()
            eventlet.sleep(0.001)  # requests that arrive together are reported together


def _find_position(sidecar: Sidecar) -> None:
    names = sorted(sidecar.members.records)
    quotas, name = sidecar.quotas, sidecar.settings.name
    quotas.members = len(names)
    quotas.position = names.index(name) if name in sidecar.members.records else None


def _send_due_reports(sidecar: Sidecar, teams: dict[str, Team]) -> bool:
    """Send what is due; return whether requests wait for a report that can't be sent yet."""
    quotas, bounds, now = sidecar.quotas, sidecar.settings.bounds, sidecar.clock()
    if quotas.listed is None:
        return False
    is_waiting = False
    due: dict[str, list[str]] = {}
    for name, use in quotas.uses.items():
        if name not in teams:
            continue
        update_use(use, compute_quota(teams[name], bounds).capacity, bounds.quota_window_s, now)
        if needs_report(use, now):
            due.setdefault(choose_coordinator(quotas.listed.names, name), []).append(name)
    is_full = is_full_report_due(sidecar)
    if is_full:
        coordinator = quotas.listed.names[0]
        due[coordinator] = sorted({*due.get(coordinator, ()), *list_held_teams(sidecar)})
    for coordinator, names in due.items():
        is_urgent = any(quotas.uses[name].waiting for name in names)
        is_soon = is_urgent or (is_full and is_second_report_due(sidecar))
        interval_s = URGENT_INTERVAL_S if is_soon else REPORT_INTERVAL_S
        pause_s = now - quotas.reported_at.get(coordinator, -interval_s)
        if coordinator not in quotas.open_reports and pause_s >= interval_s:
            quotas.open_reports.add(coordinator)
            quotas.reported_at[coordinator] = now
            spawn_urgent(_send_report, sidecar, coordinator, names, is_full)
        else:
            is_waiting = is_waiting or is_urgent
    return is_waiting


def _send_report(sidecar: Sidecar, coordinator: str, names: list[str], is_full: bool) -> None:
    quotas, sent_at = sidecar.quotas, sidecar.clock()
    record, quotas.is_confirming = quotas.record, False
    quotas.number += 1
    teams = {name: describe_use(quotas.uses[name], quotas.number, sent_at) for name in names}
    report = QuotaReport(
        sidecar.settings.name,
        quotas.started_ms,
        quotas.number,
        quotas.listed.version,
        teams,
        quotas.full_token if is_full else 0,
    )
    try:
        answer = _exchange_report(sidecar, coordinator, report)
    finally:
        quotas.open_reports.discard(coordinator)
    _record_silence(sidecar, coordinator, answer is None)
    if answer is not None and answer.number == report.number:
        apply_answer(quotas.uses, answer, names, sent_at)
        if is_full:
            note_full_answer(sidecar, record, report.full, answer.heard)
    else:
        for name in names:
            quotas.uses[name].refused_until = sidecar.clock() + REFUSAL_S
    for name in names:
        answered = quotas.answered.pop(name, None)
        if answered is not None:
            answered.send()


def _exchange_report(sidecar: Sidecar, coordinator: str, report: QuotaReport) -> QuotaAnswer | None:
    if coordinator == sidecar.settings.name:
        return _answer(sidecar, report)
    member: Member | None = sidecar.members.records.get(coordinator)
    if member is None:
        return None
    sidecar.meters.count("quotas", "reported")
    body = msgspec.json.encode(report)
    return request_from_member(sidecar, member, QUOTAS_PATH, REPORT_TIMEOUT_S, QuotaAnswer, body)


def _record_silence(sidecar: Sidecar, coordinator: str, is_silent: bool) -> None:
    quotas = sidecar.quotas
    if is_silent:
        sidecar.meters.count("quotas", "unanswered")
    if is_silent and coordinator not in quotas.silent:
        quotas.silent[coordinator] = sidecar.clock()
        sidecar.log(LogEvent.QUOTA_COORDINATOR_SILENT, member=coordinator)
    elif not is_silent:
        quotas.heard.add(coordinator)
        if quotas.silent.pop(coordinator, None) is not None:
            sidecar.log(LogEvent.QUOTA_COORDINATOR_HEARD, member=coordinator)


def receive_report(sidecar: Sidecar, body: bytes) -> bytes:
    """Return the encoded answer to another sidecar's report."""
    try:
        report = decode_report(body)
    except ConfigurationError as error:
        sidecar.log(LogEvent.ENTRY_REFUSED, key=QUOTAS_PATH, revision=0, reason=error.message)
        return msgspec.json.encode(QuotaAnswer(0))
    return msgspec.json.encode(_answer(sidecar, report))


def _answer(sidecar: Sidecar, report: QuotaReport) -> QuotaAnswer:
    """Answer a report; grant nothing unless this sidecar certainly is a coordinator."""
    sidecar.meters.count("quotas", "answered")
    follow_stored_list(sidecar)
    quotas, bounds = sidecar.quotas, sidecar.settings.bounds
    listed, own_name = quotas.listed, sidecar.settings.name
    if not quotas.coordinator.is_listed:
        return QuotaAnswer(report.number)
    teams = list_limited_teams(sidecar)

    def find_capacity(name: str) -> int | None:
        if name not in teams or choose_coordinator(listed.names, name) != own_name:
            return None
        return compute_quota(teams[name], bounds).capacity

    return answer_report(
        quotas.coordinator,
        report,
        find_capacity,
        bounds.quota_window_s,
        sidecar.store_confirmed_at,
        sidecar.clock(),
    )


def read_quota_gauges(sidecar: Sidecar) -> dict[str, float]:
    """Return the gauges of quotas by metric name."""
    quotas = sidecar.quotas
    return {
        "teams_over_quota": len(quotas.refusing),
        "quota_allowance": sum(use.allowance for use in quotas.uses.values()),
        "quota_coordinator": float(quotas.coordinator.is_listed),
    }
