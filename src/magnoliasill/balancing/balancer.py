"""Load balancer: picks the backend server for each attempt to run a call."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import attrs

from .upstreams import UpstreamTable, find_upstream, is_usable, weigh_slow_start

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from ..core.messages import MemberRecord
    from ..membership.server_index import ServerGroup
    from .upstreams import Upstream

REMOTE_LIMIT_SHARE = 0.5
REPORT_HALF_LIFE_S = 0.5
NEW_CONNECTION_LOAD = 0.5
REPORT_MAX_AGE_S = 3.0


@attrs.define
class LoadTable:
    """The load of the backend servers as known to the balancer."""

    upstreams: UpstreamTable = attrs.field(factory=UpstreamTable)


@attrs.frozen
class Pick:
    """The backend server picked for one attempt.

    Attributes:
        record: The backend server, or None if none has free capacity.
        upstream: The entry of the backend server.
        has_candidates: Whether any backend server may run the call once it has free capacity.
        backoff_ends_at: When the next backoff of a usable backend server ends, in seconds of the
            node's clock.
    """

    record: MemberRecord | None = None
    upstream: Upstream | None = None
    has_candidates: bool = False
    backoff_ends_at: float = inf


@attrs.frozen
class PlacementContext:
    """Inputs of picking a backend server other than the servers themselves.

    Attributes:
        now: Seconds of the node's clock.
        slots: Maximum requests that one backend server runs at once.
        cold_start_s: The length of the release's cold start.
        tried: Addresses to which the call has already been sent.
    """

    now: float
    slots: int
    cold_start_s: float = 0.0
    tried: Collection[str] = ()


def pick_server(
    group: ServerGroup, load: LoadTable, context: PlacementContext, random: Random
) -> Pick:
    """Pick the less loaded of two random backend servers that have free capacity.

    Servers in this data centre are preferred. Remote servers get a call only if no local server has
    free capacity, and only up to `REMOTE_LIMIT_SHARE` of their limit, which leaves capacity for the
    callers in their own data centre.

    Args:
        group: The backend servers of the release.
        load: The known load of the backend servers.
        context: The other inputs.
        random: The generator for the choice.
    """
    has_candidates, backoff_ends_at = False, inf
    for records, share in ((group.local, 1.0), (group.remote, REMOTE_LIMIT_SHARE)):
        usable = _list_usable(records, load, context)
        ready = [pair for pair in usable if _has_capacity(pair[1], share, context.now)]
        if ready:
            record, upstream = _pick_less_loaded(ready, context, random)
            return Pick(record, upstream, True)
        has_candidates = has_candidates or bool(usable)
        backoff_ends = (entry.held_until for _, entry in usable if entry.held_until > context.now)
        backoff_ends_at = min(backoff_ends_at, min(backoff_ends, default=inf))
    return Pick(has_candidates=has_candidates, backoff_ends_at=backoff_ends_at)


def list_upstreams(group: ServerGroup, load: LoadTable, slots: int, now: float) -> list[Upstream]:
    """Return the entries of all backend servers of a group, local ones first."""
    records = (*group.local, *group.remote)
    return [find_upstream(load.upstreams, record, slots, now) for record in records]


def _list_usable(
    records: Sequence[MemberRecord], load: LoadTable, context: PlacementContext
) -> list[tuple[MemberRecord, Upstream]]:
    now = context.now
    slots = context.slots
    pairs = [(record, find_upstream(load.upstreams, record, slots, now)) for record in records]
    return [
        (record, entry)
        for record, entry in pairs
        if is_usable(entry, now) and record.server_address not in context.tried
    ]


def _has_capacity(entry: Upstream, share: float, now: float) -> bool:
    return now >= entry.held_until and entry.in_flight < max(int(entry.limit * share), 1)


def _pick_less_loaded(
    ready: list[tuple[MemberRecord, Upstream]], context: PlacementContext, random: Random
) -> tuple[MemberRecord, Upstream]:
    if len(ready) == 1:
        return ready[0]
    first, second = random.sample(ready, 2)
    first_load = estimate_load(first[1], context, random)
    second_load = estimate_load(second[1], context, random)
    return first if first_load <= second_load else second


def estimate_load(entry: Upstream, context: PlacementContext, random: Random) -> float:
    """Return the load by which two backend servers are compared.

    The load is this daemon's requests in flight plus the requests of other daemons in the latest
    report, which decay with the report's age. A server in its cold start takes part in a growing
    share of the comparisons and loses the rest. A server to which no connection is kept loses a
    tie.

    Args:
        entry: The backend server.
        context: The time and the length of the cold start.
        random: The generator for the choice.
    """
    weight = weigh_slow_start(entry, context.cold_start_s, context.now)
    if weight < 1.0 and random.random() >= weight:
        return inf
    own_load = entry.in_flight + (0.0 if entry.keeps_connection else NEW_CONNECTION_LOAD)
    age_s = context.now - entry.reported_at
    if not entry.reported_others or age_s > REPORT_MAX_AGE_S:
        return own_load
    return own_load + entry.reported_others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
