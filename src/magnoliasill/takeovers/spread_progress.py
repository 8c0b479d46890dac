"""Spreading the progress of takeovers: at once when it changes, and compared with peers later."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..core.actions import Log, SendMessage
from ..core.messages import TakeoverNews
from ..core.node import list_alive
from ..spreading.spreading import spread_message
from .plans import Phase
from .rollout import is_lowered, merge_progress
from .shares import update_shares
from .takeovers import MAX_ENDED

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..core.actions import Action
    from ..core.node import Node
    from .plans import Progress
    from .takeovers import Takeover

COMPARE_INTERVAL_S = 2.0
FIRST_ASKED = 3


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
    """Follow a newer progress, and spread it at once.

    Args:
        node: The node's tables.
        now: Seconds since the epoch.
        takeover: The takeover.
        progress: Another view of its progress.
        excluded: Names of daemons that know of it.

    Returns:
        A log event and messages, or nothing if it brings nothing new.
    """
    known = takeover.progress
    merged = merge_progress(known, progress)
    if merged == known:
        return []
    takeover.progress = merged
    if merged.phase is Phase.REVERSED:
        _remember_ended(node, merged)
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
    """Follow a peer's news, and tell it of a newer progress if it asks."""
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
    """Compare the progress with a random peer from time to time, with a few at the start."""
    if now < takeover.compare_at:
        return []
    count = 1 if takeover.compare_at else FIRST_ASKED
    takeover.compare_at = now + COMPARE_INTERVAL_S * node.random.uniform(0.8, 1.2)
    alive = list_alive(node)
    chosen = node.random.sample(alive, min(count, len(alive)))
    news = build_news(node, takeover, asks=True)
    return [SendMessage(record.peer_address, news) for record in chosen]


def build_news(node: Node, takeover: Takeover, asks: bool = False) -> TakeoverNews:
    """Return the news of a takeover as this node knows it."""
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


def _remember_ended(node: Node, progress: Progress) -> None:
    ended = node.takeovers.ended
    ended[progress.takeover_id] = progress
    while len(ended) > MAX_ENDED:
        del ended[next(iter(ended))]
