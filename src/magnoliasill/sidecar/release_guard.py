"""Decides whether the gate refuses requests for a rolled back or failing release.

The decision doesn't depend on the traffic share that other sidecars apply to the release.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..mesh.takeovers import Phase
from .state import find_takeover

if TYPE_CHECKING:
    from .state import Sidecar

MIN_FAILURES = 12  # far below the number of responses after which a bad release must get no traffic
MAX_FAILURE_SHARE = 0.25  # above the share of requests that fail through their callers' faults


def is_withheld(sidecar: Sidecar, service: str, release: str) -> bool:
    """Return whether the gate must refuse requests for the backend server's release.

    Args:
        sidecar: The sidecar's state.
        service: The name of the service.
        release: The release of the backend server on this VM.
    """
    takeover, ordered_release = find_takeover(sidecar, service)
    if release == ordered_release:
        return True
    if takeover is None:
        return False
    if release in takeover.retired:
        return True
    if release != takeover.release:
        return False
    if takeover.phase in (Phase.TAKEN_BACK, Phase.STOPPED):
        return True
    stop = sidecar.stops.get(service)
    if stop is not None and stop.order_revision == takeover.order_revision:
        return True
    return takeover.phase is Phase.RUNNING and _exceeds_failure_limit(sidecar)


def _exceeds_failure_limit(sidecar: Sidecar) -> bool:
    failures = sum(route_counts.failures for route_counts in sidecar.route_counts.values())
    answers = sum(route_counts.answers for route_counts in sidecar.route_counts.values())
    return failures >= MIN_FAILURES and failures > MAX_FAILURE_SHARE * answers
