"""A node's counts of calls, failures and slow calls of both releases during a takeover."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.outcomes import OutcomeKind

if TYPE_CHECKING:
    from ..core.outcomes import Outcome
    from ..versions.service_file import ServiceFile
    from .plans import Plan

COUNTS_PER_ROUTE = 6  # calls, failures and slow calls of the old release, then of the new one
NEW_OFFSET = 3
# A call is slow above SLOW_FACTOR times the old release's 90th percentile plus SLOW_MARGIN_S.
SLOW_FACTOR = 1.5
SLOW_MARGIN_S = 0.02  # smallest delay that a caller notices
QUANTILE_STEP = 0.05  # step of the percentile's estimate per call, relative to it
QUANTILE = 0.9
INITIAL_QUANTILE_S = 0.05
BURST_WINDOW_S = 0.5
MAX_BURST_FAILURES = 2  # unanswered attempts that are counted per server and BURST_WINDOW_S

_ANSWERED = frozenset({OutcomeKind.SUCCEEDED, OutcomeKind.FAILED})


@attrs.define
class ServerState:
    """State of one backend server for counting its attempts.

    Attributes:
        new: Whether it runs the new release.
        local: Whether it is in this node's data centre.
        warm_at: When its cold start ends, in seconds of the node's clock.
        burst_until: End of the time window in which unanswered attempts are limited.
        burst_failures: Unanswered attempts in that window.
    """

    new: bool
    local: bool
    warm_at: float
    burst_until: float = 0.0
    burst_failures: int = 0


@attrs.define
class Tally:
    """A node's cumulative counts for one takeover.

    Attributes:
        counts: `COUNTS_PER_ROUTE` counts for each route, in the plan's order.
        offsets: Index in `counts` where each route begins.
        quantiles: Estimated 90th percentile of the old release by route, in seconds.
        servers: The backend servers of both releases by address.
        cold_start_s: Duration of the cold start by release, in seconds.
        incarnation: When counting began, in milliseconds since the epoch.
        new_release_failed: Whether a call to the new release failed since the last report.
    """

    counts: list[int]
    offsets: dict[str, int]
    quantiles: dict[str, float]
    cold_start_s: dict[str, float]
    incarnation: int = 0
    servers: dict[str, ServerState] = attrs.field(factory=dict)
    new_release_failed: bool = False


def build_tally(plan: Plan, file: ServiceFile, now: float) -> Tally:
    """Build a tally with all counts at zero."""
    offsets = {route: index * COUNTS_PER_ROUTE for index, route in enumerate(plan.routes)}
    quantiles = dict.fromkeys(plan.routes, INITIAL_QUANTILE_S)
    cold_start_s = {release.name: release.cold_start_ms / 1000 for release in file.releases}
    return Tally(
        [0] * (COUNTS_PER_ROUTE * len(offsets)), offsets, quantiles, cold_start_s, int(now * 1000)
    )


def count_attempt(tally: Tally, outcome: Outcome) -> None:
    """Count the outcome of one attempt.

    Attempts on servers in their cold start and calls that the caller cancelled are not counted.
    Attempts in other data centres never count as slow. Unanswered attempts count at most
    `MAX_BURST_FAILURES` times per server and `BURST_WINDOW_S`, since the failure of a VM is not
    the fault of the release that runs on it.

    Args:
        tally: The counts, changed in place.
        outcome: The outcome of the attempt.
    """
    server = tally.servers.get(outcome.server_address)
    offset = tally.offsets.get(outcome.route)
    if server is None or offset is None or outcome.kind is OutcomeKind.CANCELLED:
        return
    if outcome.ended_at < server.warm_at:
        return
    answered = outcome.kind in _ANSWERED
    if not answered and not _admit_burst_failure(server, outcome.ended_at):
        return
    if server.new:
        offset += NEW_OFFSET
    counts = tally.counts
    counts[offset] += 1
    if outcome.kind is not OutcomeKind.SUCCEEDED:
        counts[offset + 1] += 1
        tally.new_release_failed = tally.new_release_failed or server.new
    if not server.local or not answered:
        return
    quantile = tally.quantiles[outcome.route]
    if outcome.seconds > quantile * SLOW_FACTOR + SLOW_MARGIN_S:
        counts[offset + 2] += 1
    if not server.new:
        above = outcome.seconds > quantile
        step = QUANTILE if above else QUANTILE - 1.0
        tally.quantiles[outcome.route] = quantile * (1.0 + QUANTILE_STEP * step)


def _admit_burst_failure(server: ServerState, now: float) -> bool:
    if now >= server.burst_until:
        server.burst_until = now + BURST_WINDOW_S
        server.burst_failures = 0
    server.burst_failures += 1
    return server.burst_failures <= MAX_BURST_FAILURES
