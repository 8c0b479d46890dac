"""The table of members: sidecars in the store, and their condition as observed through calls."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from .fields import Count, Endpoint, LinkRate, Name, Slots  # noqa: TC001 - msgspec evaluates it
from .server_notices import ServerNotice

LAPSE_GRACE_S = 4.0  # a live member registers again within 2 s after the end of a store outage
UNREACHABLE_MIN_S = 0.25  # first avoidance of a member; longer than a round trip within a region
UNREACHABLE_MAX_S = 2.0  # longest avoidance; bounds the time to detect the end of a partition
SILENCE_THRESHOLD_S = 0.1  # a refused connection fails sooner; only lost packets take this long
FULL_MIN_S = 0.05  # half a request's duration; a queue stays full about that long
FULL_MAX_S = 0.4  # longest avoidance of a full member; bounds the time in which it idles unnoticed
MAX_NOTICES = 4_096  # more than the incarnations of all servers while any of them may be named
LOAD_SMOOTHING = 0.1  # weight of the newest report in the mean load of a service
CLOSED_AVOID_S = 3.0  # how long a member is avoided after its gate reported a draining server


@attrs.frozen
class Member:
    """A sidecar's record in the store.

    Attributes:
        name: The name of its VM.
        data_centre: The data centre that it runs in.
        gate: The address at which it takes requests from other sidecars.
        service: The service of its backend server.
        release: The release of its backend server.
        instance: The incarnation of its backend server.
        slots: The number of requests that the backend server can run concurrently.
        leaving: Whether the backend server is draining and takes no new requests.
        link_mbps: The rate of the VM's network link in Mbit/s, or 0 if it is not known.
        born: The start time of that incarnation in milliseconds since the epoch, or 0.
        server_leaving: Whether the backend server itself is leaving, not only its sidecar.
    """

    name: Name
    data_centre: Name
    gate: Endpoint
    service: Name
    release: Name
    instance: Name
    slots: Slots
    leaving: bool = False
    link_mbps: LinkRate = 0.0
    born: Count = 0
    server_leaving: bool = False


@attrs.define
class MemberCondition:
    """The condition of a member as observed through calls to it.

    Attributes:
        busy: The number of requests that run or wait at its gate, by its latest report.
        reported_at: When that report arrived, in seconds on the monotonic clock.
        mean_s: The mean duration of a request in seconds, by its latest report.
        failing: The share of failed answers, by its latest report.
        pace: The durations of its requests as a multiple of those at all servers of its service.
        link_s: The seconds until its link has sent the answers passed to it, by its latest report.
        inbound_s: The seconds until the bodies that it waits for have arrived, by that report.
        lag_s: The seconds that a step of a request waits for its turn there, by that report.
        open_slots: The requests that its gate lets run at once while it paces the server, by that
            report, or 0 for all slots.
        in_flight: The number of this sidecar's requests to it that have no answer yet.
        avoid_until: Until when it gets no requests, because it was unreachable or closed.
        avoid_s: How long it is avoided the next time that it is unreachable.
        full_until: Until when it is too full for requests that can still meet their target.
        closed_until: Until when it is too full also for requests that will miss their target.
        full_s: How long it is avoided the next time that it is full.
        lapsed_at: When its record expired although it had not left, or None.
    """

    busy: int = 0
    reported_at: float = -1e9
    mean_s: float = 0.0
    failing: float = 0.0
    pace: float = 1.0
    link_s: float = 0.0
    inbound_s: float = 0.0
    lag_s: float = 0.0
    open_slots: int = 0
    in_flight: int = 0
    avoid_until: float = 0.0
    avoid_s: float = UNREACHABLE_MIN_S
    full_until: float = 0.0
    closed_until: float = 0.0
    full_s: float = FULL_MIN_S
    lapsed_at: float | None = None


@attrs.define
class ServiceLoad:
    """The mean load of a service's servers, which stands in for that of a server not heard of.

    Attributes:
        busy_share: The number of requests that run or wait, as a multiple of the slots.
        link_s: The seconds until a link has sent the answers passed to it.
        inbound_s: The seconds until the bodies that a gate waits for have arrived.
    """

    busy_share: float = 0.0
    link_s: float = 0.0
    inbound_s: float = 0.0


@attrs.define
class MemberTable:
    """The members and their observed conditions.

    Attributes:
        records: The members by name.
        conditions: The conditions by name and incarnation of the backend server.
        by_service: The members of each service by name.
        notices: What backend servers announced, by incarnation. They outlive the records,
            since a server may move to another VM or its sidecar may restart and forget.
        loads: The mean load of each service's servers.
        lapsed: The names of members whose records have expired; some may be back since.
    """

    records: dict[str, Member] = attrs.field(factory=dict)
    conditions: dict[tuple[str, str], MemberCondition] = attrs.field(factory=dict)
    by_service: dict[str, dict[str, Member]] = attrs.field(factory=dict)
    notices: OrderedDict[tuple[str, int], ServerNotice] = attrs.field(factory=OrderedDict)
    loads: dict[str, ServiceLoad] = attrs.field(factory=dict)
    lapsed: set[str] = attrs.field(factory=set)


def put_member(table: MemberTable, member: Member) -> None:
    """Add or replace a member's record."""
    remove_member(table, member.name)
    table.records[member.name] = member
    table.by_service.setdefault(member.service, {})[member.name] = member
    find_condition(table, member).lapsed_at = None
    if member.server_leaving:
        find_notice(table, member.instance, member.born).leaving = True


def remove_member(table: MemberTable, name: str) -> Member | None:
    """Remove a member's record; return it, or None if there was none."""
    member = table.records.pop(name, None)
    if member is not None:
        table.by_service[member.service].pop(name, None)
        table.conditions.pop((name, member.instance), None)
    return member


def mark_lapsed(table: MemberTable, name: str, now: float) -> None:
    """Mark a member whose record has expired; it may be alive but unable to reach the store.

    Sending it requests for a little longer is safe, since its gate refuses what it must not run.

    Args:
        table: The member table.
        name: The member's name.
        now: Seconds on the monotonic clock.
    """
    member = table.records.get(name)
    if member is not None:
        find_condition(table, member).lapsed_at = now
        table.lapsed.add(name)


def remove_lapsed(table: MemberTable, now: float) -> list[Member]:
    """Remove and return the members whose records expired more than the grace period ago."""
    if not table.lapsed:
        return []
    known = [table.records[name] for name in sorted(table.lapsed) if name in table.records]
    lapsed = [
        member
        for member in known
        if (since := find_condition(table, member).lapsed_at) is not None
        and now - since >= LAPSE_GRACE_S
    ]
    table.lapsed = {
        member.name for member in known if find_condition(table, member).lapsed_at is not None
    }
    for member in lapsed:
        remove_member(table, member.name)
    return lapsed


def find_condition(table: MemberTable, member: Member) -> MemberCondition:
    """Return the condition of a member; create it if there is none yet."""
    key = (member.name, member.instance)
    condition = table.conditions.get(key)
    if condition is None:
        condition = table.conditions[key] = MemberCondition()
    return condition


def find_notice(table: MemberTable, instance: str, born: int) -> ServerNotice:
    """Return what an incarnation announced; create an empty notice if there is none yet."""
    notice = table.notices.get((instance, born))
    if notice is None:
        notice = table.notices[instance, born] = ServerNotice()
        while len(table.notices) > MAX_NOTICES:
            table.notices.popitem(last=False)
    return notice


def record_unreachable(condition: MemberCondition, now: float) -> None:
    """Avoid an unreachable member for a time that doubles with each consecutive failure."""
    if now >= condition.avoid_until:
        condition.avoid_until = now + condition.avoid_s
        condition.avoid_s = min(condition.avoid_s * 2, UNREACHABLE_MAX_S)


def record_silent_data_centre(
    table: MemberTable, data_centre: str, since: float, now: float
) -> None:
    """Avoid all members of a data centre if none has answered since one of them went silent.

    If the data centre is partitioned, probing each of its members separately would cost a request
    per member.

    Args:
        table: The member table.
        data_centre: The data centre of the silent member.
        since: When the request to it was sent, in seconds on the monotonic clock.
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
    """Avoid a member after its gate refused a request for lack of capacity.

    During sustained overload most attempts would be refused, and a refused attempt costs both sides
    as much as a served request. So the time doubles with each refusal in a row: with a fixed one,
    the refusals at a gate would grow with the number of sidecars that send to it.

    Args:
        condition: The member's condition.
        late: Whether it refuses also requests that will miss their target.
        now: Seconds on the monotonic clock.
    """
    if now >= condition.full_until:
        condition.full_until = now + condition.full_s
        condition.full_s = min(condition.full_s * 2, FULL_MAX_S)
    if late:
        condition.closed_until = condition.full_until


def record_served(condition: MemberCondition) -> None:
    """Record that a member's server answered a request, so it has capacity now and then."""
    condition.full_s = FULL_MIN_S


def record_closed(condition: MemberCondition, now: float) -> None:
    """Avoid a member whose gate reported that its backend server takes no new requests."""
    condition.avoid_until = max(condition.avoid_until, now + CLOSED_AVOID_S)


@attrs.frozen
class LoadReport:
    """The load that a gate reports with an answer.

    Attributes:
        busy: The number of requests that run or wait at the gate.
        mean_s: The mean duration of a request in seconds.
        failing: The share of failed answers.
        pace: The durations of its requests as a multiple of those at all servers of its service.
        link_s: The seconds until its link has sent the answers passed to it.
        lag_s: The seconds that a step of a request waits for its turn in the gate's process.
        open_slots: The requests that the gate lets run at once while it paces the server, or 0.
        inbound_s: The seconds until the bodies that the gate waits for have arrived.
    """

    busy: int
    mean_s: float
    failing: float = 0.0
    pace: float = 1.0
    link_s: float = 0.0
    lag_s: float = 0.0
    open_slots: int = 0
    inbound_s: float = 0.0


def record_load(table: MemberTable, member: Member, report: LoadReport, now: float) -> None:
    """Record the load that a gate reported with an answer.

    Args:
        table: The member table.
        member: The gate's member.
        report: The reported load.
        now: Seconds on the monotonic clock.
    """
    condition = find_condition(table, member)
    condition.busy = report.busy
    condition.mean_s = report.mean_s
    condition.failing = report.failing
    condition.pace = report.pace
    condition.link_s = report.link_s
    condition.inbound_s = report.inbound_s
    condition.lag_s = report.lag_s
    condition.open_slots = report.open_slots
    condition.reported_at = now
    condition.avoid_s = UNREACHABLE_MIN_S
    busy_share = report.busy / member.slots
    first = ServiceLoad(busy_share, report.link_s, report.inbound_s)
    load = table.loads.setdefault(member.service, first)
    load.busy_share += LOAD_SMOOTHING * (busy_share - load.busy_share)
    load.link_s += LOAD_SMOOTHING * (report.link_s - load.link_s)
    load.inbound_s += LOAD_SMOOTHING * (report.inbound_s - load.inbound_s)
