"""Upstream table: the state of each backend server as observed through this daemon's calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..core.messages import MemberRecord

INITIAL_LIMIT_SHARE = 0.5
MIN_SLOW_START_WEIGHT = 0.1
UPSTREAM_RETENTION_S = 600.0


@attrs.define
class Upstream:
    """The state of one backend server as observed through this daemon's calls.

    Times are in seconds of the node's clock.

    Attributes:
        address: The backend server's `ip:port`.
        started_at: Its start time according to its member record, to detect a restart.
        first_heard_at: When this daemon first learned of it.
        limit: The maximum number of requests that this daemon has in flight to it.
        in_flight: This daemon's requests in flight to it.
        keeps_connection: Whether idle connections to it are kept for the full idle timeout.
        bounded_revision: The membership revision from which `keeps_connection` was computed.
        lowered_at: When the limit was last lowered.
        hold_s: Duration of the latest backoff after attempts without an answer; 0 after an answer.
        held_until: When that backoff ends.
        draining_until: Until when it counts as draining, after it reported that it is.
        reported_others: Requests of other daemons that it runs, according to its latest report.
        reported_at: When that report arrived.
        consecutive_failures: Failures since the last successful attempt.
        calls: Number of attempts, decaying with a half-life of `outliers.HALF_LIFE_S`.
        failures: Number of failed attempts, decaying in the same way.
        counted_at: When the decay was last applied to both.
        ejections: Number of recent ejections; each doubles the duration of the next one.
        ejected_until: When the latest ejection ends.
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
    """The state of all known backend servers, by address."""

    entries: dict[str, Upstream] = attrs.field(factory=dict)


def find_upstream(table: UpstreamTable, record: MemberRecord, slots: int, now: float) -> Upstream:
    """Return the entry of a backend server; create a new one if it is unknown or has restarted.

    Args:
        table: The table of backend servers.
        record: The backend server's record.
        slots: Maximum requests that it runs at once.
        now: Seconds of the node's clock.
    """
    entry = table.entries.get(record.server_address)
    if entry is None or entry.started_at != record.started_at:
        in_flight = entry.in_flight if entry is not None else 0
        limit = max(slots * INITIAL_LIMIT_SHARE, 1.0)
        entry = Upstream(record.server_address, record.started_at, now, limit, in_flight)
        table.entries[record.server_address] = entry
    return entry


def remove_stale_upstreams(table: UpstreamTable, known: set[str], now: float) -> None:
    """Remove backend servers that are no longer members and have been idle for a long time."""
    for address, entry in list(table.entries.items()):
        idle_s = now - max(entry.counted_at, entry.first_heard_at)
        if address not in known and not entry.in_flight and idle_s > UPSTREAM_RETENTION_S:
            del table.entries[address]


def is_usable(entry: Upstream, now: float) -> bool:
    """Return whether a backend server may get requests, being neither ejected nor draining."""
    return now >= entry.ejected_until and now >= entry.draining_until


def weigh_slow_start(entry: Upstream, cold_start_s: float, now: float) -> float:
    """Return the share of its usual requests that a backend server gets, from 0.1 to 1.

    The time counts from when this daemon first learned of the server, because the clocks of VMs
    differ.

    Args:
        entry: The backend server.
        cold_start_s: The length of its release's cold start.
        now: Seconds of the node's clock.
    """
    age_s = now - entry.first_heard_at
    if age_s >= cold_start_s:
        return 1.0
    return max(age_s / cold_start_s, MIN_SLOW_START_WEIGHT)
