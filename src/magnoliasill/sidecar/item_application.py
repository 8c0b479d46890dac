"""Applies items of the store to this sidecar's state, whatever source they came from."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import ErrorCode, LogEvent
from ..decoding import describe_error
from ..errors import ConfigurationError
from ..mesh.members import find_condition, mark_lapsed, put_member, remove_lapsed, remove_member
from ..mesh.positions import find_era, find_revision, is_earlier_era
from ..mesh.records import CRASH_PREFIX, MEMBER_PREFIX, TAKEOVER_PREFIX, decode_member
from ..mesh.store_items import apply_changes, apply_snapshot
from ..platform.operator_configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    ORDER_PREFIX,
)
from .cold_servers import apply_warmup
from .crash_store import apply_stored_findings
from .evacuations import apply_evacuation_item
from .server_notices import restore_leaving
from .takeover_items import apply_order_item, apply_takeover_item

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..mesh.members import Member
    from ..mesh.store_items import Item, Page
    from .state import Sidecar


def apply_page(sidecar: Sidecar, page: Page) -> list[Item]:
    """Apply a page of changes; of each key only the newest one that is not known yet.

    Args:
        sidecar: State of this sidecar.
        page: The changes or a snapshot, from the store or from another sidecar.

    Returns:
        The applied items. Of a snapshot of a later era, those that are as they were are left out.
    """
    revision_before = sidecar.mirror.revision
    restored = revision_before > 0 and is_earlier_era(revision_before, page.revision)
    before = dict(sidecar.mirror.items) if restored else {}
    if page.snapshot:
        changed = apply_snapshot(sidecar.mirror, list(page.items), page.revision)
    else:
        changed = apply_changes(sidecar.mirror, page)
    newest = {item.key: item for item in changed}
    apply_items(sidecar, newest.values(), restored)
    if not restored:
        return list(newest.values())
    news = [item for item in newest.values() if not _has_value(before.get(item.key), item.value)]
    _log_restored(sidecar, revision_before, news)
    return news


def _has_value(item: Item | None, value: bytes | None) -> bool:
    return item is not None and item.value == value


def _log_restored(sidecar: Sidecar, revision_before: int, news: list[Item]) -> None:
    position = sidecar.mirror.revision
    sidecar.log(
        LogEvent.STORE_COPY_READ,
        era=find_era(position),
        revision=find_revision(position),
        revision_before=find_revision(revision_before),
        gone=sum(item.value is None for item in news),
        older=sum(item.value is not None for item in news),
    )


def remove_lapsed_members(sidecar: Sidecar) -> None:
    """Remove members whose records lapsed and were not registered again in time."""
    for member in remove_lapsed(sidecar.members, sidecar.clock()):
        sidecar.log(
            LogEvent.MEMBER_REMOVED,
            member=member.name,
            reason="record lapsed",
            revision=sidecar.mirror.revision,
        )


def apply_items(sidecar: Sidecar, items: Iterable[Item], restored: bool = False) -> None:
    """Apply items one by one; one that can't be applied is logged, and the others are applied.

    The copy of the store has advanced past all of them already, so none is read again.

    Args:
        sidecar: State of this sidecar.
        items: The items.
        restored: Whether they may be older than what this sidecar knows, since the store came back
            from an older copy.
    """
    for item in items:
        try:
            _apply_item(sidecar, item, restored)
        except ConfigurationError as error:
            if item.key == CONFIGURATION_KEY:
                sidecar.configuration_unread = True
            sidecar.log(
                LogEvent.ENTRY_REFUSED, key=item.key, revision=item.revision, reason=error.message
            )
        except Exception as error:
            reason = f"{item.key}: {describe_error(error)}"
            sidecar.log(LogEvent.SYSTEM_FAILED, event_kind="item", reason=reason)


def _apply_item(sidecar: Sidecar, item: Item, restored: bool) -> None:
    sidecar.versions.record_version(item)  # any sidecar may have to act as a relay
    if item.key == CONFIGURATION_KEY:
        _apply_configuration(sidecar, item)
    elif item.key.startswith(MEMBER_PREFIX):
        _apply_member(sidecar, item, restored)
    elif item.key.startswith(ORDER_PREFIX):
        apply_order_item(sidecar, item)
    elif item.key.startswith(EVACUATION_PREFIX):
        apply_evacuation_item(sidecar, item)
    elif item.key.startswith(TAKEOVER_PREFIX):
        apply_takeover_item(sidecar, item)
    elif item.key.startswith(CRASH_PREFIX):
        apply_stored_findings(sidecar, item)


def _apply_configuration(sidecar: Sidecar, item: Item) -> None:
    if item.value is None:
        return  # the active configuration stays
    started = sidecar.clock()
    table = sidecar.decode_configuration(item.value)
    sidecar.configuration_unread = False
    if sidecar.table is not None and table.version <= sidecar.table.version:
        return
    sidecar.table = table
    apply_warmup(sidecar)
    sidecar.meters.observe("convergence", sidecar.clock() - started)
    sidecar.log(LogEvent.CONFIGURATION_APPLIED, version=table.version, publish_id="")


def _apply_member(sidecar: Sidecar, item: Item, restored: bool) -> None:
    name = item.key.removeprefix(MEMBER_PREFIX)
    if item.value is None:
        _apply_member_removal(sidecar, name, item.revision)
        return
    member = decode_member(item.value)
    if member.name != name:
        message = f"record of {member.name} is stored under the key of {name}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message)
    if restored and not _replaces_known(sidecar, member):
        return
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


def _replaces_known(sidecar: Sidecar, member: Member) -> bool:
    """Return whether a record of a restored store tells more than the known one.

    An older one is replaced by its sidecar soon, so the known one stays until then.
    """
    known = sidecar.members.records.get(member.name)
    if known is None:
        return True
    if member.born < known.born:
        return False
    if known.server_leaving and member.instance == known.instance:
        return member.server_leaving
    is_lapsed = find_condition(sidecar.members, known).lapsed_at is not None
    return member != known or is_lapsed


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
