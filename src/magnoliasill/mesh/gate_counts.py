"""The response counts that the gates of a service report to whoever judges a release."""

from __future__ import annotations

import attrs

from .coverage import RouteCoverage  # noqa: TC001 - msgspec evaluates it
from .evidence import RouteCounts  # noqa: TC001 - msgspec evaluates it
from .failure_trends import FailureTrend  # noqa: TC001 - msgspec evaluates it
from .takeovers import ReleaseStop  # noqa: TC001 - msgspec evaluates it


@attrs.frozen
class GateCounts:
    """What a gate reports about its backend server's responses.

    Attributes:
        start_id: Identifies the sidecar process that counted.
        release: The release that the counts belong to.
        counts: Response counts by route.
        order_ages: By service, the revision of its newest order and the seconds since this
            sidecar first saw it.
        stop: The stop of a release of the gate's service that it knows of, or None.
    """

    start_id: str
    release: str
    counts: dict[str, RouteCounts]
    order_ages: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    stop: ReleaseStop | None = None


@attrs.define
class CollectedCounts:
    """The latest counts of a service's gates.

    Attributes:
        order_revision: The store revision of the order that they are collected for.
        trends: The state of the test for late faults, by route.
        coverages: How much of the traffic the release has answered, by route.
        by_process: The counts by member name and by process and release. Those of processes that
            have ended are kept, since their successors count from zero.
    """

    order_revision: int
    trends: dict[str, FailureTrend] = attrs.field(factory=dict)
    coverages: dict[str, RouteCoverage] = attrs.field(factory=dict)
    by_process: dict[tuple[str, str], GateCounts] = attrs.field(factory=dict)
