"""Spreading: choosing a bounded number of peers that hear of something new at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import SendMessage
from .node import list_alive

if TYPE_CHECKING:
    from collections.abc import Collection

    from .actions import Action
    from .messages import MemberRecord, Message
    from .node import Node

FANOUT_LOCAL = 4
FANOUT_REMOTE = 1


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
