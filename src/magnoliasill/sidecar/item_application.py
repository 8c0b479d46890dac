"""Applies items of the store to this sidecar's state, whatever source they came from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import ErrorCode, LogEvent
from ..decoding import describe_error
from ..errors import ConfigurationError
from ..mesh.members import find_condition, mark_lapsed, put_member, remove_lapsed, remove_member
from ..mesh.records import (
    CRASH_PREFIX,
    MEMBER_PREFIX,
    TAKEOVER_PREFIX,
    decode_member,
    decode_takeover,
)
from ..mesh.store_items import apply_changes, apply_snapshot
from ..platform.operator_configuration import (
    CONFIGURATION_KEY,
    ORDER_PREFIX,
    decode_configuration,
    decode_order,
)
from .crash_store import apply_stored_findings
from .server_notices import restore_leaving
from .state import OpenOrder, find_takeover, log_takeover

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..mesh.store_items import Item, Page
    from .state import Sidecar


def apply_page(sidecar: Sidecar, page: Page) -> None:
    """Apply a page of changes; of each key only the newest one that is not known yet.

    Args:
        sidecar: State of this sidecar.
        page: The changes or a snapshot, from the store or from another sidecar.
    """
    if page.snapshot:
        changed = apply_snapshot(sidecar.mirror, list(page.items), page.revision)
    else:
        changed = apply_changes(sidecar.mirror, page)
    newest = {item.key: item for item in changed}
    apply_items(sidecar, newest.values())


def remove_lapsed_members(sidecar: Sidecar) -> None:
    """Remove members whose records lapsed and were not registered again in time."""
    for member in remove_lapsed(sidecar.members, sidecar.clock()):
        sidecar.log(
            LogEvent.MEMBER_REMOVED,
            member=member.name,
            reason="record lapsed",
            revision=sidecar.mirror.revision,
        )


def apply_items(sidecar: Sidecar, items: Iterable[Item]) -> None:
    """Apply items one by one; one that can't be applied is logged, and the others are applied.

    The copy of the store has advanced past all of them already, so none is read again.
    """
    for item in items:
        try:
            _apply_item(sidecar, item)
        except ConfigurationError as error:
            sidecar.log(
                LogEvent.ENTRY_REFUSED, key=item.key, revision=item.revision, reason=error.message
            )
        except Exception as error:
            reason = f"{item.key}: {describe_error(error)}"
            sidecar.log(LogEvent.SYSTEM_FAILED, event_kind="item", reason=reason)


def _apply_item(sidecar: Sidecar, item: Item) -> None:
    sidecar.versions.record_version(item)  # any sidecar may have to act as a relay
    if item.key == CONFIGURATION_KEY:
        _apply_configuration(sidecar, item)
    elif item.key.startswith(MEMBER_PREFIX):
        _apply_member(sidecar, item)
    elif item.key.startswith(ORDER_PREFIX):
        _apply_order(sidecar, item)
    elif item.key.startswith(TAKEOVER_PREFIX):
        _apply_takeover(sidecar, item)
    elif item.key.startswith(CRASH_PREFIX):
        apply_stored_findings(sidecar, item)


def _apply_configuration(sidecar: Sidecar, item: Item) -> None:
    if item.value is None:
        return  # the active configuration stays
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
        _apply_member_removal(sidecar, name, item.revision)
        return
    member = decode_member(item.value)
    if member.name != name:
        message = f"record of {member.name} is stored under the key of {name}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message)
    put_member(sidecar.members, member)
    if name == sidecar.settings.name:
        restore_leaving(sidecar, member)
    sidecar.log(
        LogEvent.MEMBER_CHANGED,
        member=name,
        service=member.service,
        release=member.release,
        instance=member.instance,
        leaving=member.leaving,
        revision=item.revision,
    )


def _apply_member_removal(sidecar: Sidecar, name: str, revision: int) -> None:
    member = sidecar.members.records.get(name)
    if member is None:
        return
    if member.leaving:
        remove_member(sidecar.members, name)
        sidecar.log(LogEvent.MEMBER_REMOVED, member=name, reason="member left", revision=revision)
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
        message = f"order for {order.service} is stored under the key of {service}"
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
        return  # removing the record does not revert the decision
    takeover = decode_takeover(item.value)
    before, _ = find_takeover(sidecar, service)
    sidecar.takeovers[service] = (takeover, item.revision)
    if before is None or (before.phase, before.share) != (takeover.phase, takeover.share):
        log_takeover(sidecar, takeover, item.revision)
