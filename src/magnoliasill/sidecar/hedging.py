"""Hedged requests: each source is asked while those before it have not answered yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import attrs
import eventlet
from eventlet.hubs import get_hub
from eventlet.queue import LightQueue

from ..urgent_hub import spawn_urgent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Answer = TypeVar("Answer")

LAST_PATIENCE_S = 1.0  # for those that were asked, once there is nobody else to ask


@attrs.frozen
class Source(Generic[Answer]):
    """A source that can be asked for something.

    Attributes:
        name: Its name, for those that use the outcome.
        ask: Asks it; returns None if its answer is of no use. Whatever it raises counts as a
            failure of the source.
        patience_s: Seconds after which the next source is asked as well.
    """

    name: str
    ask: Callable[[], Answer | None]
    patience_s: float


@attrs.define
class Outcome(Generic[Answer]):
    """What came of asking sources.

    Attributes:
        answer: The first useful answer, or None if there was none.
        winner: The name of the source that gave it, or None.
        failures: The errors of the sources that failed, by name; None for a useless answer.
        unanswered: The seconds since each source was asked that has not answered, by name.
    """

    answer: Answer | None = None
    winner: str | None = None
    failures: dict[str, BaseException | None] = attrs.field(factory=dict)
    unanswered: dict[str, float] = attrs.field(factory=dict)


def ask_first(sources: Iterable[Source[Answer]]) -> Outcome[Answer]:
    """Ask one source after another until one of them has answered.

    The next source is asked as soon as one has failed, or has not answered for its patience; those
    before it may still answer first. All that have not answered by then are cancelled.
    """
    results: LightQueue = LightQueue()
    outcome: Outcome[Answer] = Outcome()
    threads = {}
    asked_at = {}
    clock = get_hub().clock

    def ask(source: Source[Answer]) -> None:
        try:
            results.put((source.name, source.ask(), None))
        except (Exception, eventlet.Timeout) as error:
            results.put((source.name, None, error))

    try:
        for source in sources:
            asked_at[source.name] = clock()
            threads[source.name] = spawn_urgent(ask, source)
            if _await_answer(results, outcome, source.patience_s):
                break
        give_up_at = clock() + LAST_PATIENCE_S
        while outcome.winner is None and len(outcome.failures) < len(threads):
            left_s = give_up_at - clock()
            if left_s <= 0:
                break
            _await_answer(results, outcome, left_s)
    finally:
        for thread in threads.values():
            thread.kill()
    answered = {outcome.winner, *outcome.failures}
    outcome.unanswered = {
        name: clock() - at for name, at in asked_at.items() if name not in answered
    }
    return outcome


def _await_answer(results: LightQueue, outcome: Outcome[Answer], timeout_s: float | None) -> bool:
    """Wait for the next result; return whether it is an answer."""
    try:
        name, answer, error = results.get(timeout=timeout_s)
    except eventlet.queue.Empty:
        return False
    if answer is None:
        outcome.failures[name] = error
        return False
    outcome.answer, outcome.winner = answer, name
    return True
