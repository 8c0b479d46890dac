"""The traffic shares that a node applies during takeovers, and the servers that get the calls."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from ..core.node import list_alive
from ..membership.server_index import ServerGroup
from .call_counts import ServerState, build_tally
from .evidence import Tester
from .plans import Phase, Progress
from .ramp import LAST_STAGE
from .rollout import build_plan, compute_share, is_overdue
from .takeovers import WINDOW_S, ControllerState, EvidenceCollection, Takeover

if TYPE_CHECKING:
    from ..core.node import Node
    from ..versions.service_file import ServiceFile
    from .plans import Plan

REFRESH_INTERVAL_S = 0.5


def update_takeovers(node: Node, now: float) -> None:
    """Update takeovers and shares from the applied configuration, the servers and the time.

    Args:
        node: The node's state.
        now: Seconds since the epoch.
    """
    applied = node.configuration.applied
    if applied is None:
        return
    if node.takeovers.version != node.configuration.version:
        _apply_configuration(node, now, applied.services)
    for takeover in node.takeovers.active.values():
        if now >= takeover.refresh_at:
            takeover.refresh_at = now + REFRESH_INTERVAL_S
            _refresh_servers(node, takeover)
        update_shares(node, takeover, now)


def update_shares(node: Node, takeover: Takeover, now: float) -> None:
    """Recompute the share of each route."""
    data_centre = node.own.data_centre
    takeover.shares = {
        route: _compute_effective_share(takeover, data_centre, route, now)
        for route in takeover.plan.routes
    }


def count_loaded_servers(takeover: Takeover, servers: int) -> int:
    """Return how many servers of the new release its share can load fully, at least 1."""
    share = max(takeover.shares.values(), default=1.0)
    return max(1, min(servers, ceil(share * servers)))


def limit_servers(node: Node, service: str, release: str, group: ServerGroup) -> ServerGroup:
    """Limit calls to as many local servers of the new release as its share can load fully.

    Args:
        node: The node's state.
        service: The service's name.
        release: The release that the call goes to.
        group: Every backend server of that release.
    """
    takeover = node.takeovers.active.get(service)
    if takeover is None or release != takeover.plan.to_release or len(group.local) < 2:
        return group
    if takeover.progress.phase is not Phase.RUNNING:
        return group
    return ServerGroup(
        group.local[: count_loaded_servers(takeover, len(group.local))], group.remote
    )


def _apply_configuration(node: Node, now: float, services: dict[str, ServiceFile]) -> None:
    table = node.takeovers
    table.version = node.configuration.version
    active: dict[str, Takeover] = {}
    for name, file in services.items():
        plan = build_plan(file)
        if plan is None:
            continue
        known = table.active.get(name)
        same = known is not None and known.plan.takeover_id == plan.takeover_id
        active[name] = (
            known if same and known is not None else _build_takeover(node, now, plan, file)
        )
    table.active = active


def _build_takeover(node: Node, now: float, plan: Plan, file: ServiceFile) -> Takeover:
    progress = node.takeovers.reversed_progress.get(plan.takeover_id, Progress(plan.takeover_id))
    windows = int((plan.finish_by - plan.start_at) / WINDOW_S)
    return Takeover(
        plan,
        progress,
        build_tally(plan, file, now),
        EvidenceCollection(Tester(windows)),
        ControllerState(EvidenceCollection(Tester(windows))),
    )


def _refresh_servers(node: Node, takeover: Takeover) -> None:
    plan = takeover.plan
    server_counts: dict[str, dict[str, int]] = {plan.from_release: {}, plan.to_release: {}}
    states: dict[str, ServerState] = {}
    known = takeover.tally.servers
    for record in (node.own, *list_alive(node)):
        if record.service != plan.service or record.release not in server_counts:
            continue
        local = record.data_centre == node.own.data_centre
        warm_at = record.started_at + takeover.tally.cold_start_s.get(record.release, 0.0)
        new = record.release == plan.to_release
        state = known.get(record.server_address)
        if state is None or state.warm_at != warm_at:
            state = ServerState(new, local, warm_at)
        states[record.server_address] = state
        if record.serving and record.status == "alive":
            by_data_centre = server_counts[record.release]
            by_data_centre[record.data_centre] = by_data_centre.get(record.data_centre, 0) + 1
    takeover.tally.servers = states
    takeover.new_servers = server_counts[plan.to_release]
    takeover.old_servers = server_counts[plan.from_release]


def _compute_effective_share(takeover: Takeover, data_centre: str, route: str, now: float) -> float:
    progress = takeover.progress
    if not takeover.new_servers:
        return 1.0 if progress.phase is Phase.COMPLETED else 0.0
    if not takeover.old_servers and progress.phase is not Phase.REVERSED:
        return 1.0
    if progress.phase is Phase.RUNNING and is_overdue(takeover.plan, now):
        return 0.0
    ramping = progress.phase is Phase.RUNNING and progress.stage < LAST_STAGE
    if ramping and data_centre not in takeover.new_servers:
        return 0.0
    return compute_share(progress, data_centre, route)
