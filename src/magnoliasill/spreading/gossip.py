"""Gossip: sends messages and changed member records to a limited number of random peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.actions import SendMessage
from ..core.messages import MemberNews
from ..core.node import list_alive

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..core.actions import Action
    from ..core.messages import MemberRecord, Message
    from ..core.node import Node

FANOUT_LOCAL = 4
FANOUT_REMOTE = 1
NEWS_INTERVAL_S = 0.2
MAX_NEWS_SENDS = 6
MAX_NEWS_RECORDS = 12
MAX_PIGGYBACK_RECORDS = 4


def choose_peers(
    node: Node, local: int, remote: int, excluded: Collection[str] = ()
) -> list[MemberRecord]:
    """Choose random daemons among those that are alive or only suspected.

    Args:
        node: The node's state.
        local: The maximum number of daemons of this node's data centre.
        remote: The maximum number of daemons of other data centres.
        excluded: Names of daemons to leave out.

    Returns:
        The chosen records, those of this node's data centre first.
    """
    alive = [record for record in list_alive(node) if record.name not in excluded]
    local_alive = [record for record in alive if record.data_centre == node.own.data_centre]
    remote_alive = [record for record in alive if record.data_centre != node.own.data_centre]
    chosen = node.random.sample(local_alive, min(local, len(local_alive)))
    return chosen + node.random.sample(remote_alive, min(remote, len(remote_alive)))


def spread_message(node: Node, message: Message, excluded: Collection[str] = ()) -> list[Action]:
    """Send a message to a few random peers.

    Each daemon must call this once per message, when it first receives the message. Nearly all
    daemons then receive it within a few hops. Some may miss it, so the state that the message
    reports must also be compared with a random peer from time to time.

    Args:
        node: The node's state.
        message: The message, which is sent once to each chosen peer.
        excluded: Names of daemons that already have it, such as its sender.
    """
    peers = choose_peers(node, FANOUT_LOCAL, FANOUT_REMOTE, excluded)
    return [SendMessage(peer.peer_address, message) for peer in peers]


def queue_news(node: Node, name: str) -> None:
    """Queue a changed member record to be sent to peers `MAX_NEWS_SENDS` times."""
    node.news[name] = MAX_NEWS_SENDS


def send_news(node: Node, now: float) -> list[Action]:
    """Send changed records that were not sent yet to a few peers, the most urgent first.

    Records of members that accept no requests are the most urgent.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
    """
    if now < node.news_at:
        return []
    unsent = [name for name, sends in node.news.items() if sends == MAX_NEWS_SENDS]
    if not unsent:
        return []
    node.news_at = now + NEWS_INTERVAL_S
    by_urgency = sorted(unsent, key=lambda name: _accepts_requests(_find_record(node, name)))
    message = MemberNews(node.own, _dequeue_records(node, by_urgency[:MAX_NEWS_RECORDS]))
    return spread_message(node, message)


def dequeue_news(node: Node) -> list[MemberRecord]:
    """Return changed records to include in another message, those sent least often first."""
    names = sorted(node.news, key=lambda name: -node.news[name])
    return _dequeue_records(node, names[:MAX_PIGGYBACK_RECORDS])


def _dequeue_records(node: Node, names: list[str]) -> list[MemberRecord]:
    records: list[MemberRecord] = []
    for name in names:
        node.news[name] -= 1
        if not node.news[name]:
            del node.news[name]
        record = _find_record(node, name)
        if record is not None and record is not node.own:
            records.append(record)
    return records


def _find_record(node: Node, name: str) -> MemberRecord | None:
    if name == node.own.name:
        return node.own
    member = node.members.get(name)
    return member.record if member is not None else None


def _accepts_requests(record: MemberRecord | None) -> bool:
    return record is None or (record.serving and record.status == "alive")
