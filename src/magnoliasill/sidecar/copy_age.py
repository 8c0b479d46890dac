"""Tells how old the local copy of the store may be, counting suspensions of the VM.

The monotonic clock stands still while a VM is suspended. A copy that was confirmed before a
suspension would count as recent after it, so these ages are taken on a clock that goes on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..mesh.positions import is_earlier_era

if TYPE_CHECKING:
    from .state import Sidecar

MAX_AGE_S = 1e9  # reported if the copy was never confirmed


def confirm_copy(sidecar: Sidecar, revision: int, since: float) -> None:
    """Record that the local copy was the newest state of the store at some time.

    Args:
        sidecar: The sidecar's state, with the changes that confirm it applied.
        revision: The position of these changes in the store's history.
        since: When the request for that confirmation was sent, less the age that its answer
            stated, by `read_wake_clock`.
    """
    if is_earlier_era(revision, sidecar.mirror.revision):
        return  # they were not applied
    sidecar.copy_confirmed_at = max(sidecar.copy_confirmed_at, since)


def find_copy_age(sidecar: Sidecar) -> float:
    """Return the most seconds that may have passed since the copy was the newest configuration."""
    if sidecar.configuration_unread:
        return MAX_AGE_S  # a newer one was refused
    return min(max(sidecar.wake_clock() - sidecar.copy_confirmed_at, 0.0), MAX_AGE_S)
