"""Collects what a sidecar knows for the placement of a request, and widens a search."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..mesh.evacuations import list_evacuated
from ..mesh.gate import MAX_LATE_WAIT_SHARE
from ..mesh.placement import PlacementContext
from .state import find_takeover

if TYPE_CHECKING:
    from .state import Sidecar


@attrs.define
class Search:
    """Which members a request may go to.

    Attributes:
        tried: Names of the members that are not tried again.
        full: Names of the members that could not serve the request within its latency target.
        late: Whether the request may wait beyond its latency target.
        allow_limited_release: Whether a release with a limited traffic share may still be chosen.
    """

    tried: set[str] = attrs.field(factory=set)
    full: set[str] = attrs.field(factory=set)
    late: bool = False
    allow_limited_release: bool = True


@attrs.frozen
class PlacedRequest:
    """What placement needs to know of a request.

    Attributes:
        service: The destination service.
        route: The name of its route.
        nested: Whether this VM's backend server sent it while processing another request.
        target_at: The latency target, in seconds on the monotonic clock.
        answer_deadline: By when the caller gets a response.
        body_bytes: The length of its body, or 0 if it has none or is not known.
    """

    service: str
    route: str
    nested: bool
    target_at: float
    answer_deadline: float
    body_bytes: int = 0


def will_be_late(sidecar: Sidecar, route: str, target_at: float) -> bool:
    """Return whether a request misses its latency target even if a server starts it at once."""
    return sidecar.clock() + sidecar.typical_runs.get(route, 0.0) > target_at


def widen_search(search: Search) -> bool:
    """Allow further members after no member was found; return whether there may be any."""
    if search.allow_limited_release:
        search.allow_limited_release = False
        return True
    if search.late:
        return False
    search.late = True
    search.tried -= search.full
    return True


def prefers_local_servers(sidecar: Sidecar) -> bool:
    """Return whether requests stay in their data centre while its servers answer well in time.

    Deployments whose teams share too little room, or whose servers are uneven for a time (by their
    warm-up rates, or by the pace that they state), need the processor time and the links that a hop
    to another data centre takes. Others are served as before.
    """
    table = sidecar.table
    asked_for = table is not None and (table.teams is not None or bool(table.warmups))
    return asked_for or sidecar.settings.local_first or sidecar.server_states_pace


def build_placement(sidecar: Sidecar, request: PlacedRequest, search: Search) -> PlacementContext:
    """Return the inputs of a placement.

    Args:
        sidecar: The sidecar's state.
        request: The request.
        search: Which members it may go to.
    """
    takeover, ordered_release = find_takeover(sidecar, request.service)
    now = sidecar.clock()
    return PlacementContext(
        service=request.service,
        data_centre=sidecar.settings.data_centre,
        now=now,
        vm=sidecar.settings.name,
        tried=search.tried,
        ordered_release=ordered_release,
        takeover=takeover,
        answer_bytes=sidecar.answer_bytes.get(request.route, 0.0),
        body_bytes=request.body_bytes,
        typical_s=sidecar.typical_runs.get(request.route, 0.0),
        late=search.late,
        finish_by=_find_finish_time(request, search, now),
        ignore_full=request.nested,
        allow_limited_release=search.allow_limited_release,
        local_first=prefers_local_servers(sidecar),
        evacuated=list_evacuated(sidecar.evacuations, now),
    )


def _find_finish_time(request: PlacedRequest, search: Search, now: float) -> float:
    """Return by when a server must be expected to finish a request for it to be sent there."""
    if not search.late:
        return request.target_at
    if request.nested:
        return request.answer_deadline
    return now + MAX_LATE_WAIT_SHARE * (request.answer_deadline - now)
