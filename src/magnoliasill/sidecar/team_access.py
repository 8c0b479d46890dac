"""Checks the keys of callers' requests at the callers' port."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import ErrorCode
from ..errors import CallError
from ..mesh.access import AccessOutcome, CopyState, decide_access
from ..platform.headers import parse_key
from .copy_age import find_copy_age

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..mesh.access import AccessDecision
    from ..mesh.routes import Route, RouteTable
    from .state import Sidecar

# Copies are confirmed about twice a second once the store, or a sidecar that it answers, can be
# reached again.
OUTDATED_RETRY_AFTER_S = 0.5


def check_access(
    sidecar: Sidecar,
    table: RouteTable,
    route: Route,
    headers: Sequence[tuple[str, str]],
    nested: bool,
) -> AccessDecision:
    """Return the team that a request's key belongs to, and until when the request may start.

    Args:
        sidecar: The sidecar's state.
        table: The configuration to check by.
        route: The request's route.
        headers: The request's headers.
        nested: Whether a backend server sent it while running another request.

    Raises:
        CallError: If it may not run; it has not run then.
    """
    decision = read_access(sidecar, table, route, headers, nested)
    if decision.outcome is AccessOutcome.ALLOWED:
        return decision
    sidecar.meters.count("access", decision.outcome.value)
    if decision.outcome is AccessOutcome.KEY_UNKNOWN:
        raise CallError(ErrorCode.TEAM_KEY_UNKNOWN, "the request's key belongs to no team")
    retry_after_s = OUTDATED_RETRY_AFTER_S * (1 + sidecar.random.random())
    message = "it is not known whether the request's key is valid"
    raise CallError(ErrorCode.NOT_READY, message, retry_after_s)


def read_access(
    sidecar: Sidecar,
    table: RouteTable,
    route: Route,
    headers: Sequence[tuple[str, str]],
    nested: bool,
) -> AccessDecision:
    """Return the decision on a request's key without counting it.

    Args:
        sidecar: The sidecar's state.
        table: The configuration to check by.
        route: The request's route.
        headers: The request's headers.
        nested: Whether a backend server sent it while running another request.
    """
    bounds = sidecar.settings.bounds
    if table.teams is None:
        return decide_access(table, route, None, nested, CopyState(0.0, 0.0), bounds)
    copy = CopyState(find_copy_age(sidecar), sidecar.clock() - sidecar.started_at)
    return decide_access(table, route, parse_key(headers), nested, copy, bounds)
