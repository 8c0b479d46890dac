"""Decides whether a request may run by its team's key, and in which order teams go.

A key that was taken away must stop working everywhere in time, also on VMs that can't reach the
store. So requests with keys run only while the local copy of the configuration is known to have
been the newest one a short time ago.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from .team_keys import find_team

if TYPE_CHECKING:
    from .routes import Route, RouteTable, Team
    from .settings import Bounds

MAX_ROUTE_PRIORITY = 255  # more than routes have; a team's priority counts in multiples of this
# Between the check of the copy's age and the start of the request, clocks differ a little.
REVOCATION_MARGIN_S = 0.25
# A nested request whose parent was sent by an earlier process of this VM carries no key either.
START_DOUBT_S = 5.0


class AccessOutcome(Enum):
    """Whether a request may run.

    Attributes:
        ALLOWED: It may.
        KEY_UNKNOWN: No team holds its key.
        COPY_OUTDATED: It is not known whether its key still works, or does by now.
    """

    ALLOWED = "allowed"
    KEY_UNKNOWN = "key_unknown"
    COPY_OUTDATED = "copy_outdated"


@attrs.frozen
class AccessDecision:
    """A decision on one request.

    Attributes:
        outcome: Whether it may run.
        team: The team that its key belongs to, or None.
        start_within_s: Seconds within which it must start, or None without such a bound.
    """

    outcome: AccessOutcome
    team: Team | None = None
    start_within_s: float | None = None


@attrs.frozen
class CopyState:
    """What is known of the local copy of the configuration.

    Attributes:
        age_s: Seconds since the copy is known to have been the newest configuration, suspensions of
            the VM included.
        process_age_s: Seconds since this process started.
    """

    age_s: float
    process_age_s: float


def decide_access(
    table: RouteTable,
    route: Route,
    key: str | None,
    nested: bool,
    copy: CopyState,
    bounds: Bounds,
) -> AccessDecision:
    """Decide whether a request may run.

    Args:
        table: The applied configuration.
        route: The request's route.
        key: The key that it carries, an empty string if that is malformed, or None without one.
        nested: Whether a backend server sent it while running another request.
        copy: The state of the local copy.
        bounds: The guarantees of the deployment.
    """
    if table.teams is None or not route.needs_key or (nested and key is None):
        return AccessDecision(AccessOutcome.ALLOWED)
    team = find_team(table, key or "")
    if team is None:
        if key is None and copy.process_age_s < START_DOUBT_S:
            return AccessDecision(AccessOutcome.COPY_OUTDATED)
        is_recent = copy.age_s <= bounds.config_apply_s
        return AccessDecision(
            AccessOutcome.KEY_UNKNOWN if is_recent else AccessOutcome.COPY_OUTDATED
        )
    if not bounds.strict_revocation:
        return AccessDecision(AccessOutcome.ALLOWED, team)
    left_s = bounds.revocation_s - REVOCATION_MARGIN_S - copy.age_s
    if left_s <= 0:
        return AccessDecision(AccessOutcome.COPY_OUTDATED)
    return AccessDecision(AccessOutcome.ALLOWED, team, left_s)


def rank_priority(table: RouteTable, route: Route, team: Team | None) -> int:
    """Return a request's priority; 0 is the most urgent.

    A team's priority goes before that of the route.

    Args:
        table: The applied configuration.
        route: The request's route.
        team: The team that sends it, or None.
    """
    if table.teams is None:
        return route.priority
    own = min(max(route.priority, 0), MAX_ROUTE_PRIORITY)
    first = own if team is None else max(team.priority, 0)
    return first * (MAX_ROUTE_PRIORITY + 1) + own
