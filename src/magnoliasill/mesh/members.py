"""Members: the sidecars with their backend servers, as the store and the calls tell of them."""

from __future__ import annotations

import attrs

LAPSE_GRACE_S = 4.0  # a live server is back within two seconds of the store's return
UNREACHABLE_FIRST_S = 0.25  # longer than a round trip within a region
UNREACHABLE_MAX_S = 2.0  # a partition that heals is noticed within this
SILENCE_THRESHOLD_S = 0.1  # a refusal comes sooner; only lost packets take so long
FULL_AVOID_S = 0.05  # half a request's time; a queue that led to a refusal lasts as long
CLOSED_AVOID_S = 3.0  # a gate that said its server is leaving is not asked again for so long


@attrs.frozen
class Member:
    """One sidecar's record in the store.

    Attributes:
        name: The VM.
        data_centre: Where it runs.
        gate: Where it takes requests of other sidecars.
        service: The service of its backend server.
        release: The release of its backend server.
        instance: The incarnation of its backend server.
        slots: Requests that the backend server runs at once.
        leaving: Whether it takes no new work.
    """

    name: str
    data_centre: str
    gate: str
    service: str
    release: str
    instance: str
    slots: int
    leaving: bool = False


@attrs.define
class MemberCondition:
    """What calls have shown of a member.

    Attributes:
        busy: Requests that run or wait at its gate, when it said so last.
        reported_at: When that was, in seconds on the monotonic clock.
        mean_s: Seconds that its backend server takes for a request.
        failing: The share of its latest answers that were failures.
        in_flight: Requests of this sidecar that are on their way.
        avoid_until: Until when it gets no requests, because it was not reached.
        avoid_s: How long that lasts the next time.
        full_until: Until when its gate is not asked to serve a request in time.
        closed_until: Until when it is not asked to serve one late either.
        lapsed_at: When its record lapsed without its leaving, or None.
    """

    busy: int = 0
    reported_at: float = -1e9
    mean_s: float = 0.0
    failing: float = 0.0
    in_flight: int = 0
    avoid_until: float = 0.0
    avoid_s: float = UNREACHABLE_FIRST_S
    full_until: float = 0.0
    closed_until: float = 0.0
    lapsed_at: float | None = None


@attrs.define
class MemberTable:
    """The members, and what is known of each.

    Attributes:
        records: By name.
        conditions: By name and incarnation of the backend server.
        by_service: Names by service.
    """

    records: dict[str, Member] = attrs.field(factory=dict)
    conditions: dict[tuple[str, str], MemberCondition] = attrs.field(factory=dict)
    by_service: dict[str, dict[str, Member]] = attrs.field(factory=dict)


def put_member(table: MemberTable, member: Member) -> None:
    """Take in a member's record."""
    remove_member(table, member.name)
    table.records[member.name] = member
    table.by_service.setdefault(member.service, {})[member.name] = member
    find_condition(table, member).lapsed_at = None


def remove_member(table: MemberTable, name: str) -> Member | None:
    """Drop a member's record; returns it, or None if there was none."""
    member = table.records.pop(name, None)
    if member is not None:
        table.by_service[member.service].pop(name, None)
        table.conditions.pop((name, member.instance), None)
    return member


def mark_lapsed(table: MemberTable, name: str, now: float) -> None:
    """Note that a record has lapsed; the member may live and be unable to reach the store.

    Its own gate refuses what it must not run, so asking it for a little longer does no harm.

    Args:
        table: The members.
        name: The member.
        now: Seconds on the monotonic clock.
    """
    member = table.records.get(name)
    if member is not None:
        find_condition(table, member).lapsed_at = now


def remove_lapsed(table: MemberTable, now: float) -> list[Member]:
    """Drop the members whose records lapsed some time ago; returns them."""
    lapsed = [
        member
        for member in table.records.values()
        if (since := find_condition(table, member).lapsed_at) is not None
        and now - since >= LAPSE_GRACE_S
    ]
    for member in lapsed:
        remove_member(table, member.name)
    return lapsed


def find_condition(table: MemberTable, member: Member) -> MemberCondition:
    """Return what is known of a member, from nothing at first."""
    key = (member.name, member.instance)
    condition = table.conditions.get(key)
    if condition is None:
        condition = table.conditions[key] = MemberCondition()
    return condition


def record_unreachable(condition: MemberCondition, now: float) -> None:
    """Avoid a member for a while, longer each time in a row."""
    if now >= condition.avoid_until:
        condition.avoid_until = now + condition.avoid_s
        condition.avoid_s = min(condition.avoid_s * 2, UNREACHABLE_MAX_S)


def record_silent_data_centre(
    table: MemberTable, data_centre: str, since: float, now: float
) -> None:
    """Avoid a whole data centre from which nothing was heard while one of its members was silent.

    The pattern: a data centre is cut off. Each of its members would cost a request to find out.

    Args:
        table: The members.
        data_centre: Where the silent member runs.
        since: When it was asked, in seconds on the monotonic clock.
        now: Seconds on the monotonic clock.
    """
    conditions = [
        find_condition(table, member)
        for member in table.records.values()
        if member.data_centre == data_centre
    ]
    if any(condition.reported_at >= since for condition in conditions):
        return
    for condition in conditions:
        record_unreachable(condition, now)


def record_full(condition: MemberCondition, late: bool, now: float) -> None:
    """Note that a gate had no room, so that the next requests need not find out again.

    The pattern: an overload that lasts. Most offers to gates would be refused, and each costs both
    sides as much as a request that is served.

    Args:
        condition: The member's.
        late: Whether it would not serve a request beyond its target either.
        now: Seconds on the monotonic clock.
    """
    condition.full_until = now + FULL_AVOID_S
    if late:
        condition.closed_until = now + FULL_AVOID_S


def record_closed(condition: MemberCondition, now: float) -> None:
    """Avoid a member whose gate said that its backend server takes no work."""
    condition.avoid_until = max(condition.avoid_until, now + CLOSED_AVOID_S)


def record_load(
    condition: MemberCondition, busy: int, mean_s: float, failing: float, now: float
) -> None:
    """Take in what a gate said of its load with an answer.

    Args:
        condition: The member's.
        busy: Requests that run or wait there.
        mean_s: Seconds for a request.
        failing: The share of failures.
        now: Seconds on the monotonic clock.
    """
    condition.busy = busy
    condition.mean_s = mean_s
    condition.failing = failing
    condition.reported_at = now
    condition.avoid_s = UNREACHABLE_FIRST_S
