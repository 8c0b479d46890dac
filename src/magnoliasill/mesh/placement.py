"""Placement: which backend server a request is offered to.

The pattern: uneven speeds and bursts in one data centre. A request goes to where it is expected to
end first; crossing to another data centre has to save more than the crossing costs.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import attrs

from .members import Member, MemberCondition, MemberTable, find_condition
from .takeovers import find_share

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from .takeovers import Takeover

CROSS_DATA_CENTRE_S = (
    0.01  # a crossing between data centres, there and back, with its share of the links
)
CROSS_DATA_CENTRE_S_PER_BYTE = (
    5e-6  # what a byte between data centres costs, in seconds that a caller waits
)
DEFAULT_SECONDS = 0.1  # a request's time at a server that has not reported yet
REPORT_HALF_LIFE_S = 1.0  # a report this old counts half
FAILING_WEIGHT = 6.0  # times of a request that one failing for certain counts
JITTER = 0.05  # keeps sidecars with the same reports from choosing the same server
UTILISATION_SLOWDOWN = 0.5  # a server that is nearly full is slower than one that is idle


@attrs.frozen
class PlacementContext:
    """What a choice depends on besides the members.

    Attributes:
        service: The service.
        data_centre: Where the request is.
        now: Seconds on the monotonic clock.
        tried: Names of members that have had the request.
        ordered_release: The release of an order that no takeover follows yet, or empty.
        takeover: The service's latest takeover, or None.
        answer_bytes: The usual size of an answer.
        late: Whether it may be served beyond its target.
        ignore_full: Whether gates that had no room are asked again at once.
        allow_limited_release: Whether the request may be drawn for a release with a limited share.
    """

    service: str
    data_centre: str
    now: float
    tried: Collection[str] = ()
    ordered_release: str = ""
    takeover: Takeover | None = None
    answer_bytes: float = 0.0
    late: bool = False
    ignore_full: bool = False
    allow_limited_release: bool = True


def choose_release_members(
    table: MemberTable, context: PlacementContext, random: Random
) -> list[Member]:
    """Return the members of the releases that this request may go to.

    The pattern: a release whose fault shows only under load. Its share goes to as few of its
    servers as will carry it in the end, so that they are loaded while the share is still small.

    Args:
        table: The members.
        context: What else the choice depends on.
        random: Draws the release of each request by its share.
    """
    limited: list[Member] = []
    others: list[Member] = []
    share = 0.0
    for member in table.by_service.get(context.service, {}).values():
        if member.leaving:
            continue
        share_allowed = find_share(context.takeover, context.ordered_release, member.release)
        if share_allowed >= 1.0:
            others.append(member)
        elif share_allowed > 0.0:
            limited.append(member)
            share = share_allowed
    if limited and (not others or (context.allow_limited_release and random.random() < share)):
        count = ceil(share * len(limited)) if others else len(limited)
        return sorted(limited, key=lambda member: member.name)[:count]
    return others


def choose_member(
    table: MemberTable, candidates: list[Member], context: PlacementContext, random: Random
) -> Member | None:
    """Return the member at which a request is expected to end first, or None if there is none.

    Args:
        table: The members.
        candidates: From `choose_release_members`.
        context: What else the choice depends on.
        random: Spreads the choices of many sidecars.
    """
    best, best_cost = None, 0.0
    for member in candidates:
        if member.name in context.tried:
            continue
        condition = find_condition(table, member)
        if context.now < condition.avoid_until or _is_full(condition, context):
            continue
        cost = estimate_seconds(member, condition, context) * (1 + JITTER * random.random())
        if best is None or cost < best_cost:
            best, best_cost = member, cost
    return best


def _is_full(condition: MemberCondition, context: PlacementContext) -> bool:
    if context.ignore_full:
        return False
    return context.now < (condition.closed_until if context.late else condition.full_until)


def estimate_seconds(
    member: Member, condition: MemberCondition, context: PlacementContext
) -> float:
    """Return the seconds that a request is expected to take at a member, with penalties.

    Args:
        member: The member.
        condition: What is known of it.
        context: What else the choice depends on.
    """
    service_s = condition.mean_s or DEFAULT_SECONDS
    age_s = max(context.now - condition.reported_at, 0.0)
    reported = condition.busy * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    load = (max(reported, condition.in_flight) + 1) / member.slots
    factor = 1 + UTILISATION_SLOWDOWN * min(load, 1.0) + max(load - 1.0, 0.0)
    factor += FAILING_WEIGHT * condition.failing**2
    if member.data_centre == context.data_centre:
        return service_s * factor
    return (
        service_s * factor
        + CROSS_DATA_CENTRE_S
        + CROSS_DATA_CENTRE_S_PER_BYTE * context.answer_bytes
    )
