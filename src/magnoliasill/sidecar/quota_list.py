"""Keeps the list of quota coordinators in the store, and follows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import msgspec

from ..codes import LogEvent
from ..errors import ConditionFailedError, ConfigurationError, StoreError
from ..mesh.positions import find_era
from ..mesh.quota_coordinator import follow_list, rank_members, revise_list
from ..mesh.quota_messages import decode_list
from ..mesh.quotas import find_lease
from ..mesh.records import QUOTA_KEY, QUOTA_RECORD_KEY
from ..mesh.store_items import Condition, Put, Transaction
from .quota_records import describe_first_record, describe_process, follow_record, keep_record

if TYPE_CHECKING:
    from ..mesh.routes import Team
    from .state import Sidecar

CHECK_INTERVAL_S = 0.2
# Delay before the list is written, per position in the order of coordinators: most sidecars then
# find that another one has written it.
RANK_DELAY_S = 0.5
SILENCE_S = 1.0  # without an answer, after which a coordinator is replaced
CHANGE_INTERVAL_S = 20.0  # between such changes: after each, nothing new can be granted for 21 s
# Before the first list, so that the members of a fleet that starts are known.
FIRST_DELAY_S = 0.5


def list_limited_teams(sidecar: Sidecar) -> dict[str, Team]:
    """Return the teams with a quota."""
    teams = (sidecar.table.teams if sidecar.table else None) or {}
    return {name: team for name, team in teams.items() if team.rate_per_s > 0}


def run_quota_list(sidecar: Sidecar) -> None:
    """Keep the list of coordinators current while there are quotas, until the process ends."""
    while True:
        if list_limited_teams(sidecar):
            follow_stored_list(sidecar)
            _keep_list(sidecar)
            keep_record(sidecar)
        eventlet.sleep(CHECK_INTERVAL_S)


def follow_stored_list(sidecar: Sidecar) -> None:
    """Adopt the list of coordinators and the record in the local copy of the store."""
    _follow_list(sidecar)
    follow_record(sidecar)


def _follow_list(sidecar: Sidecar) -> None:
    quotas, item = sidecar.quotas, sidecar.mirror.items.get(QUOTA_KEY)
    quotas.coordinator.lease_s = find_lease(sidecar.settings.bounds)
    if item is None or item.revision <= quotas.list_revision:
        return
    quotas.list_revision = item.revision
    if item.value is None:
        return  # the store lost it; the known one is written again
    try:
        quotas.listed = decode_list(item.value)
    except ConfigurationError as error:
        sidecar.log(
            LogEvent.ENTRY_REFUSED, key=item.key, revision=item.revision, reason=error.message
        )
        return
    listed = quotas.listed
    quotas.silent.clear()
    quotas.heard.clear()
    is_own = listed.writer == describe_process(sidecar)
    created = is_own and listed.version == quotas.created_version
    follow_list(
        quotas.coordinator,
        listed,
        find_era(item.revision),
        sidecar.settings.name,
        created,
        sidecar.clock(),
    )
    sidecar.log(
        LogEvent.QUOTA_COORDINATORS_CHANGED,
        members=",".join(listed.names),
        version=listed.version,
        revision=item.revision,
    )


def _keep_list(sidecar: Sidecar) -> None:
    """Write the list of coordinators if one is missing or has failed, and it is our turn."""
    quotas, now = sidecar.quotas, sidecar.clock()
    silent = _list_silent(sidecar)
    ranked = [member for member in rank_members(sidecar.members, now) if member.name not in silent]
    names = [member.name for member in ranked]
    item = sidecar.mirror.items.get(QUOTA_KEY)
    is_stored = item is not None and item.value is not None
    known = quotas.listed if is_stored else None
    version = quotas.listed.version if quotas.listed else 0
    revised = revise_list(known, ranked, version, describe_process(sidecar))
    if revised is None or sidecar.settings.name not in names or not sidecar.store_reachable:
        quotas.list_due_at = None
        return
    if quotas.list_due_at is None:
        first_delay_s = 0.0 if is_stored else FIRST_DELAY_S
        delay_s = first_delay_s + RANK_DELAY_S * names.index(sidecar.settings.name)
        quotas.list_due_at = now + delay_s
    if now < quotas.list_due_at:
        return
    quotas.list_due_at = None
    put = Put(QUOTA_KEY, msgspec.json.encode(revised))
    condition = Condition(QUOTA_KEY, item.revision if is_stored else 0)
    puts, conditions = (put,), (condition,)
    if item is None and not version:
        quotas.created_version = revised.version
        first = describe_first_record(sidecar, revised)
        if first is not None and QUOTA_RECORD_KEY not in sidecar.mirror.items:
            puts, conditions = (put, first), (condition, Condition(QUOTA_RECORD_KEY, 0))
    try:
        sidecar.store.transact(Transaction(puts, conditions))
        sidecar.meters.count("store", "write")
    except ConditionFailedError:
        return  # another sidecar has written it, which the copy of the store will tell
    except StoreError:
        sidecar.meters.count("store", "quota_list_failed")


def _list_silent(sidecar: Sidecar) -> set[str]:
    """Return the coordinators to replace although their records are there.

    One that has never answered here is not among them: this VM may be the one that is cut off.
    """
    quotas, now = sidecar.quotas, sidecar.clock()
    coordinator = quotas.coordinator
    is_first = coordinator.listed is None or coordinator.listed.version == 1
    if not is_first and now - coordinator.changed_at < CHANGE_INTERVAL_S:
        return set()
    return {
        name
        for name, since in quotas.silent.items()
        if name in quotas.heard and now - since >= SILENCE_S
    }
