"""Keeps the coordinator's record of who may hold allowances in the store, and reads it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..codes import LogEvent
from ..errors import ConditionFailedError, ConfigurationError, StoreError
from ..mesh.positions import find_era
from ..mesh.quota_coordinator import find_holders, knows_holders
from ..mesh.quota_record import (
    FULL,
    QuotaRecord,
    decode_quota_record,
    has_record,
    note_attempt,
    observe_record,
    plan_record,
)
from ..mesh.quotas import LEASE_S
from ..mesh.records import QUOTA_KEY, QUOTA_RECORD_KEY
from ..mesh.store_items import Condition, Put, Transaction

if TYPE_CHECKING:
    from ..mesh.quota_messages import CoordinatorList
    from .state import Sidecar

WRITE_INTERVAL_S = 1.0  # between writes of the record under one version of the list


def describe_process(sidecar: Sidecar) -> str:
    """Return what identifies this process in the list and the record."""
    return f"{sidecar.settings.name} {sidecar.start_id}"


def follow_record(sidecar: Sidecar) -> None:
    """Adopt the record in the local copy of the store."""
    quotas, item = sidecar.quotas, sidecar.mirror.items.get(QUOTA_RECORD_KEY)
    if item is not None and item.revision > quotas.record_revision:
        quotas.record_revision, quotas.record = item.revision, None
        try:
            quotas.record = decode_quota_record(item.value) if item.value is not None else None
        except ConfigurationError as error:
            sidecar.log(
                LogEvent.ENTRY_REFUSED, key=item.key, revision=item.revision, reason=error.message
            )
    if quotas.listed is not None:
        observe_record(
            quotas.coordinator.handover,
            quotas.record,
            quotas.record_revision,
            quotas.listed.version,
            describe_process(sidecar),
        )


def keep_record(sidecar: Sidecar) -> None:
    """Write the record if this sidecar is the only coordinator and the record has changed."""
    follow_record(sidecar)
    quotas, now = sidecar.quotas, sidecar.clock()
    coordinator, listed = quotas.coordinator, quotas.listed
    if not coordinator.is_listed or not has_record(listed) or not sidecar.store_reachable:
        return
    handover = coordinator.handover
    is_first = handover.stored is None and not handover.pending
    if not is_first and now - quotas.record_written_at < WRITE_INTERVAL_S:
        return
    known = knows_holders(coordinator, sidecar.settings.bounds.quota_window_s, now)
    record = plan_record(
        handover,
        quotas.record,
        listed,
        find_era(quotas.list_revision),
        describe_process(sidecar),
        known,
        find_holders(coordinator) | _list_members(sidecar),
    )
    if record is None:
        return
    item = sidecar.mirror.items.get(QUOTA_RECORD_KEY)
    revision = item.revision if item is not None and item.value is not None else 0
    conditions = (
        Condition(QUOTA_RECORD_KEY, revision),
        Condition(QUOTA_KEY, quotas.list_revision),
    )
    note_attempt(handover, record)
    quotas.record_written_at = now
    put = Put(QUOTA_RECORD_KEY, msgspec.json.encode(record))
    try:
        sidecar.store.transact(Transaction((put,), conditions))
        sidecar.meters.count("store", "write")
    except ConditionFailedError:
        return  # the list or the record has changed, which the copy of the store will tell
    except StoreError:
        sidecar.meters.count("store", "quota_record_failed")


def describe_first_record(sidecar: Sidecar, listed: CoordinatorList) -> Put | None:
    """Return the record to write together with a fleet's first list, if this is its coordinator."""
    if listed.names != (sidecar.settings.name,):
        return None
    holders = tuple(sorted(_list_members(sidecar)))
    era = find_era(sidecar.mirror.revision)
    record = QuotaRecord(listed.version, era, describe_process(sidecar), True, holders)
    return Put(QUOTA_RECORD_KEY, msgspec.json.encode(record))


def _list_members(sidecar: Sidecar) -> set[str]:
    return {sidecar.settings.name, *sidecar.members.records}


def is_full_report_due(sidecar: Sidecar) -> bool:
    """Return whether the coordinator has taken over and was not told yet all that is held here."""
    quotas = sidecar.quotas
    listed, record = quotas.listed, quotas.record
    is_taken_over = has_record(listed) and record is not None and record.version == listed.version
    return is_taken_over and quotas.told != (record.version, record.writer)


def is_second_report_due(sidecar: Sidecar) -> bool:
    """Return whether the next full report is the one that confirms the last."""
    return sidecar.quotas.is_confirming


def note_full_answer(sidecar: Sidecar, record: QuotaRecord, sent: int, heard: int) -> None:
    """Note a coordinator's answer to a full report.

    Args:
        sidecar: State of this sidecar.
        record: The coordinator's record when the report was sent.
        sent: What the report told.
        heard: What the answer tells.
    """
    quotas = sidecar.quotas
    quotas.is_confirming = heard > FULL and heard != sent
    if heard > FULL and heard == sent:
        quotas.told = (record.version, record.writer)
    elif heard:
        quotas.full_token = heard


def list_held_teams(sidecar: Sidecar) -> list[str]:
    """Return the teams of which something may be held, also by an answer that is still due."""
    now = sidecar.clock()
    return [
        name
        for name, use in sidecar.quotas.uses.items()
        if use.counted or use.leased or now - use.reported_at < LEASE_S
    ]
