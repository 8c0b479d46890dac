"""Keeps this sidecar's member record in the store up to date, under a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import eventlet
from eventlet.event import Event

from ..codes import LogEvent
from ..errors import ConditionFailedError, ConfigurationError, LeaseEndedError, StoreError
from ..mesh.positions import find_era
from ..mesh.records import MEMBER_PREFIX, decode_member, encode_record
from ..mesh.store_items import Condition, Put, Transaction
from .server_notices import restore_leaving
from .state import STORE_DOUBT_S, build_own_record, record_store_answer

if TYPE_CHECKING:
    from ..mesh.members import Member
    from ..mesh.store_items import Item
    from .state import Sidecar

LEASE_S = 4.0  # a dead VM's record expires within this; failed requests to it reveal it sooner
RENEW_S = 1.3  # three renewals per lease
RETRY_MIN_S = 0.3
RETRY_MAX_S = 0.9  # a lapsed record is restored well within 2 seconds


@attrs.define
class Registration:
    """Last known state of this sidecar's member record in the store.

    Attributes:
        lease: The lease that the record is written under, or 0 for none.
        stored_record: The record as last written, or None.
        revision: The position of the record's item, by the store's latest answer if there was one:
            0 if there is no such item, None if that is not known.
        conflicts: The writes refused since the record was last written.
        changed: Event that ends the wait for the next renewal early.
    """

    lease: int = 0
    stored_record: Member | None = None
    revision: int | None = None
    conflicts: int = 0
    changed: Event = attrs.field(factory=Event)

    def wake(self) -> None:
        """Check the record now, and write it if it changed, instead of at the next renewal."""
        if not self.changed.ready():
            self.changed.send()


def keep_registered(sidecar: Sidecar, registration: Registration) -> None:
    """Write and renew this sidecar's record, until the process ends."""
    while True:
        try:
            pause_s = RENEW_S
            if _register(sidecar, registration):
                record_store_answer(sidecar)
        except LeaseEndedError:
            sidecar.log(LogEvent.REGISTRATION_LOST, lease=registration.lease)
            registration.lease, registration.stored_record = 0, None
            # a store that came back from an older copy may have an older record
            is_restored = find_era(registration.revision or 0) < sidecar.store.era
            registration.revision = None if is_restored else 0
            continue
        except ConditionFailedError as error:
            registration.revision = error.items[0].revision if error.items else 0
            _restore_stored_leaving(sidecar, error.items)
            registration.stored_record = None
            registration.conflicts += 1
            sidecar.meters.count("store", "registration_conflict")
            # one repetition with the reported revision is enough, unless another process writes too
            again = registration.conflicts > 1
            pause_s = sidecar.random.uniform(RETRY_MIN_S, RETRY_MAX_S) if again else 0.0
        except StoreError:
            sidecar.meters.count("store", "registration_failed")
            sidecar.store_doubtful_until = sidecar.clock() + STORE_DOUBT_S
            sidecar.cancel_watch()
            pause_s = sidecar.random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        with eventlet.Timeout(pause_s, False):
            registration.changed.wait()
        registration.changed = Event()


def _register(sidecar: Sidecar, registration: Registration) -> bool:
    """Write or renew the record; return whether there was one to register."""
    record = build_own_record(sidecar)
    if record is None:
        return False
    key = MEMBER_PREFIX + sidecar.settings.name
    if not registration.lease:
        registration.lease = sidecar.store.grant_lease(LEASE_S)
        sidecar.meters.count("store", "lease")
    if record == registration.stored_record:
        sidecar.store.renew_lease(registration.lease)
        sidecar.meters.count("store", "renewal")
        return True
    if registration.revision is None:
        registration.revision = _find_copied_revision(sidecar, key)
    put = Put(key, encode_record(record), registration.lease)
    condition = (Condition(key, registration.revision),)
    registration.revision = sidecar.store.transact(Transaction((put,), condition))
    sidecar.meters.count("store", "write")
    registration.stored_record = record
    sidecar.log(
        LogEvent.REGISTRATION_CHANGED,
        instance=record.instance,
        leaving=record.leaving,
        revision=registration.revision,
        conflicts=registration.conflicts,
    )
    registration.conflicts = 0
    return True


def _restore_stored_leaving(sidecar: Sidecar, items: tuple[Item, ...]) -> None:
    """Heed what an earlier process on this VM wrote, before its record is replaced."""
    for item in items:
        if item.value is None:
            continue
        try:
            restore_leaving(sidecar, decode_member(item.value))
        except ConfigurationError as error:
            sidecar.log(
                LogEvent.ENTRY_REFUSED, key=item.key, revision=item.revision, reason=error.message
            )


def _find_copied_revision(sidecar: Sidecar, key: str) -> int:
    """Return the position of an item in the local copy, such as one that a previous process wrote.

    The copy may be outdated; the store refuses a write with such a position and reports the right
    one.
    """
    item = sidecar.mirror.items.get(key)
    return item.revision if item is not None and item.value is not None else 0
