"""Keeps this sidecar's record in the store, under a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import eventlet
from eventlet.event import Event

from ..codes import LogEvent
from ..errors import ConditionFailedError, LeaseEndedError, StoreError
from ..mesh.items import Condition, Put, Transaction
from ..mesh.records import MEMBER_PREFIX, encode_record
from .relaying import watches_store
from .state import describe_self

if TYPE_CHECKING:
    from ..mesh.members import Member
    from .state import Sidecar

LEASE_S = 4.0  # a VM that died is dropped within this; calls notice it sooner
RENEW_S = 1.3  # three renewals in a lease
RELAY_RENEW_S = 0.5  # shows followers within their patience whether the store can be reached
RETRY_MIN_S = 0.3
RETRY_MAX_S = 0.9  # a record that lapsed is back well within two seconds


@attrs.define
class Registration:
    """This sidecar's record as it stands in the store.

    Attributes:
        lease: The lease, or 0 for none.
        written: The record, or None.
        revision: The revision of its item, as far as known.
        changed: Ends the wait for the next renewal.
    """

    lease: int = 0
    written: Member | None = None
    revision: int = 0
    changed: Event = attrs.field(factory=Event)

    def wake(self) -> None:
        """Let the record be compared now."""
        if not self.changed.ready():
            self.changed.send()


def keep_registered(sidecar: Sidecar, registration: Registration) -> None:
    """Keep the record as it should stand, until the process ends."""
    while True:
        try:
            _register(sidecar, registration)
            pause_s = RELAY_RENEW_S if watches_store(sidecar) else RENEW_S
            if sidecar.watching:
                sidecar.store_heard_at = sidecar.clock()
        except LeaseEndedError:
            sidecar.log(LogEvent.REGISTRATION_LOST, lease=registration.lease)
            registration.lease, registration.written = 0, None
            continue
        except ConditionFailedError as error:
            registration.revision = error.items[0].revision if error.items else 0
            registration.written = None
            pause_s = 0.0
        except StoreError:
            sidecar.meters.count("store", "registration_failed")
            pause_s = sidecar.random.uniform(RETRY_MIN_S, RETRY_MAX_S)
        with eventlet.Timeout(pause_s, False):
            registration.changed.wait()
        registration.changed = Event()


def _register(sidecar: Sidecar, registration: Registration) -> None:
    wanted = describe_self(sidecar)
    if wanted is None:
        return
    key = MEMBER_PREFIX + sidecar.settings.name
    if not registration.lease:
        registration.lease = sidecar.store.grant_lease(LEASE_S)
        sidecar.meters.count("store", "lease")
    if wanted == registration.written:
        sidecar.store.renew_lease(registration.lease)
        sidecar.meters.count("store", "renewal")
        return
    _find_revision(sidecar, registration, key)
    put = Put(key, encode_record(wanted), registration.lease)
    condition = (Condition(key, registration.revision),)
    registration.revision = sidecar.store.transact(Transaction((put,), condition))
    sidecar.meters.count("store", "write")
    registration.written = wanted
    sidecar.log(
        LogEvent.REGISTRATION_CHANGED,
        instance=wanted.instance,
        leaving=wanted.leaving,
        revision=registration.revision,
    )


def _find_revision(sidecar: Sidecar, registration: Registration, key: str) -> None:
    """Start from what a process before this one left behind, where that is known."""
    item = sidecar.mirror.items.get(key)
    if item is not None and item.revision > registration.revision:
        registration.revision = item.revision if item.value is not None else 0
