"""Keeps this sidecar's state in sync with the store, directly or through a relay."""

from __future__ import annotations

from functools import partial
from math import isfinite
from typing import TYPE_CHECKING, TypeAlias

import attrs
import eventlet
from eventlet.support.greenlets import GreenletExit

from ..codes import LogEvent
from ..decoding import describe_error
from ..errors import HistoryLostError, StoreError
from ..mesh.positions import find_era
from ..mesh.relays import MAX_AGE_S, RELAY_BACKOFF_S, is_long
from ..mesh.store_items import (
    Item,
    Page,
    count_replaced_bytes,
)
from ..platform.operator_configuration import (
    CONFIGURATION_KEY,
)
from ..urgent_hub import spawn_urgent
from .copy_age import confirm_copy
from .era_changes import report_eras
from .hedging import Source, ask_first
from .item_application import apply_page
from .state import (
    NEVER,
    do_nothing,
    record_store_answer,
    record_store_failure,
)
from .store_relay import (
    POLL_TIMEOUT_S,
    adopt_relay,
    find_relay,
    find_store_age,
    is_outdated,
    list_stand_ins,
    poll_relay,
    reads_store,
    suspend_relay,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from ..mesh.members import Member
    from .hedging import Outcome
    from .state import Sidecar

# Shares of the time allowed to apply a change. A watch waits for the first; its response counts as
# lost after the second, which leaves time to read the change and to send it to followers.
WATCH_SHARE = 0.2
RESPONSE_SHARE = 0.25
LATE_SHARE = 0.75  # a configuration that takes longer is logged
READ_SHARE = 0.25  # for a read of all items over a slow link
READ_AGE_SHARE = 0.45  # the age of the local copy at which the store itself is asked
WATCH_PATIENCE_SHARE = 0.2  # after the end of a watch, until others are asked as well
HEDGE_S = 0.2  # for an answer that should come at once, until another source is asked as well
MIN_PATIENCE_S = 0.02
MIN_HOLD_S = 0.1  # limits how often a relay is polled whose own copy is not recent
LONG_READ_S = 1.0  # several versions may follow one another in such a time
MAX_RELAYS_ASKED = 5
MIN_WATCH_S = 0.05
SHORT_WATCH_S = 0.4  # while it is in doubt whether the store answers
# Batches changes that arrive close together into one call; well below the time allowed to apply
# a change.
BATCH_DELAY_S = 0.25
FOLLOWER_BATCH_DELAY_S = 0.1  # the same batching when a relay is polled
RETRY_MIN_S = 0.3
RETRY_MAX_S = 0.7  # detects a recovered store within this; shorter delays cost more rejected calls
# After a longer gap the current items are read: a watch would first deliver all that was superseded
# in between, for as long as the gap and the size of the versions make it.
MAX_WATCH_GAP_S = 0.5
# With this many bytes of superseded versions in a page, the current items are read next instead of
# further changes.
MAX_REPLACED_BYTES = 16_384
STORE = ""  # the name of a read of the store as a source; no VM has it
WATCH = " "  # the same of a watch
WATCH_GRACE_S = 0.1  # after the end of a watch, until the store is read as well
ALL_KEYS = ""  # key prefix that matches every item

# Applies what a source answered; returns the seconds to wait before it is asked again.
Apply: TypeAlias = "Callable[[], float]"


@attrs.frozen
class _Fetch:
    """A request for changes.

    Attributes:
        started_at: When it was sent, in seconds on the monotonic clock.
        wake_at: The same by the wake clock.
        copy_age_s: The age of the local copy then, or None if there was no copy.
    """

    started_at: float
    wake_at: float
    copy_age_s: float | None


def follow_store(sidecar: Sidecar) -> None:
    """Apply changes of the store as they come, until the process ends."""
    report_eras(sidecar)
    while True:
        started, relay = sidecar.clock(), find_relay(sidecar)
        outcome = ask_first(choose_sources(sidecar, relay))
        _record_troubles(sidecar, outcome, relay, started)
        if outcome.answer is not None:
            eventlet.sleep(outcome.answer())
        elif _has_no_source(sidecar, outcome, started):
            eventlet.sleep(sidecar.random.uniform(RETRY_MIN_S, RETRY_MAX_S))


def _record_troubles(
    sidecar: Sidecar, outcome: Outcome[Apply], relay: Member | None, started: float
) -> None:
    """Record which sources failed or did not answer since a request to them began."""
    if outcome.winner == STORE:  # it answers, only the watch was lost
        if WATCH in outcome.failures or WATCH in outcome.unanswered:
            _record_lost_watch(sidecar, outcome.failures.pop(WATCH, None))
        outcome.unanswered.pop(WATCH, None)
    for name, error in outcome.failures.items():
        # Others than the relay need no copy as recent as that of a relay.
        if not is_outdated(error) or (relay is not None and name == relay.name):
            _record_failure(sidecar, name, error, started)
    for name, seconds in outcome.unanswered.items():
        _record_silence(sidecar, name, seconds)


def _has_no_source(sidecar: Sidecar, outcome: Outcome[Apply], started: float) -> bool:
    """Return whether the store failed, has answered nothing else since, and no relay is left."""
    asked = {STORE, WATCH} & outcome.failures.keys()
    failed = bool(asked) and sidecar.store_answered_at <= started
    return failed and find_relay(sidecar) is None


def choose_sources(sidecar: Sidecar, relay: Member | None) -> Iterator[Source[Apply]]:
    """Yield the sources of changes in the order in which to ask them.

    First comes the relay that this sidecar follows, or the store if it follows none, then others
    that may stand in. The store is asked at the latest when the local copy is so old that reading
    it takes the rest of the time that is aimed at. It is read at once where a watch of it ends
    without an answer: what silences one watch silences those of all relays, and their copies would
    become outdated together.

    Args:
        sidecar: State of this sidecar.
        relay: The sidecar that it follows, or None for the store.
    """
    asked = [sidecar.settings.name]
    asks_store = relay is None
    if relay is None:
        yield from _list_store_sources(sidecar)
    else:
        asked.append(relay.name)
        hold_s = _choose_hold(sidecar)
        yield Source(relay.name, lambda: _ask_relay(sidecar, relay, hold_s), hold_s + HEDGE_S)
    while len(asked) <= MAX_RELAYS_ASKED:
        may_ask_store = not asks_store and reads_store(sidecar)
        if may_ask_store and _find_store_due(sidecar) <= 0:
            asks_store = True
            yield Source(STORE, lambda: _read_store(sidecar), HEDGE_S)
            continue
        stand_in = next(iter(list_stand_ins(sidecar, asked)), None)
        if stand_in is None:
            break
        asked.append(stand_in.name)
        due_s = _find_store_due(sidecar) if may_ask_store else HEDGE_S
        patience_s = max(min(due_s, HEDGE_S), MIN_PATIENCE_S)
        yield Source(stand_in.name, partial(_ask_stand_in, sidecar, stand_in), patience_s)
    if not asks_store and reads_store(sidecar):
        yield Source(STORE, lambda: _read_store(sidecar), HEDGE_S)


def _choose_hold(sidecar: Sidecar) -> float:
    """Return the seconds for which the relay may hold a poll, so that a stand-in can follow it."""
    due_s = _find_store_due(sidecar)
    if due_s <= 0:
        return 0.0
    return min(max(due_s - 2 * HEDGE_S, MIN_HOLD_S), POLL_TIMEOUT_S)


def _find_store_due(sidecar: Sidecar) -> float:
    """Return the seconds until the store itself should be read to confirm the local copy."""
    return READ_AGE_SHARE * sidecar.settings.bounds.config_apply_s - find_store_age(sidecar)


def _list_store_sources(sidecar: Sidecar) -> Iterator[Source[Apply]]:
    """Yield the ways to ask the store itself: a read, or a watch and a read in its place."""
    allowed_s = sidecar.settings.bounds.config_apply_s
    if sidecar.clock() - sidecar.in_sync_at > MAX_WATCH_GAP_S:
        yield Source(STORE, lambda: _read_store(sidecar), READ_SHARE * allowed_s)
        return
    wait_s, patience_s = _choose_watch_wait(sidecar), WATCH_PATIENCE_SHARE * allowed_s
    grace_s = min(WATCH_GRACE_S + 2 * sidecar.watch_overrun_s, patience_s)
    if not sidecar.watch_overrun_s:  # a watch with changes confirmed the copy as of its start
        recent_s = MAX_AGE_S - HEDGE_S / 2 - find_store_age(sidecar) - wait_s
        grace_s = max(min(grace_s, recent_s), MIN_PATIENCE_S)
    yield Source(WATCH, lambda: _watch_store(sidecar, wait_s), wait_s + grace_s)
    if sidecar.clock() >= sidecar.store_doubtful_until:
        left_s = max(patience_s - grace_s, MIN_PATIENCE_S)
        yield Source(STORE, lambda: _read_store(sidecar), left_s)


def _choose_watch_wait(sidecar: Sidecar) -> float:
    """Return the seconds for which to watch, so that the copy is confirmed for followers in time.

    A watch that returned changes has confirmed it only as of the start of that watch.
    """
    in_doubt = sidecar.clock() < sidecar.store_doubtful_until
    wait_s = SHORT_WATCH_S if in_doubt else WATCH_SHARE * sidecar.settings.bounds.config_apply_s
    recent_s = MAX_AGE_S - HEDGE_S - find_store_age(sidecar)
    return min(max(recent_s, MIN_WATCH_S), wait_s)


def _record_failure(
    sidecar: Sidecar, name: str, error: BaseException | None, started: float
) -> None:
    """Record that a source failed since a request to the sources began."""
    if name not in (STORE, WATCH):
        suspend_relay(sidecar, name, error, sidecar.clock() - started)
    elif isinstance(error, HistoryLostError):
        sidecar.meters.count("store", "history_lost")
        sidecar.in_sync_at = NEVER
    elif error is not None:
        _record_lost_watch(sidecar)
        if sidecar.store_answered_at <= started:  # else it answered a later call
            reason = error.message if isinstance(error, StoreError) else describe_error(error)
            record_store_failure(sidecar, reason)
            _suspend_own_reads(sidecar)


def _record_silence(sidecar: Sidecar, name: str, seconds: float) -> None:
    """Record that a source has not answered for some seconds, while another one did."""
    if name == WATCH:
        if seconds > WATCH_SHARE * sidecar.settings.bounds.config_apply_s:
            _record_lost_watch(sidecar)
            _suspend_own_reads(sidecar)
    elif name != STORE and seconds >= HEDGE_S:
        suspend_relay(sidecar, name, None, seconds)


def _record_lost_watch(sidecar: Sidecar, error: BaseException | None = None) -> None:
    """Record that a watch failed or was not answered in time."""
    is_lost = isinstance(error, HistoryLostError)
    sidecar.meters.count("store", "history_lost" if is_lost else "watch_failed")
    sidecar.watching_store = False


def _suspend_own_reads(sidecar: Sidecar) -> None:
    sidecar.relay_backoff.suspend(sidecar.settings.name, sidecar.clock(), RELAY_BACKOFF_S)


def _ask_stand_in(sidecar: Sidecar, member: Member) -> Apply:
    """Ask a member for changes at once; one that can only send all items is of no use."""
    return _ask_relay(sidecar, member, 0.0, snapshot=False)


def _ask_relay(sidecar: Sidecar, relay: Member, hold_s: float, snapshot: bool = True) -> Apply:
    fetch = _begin_fetch(sidecar)
    changes = poll_relay(sidecar, relay, hold_s, snapshot)

    def apply() -> float:
        sidecar.watching_store = False
        unseen_at = max(sidecar.store_confirmed_at, changes.configuration_unseen_at)
        applied = apply_page(sidecar, changes.page)
        adopt_relay(sidecar, changes)
        sidecar.in_sync_at = changes.confirmed_at
        received = applied if changes.page.snapshot else changes.page.items
        _log_configuration(sidecar, received, relay.name, fetch, unseen_at)
        return FOLLOWER_BATCH_DELAY_S if changes.page.items else 0.0

    return apply


def _watch_store(sidecar: Sidecar, wait_s: float) -> Apply | None:
    """Wait for changes in the store; return None if the wait was cancelled.

    It is cancelled when another call to the store fails, since the connection of the watch may be
    silent too. The next waits are short then: each of their answers confirms the local copy.
    """
    fetch = _begin_fetch(sidecar)
    page = _await_page(sidecar, wait_s)
    if page is None:
        return None

    def apply() -> float:
        sidecar.meters.count("store", "watch")
        sidecar.followed_relay = ""
        unseen_at = sidecar.store_confirmed_at
        overrun_s = sidecar.clock() - fetch.started_at - wait_s
        sidecar.watch_overrun_s = 0.0 if page.items else max(overrun_s, 0.0)
        # Without changes the store waited to the end; with some it may have answered at once.
        _record_answer(sidecar, fetch.started_at + (0.0 if page.items else wait_s))
        sidecar.watching_store = True
        apply_page(sidecar, page)
        confirm_copy(sidecar, page.revision, fetch.wake_at)
        _log_configuration(sidecar, page.items, "watch", fetch, unseen_at)
        # a watch returns every intermediate version, a read only the latest
        superseded = count_replaced_bytes(page) >= MAX_REPLACED_BYTES
        sidecar.in_sync_at = NEVER if superseded else sidecar.clock()
        return BATCH_DELAY_S if page.items else 0.0

    return apply


def _record_answer(sidecar: Sidecar, confirmed_at: float) -> None:
    record_store_answer(sidecar)
    sidecar.store_confirmed_at = max(sidecar.store_confirmed_at, confirmed_at)


def _await_page(sidecar: Sidecar, wait_s: float) -> Page | None:
    lost_after_s = RESPONSE_SHARE * sidecar.settings.bounds.config_apply_s

    def watch() -> Page | StoreError | None:
        try:
            return sidecar.store.watch(ALL_KEYS, sidecar.mirror.revision, wait_s, lost_after_s)
        except StoreError as error:
            return error

    thread = spawn_urgent(watch)
    sidecar.cancel_watch = thread.kill
    try:
        result = thread.wait()
    except GreenletExit:
        if not thread.dead:
            raise  # this loop itself was ended
        # Until the next watch is answered, a renewed lease confirms nothing.
        sidecar.watching_store = False
        return None
    finally:
        sidecar.cancel_watch = do_nothing
        thread.kill()
    if isinstance(result, StoreError):
        raise result
    return result


def _read_page(sidecar: Sidecar, after: str) -> Page:
    """Read a page; repeat a call that was lost before the store answered another one."""
    while True:
        started = sidecar.clock()
        try:
            return sidecar.store.read_page(ALL_KEYS, after)
        except StoreError:
            if sidecar.store_answered_at <= started:
                raise


def _read_store(sidecar: Sidecar) -> Apply:
    """Read all items from the store, page by page.

    Raises:
        StoreError: If the store did not respond.
    """
    fetch = _begin_fetch(sidecar)
    sidecar.watching_store = False  # until then a renewed lease confirms nothing
    items, revision = _read_all(sidecar)

    def apply() -> float:
        sidecar.followed_relay = ""
        unseen_at = sidecar.store_confirmed_at
        changed = apply_page(sidecar, Page(tuple(items), revision, snapshot=True))
        _record_answer(sidecar, fetch.started_at)
        confirm_copy(sidecar, revision, fetch.wake_at)
        # what took long to arrive may already be superseded
        took_long = sidecar.clock() - fetch.started_at > LONG_READ_S
        may_be_old = took_long or any(is_long(item) for item in changed)
        sidecar.in_sync_at = fetch.started_at if may_be_old else sidecar.clock()
        _log_read(sidecar, items, fetch)
        _log_configuration(sidecar, changed, "read", fetch, unseen_at)
        return 0.0

    return apply


def _read_all(sidecar: Sidecar) -> tuple[list[Item], int]:
    """Return all items, and the position of the store when the read of them began."""
    items: list[Item] = []
    revision, after = None, ""
    while True:
        page = _read_page(sidecar, after)
        sidecar.meters.count("store", "read")
        if revision is not None and find_era(page.revision) != find_era(revision):
            items, revision, after = [], None, ""  # the pages before are of another history
            continue
        revision = page.revision if revision is None else revision
        items.extend(page.items)
        if not page.more or not page.items:
            return items, revision
        after = page.items[-1].key


def _begin_fetch(sidecar: Sidecar) -> _Fetch:
    copy_age_s = round(find_store_age(sidecar), 3) if sidecar.mirror.revision else None
    return _Fetch(sidecar.clock(), sidecar.wake_clock(), copy_age_s)


def _log_read(sidecar: Sidecar, items: Sequence[Item], fetch: _Fetch) -> None:
    sidecar.log(
        LogEvent.STORE_ITEMS_READ,
        items=len(items),
        size=sum(len(item.value or b"") for item in items),
        seconds=round(sidecar.clock() - fetch.started_at, 3),
        copy_age_s=fetch.copy_age_s,
    )


def _log_configuration(
    sidecar: Sidecar, items: Sequence[Item], source: str, fetch: _Fetch, unseen_at: float
) -> None:
    """Log how versions of the configuration arrived, if a response had any.

    Args:
        sidecar: State of this sidecar, which has applied the items.
        items: The items that the response had.
        source: Where they came from.
        fetch: The request for them.
        unseen_at: When the store last confirmed a copy without the newest version.
    """
    versions = [item for item in items if item.key == CONFIGURATION_KEY and item.value is not None]
    if not versions:
        return
    direct = source in ("watch", "read")
    sidecar.meters.count("configuration", source if direct else "relay", len(versions))
    sidecar.meters.count("configuration", "superseded", len(versions) - 1)
    if fetch.copy_age_s is not None:
        sidecar.meters.observe("copy_age", fetch.copy_age_s)
    has_delay = unseen_at > NEVER and sidecar.table is not None
    delay_s = sidecar.clock() - unseen_at if has_delay else None
    sidecar.log(
        LogEvent.CONFIGURATION_RECEIVED,
        source=source,
        revision=max(item.revision for item in versions),
        versions=len(versions),
        size=sum(len(item.value) for item in versions),
        seconds=round(sidecar.clock() - fetch.started_at, 3),
        copy_age_s=fetch.copy_age_s,
        delay_s=None if delay_s is None else round(delay_s, 3),
    )
    sidecar.configuration_unseen_at = unseen_at
    if delay_s is not None:
        _record_delay(sidecar, source, fetch, delay_s)


def _record_delay(sidecar: Sidecar, source: str, fetch: _Fetch, delay_s: float) -> None:
    """Record the most seconds that passed from a version's acceptance to its being in force."""
    sidecar.meters.observe("configuration_delay", delay_s)
    if delay_s <= LATE_SHARE * sidecar.settings.bounds.config_apply_s:
        return
    returned_s = sidecar.clock() - sidecar.store_returned_at
    sidecar.log(
        LogEvent.CONFIGURATION_LATE,
        version=sidecar.table.version,
        source=source,
        delay_s=round(delay_s, 3),
        seconds=round(sidecar.clock() - fetch.started_at, 3),
        copy_age_s=fetch.copy_age_s,
        store_returned_s=round(returned_s, 3) if isfinite(returned_s) else None,
    )
