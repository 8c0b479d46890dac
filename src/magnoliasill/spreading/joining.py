"""Joining: what a daemon must learn after its start before it may apply a configuration.

A VM keeps no state over a restart. A restarted daemon asks every daemon of its data centre for its
version, or reads the platform's store, so that it does not serve an older version than before.
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

JOIN_TIMEOUT_S = 4.0
QUERY_RETRY_S = 0.5
MAX_QUERIES_PER_TICK = 16


def may_apply(node: Node, version: int) -> bool:
    """Return whether joining allows a version to be applied.

    If this node refused the minimum version, the minimum does not count: the node never applied
    that version.
    """
    join = node.join
    return join.done and (
        version >= join.minimum_version or join.minimum_version in node.configuration.refused
    )


def record_answer(node: Node, digest: Digest) -> None:
    """Record the version that a daemon of this data centre reported."""
    join = node.join
    if join.done or digest.sender.data_centre != node.own.data_centre:
        return
    join.answered.add(digest.sender.name)
    join.minimum_version = max(join.minimum_version, digest.version, digest.held)


def record_platform_read(node: Node, version: int) -> list[Action]:
    """Complete joining after the head was read from the platform's store.

    Args:
        node: The node's state.
        version: The head's version, which the node has completely by now, or 0 if there is no
            head. The node can't have applied a newer one before its restart.
    """
    if node.join.done:
        return []
    node.join.minimum_version = version
    return _finish(node, "platform")


def list_due_queries(node: Node, now: float) -> list[MemberRecord]:
    """Return the daemons to query for their version now, a limited number per tick."""
    join = node.join
    if join.done:
        return []
    due = [
        record
        for record in list_alive(node, node.own.data_centre)
        if record.name not in join.answered
        and now >= join.asked_at.get(record.name, -QUERY_RETRY_S) + QUERY_RETRY_S
    ]
    due.sort(key=lambda record: join.asked_at.get(record.name, 0.0))
    for record in due[:MAX_QUERIES_PER_TICK]:
        join.asked_at[record.name] = now
    return due[:MAX_QUERIES_PER_TICK]


def tick_joining(node: Node, now: float) -> list[Action]:
    """Complete joining once all daemons of the data centre answered, or after the timeout."""
    join = node.join
    if join.started_at is None:
        join.started_at = now
    if join.done:
        return []
    if now >= join.started_at + JOIN_TIMEOUT_S:
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
