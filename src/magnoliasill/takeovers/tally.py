"""The tally of a takeover: the node's own sums of both releases, counted at each attempt's end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.outcomes import OutcomeKind

if TYPE_CHECKING:
    from ..core.outcomes import Outcome
    from ..versions.service_file import ServiceFile
    from .plans import Plan

FIELDS = 6  # calls, failures and slow calls of the old release, then of the new one
NEW_OFFSET = 3
SLOW_FACTOR = 1.5  # of the old release's 90th percentile
SLOW_FLOOR_S = 0.02  # the least slowness that a caller notices
QUANTILE_STEP = 0.05
QUANTILE = 0.9
FIRST_QUANTILE_S = 0.05
BURST_S = 0.5
MAX_BURST = 2  # failures of one server that count in that time, where no answer came

_ANSWERED = frozenset({OutcomeKind.SUCCEEDED, OutcomeKind.FAILED})


@attrs.define
class ServerFacts:
    """What counting needs to know of one backend server.

    Attributes:
        new: Whether it runs the new release.
        local: Whether it is in the own data centre.
        warm_at: When its cold start is over, in seconds of the node's clock.
        burst_until: Until when failures without an answer are limited.
        burst: Such failures counted until then.
    """

    new: bool
    local: bool
    warm_at: float
    burst_until: float = 0.0
    burst: int = 0


@attrs.define
class Tally:
    """The node's own sums for one takeover.

    Attributes:
        counts: `FIELDS` sums for each route, in the plan's order.
        offsets: Where each route's sums begin.
        quantiles: The old release's 90th percentile by route, in seconds.
        servers: The backend servers of both releases by address.
        cold_start_s: The length of the cold start by release.
        incarnation: When the sums began, in milliseconds since the epoch.
        failed: Whether a call to the new release failed since the last report.
    """

    counts: list[int]
    offsets: dict[str, int]
    quantiles: dict[str, float]
    cold_start_s: dict[str, float]
    incarnation: int = 0
    servers: dict[str, ServerFacts] = attrs.field(factory=dict)
    failed: bool = False


def build_tally(plan: Plan, file: ServiceFile, now: float) -> Tally:
    """Return an empty tally that begins now."""
    offsets = {route: index * FIELDS for index, route in enumerate(plan.routes)}
    quantiles = dict.fromkeys(plan.routes, FIRST_QUANTILE_S)
    cold_start_s = {release.name: release.cold_start_ms / 1000 for release in file.releases}
    return Tally([0] * (FIELDS * len(offsets)), offsets, quantiles, cold_start_s, int(now * 1000))


def count_attempt(tally: Tally, outcome: Outcome) -> None:
    """Count the end of one attempt.

    Left out are attempts on servers in their cold start, calls that the caller cancelled, the
    slowness of other data centres, and what goes beyond a few unanswered attempts of one server
    in a short time, since the end of a VM is no fault of its release.

    Args:
        tally: The sums.
        outcome: The end of the attempt.
    """
    facts = tally.servers.get(outcome.server_address)
    offset = tally.offsets.get(outcome.route)
    if facts is None or offset is None or outcome.kind is OutcomeKind.CANCELLED:
        return
    if outcome.ended_at < facts.warm_at:
        return
    answered = outcome.kind in _ANSWERED
    if not answered and not _admit_burst(facts, outcome.ended_at):
        return
    if facts.new:
        offset += NEW_OFFSET
    counts = tally.counts
    counts[offset] += 1
    if outcome.kind is not OutcomeKind.SUCCEEDED:
        counts[offset + 1] += 1
        tally.failed = tally.failed or facts.new
    if not facts.local or not answered:
        return
    quantile = tally.quantiles[outcome.route]
    if outcome.seconds > quantile * SLOW_FACTOR + SLOW_FLOOR_S:
        counts[offset + 2] += 1
    if not facts.new:
        above = outcome.seconds > quantile
        step = QUANTILE if above else QUANTILE - 1.0
        tally.quantiles[outcome.route] = quantile * (1.0 + QUANTILE_STEP * step)


def _admit_burst(facts: ServerFacts, now: float) -> bool:
    if now >= facts.burst_until:
        facts.burst_until = now + BURST_S
        facts.burst = 0
    facts.burst += 1
    return facts.burst <= MAX_BURST
