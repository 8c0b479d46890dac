"""Deltas of long values: a new version of one as parts of the version before and what is new.

The pattern: a configuration with many routes that changes often. Most of it stays as it was, and
sending it whole to every VM would fill thin links.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TypeAlias

import attrs

CHUNK_SEPARATOR = b"},{"  # between the elements of a list, such as routes
DIGEST_BYTES = 16

Piece: TypeAlias = tuple[int, int] | bytes


class DeltaError(ValueError):
    """A delta does not belong to the value that it was applied to."""


@attrs.frozen
class Delta:
    """A new version of a value.

    Attributes:
        base: The store's revision of the version that it builds on.
        pieces: Parts of that version, as the first and the number of its chunks, and new bytes.
        digest: Of the new version.
    """

    base: int
    pieces: tuple[Piece, ...]
    digest: bytes


def build_delta(base: int, old: bytes, new: bytes) -> Delta:
    """Return what makes a new version out of an old one.

    Args:
        base: The store's revision of the old version.
        old: The old version.
        new: The new version.
    """
    indexes = {chunk: index for index, chunk in enumerate(old.split(CHUNK_SEPARATOR))}
    pieces: list[Piece] = []
    for chunk in new.split(CHUNK_SEPARATOR):
        index = indexes.get(chunk)
        last = pieces[-1] if pieces else None
        if index is None:
            pieces.append(chunk)
        elif isinstance(last, tuple) and last[0] + last[1] == index:
            pieces[-1] = (last[0], last[1] + 1)
        else:
            pieces.append((index, 1))
    return Delta(base, tuple(pieces), _digest(new))


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """Return the new version.

    Args:
        old: The version that the delta builds on.
        delta: From `build_delta`.

    Raises:
        DeltaError: If the result is not what was meant.
    """
    chunks = old.split(CHUNK_SEPARATOR)
    chunks_found: list[bytes] = []
    for piece in delta.pieces:
        if isinstance(piece, bytes):
            chunks_found.append(piece)
        else:
            chunks_found.extend(chunks[piece[0] : piece[0] + piece[1]])
    new = CHUNK_SEPARATOR.join(chunks_found)
    if _digest(new) != delta.digest:
        raise DeltaError("the digest differs")
    return new


def _digest(value: bytes) -> bytes:
    return blake2b(value, digest_size=DIGEST_BYTES).digest()
