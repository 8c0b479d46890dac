"""Judges from failed requests whether a whole data centre can be reached.

Requests to a data centre that is cut off may fail at once, with connections that are refused or
reset. If each sender learned that of each member separately, every pair of VMs would go on to
exchange failed requests for as long as the cut lasts.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

import attrs

from .members import UNREACHABLE_MAX_S, UNREACHABLE_MIN_S, find_condition

if TYPE_CHECKING:
    from .members import Member, MemberCondition, MemberTable

MIN_FAILED_MEMBERS = 3
FAILED_SHARE = 0.25  # many members that ended at once rarely fail so many requests in a row
AVOID_MAX_S = UNREACHABLE_MAX_S / 2  # members that failed are avoided twice as long
FAILURE_WINDOW_S = 2 * UNREACHABLE_MAX_S  # longer than a data centre is avoided at once


@attrs.define
class Contact:
    """What this sidecar's requests to a data centre tell of it.

    Attributes:
        failures: When the latest failed request to each member was sent, since any answer.
        avoided_at: When the data centre was last avoided.
        avoid_s: How long it is avoided the next time.
        spared: Until when members are avoided that did not fail themselves, by name.
    """

    failures: dict[str, float] = attrs.field(factory=dict)
    avoided_at: float = float("-inf")
    avoid_s: float = UNREACHABLE_MIN_S
    spared: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class Contacts:
    """The contacts with data centres by name.

    Attributes:
        vm: The name of this sidecar's VM, which reaches itself in any case.
        by_data_centre: The contacts.
    """

    vm: str
    by_data_centre: dict[str, Contact] = attrs.field(factory=dict)


def record_failed_member(
    contacts: Contacts, table: MemberTable, member: Member, sent_at: float, now: float
) -> bool:
    """Record a member that could not be reached, and avoid its data centre if that is cut off.

    It counts as cut off once requests to several members in a row have failed without any answer.
    Members that did not fail themselves are avoided for a shorter time than those that did, so
    that one of them is asked next.

    Args:
        contacts: The contacts with data centres.
        table: The member table.
        member: The member.
        sent_at: When the request to it was sent, in seconds on the monotonic clock.
        now: Seconds on the monotonic clock.

    Returns:
        Whether the data centre is newly avoided.
    """
    conditions = {
        other.name: find_condition(table, other)
        for other in table.records.values()
        if other.data_centre == member.data_centre and other.name != contacts.vm
    }
    contact = contacts.by_data_centre.setdefault(member.data_centre, Contact())
    answered_at = max((condition.reported_at for condition in conditions.values()), default=now)
    contact.failures[member.name] = sent_at
    since = max(answered_at, now - FAILURE_WINDOW_S)
    contact.failures = {name: at for name, at in contact.failures.items() if at > since}
    if answered_at >= contact.avoided_at:
        contact.avoid_s = UNREACHABLE_MIN_S
    needed = max(MIN_FAILED_MEMBERS, ceil(FAILED_SHARE * len(conditions)))
    # Requests of one moment fail together; they make it no longer.
    was_just_avoided = now < contact.avoided_at + contact.avoid_s / 2
    if len(contact.failures) < needed or was_just_avoided:
        return False
    _avoid_members(contact, conditions, now)
    return True


def _avoid_members(contact: Contact, conditions: dict[str, MemberCondition], now: float) -> None:
    """Avoid all members of a data centre, for longer each time until one of them answers."""
    contact.spared = {}
    for name, condition in conditions.items():
        has_failed = name in contact.failures
        until = now + contact.avoid_s * (2 if has_failed else 1)
        if until > condition.avoid_until:
            condition.avoid_until = until
            if not has_failed:
                contact.spared[name] = until
    contact.avoided_at = now
    contact.avoid_s = min(contact.avoid_s * 2, AVOID_MAX_S)


def record_answer(contacts: Contacts, table: MemberTable, member: Member) -> None:
    """Record that a member answered: others are no longer avoided for their data centre's sake.

    Args:
        contacts: The contacts with data centres.
        table: The member table.
        member: The member.
    """
    contact = contacts.by_data_centre.get(member.data_centre)
    if contact is None or not contact.spared:
        return
    for name, until in contact.spared.items():
        other = table.records.get(name)
        if other is not None and find_condition(table, other).avoid_until == until:
            find_condition(table, other).avoid_until = 0.0
    contact.spared = {}
    contact.avoid_s = UNREACHABLE_MIN_S
