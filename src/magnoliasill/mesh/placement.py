"""Load balancing: chooses the backend server for each attempt of a request.

Handles servers of uneven speed, bursts in one data centre, and many senders that know little of
each server. A request goes to the server, of a few chosen at random, at which it is expected to
finish first: senders with the same knowledge don't all choose the same one. What a sender doesn't
know of a server, it expects from the others of its service. A server in another data centre is
chosen only if that saves more than the cost of the round trip. Where local servers go first and a
data centre has several of them, it is not chosen either while one of these answers well within the
target; the server on the sender's own VM, which costs neither VM a hop, goes before those.
"""

from __future__ import annotations

from math import ceil, inf
from typing import TYPE_CHECKING

import attrs

from .egress import SMALL_ANSWER_BYTES, find_transfer_seconds
from .exclusions import Exclusion
from .ingress import is_announced
from .loop_lag import STEPS
from .members import (
    Member,
    MemberCondition,
    MemberTable,
    ServiceLoad,
    find_condition,
    find_notice,
)
from .server_notices import find_turn_wait, has_turns
from .takeovers import find_share, is_taking_over

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from .takeovers import Takeover

REMOTE_COST_S = 0.01  # a round trip to another data centre, including its use of the links
REMOTE_COST_S_PER_BYTE = 5e-6  # of a byte between data centres, as seconds of a caller's wait
# Fewer servers have no room of their own: one that is busy or fails is a large share of them.
MIN_LOCAL_SERVERS = 3
# Time that must be left until a request's target, in multiples of what is expected at a server of
# the own data centre, for the others not to be compared. Durations vary that much.
LOCAL_HEADROOM = 2.2
CHOICES = 6  # servers that are compared for one attempt, out of all that may take it
DEFAULT_SECONDS = 0.1  # assumed duration of a route's requests before the first answer
REPORT_HALF_LIFE_S = 1.0  # a load report of this age counts half
FAILING_WEIGHT = 6.0  # added request durations at a server that fails every request
JITTER = 0.05  # keeps sidecars that have the same reports from choosing the same of few servers
UTILISATION_SLOWDOWN = 0.5  # a nearly full server is slower than an idle one


@attrs.frozen
class PlacementContext:
    """The inputs of a placement besides the members.

    Attributes:
        service: The service that the request is for.
        data_centre: The data centre of this sidecar.
        now: Seconds on the monotonic clock.
        vm: The name of this sidecar's VM, whose own server's answers use no link.
        tried: Names of the members that were already tried.
        ordered_release: The release of a newer order that has no takeover yet, or empty.
        takeover: The service's latest takeover, or None.
        answer_bytes: The usual size of an answer.
        body_bytes: The length of the request's body, or 0 if it has none or is not known.
        typical_s: The usual duration of the route's requests in seconds, or 0 if not known.
        late: Whether the request may be served past its target.
        finish_by: When it must be served, in seconds on the monotonic clock.
        ignore_full: Whether to include members that were recently full.
        allow_limited_release: Whether a release with a limited share may be chosen.
        local_first: Whether servers of the own data centre go before others.
        evacuated: The data centres whose servers must get no requests.
    """

    service: str
    data_centre: str
    now: float
    vm: str = ""
    tried: Collection[str] = ()
    ordered_release: str = ""
    takeover: Takeover | None = None
    answer_bytes: float = 0.0
    body_bytes: int = 0
    typical_s: float = 0.0
    late: bool = False
    finish_by: float = inf
    ignore_full: bool = False
    allow_limited_release: bool = True
    local_first: bool = False
    evacuated: Collection[str] = ()


def choose_release_members(
    table: MemberTable, context: PlacementContext, random: Random
) -> list[Member]:
    """Return the members that this request may go to, by the share of their releases.

    A fault of a release may show only under load. So a release with a limited share gets requests
    on the same share of its servers only. While the share is still small, these servers then have
    the load that all of its servers will have at the end of the takeover. A release whose share is
    1 gets all requests that its servers take, as it will after the takeover.

    Args:
        table: The member table.
        context: The other inputs of the placement.
        random: Source of the random choice between releases.
    """
    limited: list[Member] = []
    others: list[Member] = []
    share = 0.0
    for member in table.by_service.get(context.service, {}).values():
        if find_standing_exclusion(table, member, context) is not None:
            continue
        share_allowed = find_share(context.takeover, context.ordered_release, member.release)
        is_moving = is_taking_over(context.takeover, member.release)
        if share_allowed >= 1.0 and not is_moving:
            others.append(member)
        elif share_allowed > 0.0:
            limited.append(member)
            share = share_allowed
    if limited and (not others or (context.allow_limited_release and random.random() < share)):
        count = ceil(share * len(limited)) if others else len(limited)
        return sorted(limited, key=lambda member: member.name)[:count]
    return others


def find_standing_exclusion(
    table: MemberTable, member: Member, context: PlacementContext
) -> Exclusion | None:
    """Return why a member gets no request of any release, or None if it may.

    Args:
        table: The member table.
        member: The member.
        context: The other inputs of the placement.
    """
    if member.leaving or find_notice(table, member.instance, member.born).leaving:
        return Exclusion.LEAVING
    return Exclusion.EVACUATED if member.data_centre in context.evacuated else None


def choose_member(
    table: MemberTable, candidates: list[Member], context: PlacementContext, random: Random
) -> Member | None:
    """Return the member at which a request is expected to finish first, or None if there is none.

    Args:
        table: The member table.
        candidates: From `choose_release_members`.
        context: The other inputs of the placement.
        random: Source of the jitter.
    """
    local = list_local(candidates, context)
    if local:
        own = [member for member in local if member.name == context.vm]
        member = _choose_best(table, own, context, random)
        if member is not None and has_headroom(table, member, context):
            return member
        member = _choose_of_few(table, local, context, random)
        if member is not None and has_headroom(table, member, context):
            return member
    return _choose_of_few(table, candidates, context, random)


def list_local(candidates: list[Member], context: PlacementContext) -> list[Member]:
    """Return the candidates that go before those of other data centres; none if they are few."""
    if not context.local_first:
        return []
    local = [member for member in candidates if member.data_centre == context.data_centre]
    return local if MIN_LOCAL_SERVERS <= len(local) < len(candidates) else []


def _choose_of_few(
    table: MemberTable, candidates: list[Member], context: PlacementContext, random: Random
) -> Member | None:
    if len(candidates) > CHOICES:
        member = _choose_best(table, random.sample(candidates, CHOICES), context, random)
        if member is not None:
            return member
    return _choose_best(table, candidates, context, random)


def has_headroom(table: MemberTable, member: Member, context: PlacementContext) -> bool:
    """Return whether a member is expected to finish a request well within its target."""
    seconds = estimate_seconds(table, member, context)
    return context.now + LOCAL_HEADROOM * seconds <= context.finish_by


def _choose_best(
    table: MemberTable, candidates: list[Member], context: PlacementContext, random: Random
) -> Member | None:
    best, best_cost = None, 0.0
    for member in candidates:
        if find_exclusion(table, member, context) is not None:
            continue
        wait_s = find_turn_wait(find_notice(table, member.instance, member.born), context.now)
        seconds = estimate_seconds(table, member, context)
        cost = wait_s + seconds * (1 + JITTER * random.random())
        if best is None or cost < best_cost:
            best, best_cost = member, cost
    return best


def find_exclusion(
    table: MemberTable, member: Member, context: PlacementContext
) -> Exclusion | None:
    """Return why a candidate gets no request at present, or None if it may.

    Args:
        table: The member table.
        member: The candidate.
        context: The other inputs of the placement.
    """
    if member.name in context.tried:
        return Exclusion.TRIED
    if member.data_centre in context.evacuated:
        return Exclusion.EVACUATED
    condition = find_condition(table, member)
    if context.now < condition.avoid_until:
        return Exclusion.AVOIDED
    if _is_full(condition, context):
        return Exclusion.CLOSED if context.late else Exclusion.FULL
    notice = find_notice(table, member.instance, member.born)
    wait_s = find_turn_wait(notice, context.now)
    service_s = _estimate_service_seconds(condition, context)
    if wait_s and context.now + wait_s + service_s > context.finish_by:
        return Exclusion.COLD if context.now < notice.cold_until else Exclusion.RATE_LIMITED
    return None


@attrs.frozen
class LimitWait:
    """When the rate limits of a service's servers allow this sidecar further requests.

    Attributes:
        wait_s: The seconds until the next request.
        interval_s: The seconds between requests after that.
    """

    wait_s: float
    interval_s: float


def find_limit_wait(
    table: MemberTable, candidates: list[Member], context: PlacementContext
) -> LimitWait | None:
    """Return when a limited server accepts a request; None unless all usable ones are limited.

    Args:
        table: The member table.
        candidates: From `choose_release_members`.
        context: The other inputs of the placement.
    """
    waits_s, rate_per_s = [], 0.0
    for member in candidates:
        if context.now < find_condition(table, member).avoid_until:
            continue
        notice = find_notice(table, member.instance, member.born)
        if not has_turns(notice, context.now):
            return None
        waits_s.append(find_turn_wait(notice, context.now))
        rate_per_s += 1 / notice.turn_interval_s
    return LimitWait(min(waits_s), 1 / rate_per_s) if waits_s else None


def _is_full(condition: MemberCondition, context: PlacementContext) -> bool:
    if context.ignore_full:
        return False
    return context.now < (condition.closed_until if context.late else condition.full_until)


def estimate_seconds(table: MemberTable, member: Member, context: PlacementContext) -> float:
    """Return the expected duration of a request at a member, plus penalties, in seconds.

    Args:
        table: The member table.
        member: The member.
        context: The other inputs of the placement.
    """
    condition = find_condition(table, member)
    kin = table.loads.get(member.service) or ServiceLoad()
    weight = 0.5 ** (max(context.now - condition.reported_at, 0.0) / REPORT_HALF_LIFE_S)
    slots = _find_slots(member, condition, weight)
    busy_share = kin.busy_share + weight * (condition.busy / slots - kin.busy_share)
    load = max(busy_share, condition.in_flight / slots) + 1 / slots
    service_s = _estimate_service_seconds(condition, context)
    factor = 1 + UTILISATION_SLOWDOWN * min(load, 1.0) + FAILING_WEIGHT * condition.failing**2
    seconds = service_s * factor + max(load - 1.0, 0.0) * (condition.mean_s or service_s)
    if member.name == context.vm:
        return seconds
    seconds += find_transfer_seconds(context.answer_bytes, member.link_mbps)
    seconds += STEPS * weight * condition.lag_s
    if context.answer_bytes > SMALL_ANSWER_BYTES:
        seconds += kin.link_s + weight * (condition.link_s - kin.link_s)
    if is_announced(context.body_bytes, member.link_mbps):
        seconds += find_transfer_seconds(context.body_bytes, member.link_mbps)
        seconds += kin.inbound_s + weight * (condition.inbound_s - kin.inbound_s)
    if member.data_centre == context.data_centre:
        return seconds
    return seconds + REMOTE_COST_S + REMOTE_COST_S_PER_BYTE * context.answer_bytes


def _find_slots(member: Member, condition: MemberCondition, weight: float) -> float:
    """Return the expected slots of a member; a limit that was reported long ago may have ended."""
    if not condition.open_slots:
        return member.slots
    return member.slots + weight * (min(condition.open_slots, member.slots) - member.slots)


def _estimate_service_seconds(condition: MemberCondition, context: PlacementContext) -> float:
    return (context.typical_s or DEFAULT_SECONDS) * condition.pace
