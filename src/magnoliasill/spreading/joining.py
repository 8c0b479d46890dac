"""Joining: what a daemon has to hear after its start, before a configuration is in force on it.

A VM keeps nothing. A daemon that comes back asks every daemon of its data centre what it holds,
or reads the platform's store, so that it does not serve an older version than before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..core.actions import Log
from ..core.node import list_alive

if TYPE_CHECKING:
    from ..core.actions import Action
    from ..core.messages import Digest, MemberRecord
    from ..core.node import Node

JOIN_LIMIT_S = 4.0
ASK_RETRY_S = 0.5
ASKED_AT_ONCE = 16


def may_apply(node: Node, version: int) -> bool:
    """Return whether a version may be put in force as far as joining is concerned.

    A version that peers hold and this node refuses is no bound: it is never in force here.
    """
    join = node.join
    return join.done and (
        version >= join.minimum_version or join.minimum_version in node.configuration.refused
    )


def note_answer(node: Node, digest: Digest) -> None:
    """Note what a daemon of the own data centre holds."""
    join = node.join
    if join.done or digest.sender.data_centre != node.own.data_centre:
        return
    join.answered.add(digest.sender.name)
    join.minimum_version = max(join.minimum_version, digest.version, digest.held)


def note_platform_read(node: Node, version: int) -> list[Action]:
    """End joining, as the platform's head was read after the start.

    Args:
        node: The node's tables.
        version: The head's version, held whole by now, or 0 if there is none. The node can't
            have had a newer one in force.
    """
    if node.join.done:
        return []
    node.join.minimum_version = version
    return _finish(node, "platform")


def list_due_questions(node: Node, now: float) -> list[MemberRecord]:
    """Return the daemons to ask now, a bounded number at once."""
    join = node.join
    if join.done:
        return []
    due = [
        record
        for record in list_alive(node, node.own.data_centre)
        if record.name not in join.answered
        and now >= join.asked_at.get(record.name, -ASK_RETRY_S) + ASK_RETRY_S
    ]
    due.sort(key=lambda record: join.asked_at.get(record.name, 0.0))
    for record in due[:ASKED_AT_ONCE]:
        join.asked_at[record.name] = now
    return due[:ASKED_AT_ONCE]


def tick_joining(node: Node, now: float) -> list[Action]:
    """End joining once all daemons of the data centre answered, or when the limit has passed."""
    join = node.join
    if join.started_at is None:
        join.started_at = now
    if join.done:
        return []
    if now >= join.started_at + JOIN_LIMIT_S:
        return _finish(node, "limit")
    names = {record.name for record in list_alive(node, node.own.data_centre)}
    if join.synced and names and names <= join.answered:
        return _finish(node, "answers")
    return []


def _finish(node: Node, reason: str) -> list[Action]:
    join = node.join
    join.done = True
    fields = {"reason": reason, "answers": len(join.answered), "floor": join.minimum_version}
    return [Log(LogEvent.JOIN_COMPLETED, fields)]
