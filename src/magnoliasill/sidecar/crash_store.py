"""Keeps what sidecars found of ended servers in the store, one item for each sidecar.

It is there for gates in data centres that are cut off from each other, for those of other services
that a route may lead to, and for processes that start later. A gate that is about to run a suspect
request asks for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from eventlet.event import Event

from ..codes import LogEvent
from ..errors import ConditionFailedError, ConfigurationError, LeaseEndedError, StoreError
from ..mesh.crash_findings import list_stored, merge_own
from ..mesh.rate_limits import estimate_token_wait, take_token
from ..mesh.records import CRASH_PREFIX, decode_crash_records, encode_record
from ..mesh.store_items import Condition, Put, Transaction
from .crash_notices import log_unshared
from .crash_reports import apply_records, learn_from_gates, report_clearance

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..mesh.store_items import Item
    from .state import Sidecar

WRITE_DELAY_S = 0.01
WRITE_INTERVAL_S = 0.3  # keeps the writes of a large fleet well below what the store allows
WRITE_RETRY_MIN_S = 0.3
WRITE_RETRY_MAX_S = 0.9
ASK_TIMEOUT_S = 0.1  # a store that answers later is slower than the sidecars' own notices
ASK_INTERVAL_S = 0.01
LEASE_S = 600.0


def apply_stored_findings(sidecar: Sidecar, item: Item) -> None:
    """Apply an item of the store with what a sidecar found.

    Raises:
        ConfigurationError: If its value is malformed.
    """
    applied = sidecar.crash_reports.applied
    if item.value is None or applied.get(item.key, 0) >= item.revision:
        return
    records = decode_crash_records(item.value)
    applied[item.key] = item.revision
    if item.key == CRASH_PREFIX + sidecar.settings.name:
        merge_own(sidecar.crash_findings, records)
    for service, fingerprint in apply_records(sidecar, records):
        report_clearance(sidecar, service, fingerprint, "known here")


def ask_store(sidecar: Sidecar) -> None:
    """Read what all sidecars found from the store, unless it does not answer at once."""
    reports, now = sidecar.crash_reports, sidecar.clock()
    if not sidecar.store_reachable or now - reports.asked_at < ASK_INTERVAL_S:
        return
    reports.asked_at = now
    try:
        with eventlet.Timeout(ASK_TIMEOUT_S, False):
            page = sidecar.store.read_page(CRASH_PREFIX)
            sidecar.meters.count("store", "read")
            _apply_items(sidecar, page.items)
    except StoreError as error:
        log_unshared(sidecar, "store_unread", "store", error.message)


def keep_findings_stored(sidecar: Sidecar) -> None:
    """Write this sidecar's findings to the store when they change, until the process ends."""
    eventlet.spawn(learn_from_gates, sidecar)
    reports = sidecar.crash_reports
    while True:
        reports.changed.wait()
        eventlet.sleep(WRITE_DELAY_S)
        reports.changed = Event()
        value = encode_record(list_stored(sidecar.crash_findings))
        if value == reports.stored:
            continue
        while not _write_findings(sidecar, value):
            eventlet.sleep(sidecar.random.uniform(WRITE_RETRY_MIN_S, WRITE_RETRY_MAX_S))
            value = encode_record(list_stored(sidecar.crash_findings))
        reports.stored = value
        eventlet.sleep(_choose_pause(sidecar))


def _choose_pause(sidecar: Sidecar) -> float:
    """Return the seconds until the findings may be written again: longer after many writes."""
    writes, now = sidecar.crash_reports.writes, sidecar.clock()
    take_token(writes, now)
    return max(WRITE_INTERVAL_S, estimate_token_wait(writes, 0, now))


def _write_findings(sidecar: Sidecar, value: bytes) -> bool:
    """Write the findings; return whether that succeeded."""
    reports, key = sidecar.crash_reports, CRASH_PREFIX + sidecar.settings.name
    try:
        _renew_lease(sidecar)
        if reports.revision is None:
            known = sidecar.mirror.items.get(key)
            reports.revision = known.revision if known and known.value is not None else 0
        put = Put(key, value, reports.lease)
        condition = (Condition(key, reports.revision),)
        reports.revision = sidecar.store.transact(Transaction((put,), condition))
        sidecar.meters.count("store", "write")
    except LeaseEndedError as error:
        reports.lease = 0
        log_unshared(sidecar, "store_unwritten", "store", error.message)
        return False
    except ConditionFailedError as error:
        # an earlier process on this VM wrote the item, and what it found is written again
        reports.revision = error.items[0].revision if error.items else 0
        _apply_items(sidecar, error.items)
        return False
    except StoreError as error:
        log_unshared(sidecar, "store_unwritten", "store", error.message)
        return False
    return True


def _renew_lease(sidecar: Sidecar) -> None:
    reports = sidecar.crash_reports
    if reports.lease and sidecar.clock() - reports.leased_at < LEASE_S / 2:
        return
    reports.lease = sidecar.store.grant_lease(LEASE_S)
    reports.leased_at = sidecar.clock()
    sidecar.meters.count("store", "lease")


def _apply_items(sidecar: Sidecar, items: Iterable[Item]) -> None:
    for item in items:
        try:
            apply_stored_findings(sidecar, item)
        except ConfigurationError as error:
            sidecar.log(
                LogEvent.ENTRY_REFUSED, key=item.key, revision=item.revision, reason=error.message
            )
