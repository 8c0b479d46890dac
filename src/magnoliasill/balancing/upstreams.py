"""The table of upstreams: what this daemon's own calls have shown of each backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..core.messages import MemberRecord

INITIAL_SHARE = 0.5
MIN_SLOW_START_WEIGHT = 0.1
FORGET_AFTER_S = 600.0


@attrs.define
class Upstream:
    """One backend server as this daemon's own calls have shown it.

    Times are in seconds of the node's clock.

    Attributes:
        address: Its `ip:port`.
        started_at: What its record says of its start, to recognise a restart.
        first_heard_at: When this daemon first heard of it.
        limit: The most requests that this daemon has in flight to it.
        in_flight: Requests of this daemon that it runs.
        keeps_connection: Whether this daemon keeps idle connections to it for long.
        bounded_revision: The revision of the membership from which that was worked out.
        lowered_at: When the limit was last lowered.
        hold_s: The latest pause after a refusal, 0 after an answer.
        held_until: End of that pause.
        draining_until: Until when it is taken to be draining, after it said so.
        reported_others: Requests of other daemons, as its latest answer told.
        reported_at: When that answer came.
        consecutive_failures: Failures since the last good answer.
        calls: Attempts, halved every `outliers.HALF_LIFE_S`.
        failures: Failed attempts, halved likewise.
        counted_at: When the two were last halved.
        ejections: Recent ejections, which lengthen the next one.
        ejected_until: End of the latest ejection.
    """

    address: str
    started_at: float
    first_heard_at: float
    limit: float
    in_flight: int = 0
    keeps_connection: bool = True
    bounded_revision: int = -1
    lowered_at: float = 0.0
    hold_s: float = 0.0
    held_until: float = 0.0
    draining_until: float = 0.0
    reported_others: int = 0
    reported_at: float = 0.0
    consecutive_failures: int = 0
    calls: float = 0.0
    failures: float = 0.0
    counted_at: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0


@attrs.define
class UpstreamTable:
    """Upstreams by address."""

    entries: dict[str, Upstream] = attrs.field(factory=dict)


def find_upstream(table: UpstreamTable, record: MemberRecord, slots: int, now: float) -> Upstream:
    """Return the entry of a backend server; a restarted one starts anew.

    Args:
        table: The upstreams.
        record: The backend server's record.
        slots: Requests that it runs at once.
        now: Seconds of the node's clock.
    """
    entry = table.entries.get(record.server_address)
    if entry is None or entry.started_at != record.started_at:
        in_flight = entry.in_flight if entry is not None else 0
        limit = max(slots * INITIAL_SHARE, 1.0)
        entry = Upstream(record.server_address, record.started_at, now, limit, in_flight)
        table.entries[record.server_address] = entry
    return entry


def forget_upstreams(table: UpstreamTable, known: set[str], now: float) -> None:
    """Drop entries of backend servers that are no longer members and have been idle for long."""
    for address, entry in list(table.entries.items()):
        idle_s = now - max(entry.counted_at, entry.first_heard_at)
        if address not in known and not entry.in_flight and idle_s > FORGET_AFTER_S:
            del table.entries[address]


def is_usable(entry: Upstream, now: float) -> bool:
    """Return whether a backend server may get work once it has room."""
    return now >= entry.ejected_until and now >= entry.draining_until


def weigh_slow_start(entry: Upstream, cold_start_s: float, now: float) -> float:
    """Return the share of its usual work that a backend server gets, from 0.1 to 1.

    The time counts from when this daemon first heard of it, because clocks of VMs differ.

    Args:
        entry: The backend server.
        cold_start_s: The length of its release's cold start.
        now: Seconds of the node's clock.
    """
    age_s = now - entry.first_heard_at
    if age_s >= cold_start_s:
        return 1.0
    return max(age_s / cold_start_s, MIN_SLOW_START_WEIGHT)
