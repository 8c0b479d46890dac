"""Which of two states of a takeover is newer, when the store may have come back from an older copy.

Within one era of the store, its records are the truth. A copy may lack the newest decisions, and
orders that are written again get other positions; sidecars that remember are then ahead of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import attrs

from .positions import is_earlier_era
from .takeovers import Phase

if TYPE_CHECKING:
    from .takeovers import ReleaseStop, Takeover

Decision = TypeVar("Decision", "Takeover", "ReleaseStop")


def adopt_order(decision: Decision, order_revision: int, release: str) -> Decision:
    """Return a decision with the position at which its order was written again, if it was.

    The first order of a later era for the same release is that order: the operator writes again
    what the copy lacks before anything new.

    Args:
        decision: A takeover or a stop.
        order_revision: The position of the service's newest order.
        release: The release that this order asks for.
    """
    is_same = decision.release == release
    if is_same and is_earlier_era(decision.order_revision, order_revision):
        return attrs.evolve(decision, order_revision=order_revision)
    return decision


def is_outdated_decision(stored: Takeover, known: Takeover, restored: bool) -> bool:
    """Return whether a record is older than the known state of the same service's takeover.

    Args:
        stored: The record.
        known: The state that this sidecar knows.
        restored: Whether the store may have lost the known state.
    """
    if not _is_same_order(stored, known):
        return restored and stored.order_revision < known.order_revision
    if known.phase is not Phase.RUNNING and stored.phase is Phase.RUNNING:
        return True  # what was decided stays decided
    is_further = known.phase is Phase.RUNNING and stored.phase is not Phase.RUNNING
    return restored and not is_further and stored.age_s < known.age_s


def _is_same_order(first: Takeover, second: Takeover) -> bool:
    if first.release != second.release:
        return False
    earlier, later = sorted((first.order_revision, second.order_revision))
    return earlier == later or is_earlier_era(earlier, later)
