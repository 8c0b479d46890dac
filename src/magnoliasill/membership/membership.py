"""Membership: updates of this daemon's record and of the table of other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..codes import LogEvent
from ..core.actions import Action, Log, SendMessage
from ..core.messages import MemberNews
from ..core.node import Member
from ..core.validation import MAX_COUNTER, find_record_problem
from ..spreading.gossip import choose_peers, queue_news
from .syncing import replace_member

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..core.events import ServerAnnounced
    from ..core.messages import MemberRecord
    from ..core.node import Node

SERVER_TIMEOUT_S = 2.0
LOCAL_LEAVE_NOTICES = 8
REMOTE_LEAVE_NOTICES = 2
_STATUS_ORDER = {"alive": 0, "suspect": 1, "failed": 2, "left": 3}
_STATUS_EVENTS = {
    "alive": LogEvent.MEMBER_JOINED,
    "suspect": LogEvent.MEMBER_SUSPECTED,
    "failed": LogEvent.MEMBER_FAILED,
    "left": LogEvent.MEMBER_LEFT,
}


def merge_records(
    node: Node, now: float, records: Iterable[MemberRecord], spread: bool = True
) -> list[Action]:
    """Apply every record that is newer than the known record of its member.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        records: Records from a peer.
        spread: Whether to send changed records on to other peers.

    Returns:
        A log event for each member whose status changed, and for each rejected record.
    """
    actions: list[Action] = []
    for record in records:
        known = node.members.get(record.name)
        problem = find_record_problem(record) or _find_conflict(record, known)
        if problem:
            actions.append(Log(LogEvent.MESSAGE_REFUSED, {"reason": problem}))
        elif record.name == node.own.name:
            _refute(node, record)
        elif known is None or _overrides(record, known.record):
            actions += set_record(node, now, record, spread)
    return actions


def set_record(node: Node, now: float, record: MemberRecord, spread: bool = True) -> list[Action]:
    """Replace the record of a member, or add the member.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        record: The new record.
        spread: Whether to send the record on to other peers.

    Returns:
        A log event if the status changed.
    """
    known = node.members.get(record.name)
    if record.data_centre != node.own.data_centre:
        node.data_centres_heard_at.setdefault(record.data_centre, now)
    replace_member(node, Member(record, now))
    if spread:
        queue_news(node, record.name)
    if known is not None and known.record.status == record.status:
        return []
    fields = {"member": record.name, "member_data_centre": record.data_centre}
    return [Log(_STATUS_EVENTS[record.status], fields)]


def announce_server(node: Node, now: float, event: ServerAnnounced) -> None:
    """Update this daemon's record from an announcement of the backend server on this VM.

    Args:
        node: The node's state.
        now: Seconds since the epoch by the node's clock.
        event: The announcement.
    """
    own = node.own
    node.server_announced_at = now
    known = (own.service, own.release, own.server_address, own.serving)
    if known == (event.service, event.release, event.address, event.serving):
        return
    same_server = known[:3] == (event.service, event.release, event.address)
    resumed = event.serving and not own.serving
    update_own(
        node,
        service=event.service,
        release=event.release,
        server_address=event.address,
        serving=event.serving and own.status != "left",
        started_at=own.started_at if same_server and not resumed else now,
    )


def expire_silent_server(node: Node, now: float) -> list[Action]:
    """Stop advertising the backend server on this VM if it no longer announces itself."""
    if not node.own.serving or now < node.server_announced_at + SERVER_TIMEOUT_S:
        return []
    update_own(node, serving=False)
    fields = {"service": node.own.service, "server_address": node.own.server_address}
    return [Log(LogEvent.SERVER_SILENT, fields)]


def update_own(node: Node, **changes: object) -> None:
    """Change the node's own record under a higher incarnation, and send it to peers."""
    incarnation = node.own.incarnation + 1
    node.own = attrs.evolve(node.own, incarnation=incarnation, **changes)
    node.members_revision += 1
    queue_news(node, node.own.name)


def leave(node: Node) -> list[Action]:
    """Mark this node as left, and notify some peers at once to send its server no more work."""
    update_own(node, status="left", serving=False)
    peers = choose_peers(node, LOCAL_LEAVE_NOTICES, REMOTE_LEAVE_NOTICES)
    return [SendMessage(peer.peer_address, MemberNews(node.own)) for peer in peers]


def _refute(node: Node, record: MemberRecord) -> None:
    if record.incarnation < node.own.incarnation or record == node.own:
        return
    incarnation = min(record.incarnation + 1, MAX_COUNTER)
    node.own = attrs.evolve(node.own, incarnation=incarnation)
    node.members_revision += 1
    queue_news(node, node.own.name)


def _find_conflict(record: MemberRecord, known: Member | None) -> str:
    if known is None or known.record.incarnation != record.incarnation:
        return ""
    if known.record.data_centre == record.data_centre:
        return ""
    return f"member {record.name} in data centre {record.data_centre}"


def _overrides(record: MemberRecord, known: MemberRecord) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return _STATUS_ORDER[record.status] > _STATUS_ORDER[known.status]
