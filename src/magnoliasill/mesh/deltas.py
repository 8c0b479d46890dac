"""Delta encoding of long values: a new version as references to its base version and new bytes.

A configuration with many routes changes often, but little of it at a time. Sending the whole value
to every VM would saturate links of low bandwidth.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TypeAlias

import attrs

CHUNK_SEPARATOR = b"},{"  # separates the elements of a JSON list, such as routes
DIGEST_BYTES = 16

Piece: TypeAlias = tuple[int, int] | bytes


class DeltaError(ValueError):
    """A delta did not yield the new version: it was applied to a value other than its base."""


@attrs.frozen
class Delta:
    """The difference between two versions of a value.

    Attributes:
        base: The position of the base version in the store's history.
        pieces: The parts of the new version in order: each a run of chunks of the base version, as
            first index and count, or a new chunk.
        digest: The digest of the new version.
    """

    base: int
    pieces: tuple[Piece, ...]
    digest: bytes


def build_delta(base: int, old: bytes, new: bytes) -> Delta:
    """Return the delta from an old version to a new one.

    Args:
        base: The position of the old version in the store's history.
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


def measure_delta(delta: Delta) -> int:
    """Return the bytes of the new chunks in a delta."""
    return sum(len(piece) for piece in delta.pieces if isinstance(piece, bytes))


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """Return the new version that a delta describes.

    Args:
        old: The base version of the delta.
        delta: From `build_delta`.

    Raises:
        DeltaError: If the digest of the result is not that of the new version.
    """
    chunks = old.split(CHUNK_SEPARATOR)
    new_chunks: list[bytes] = []
    for piece in delta.pieces:
        if isinstance(piece, bytes):
            new_chunks.append(piece)
        else:
            new_chunks.extend(chunks[piece[0] : piece[0] + piece[1]])
    new = CHUNK_SEPARATOR.join(new_chunks)
    if _digest(new) != delta.digest:
        raise DeltaError("the digest of the result does not match the delta")
    return new


def _digest(value: bytes) -> bytes:
    return blake2b(value, digest_size=DIGEST_BYTES).digest()
