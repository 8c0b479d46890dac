"""Following the store: every change that concerns this sidecar, from the store or from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from ..codes import ErrorCode, LogEvent
from ..errors import ConfigurationError, HistoryLostError, StoreError
from ..mesh.items import (
    Item,
    Page,
    apply_changes,
    apply_snapshot,
    count_replaced_bytes,
)
from ..mesh.members import find_condition, mark_lapsed, put_member, remove_lapsed, remove_member
from ..mesh.records import MEMBER_PREFIX, TAKEOVER_PREFIX, decode_member, decode_takeover
from ..mesh.relays import is_long
from ..platform.operators import (
    CONFIGURATION_KEY,
    ORDER_PREFIX,
    decode_configuration,
    decode_order,
)
from .relaying import follow_relay, watches_store
from .state import OpenOrder, find_takeover, log_takeover

if TYPE_CHECKING:
    from .state import Sidecar

WATCH_S = 3.0  # an answer that was lost delays a change by no more than this
GATHER_S = 0.5  # changes that come together cost one call; well below the time to apply one
FOLLOWER_GATHER_S = 0.25  # the same, of a relay
RETRY_MIN_S = 0.3
RETRY_MAX_S = 0.7  # the store's return is noticed within this; refused calls have their price too
STORM_BYTES = 65_536  # of versions that newer ones replace; a thin link takes 50 ms for them
EVERYTHING = ""


def follow_store(sidecar: Sidecar) -> None:
    """Take in changes of the store until the process ends."""
    synced = False
    while True:
        try:
            if not synced:
                read_everything(sidecar)
                synced = True
                _note_store(sidecar, True)
            page = follow_relay(sidecar)
            if page is not None:
                take_in(sidecar, page)
                eventlet.sleep(FOLLOWER_GATHER_S if page.items else 0.0)
                continue
            page = sidecar.store.watch(EVERYTHING, sidecar.mirror.revision, WATCH_S)
            sidecar.meters.count("store", "watch")
            _note_store(sidecar, True)
            take_in(sidecar, page)
            if page.items:
                eventlet.sleep(GATHER_S)
            # a watch would bring every version in between, a reading brings the last one
            synced = count_replaced_bytes(page) < STORM_BYTES
        except HistoryLostError:
            sidecar.meters.count("store", "history_lost")
            synced = False
        except StoreError as error:
            sidecar.meters.count("store", "watch_failed")
            _note_store(sidecar, False, error.message)
            eventlet.sleep(sidecar.random.uniform(RETRY_MIN_S, RETRY_MAX_S))


def read_everything(sidecar: Sidecar) -> None:
    """Read all items, page by page, and take in what differs.

    Raises:
        StoreError: If the store did not answer.
    """
    items: list[Item] = []
    revision, after = None, ""
    while True:
        page = sidecar.store.read_page(EVERYTHING, after)
        sidecar.meters.count("store", "read")
        revision = page.revision if revision is None else revision
        items.extend(page.items)
        if not page.more or not page.items:
            break
        after = page.items[-1].key
    for item in apply_snapshot(sidecar.mirror, items, revision):
        _apply(sidecar, item)


def take_in(sidecar: Sidecar, page: Page) -> None:
    """Take in changes.

    Args:
        sidecar: The tables.
        page: The changes, from the store or from another sidecar.
    """
    changed = apply_changes(sidecar.mirror, page)
    newest = {item.key: item for item in changed}
    for item in newest.values():
        _apply(sidecar, item)


def expire_members(sidecar: Sidecar) -> None:
    """Drop the members whose records lapsed and did not come back."""
    for member in remove_lapsed(sidecar.members, sidecar.clock()):
        sidecar.log(
            LogEvent.MEMBER_REMOVED,
            member=member.name,
            reason="its record lapsed",
            revision=sidecar.mirror.revision,
        )


def _apply(sidecar: Sidecar, item: Item) -> None:
    if is_long(item) and watches_store(sidecar):
        sidecar.versions.record_version(item)
    try:
        if item.key == CONFIGURATION_KEY:
            _apply_configuration(sidecar, item)
        elif item.key.startswith(MEMBER_PREFIX):
            _apply_member(sidecar, item)
        elif item.key.startswith(ORDER_PREFIX):
            _apply_order(sidecar, item)
        elif item.key.startswith(TAKEOVER_PREFIX):
            _apply_takeover(sidecar, item)
    except ConfigurationError as error:
        sidecar.log(
            LogEvent.ENTRY_REFUSED, key=item.key, revision=item.revision, reason=error.message
        )


def _apply_configuration(sidecar: Sidecar, item: Item) -> None:
    if item.value is None:
        return  # the configuration in force stays
    started = sidecar.clock()
    table = decode_configuration(item.value)
    if sidecar.table is not None and table.version <= sidecar.table.version:
        return
    sidecar.table = table
    sidecar.meters.observe("convergence", sidecar.clock() - started)
    sidecar.log(LogEvent.CONFIGURATION_APPLIED, version=table.version, publish_id="")


def _apply_member(sidecar: Sidecar, item: Item) -> None:
    name = item.key.removeprefix(MEMBER_PREFIX)
    if item.value is None:
        _apply_removal(sidecar, name, item.revision)
        return
    member = decode_member(item.value)
    if member.name != name:
        message = f"the record of {member.name} stands under the key of {name}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message)
    put_member(sidecar.members, member)
    sidecar.log(
        LogEvent.MEMBER_CHANGED,
        member=name,
        service=member.service,
        release=member.release,
        instance=member.instance,
        leaving=member.leaving,
        revision=item.revision,
    )


def _apply_removal(sidecar: Sidecar, name: str, revision: int) -> None:
    member = sidecar.members.records.get(name)
    if member is None:
        return
    if member.leaving:
        remove_member(sidecar.members, name)
        sidecar.log(LogEvent.MEMBER_REMOVED, member=name, reason="it left", revision=revision)
        return
    if find_condition(sidecar.members, member).lapsed_at is None:
        mark_lapsed(sidecar.members, name, sidecar.clock())
        sidecar.log(LogEvent.MEMBER_LAPSED, member=name, revision=revision)


def _apply_order(sidecar: Sidecar, item: Item) -> None:
    service = item.key.removeprefix(ORDER_PREFIX)
    if item.value is None:
        sidecar.orders.pop(service, None)
        return
    order = decode_order(item.value)
    if order.service != service:
        message = f"the order for {order.service} stands under the key of {service}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message)
    known = sidecar.orders.get(service)
    if known is not None and known.revision >= item.revision:
        return
    sidecar.orders[service] = OpenOrder(order, item.revision, sidecar.clock())
    sidecar.log(
        LogEvent.ORDER_SEEN,
        service=service,
        release=order.release,
        duration_s=order.duration_s,
        revision=item.revision,
    )


def _apply_takeover(sidecar: Sidecar, item: Item) -> None:
    service = item.key.removeprefix(TAKEOVER_PREFIX)
    if item.value is None:
        return  # what was decided stays decided
    takeover = decode_takeover(item.value)
    before, _ = find_takeover(sidecar, service)
    sidecar.takeovers[service] = (takeover, item.revision)
    if before is None or (before.phase, before.share) != (takeover.phase, takeover.share):
        log_takeover(sidecar, takeover, item.revision)


def _note_store(sidecar: Sidecar, reachable: bool, reason: str = "") -> None:
    sidecar.watching = reachable
    if reachable:
        sidecar.store_heard_at = sidecar.clock()
    if sidecar.store_reachable == reachable:
        return
    sidecar.store_reachable = reachable
    if reachable:
        sidecar.log(LogEvent.STORE_AVAILABLE)
        sidecar.registration()  # a record that lapsed meanwhile is missed by callers
    else:
        sidecar.log(LogEvent.STORE_UNAVAILABLE, reason=reason)
