"""Positions in the store's history: the era of its data and a revision, as one ordered integer.

A store that is restored from an older copy gives revisions out again, so a revision alone neither
orders two changes nor names one. Each restoration begins a new era. As in the transaction
identifiers of ZooKeeper, the high part of a position is the era and the low part counts within it:
positions stay integers that records, queries and logs can hold, and every one of a later era is
higher. Those of a store that tells no era are its revisions.
"""

from __future__ import annotations

from .fields import MAX_COUNT

REVISIONS_PER_ERA = 10**10  # in decimal, the era can be read from a logged position
MAX_ERA = MAX_COUNT // REVISIONS_PER_ERA - 1


def join_position(era: int, revision: int) -> int:
    """Return the position of a revision; 0, which stands for no item, is 0 in every era.

    Raises:
        ValueError: If the era or the revision is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= revision < REVISIONS_PER_ERA):
        raise ValueError(f"revision {revision} of era {era} is out of range")
    return era * REVISIONS_PER_ERA + revision if revision else 0


def find_era(position: int) -> int:
    """Return the era of a position."""
    return position // REVISIONS_PER_ERA


def find_revision(position: int) -> int:
    """Return the store's own revision of a position."""
    return position % REVISIONS_PER_ERA


def is_earlier_era(position: int, other: int) -> bool:
    """Return whether a position is of an earlier era than another."""
    return find_era(position) < find_era(other)
