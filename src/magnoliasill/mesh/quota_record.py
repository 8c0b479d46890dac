"""The record in the store of who may hold allowances, by which a successor finishes sooner.

A coordinator that takes over must not give out what its predecessor may have granted. The record
names all sidecars that may hold anything: once each of them has told its successor what it holds,
or that it is a new process, nothing is unknown any more. The record of the predecessor is final
once the successor has replaced it, with its revision and that of the list as conditions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import attrs
import msgspec

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json
from ..errors import ConfigurationError
from .fields import Count, Name  # noqa: TC001 - msgspec evaluates it

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .quota_messages import CoordinatorList

FOREVER = float("inf")
FULL = 1  # in a full report that follows no other one; tokens are higher


@attrs.frozen
class QuotaRecord:
    """The item of the store that names the sidecars that may hold allowances.

    Attributes:
        version: The version of the list of coordinators under which it is written.
        era: The era of the store in which it is written; a restored copy has a later one.
        writer: Identifies the process that wrote it.
        complete: Whether nobody else can hold anything, also of earlier coordinators.
        holders: The sidecars' names.
    """

    version: Count
    era: Count
    writer: str
    complete: bool
    holders: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]


@attrs.define
class Handover:
    """What a coordinator knows of its record under one version of the list.

    Attributes:
        revision: The position of the record in the local copy of the store.
        stored: This process's record in that copy, or None.
        pending: Attempts that may replace it yet: the position that each requires, and its holders.
        awaited: Whom to hear from before all that was granted earlier is known, or None if that can
            not be told.
        heard: Those that told all that they hold.
        token: The position of this process's first record, which a report tells that is sent after
            all of them were heard.
        confirmed: Those that told it again in such a report.
        complete_from: One window after the last of them did.
    """

    revision: int = 0
    stored: QuotaRecord | None = None
    pending: list[tuple[int, frozenset[str]]] = attrs.field(factory=list)
    awaited: frozenset[str] | None = None
    heard: set[str] = attrs.field(factory=set)
    token: int = 0
    confirmed: set[str] = attrs.field(factory=set)
    complete_from: float = FOREVER


def decode_quota_record(data: bytes) -> QuotaRecord:
    """Decode the record.

    Raises:
        ConfigurationError: If it is malformed.
    """
    try:
        return decode_json(data, QuotaRecord)
    except DecodingError as error:
        raise ConfigurationError(ErrorCode.FILE_INVALID, f"it is malformed: {error}") from error


def has_record(listed: CoordinatorList | None) -> bool:
    """Return whether a record is kept: only if one coordinator divides all teams' quotas."""
    return listed is not None and len(listed.names) == 1


def is_usable(record: QuotaRecord, listed: CoordinatorList, era: int) -> bool:
    """Return whether a record covers all that was granted before it is replaced.

    That of an earlier version than the last does not: a coordinator without one may have followed.
    """
    follows = listed.version - record.version in (0, 1)
    return record.complete and follows and record.era == era


def observe_record(
    handover: Handover, record: QuotaRecord | None, revision: int, version: int, writer: str
) -> None:
    """Note the record in the local copy of the store.

    Args:
        handover: The coordinator's state.
        record: The record, or None if there is none.
        revision: Its position.
        version: The version of the list.
        writer: Identifies this process.
    """
    if revision <= handover.revision:
        return
    handover.revision = revision
    handover.pending = [each for each in handover.pending if each[0] >= revision]
    is_own = record is not None and record.writer == writer and record.version == version
    if is_own and not handover.token:
        handover.token = revision
        handover.awaited = frozenset(record.holders) if record.complete else None
    handover.stored = record if is_own else None


def plan_record(
    handover: Handover,
    prior: QuotaRecord | None,
    listed: CoordinatorList,
    era: int,
    writer: str,
    known: bool,
    holders: Iterable[str],
) -> QuotaRecord | None:
    """Return the record to write, or None if the one in the store may stay.

    Args:
        handover: The coordinator's state.
        prior: The record in the local copy of the store, or None.
        listed: The list of coordinators.
        era: The era of the store.
        writer: Identifies this process.
        known: Whether all holders of allowances are known to this coordinator.
        holders: The sidecars that hold or may ask for allowances, this one among them.
    """
    names = set(holders)
    complete = known
    if not known and prior is not None and is_usable(prior, listed, era):
        complete = True
        names.update(prior.holders)
    record = QuotaRecord(listed.version, era, writer, complete, tuple(sorted(names)))
    return None if record == handover.stored else record


def note_attempt(handover: Handover, record: QuotaRecord) -> None:
    """Note that a record is being written: from now on it may be the one that a successor reads."""
    handover.pending.append((handover.revision, frozenset(record.holders)))


def may_grant(handover: Handover, name: str) -> bool:
    """Return whether a sidecar is named in each record that a successor may read."""
    if handover.stored is None or name not in handover.stored.holders:
        return False
    return all(name in holders for _, holders in handover.pending)


def hear_holder(handover: Handover, name: str, full: int, known: bool) -> int:
    """Note a full report; return what the next one has to tell, or the same if none is needed.

    A former coordinator may have granted something, until it was heard, to a new process of a
    sidecar that was heard before. So all are heard again, in reports that are sent after that.

    Args:
        handover: The coordinator's state.
        name: The sidecar.
        full: What its report tells.
        known: Whether all that was granted earlier is known anyway.
    """
    if handover.awaited is not None and handover.awaited <= handover.heard:
        if full == handover.token:
            handover.confirmed.add(name)
        return handover.token
    handover.heard.add(name)
    return handover.token if known or (handover.token and handover.awaited is None) else FULL


def find_completion(handover: Handover, window_s: float, now: float) -> float:
    """Return from when on all is known that was granted earlier.

    Requests of earlier processes of those that were heard may have run until now, so that they
    count for a window.
    """
    is_heard = handover.awaited is not None and handover.awaited <= handover.confirmed
    if is_heard and handover.complete_from == FOREVER:
        handover.complete_from = now + window_s
    return handover.complete_from
