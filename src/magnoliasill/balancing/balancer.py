"""The balancer: which backend server a call goes to."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import attrs

from .upstreams import UpstreamTable, find_upstream, is_usable, weigh_slow_start

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from ..core.messages import MemberRecord
    from ..membership.servers import ServerGroup
    from .upstreams import Upstream

REMOTE_SHARE = 0.5
REPORT_HALF_LIFE_S = 0.5
NEW_CONNECTION_LOAD = 0.5
REPORT_MAX_AGE_S = 3.0


@attrs.define
class LoadTable:
    """What the balancer knows of the backend servers."""

    upstreams: UpstreamTable = attrs.field(factory=UpstreamTable)


@attrs.frozen
class Pick:
    """The choice for one attempt.

    Attributes:
        record: The backend server, or None if none has room.
        upstream: Its entry.
        known: Whether there is any that may get the call once it has room.
        room_at: When the next pause of one ends, in seconds of the node's clock.
    """

    record: MemberRecord | None = None
    upstream: Upstream | None = None
    known: bool = False
    room_at: float = inf


@attrs.frozen
class Question:
    """What a choice depends on besides the servers.

    Attributes:
        now: Seconds of the node's clock.
        slots: Requests that one backend server runs at once.
        cold_start_s: The length of the release's cold start.
        tried: Addresses that this call has already been sent to.
    """

    now: float
    slots: int
    cold_start_s: float = 0.0
    tried: Collection[str] = ()


def pick_server(group: ServerGroup, load: LoadTable, question: Question, random: Random) -> Pick:
    """Pick the less loaded of two random backend servers that have room.

    The own data centre goes first; others get a call when no local server has room, and then
    only up to `REMOTE_SHARE` of their limit, which leaves room for their own callers.

    Args:
        group: The backend servers of the release.
        load: What is known of them.
        question: What else the choice depends on.
        random: The generator of the choice.
    """
    known, room_at = False, inf
    for records, share in ((group.local, 1.0), (group.remote, REMOTE_SHARE)):
        usable = _list_usable(records, load, question)
        ready = [pair for pair in usable if _has_room(pair[1], share, question.now)]
        if ready:
            record, upstream = _choose(ready, question, random)
            return Pick(record, upstream, True)
        known = known or bool(usable)
        ends = (entry.held_until for _, entry in usable if entry.held_until > question.now)
        room_at = min(room_at, min(ends, default=inf))
    return Pick(known=known, room_at=room_at)


def list_upstreams(group: ServerGroup, load: LoadTable, slots: int, now: float) -> list[Upstream]:
    """Return the entries of all backend servers of a group."""
    records = (*group.local, *group.remote)
    return [find_upstream(load.upstreams, record, slots, now) for record in records]


def _list_usable(
    records: Sequence[MemberRecord], load: LoadTable, question: Question
) -> list[tuple[MemberRecord, Upstream]]:
    now = question.now
    slots = question.slots
    pairs = [(record, find_upstream(load.upstreams, record, slots, now)) for record in records]
    return [
        (record, entry)
        for record, entry in pairs
        if is_usable(entry, now) and record.server_address not in question.tried
    ]


def _has_room(entry: Upstream, share: float, now: float) -> bool:
    return now >= entry.held_until and entry.in_flight < max(int(entry.limit * share), 1)


def _choose(
    ready: list[tuple[MemberRecord, Upstream]], question: Question, random: Random
) -> tuple[MemberRecord, Upstream]:
    if len(ready) == 1:
        return ready[0]
    first, second = random.sample(ready, 2)
    first_load = estimate_load(first[1], question, random)
    second_load = estimate_load(second[1], question, random)
    return first if first_load <= second_load else second


def estimate_load(entry: Upstream, question: Question, random: Random) -> float:
    """Return the load by which two backend servers are compared.

    Own requests in flight count whole; what the latest answer reported of others' requests
    fades with its age. A server in its cold start is compared as usual in a growing share of
    the choices and loses the rest. A server to which no connection is kept loses a tie.

    Args:
        entry: The backend server.
        question: The time and the length of the cold start.
        random: The generator of the choice.
    """
    weight = weigh_slow_start(entry, question.cold_start_s, question.now)
    if weight < 1.0 and random.random() >= weight:
        return inf
    own = entry.in_flight + (0.0 if entry.keeps_connection else NEW_CONNECTION_LOAD)
    age_s = question.now - entry.reported_at
    if not entry.reported_others or age_s > REPORT_MAX_AGE_S:
        return own
    return own + entry.reported_others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
