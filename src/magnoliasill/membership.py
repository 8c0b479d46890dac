"""Membership: which daemons and backend servers there are."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .actions import Action, Log
from .codes import LogEvent
from .node import Member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .events import ServerAnnounced
    from .messages import MemberRecord
    from .node import Node

_STATUS_ORDER = {"alive": 0, "suspect": 1, "failed": 2, "left": 3}
_STATUS_EVENTS = {
    "alive": LogEvent.MEMBER_JOINED,
    "suspect": LogEvent.MEMBER_SUSPECTED,
    "failed": LogEvent.MEMBER_FAILED,
    "left": LogEvent.MEMBER_LEFT,
}


def merge_records(node: Node, now: float, records: Iterable[MemberRecord]) -> list[Action]:
    """Take over every record that overrides what is known of its member.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        records: Records from a peer.

    Returns:
        A log event for each member whose status changed.
    """
    actions: list[Action] = []
    for record in records:
        if record.name == node.own.name:
            _refute(node, record)
            continue
        known = node.members.get(record.name)
        if known is not None and not _overrides(record, known.record):
            continue
        node.members[record.name] = Member(record, now)
        node.members_revision += 1
        if known is None or known.record.status != record.status:
            fields = {"member": record.name, "member_data_centre": record.data_centre}
            actions.append(Log(_STATUS_EVENTS[record.status], fields))
    return actions


def announce_server(node: Node, now_epoch: float, event: ServerAnnounced) -> None:
    """Record what the backend server on this VM says of itself.

    Args:
        node: The node's tables.
        now_epoch: Seconds since the epoch.
        event: The announcement.
    """
    own = node.own
    known = (own.service, own.release, own.server_address, own.serving)
    if known == (event.service, event.release, event.address, event.serving):
        return
    node.members_revision += 1
    same_server = known[:3] == (event.service, event.release, event.address)
    node.own = attrs.evolve(
        own,
        incarnation=own.incarnation + 1,
        service=event.service,
        release=event.release,
        server_address=event.address,
        serving=event.serving,
        started_at=own.started_at if same_server else now_epoch,
    )


def leave(node: Node) -> None:
    """Mark this node as left, so that peers stop sending work to its backend server."""
    node.members_revision += 1
    node.own = attrs.evolve(
        node.own, incarnation=node.own.incarnation + 1, status="left", serving=False
    )


def _refute(node: Node, record: MemberRecord) -> None:
    if record.incarnation < node.own.incarnation or record == node.own:
        return
    node.own = attrs.evolve(node.own, incarnation=record.incarnation + 1)


def _overrides(record: MemberRecord, known: MemberRecord) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return _STATUS_ORDER.get(record.status, -1) > _STATUS_ORDER[known.status]
