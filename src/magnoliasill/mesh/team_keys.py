"""The keys by which teams' callers identify themselves; only their digests are kept."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .routes import RouteTable, Team

MAX_KEY_LENGTH = 4_096  # a longer one is not hashed, since no team has it


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is known."""
    return sha256(key.encode("utf-8", "surrogateescape")).digest()


def find_team(table: RouteTable, key: str) -> Team | None:
    """Return the team that holds a key, or None.

    Args:
        table: The applied configuration.
        key: The key as its caller sent it.
    """
    if not key or len(key) > MAX_KEY_LENGTH or table.teams is None:
        return None
    # the time of a lookup depends on the digest, which tells nothing of the key
    name = table.team_names.get(digest_key(key))
    return None if name is None else table.teams.get(name)
