"""Spreading: choosing a bounded number of peers that hear of something new at once."""

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
NEWS_SENDS = 6
NEWS_RECORDS = 12
PIGGYBACK_RECORDS = 4


def choose_peers(
    node: Node, local: int, remote: int, excluded: Collection[str] = ()
) -> list[MemberRecord]:
    """Choose random daemons that are taken to be alive.

    Args:
        node: The node's tables.
        local: The greatest number of daemons of the own data centre.
        remote: The greatest number of daemons of other data centres.
        excluded: Names of daemons that are not chosen.

    Returns:
        The chosen records, those of the own data centre first.
    """
    alive = [record for record in list_alive(node) if record.name not in excluded]
    near = [record for record in alive if record.data_centre == node.own.data_centre]
    far = [record for record in alive if record.data_centre != node.own.data_centre]
    chosen = node.random.sample(near, min(local, len(near)))
    return chosen + node.random.sample(far, min(remote, len(far)))


def spread_message(node: Node, message: Message, excluded: Collection[str] = ()) -> list[Action]:
    """Send a message to a few random peers.

    A message reaches every daemon if each one calls this once, when the message is new to it,
    and never again for the same message. Nearly all daemons hear of it within a few hops. A
    daemon may miss it, so the state behind the message also needs a comparison with a random
    peer from time to time.

    Args:
        node: The node's tables.
        message: The message; its size is paid once for each chosen peer.
        excluded: Names of daemons that know of it, such as the one that it came from.
    """
    peers = choose_peers(node, FANOUT_LOCAL, FANOUT_REMOTE, excluded)
    return [SendMessage(peer.peer_address, message) for peer in peers]


def mark_news(node: Node, name: str) -> None:
    """Note that a member's record changed, to be passed on."""
    node.news[name] = NEWS_SENDS


def send_news(node: Node, now: float) -> list[Action]:
    """Send the records that were not sent yet to a few peers, the most urgent first.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
    """
    if now < node.news_at:
        return []
    fresh = [name for name, sends in node.news.items() if sends == NEWS_SENDS]
    if not fresh:
        return []
    node.news_at = now + NEWS_INTERVAL_S
    urgent = sorted(fresh, key=lambda name: _takes_work(_find_record(node, name)))
    message = MemberNews(node.own, _take(node, urgent[:NEWS_RECORDS]))
    return spread_message(node, message)


def take_news(node: Node) -> list[MemberRecord]:
    """Return some changed records to send along with a message, those sent least first."""
    names = sorted(node.news, key=lambda name: -node.news[name])
    return _take(node, names[:PIGGYBACK_RECORDS])


def _take(node: Node, names: list[str]) -> list[MemberRecord]:
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


def _takes_work(record: MemberRecord | None) -> bool:
    return record is None or (record.serving and record.status == "alive")
