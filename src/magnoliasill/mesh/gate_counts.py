"""The response counts that the gates of a service report to whoever judges a release."""

from __future__ import annotations

import attrs

from .coverage import RouteCoverage  # noqa: TC001 - msgspec evaluates it
from .evidence import Counts, RouteCounts, Tally, sum_counts
from .failure_trends import FailureTrend  # noqa: TC001 - msgspec evaluates it
from .fields import Count, Number  # noqa: TC001 - msgspec evaluates it
from .reviews import Review  # noqa: TC001 - msgspec evaluates it
from .takeovers import ReleaseStop, Takeover  # noqa: TC001 - msgspec evaluates it

RATE_WINDOW_S = 6.0
MIN_RATE_WINDOW_S = 3.2  # at 20 answers a second, the rate is then known to an eighth


@attrs.frozen
class GateCounts:
    """What a gate reports about its backend server's responses.

    Attributes:
        start_id: Identifies the sidecar process that counted.
        release: The release that the counts belong to.
        counts: Response counts by route.
        order_ages: By service, the position of its newest order and the seconds since this
            sidecar first saw it.
        stop: The stop of a release of the gate's service that it knows of, or None.
        takeover: The takeover of that service if the store has lost its state, or None.
    """

    start_id: str
    release: str
    counts: dict[str, RouteCounts]
    order_ages: dict[str, tuple[Count, Number]] = attrs.field(factory=dict)
    stop: ReleaseStop | None = None
    takeover: Takeover | None = None


@attrs.define
class CollectedCounts:
    """The latest counts of a service's gates.

    Attributes:
        order_revision: The position of the order that they are collected for.
        trends: The state of the test for late faults, by route.
        coverages: How much of the traffic the release has answered, by route.
        by_process: The counts by member name and by process and release. Those of processes that
            have ended are kept, since their successors count from zero.
        has_restored: Whether the counts of the takeover's record that no process has any more were
            added.
        samples: The number of all answers at recent evaluations, each with its time in seconds.
        review: The review of the completed takeover, or None.
    """

    order_revision: int
    trends: dict[str, FailureTrend] = attrs.field(factory=dict)
    coverages: dict[str, RouteCoverage] = attrs.field(factory=dict)
    by_process: dict[tuple[str, str], GateCounts] = attrs.field(factory=dict)
    has_restored: bool = False
    samples: list[tuple[float, int]] = attrs.field(factory=list)
    review: Review | None = None


def list_counts(collected: CollectedCounts, release: str, established: bool) -> list[Counts]:
    """Return the counts of each process beside a server of the release, or of all other releases.

    Args:
        collected: The counts.
        release: The release that takes over.
        established: Whether to return those of the other releases.
    """
    gates = collected.by_process.values()
    return [gate.counts for gate in gates if (gate.release != release) is established]


def restore_counts(collected: CollectedCounts, takeover: Takeover) -> None:
    """Add the counts of a takeover's record that were lost with the processes that had them.

    Args:
        collected: What the present processes report, which are asked for the first time.
        takeover: The record.
    """
    collected.has_restored = True
    for established, recorded in ((True, takeover.before), (False, takeover.after)):
        present = sum_counts(list_counts(collected, takeover.release, established))
        lost = {
            route: RouteCounts(
                max(tally.answers - present.get(route, RouteCounts()).answers, 0),
                max(tally.failures - present.get(route, RouteCounts()).failures, 0),
            )
            for route, tally in recorded.items()
        }
        release = "" if established else takeover.release
        collected.by_process["", f"record {release}"] = GateCounts("", release, lost)


def tally_counts(counts: Counts) -> dict[str, Tally]:
    """Return the sums of counts as a record keeps them."""
    return {route: Tally(row.answers, row.failures) for route, row in counts.items()}


def estimate_rate(collected: CollectedCounts, now: float) -> float | None:
    """Return the recent answers per second of all releases, or None if too short a time was seen.

    Args:
        collected: The counts, to which this evaluation is added.
        now: Seconds on the monotonic clock.
    """
    total = sum(
        row.answers for gate in collected.by_process.values() for row in gate.counts.values()
    )
    samples = [sample for sample in collected.samples if sample[0] >= now - RATE_WINDOW_S]
    collected.samples = [*samples, (now, total)]
    first_at, first_total = collected.samples[0]
    if now - first_at < MIN_RATE_WINDOW_S:
        return None
    return (total - first_total) / (now - first_at)
