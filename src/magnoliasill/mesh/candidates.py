"""Describes the servers of a service as placement sees them, with why some get no requests."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from .exclusions import Exclusion
from .members import MemberTable, find_condition, find_notice
from .placement import (
    estimate_seconds,
    find_exclusion,
    find_standing_exclusion,
    has_headroom,
    list_local,
)
from .server_notices import find_turn_wait
from .takeovers import find_share
from .where_answer import Candidate

if TYPE_CHECKING:
    from collections import Counter

    from .members import Member
    from .placement import PlacementContext


@attrs.define
class Survey:
    """The repeated choices of one service's server.

    Attributes:
        context: The inputs of the latest choice.
        eligible: The members that at least one choice could have gone to, by name.
        picks: How often each member was chosen, by name.
    """

    context: PlacementContext
    eligible: dict[str, Member]
    picks: Counter[str]


def copy_members(table: MemberTable) -> MemberTable:
    """Return a copy for placement, which adds entries for members not heard of."""
    return MemberTable(
        records=dict(table.records),
        conditions=dict(table.conditions),
        by_service=table.by_service,
        notices=OrderedDict(table.notices),
        loads=table.loads,
    )


def describe_candidates(table: MemberTable, survey: Survey, count: int) -> list[Candidate]:
    """Return the servers of a service, the most chosen ones first.

    Args:
        table: The member table, or a copy.
        survey: The choices.
        count: The number of choices, those of other services included.
    """
    members = table.by_service.get(survey.context.service, {}).values()
    found = [_describe(table, member, survey, count) for member in members]
    return sorted(found, key=lambda it: (-it.share, it.excluded, it.expected_s, it.member))


def _describe(table: MemberTable, member: Member, survey: Survey, count: int) -> Candidate:
    context = survey.context
    condition = find_condition(table, member)
    wait_s = find_turn_wait(find_notice(table, member.instance, member.born), context.now)
    reason = find_reason(table, member, survey)
    return Candidate(
        member=member.name,
        data_centre=member.data_centre,
        service=member.service,
        release=member.release,
        release_share=find_share(context.takeover, context.ordered_release, member.release),
        share=survey.picks[member.name] / count,
        expected_s=round(wait_s + estimate_seconds(table, member, context), 4),
        busy=condition.busy,
        in_flight=condition.in_flight,
        slots=min(condition.open_slots or member.slots, member.slots),
        pace=round(condition.pace, 3),
        failing=round(condition.failing, 3),
        report_age_s=_find_report_age(condition.reported_at, context.now),
        excluded=reason.value if reason else "",
        excluded_s=_find_seconds(table, member, reason, context.now),
    )


def find_reason(table: MemberTable, member: Member, survey: Survey) -> Exclusion | None:
    """Return why no choice went to a member, or None if one did or could have.

    Args:
        table: The member table, or a copy.
        member: The member.
        survey: The choices.
    """
    context = survey.context
    if survey.picks[member.name]:
        return None
    standing = find_standing_exclusion(table, member, context)
    if standing is not None:
        return standing
    if find_share(context.takeover, context.ordered_release, member.release) <= 0:
        return Exclusion.WITHHELD
    if member.name not in survey.eligible:
        return Exclusion.LIMITED
    reason = find_exclusion(table, member, context)
    if reason is None and _is_not_needed(table, member, survey):
        return Exclusion.REMOTE
    return reason


def _is_not_needed(table: MemberTable, member: Member, survey: Survey) -> bool:
    """Return whether a server of the own data centre goes before a member of another one."""
    context = survey.context
    if member.data_centre == context.data_centre:
        return False
    eligible = list(survey.eligible.values())
    if any(
        survey.picks[other.name] and has_headroom(table, other, context)
        for other in list_local(eligible, context)
    ):
        return True
    seconds = estimate_seconds(table, member, context)
    return any(
        survey.picks[other.name] and estimate_seconds(table, other, context) <= seconds
        for other in eligible
        if other.data_centre == context.data_centre
    )


def _find_report_age(reported_at: float, now: float) -> float | None:
    return round(max(now - reported_at, 0.0), 3) if reported_at > 0 else None


def _find_seconds(
    table: MemberTable, member: Member, reason: Exclusion | None, now: float
) -> float | None:
    """Return the seconds for which a member is left out at least, or None if that is not known."""
    condition = find_condition(table, member)
    notice = find_notice(table, member.instance, member.born)
    until = {
        Exclusion.AVOIDED: condition.avoid_until,
        Exclusion.FULL: condition.full_until,
        Exclusion.CLOSED: condition.closed_until,
        Exclusion.COLD: notice.cold_until,
        Exclusion.RATE_LIMITED: notice.turn_at,
    }.get(reason)
    return None if until is None else round(max(until - now, 0.0), 3)
