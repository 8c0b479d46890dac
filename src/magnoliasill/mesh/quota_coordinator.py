"""A coordinator's part in teams' quotas: divides each team's capacity among the sidecars.

What it counts for a sidecar is never less than the requests that this sidecar may have run in any
window that ends before its next report, also if reports or answers are lost or late. The sum over
all sidecars is at most the team's capacity.

A coordinator may have been replaced without knowing it, as long as its copy of the store is old.
What it grants expires `lease_s` after the store confirmed that copy, and it reuses what a silent
sidecar held only if that had expired by then. Its successor divides only what sidecars tell that
they hold, until all that was granted before has expired. So neither needs to hear of the other.
"""

from __future__ import annotations

from math import ceil, floor
from typing import TYPE_CHECKING
from zlib import crc32

import attrs

from .members import find_condition
from .quota_messages import MAX_AMOUNT, CoordinatorList, QuotaAnswer
from .quota_record import Handover, find_completion, has_record, hear_holder, may_grant
from .quotas import LEASE_S, NEVER

if TYPE_CHECKING:
    from collections.abc import Callable

    from .members import Member, MemberTable
    from .quota_messages import QuotaReport

MEMBERS_PER_COORDINATOR = 100
LAPSE_WAIT_S = 2.0  # a live member registers again within this time after a store outage
# The part of the capacity that is granted as headroom; the rest is there for bursts elsewhere.
HEADROOM_SHARE = 0.75
PURGE_INTERVAL_S = 0.2
MAX_HEADROOM = 1.0  # of a sidecar's requests
MIN_ROUNDED_NEED = 3  # headroom of less is rounded down, or small teams' would be scattered
SCARCE_SHARE = 0.35  # of the capacity; sidecars return what they do not use when less is free
# Where more than this share is free, a sidecar with few requests is left one more than it needs, so
# that its next request needs no answer.
PLENTY_SHARE = 0.55
FEW = 2


@attrs.define
class Holding:
    """What a sidecar may use of a team's capacity.

    Attributes:
        start: When its process started.
        number: The number of its last report.
        counted: The most requests that it may have run in a window until its next report.
        needed: The requests that it had, by that report.
        until: When it can have run none any more, unless it reports again.
    """

    start: int
    number: int
    counted: int
    needed: int
    until: float


@attrs.define
class Ledger:
    """The division of a team's capacity.

    Attributes:
        complete_from: When what others granted has expired. Until then the coordinator divides only
            what sidecars told it that they hold.
        holdings: By sidecar.
        ended: What earlier processes of sidecars may have run, with when that no longer counts.
        heard: The sidecars that have told what they hold.
        known: The sum of what they held when they told it first.
        counted: The sum of what is counted for all sidecars.
        needed: The sum of what they need.
        capacity: The team's capacity at the last report.
        purged_at: When expired holdings were removed.
    """

    complete_from: float
    holdings: dict[str, Holding] = attrs.field(factory=dict)
    ended: list[tuple[int, float]] = attrs.field(factory=list)
    heard: set[str] = attrs.field(factory=set)
    known: int = 0
    counted: int = 0
    needed: int = 0
    capacity: int = 0
    purged_at: float = NEVER


@attrs.define
class Coordinator:
    """The state of a sidecar as a coordinator.

    Attributes:
        listed: The list of coordinators that was seen last, or None.
        era: The era of the store that it is of.
        changed_at: When it was seen first.
        is_listed: Whether it names this sidecar.
        lease_s: The seconds for which what it grants is valid; the same at all sidecars.
        ledgers: By team.
        handover: What is known of its record under that list.
    """

    listed: CoordinatorList | None = None
    era: int = 0
    changed_at: float = NEVER
    is_listed: bool = False
    lease_s: float = LEASE_S
    ledgers: dict[str, Ledger] = attrs.field(factory=dict)
    handover: Handover = attrs.field(factory=Handover)


def choose_coordinator(names: tuple[str, ...], team: str) -> str:
    """Return the coordinator of a team: the one with the highest hash, so that few teams move."""
    return max(names, key=lambda name: (crc32(f"{name} {team}".encode()), name))


def rank_members(members: MemberTable, now: float) -> list[Member]:
    """Return the members that can be coordinators, those with the fastest links first."""
    live = [member for member in members.records.values() if _is_live(members, member, now)]
    return sorted(live, key=lambda member: (-member.link_mbps, member.name))


def _is_live(members: MemberTable, member: Member, now: float) -> bool:
    lapsed_at = find_condition(members, member).lapsed_at
    return not member.leaving and (lapsed_at is None or now - lapsed_at < LAPSE_WAIT_S)


def revise_list(
    known: CoordinatorList | None, ranked: list[Member], version: int, writer: str
) -> CoordinatorList | None:
    """Return the next list of coordinators, or None if the known one may stay.

    Coordinators stay when a member with a faster link joins, since each change costs time in which
    allowances can't grow.

    Args:
        known: The list in the store, if there is one.
        ranked: The members that can be coordinators, best first.
        version: The version that this sidecar saw last.
        writer: Identifies this process.
    """
    wanted = ceil(len(ranked) / MEMBERS_PER_COORDINATOR)
    live = {member.name for member in ranked}
    listed = known.names if known else ()
    stay = [name for name in listed if name in live]
    is_enough = wanted <= len(stay) <= 2 * wanted
    if not wanted or (len(stay) == len(listed) and is_enough):
        return None
    stay = stay[: 2 * wanted]
    added = [member.name for member in ranked if member.name not in stay]
    names = stay + added[: max(wanted - len(stay), 0)]
    return CoordinatorList(version + 1, tuple(names), writer)


def follow_list(
    coordinator: Coordinator,
    listed: CoordinatorList,
    era: int,
    name: str,
    created: bool,
    now: float,
) -> None:
    """Adopt a list of coordinators, which ends or begins this sidecar's part for some teams.

    Args:
        coordinator: The sidecar's state as a coordinator.
        listed: The list in the sidecar's copy of the store.
        era: The era of the store; lists of another one may have been lost.
        name: The sidecar's name.
        created: Whether this process wrote the list where there had been none: nobody can have
            granted anything before.
        now: Seconds on the monotonic clock.
    """
    known = coordinator.listed
    if listed == known and era == coordinator.era:
        return
    missed = known is None or listed.version != known.version + 1 or era != coordinator.era
    coordinator.listed, coordinator.era = listed, era
    coordinator.changed_at = NEVER if created else now
    coordinator.is_listed = name in listed.names
    coordinator.handover = Handover()
    for team in list(coordinator.ledgers):
        stays = coordinator.is_listed and choose_coordinator(listed.names, team) == name
        if missed or not stays:
            del coordinator.ledgers[team]


def find_ledger(coordinator: Coordinator, team: str, window_s: float) -> Ledger:
    """Return a team's ledger; create it if there is none yet."""
    ledger = coordinator.ledgers.get(team)
    if ledger is None:
        complete_from = coordinator.changed_at + coordinator.lease_s + window_s
        ledger = Ledger(complete_from)
        coordinator.ledgers[team] = ledger
    return ledger


def answer_report(
    coordinator: Coordinator,
    report: QuotaReport,
    find_capacity: Callable[[str], int | None],
    window_s: float,
    confirmed_at: float,
    now: float,
) -> QuotaAnswer:
    """Record a report and grant allowances.

    Args:
        coordinator: The state; this sidecar is a coordinator by its copy of the store.
        report: The report.
        find_capacity: Returns a team's capacity, or None if this is not its coordinator or it has
            no quota.
        window_s: The window in seconds.
        confirmed_at: When the store confirmed that copy.
        now: Seconds on the monotonic clock.
    """
    valid_s = confirmed_at + coordinator.lease_s - now
    answer = QuotaAnswer(report.number, int(max(valid_s, 0.0) * 1000))
    # One by another version may be late, and tell what its sidecar held before it returned it to an
    # earlier coordinator.
    if valid_s <= 0 or coordinator.listed is None or report.version != coordinator.listed.version:
        return answer
    is_recorded = not has_record(coordinator.listed) or may_grant(coordinator.handover, report.name)
    known_from = find_completion(coordinator.handover, window_s, now)
    is_understood = True
    for team, (allowance, basis, used, lacking) in report.teams.items():
        capacity = find_capacity(team)
        if capacity is None:
            is_understood = False
            continue
        ledger = find_ledger(coordinator, team, window_s)
        ledger.complete_from = min(ledger.complete_from, known_from)
        _remove_expired(ledger, confirmed_at, now)
        _follow_capacity(ledger, capacity)
        held = max(allowance, used)
        holding = _find_holding(ledger, report, held, window_s, now)
        if holding is None:
            continue
        # What is held of a smaller capacity may be scaled down from more, if the quota was lowered.
        # It takes up as much of this capacity, but nobody may be granted the difference.
        scaled = ceil(held * capacity / basis) if 0 < basis < capacity else 0
        counted = max(held, scaled)
        _count(ledger, holding, counted, used + lacking)
        granted, is_scarce = _allocate(ledger, holding, held, capacity, now)
        granted = granted if is_recorded else min(granted, held)
        _count(ledger, holding, max(counted, granted), holding.needed)
        holding.until = now + coordinator.lease_s + window_s
        answer.teams[team] = (granted, capacity, int(is_scarce))
    if report.full and is_understood:
        known = knows_holders(coordinator, window_s, now)
        heard = hear_holder(coordinator.handover, report.name, report.full, known)
        return attrs.evolve(answer, heard=heard)
    return answer


def find_holders(coordinator: Coordinator) -> set[str]:
    """Return the sidecars for which anything is counted."""
    return {name for ledger in coordinator.ledgers.values() for name in ledger.holdings}


def knows_holders(coordinator: Coordinator, window_s: float, now: float) -> bool:
    """Return whether all that earlier coordinators granted has expired or was reported."""
    expired_at = coordinator.changed_at + coordinator.lease_s + window_s
    return now >= min(expired_at, find_completion(coordinator.handover, window_s, now))


def _count(ledger: Ledger, holding: Holding, counted: int, needed: int) -> None:
    ledger.counted += counted - holding.counted
    ledger.needed += needed - holding.needed
    holding.counted, holding.needed = counted, needed


def _follow_capacity(ledger: Ledger, capacity: int) -> None:
    """Count all holdings in proportion when the capacity grows, until their sidecars report again.

    A sidecar that has not heard of the growth scales its allowance down by less when the quota is
    lowered again.
    """
    if capacity > ledger.capacity > 0:
        for holding in ledger.holdings.values():
            counted = ceil(holding.counted * capacity / ledger.capacity)
            _count(ledger, holding, counted, holding.needed)
    ledger.capacity = capacity


def _remove_expired(ledger: Ledger, confirmed_at: float, now: float) -> None:
    if now - ledger.purged_at < PURGE_INTERVAL_S:
        return
    ledger.purged_at = now
    ledger.ended = [(amount, until) for amount, until in ledger.ended if until > now]
    expired = [name for name, held in ledger.holdings.items() if held.until <= confirmed_at]
    for name in expired:
        _remove_holding(ledger, name)


def _remove_holding(ledger: Ledger, name: str) -> None:
    _count(ledger, ledger.holdings[name], 0, 0)
    del ledger.holdings[name]


def _find_holding(
    ledger: Ledger, report: QuotaReport, held: int, window_s: float, now: float
) -> Holding | None:
    """Return the sender's holding, or None if a later report or process of it was heard."""
    holding = ledger.holdings.get(report.name)
    if holding is not None and (holding.start, holding.number) >= (report.start, report.number):
        return None
    if holding is not None and holding.start != report.start:
        ledger.ended.append((holding.counted, max(now + window_s, ledger.complete_from)))
        _remove_holding(ledger, report.name)
        holding = None
    if report.name not in ledger.heard:
        ledger.heard.add(report.name)
        ledger.known += held
    if holding is None:
        holding = ledger.holdings[report.name] = Holding(report.start, 0, 0, 0, now)
    holding.number = report.number
    return holding


def _allocate(
    ledger: Ledger, holding: Holding, held: int, capacity: int, now: float
) -> tuple[int, bool]:
    """Return a sidecar's new allowance, and whether allowances are scarce."""
    if now < ledger.complete_from:
        capacity = min(ledger.known, capacity)
    capacity -= sum(amount for amount, _ in ledger.ended)
    if ledger.needed <= capacity:
        target = find_roomy_target(holding.needed, ledger.needed, capacity)
    else:
        needs = [each.needed for each in ledger.holdings.values()]
        target = min(holding.needed, ceil(find_level(needs, max(capacity, 0))))
    free = max(capacity - ledger.counted, 0)
    if free >= PLENTY_SHARE * capacity and holding.needed <= FEW and held:
        target = max(target, holding.needed + 1)
    if free >= SCARCE_SHARE * capacity and holding.needed:
        target = max(target, held)
    granted = target if target <= held else min(target, held + free)
    is_scarce = free - max(granted - held, 0) < SCARCE_SHARE * capacity
    return granted, is_scarce


def find_roomy_target(needed: int, total: int, capacity: int) -> int:
    """Return what a sidecar should have where there is enough: its need and some headroom.

    Args:
        needed: The requests that the sidecar had.
        total: Those of all sidecars.
        capacity: What there is to divide.
    """
    spare = max(HEADROOM_SHARE * capacity - total, 0.0) / max(total, 1)
    rounding = 0.5 if needed >= MIN_ROUNDED_NEED else 0.0
    return needed + floor(needed * min(spare, MAX_HEADROOM) + rounding)


def find_level(needs: list[int], capacity: int) -> float:
    """Return the level that needs are cut off at where they exceed the capacity.

    A sidecar with few requests gets all of them (max-min fairness). Levels are rounded up when they
    are used; what there is limits the grants.
    """
    left = float(capacity)
    for index, need in enumerate(sorted(needs)):
        level = left / (len(needs) - index)
        if need > level:
            return level
        left -= need
    return float(MAX_AMOUNT)
