"""Withholds a release at its own gate, whatever other sidecars believe of its share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..mesh.takeovers import Phase
from .state import find_takeover

if TYPE_CHECKING:
    from .state import Sidecar

MIN_FAILURES = 12  # far below the answers after which a bad release must get nothing more
FAILING_SHARE = 0.25  # more than backend servers fail by their callers' faults


def is_withheld(sidecar: Sidecar, service: str, release: str) -> bool:
    """Return whether the backend server's release must get no requests at this moment.

    Args:
        sidecar: The tables.
        service: The service.
        release: The release of the backend server beside this sidecar.
    """
    takeover, ordered = find_takeover(sidecar, service)
    if release == ordered:
        return True
    if takeover is None:
        return False
    if release in takeover.retired:
        return True
    if release != takeover.release:
        return False
    if takeover.phase is Phase.TAKEN_BACK:
        return True
    return takeover.phase is Phase.RUNNING and _fails_by_itself(sidecar)


def _fails_by_itself(sidecar: Sidecar) -> bool:
    failures = sum(row.failures for row in sidecar.route_counts.values())
    answers = sum(row.answers for row in sidecar.route_counts.values())
    return failures >= MIN_FAILURES and failures > FAILING_SHARE * answers
