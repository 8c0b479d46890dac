"""Gossip of takeover progress: broadcast on changes, and periodic exchange with random peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..core.actions import Log, SendMessage
from ..core.messages import TakeoverNews
from ..core.node import list_alive
from ..spreading.gossip import spread_message
from .plans import Phase
from .rollout import is_lowered, merge_progress
from .shares import update_shares
from .takeovers import MAX_REVERSED

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..core.actions import Action
    from ..core.node import Node
    from .plans import Progress
    from .takeovers import Takeover

COMPARE_INTERVAL_S = 2.0
INITIAL_PEERS = 3


def find_takeover(node: Node, takeover_id: str) -> Takeover | None:
    """Return an active takeover by its identifier."""
    for takeover in node.takeovers.active.values():
        if takeover.plan.takeover_id == takeover_id:
            return takeover
    return None


def adopt_progress(
    node: Node,
    now: float,
    takeover: Takeover,
    progress: Progress,
    excluded: Collection[str] = (),
) -> list[Action]:
    """Merge a takeover's progress from a peer or a decision, and spread the result if it changed.

    Args:
        node: The node's state.
        now: Seconds since the epoch.
        takeover: The takeover.
        progress: The progress to merge.
        excluded: Names of daemons that know this progress already.

    Returns:
        A log event and messages, or nothing if the progress did not change.
    """
    known = takeover.progress
    merged = merge_progress(known, progress)
    if merged == known:
        return []
    takeover.progress = merged
    if merged.phase is Phase.REVERSED:
        _record_reversed(node, merged)
    update_shares(node, takeover, now)
    event = _choose_event(known, merged)
    fields = {
        "service": takeover.plan.service,
        "takeover": merged.takeover_id,
        "stage": merged.stage,
        "reason": merged.reason,
    }
    return [Log(event, fields), *spread_message(node, build_news(node, takeover), excluded)]


def receive_news(node: Node, now: float, news: TakeoverNews) -> list[Action]:
    """Merge a peer's progress, and reply if it asks and the merged progress differs."""
    takeover = find_takeover(node, news.progress.takeover_id)
    if takeover is None:
        return []
    if news.controller:
        takeover.controller, takeover.controller_at = news.controller, now
    takeover.stored = takeover.stored or news.stored
    actions = adopt_progress(node, now, takeover, news.progress, (news.origin,))
    if news.asks and takeover.progress != news.progress:
        actions.append(SendMessage(news.peer_address, build_news(node, takeover)))
    return actions


def compare_progress(node: Node, now: float, takeover: Takeover) -> list[Action]:
    """Send the progress to a random peer periodically, and to several peers the first time."""
    if now < takeover.compare_at:
        return []
    count = 1 if takeover.compare_at else INITIAL_PEERS
    takeover.compare_at = now + COMPARE_INTERVAL_S * node.random.uniform(0.8, 1.2)
    alive = list_alive(node)
    chosen = node.random.sample(alive, min(count, len(alive)))
    news = build_news(node, takeover, asks=True)
    return [SendMessage(record.peer_address, news) for record in chosen]


def build_news(node: Node, takeover: Takeover, asks: bool = False) -> TakeoverNews:
    """Build the message that reports this node's view of a takeover."""
    own = node.own
    controller = own.name if takeover.control.holding else ""
    return TakeoverNews(
        own.name,
        own.peer_address,
        takeover.plan.service,
        takeover.progress,
        controller,
        takeover.stored,
        asks,
    )


def _choose_event(known: Progress, merged: Progress) -> LogEvent:
    if merged.phase is Phase.REVERSED:
        return LogEvent.TAKEOVER_REVERSED
    if merged.phase is Phase.COMPLETED:
        return LogEvent.TAKEOVER_COMPLETED
    if is_lowered(merged) and not is_lowered(known):
        return LogEvent.SHARE_LOWERED
    return LogEvent.SHARE_RAISED


def _record_reversed(node: Node, progress: Progress) -> None:
    reversed_progress = node.takeovers.reversed_progress
    reversed_progress[progress.takeover_id] = progress
    while len(reversed_progress) > MAX_REVERSED:
        del reversed_progress[next(iter(reversed_progress))]
