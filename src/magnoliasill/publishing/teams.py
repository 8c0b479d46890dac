"""Manages and checks the teams' tokens, whose hashes are kept in the platform's store."""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..core.actions import StoreDelete, StoreRead, StoreWrite
from ..decoding import DecodingError, decode_json
from ..errors import AdministrationError
from ..versions.service_file import NAME_PATTERN

if TYPE_CHECKING:
    from ..core.events import StoreEntry
    from ..store import StoreFunction

TEAM_PREFIX = "team/"
TOKEN_BYTES = 32


@attrs.frozen
class TeamRecord:
    """The stored record of one team.

    Attributes:
        token_hash: SHA-256 of the token, in hexadecimal digits; the token itself is random.
        created_at: When the token was set, in seconds since the epoch.
    """

    token_hash: str
    created_at: float


def generate_token() -> str:
    """Return a new random token."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def set_token(store: StoreFunction, team: str, token: str, now: float, rotate: bool) -> None:
    """Create a team or rotate its token, by storing the hash of the token.

    If a response of the store was lost, the call can be repeated with the same token.

    Args:
        store: Sends a request to the platform's store and returns the response.
        team: The team's name.
        token: The new token.
        now: The current time, in seconds since the epoch.
        rotate: Whether to replace the token of an existing team rather than create a team.

    Raises:
        AdministrationError: If the name is malformed, the team to create exists, the team to rotate
            does not exist, or another administrator changed the team at the same time.
        StoreError: If the store does not respond.
    """
    if not re.fullmatch(NAME_PATTERN, team):
        raise AdministrationError(ErrorCode.REQUEST_INVALID, f"{team!r} is not a valid team name")
    entry = _read_entry(store, team)
    digest = _hash_token(token)
    if entry.revision and _decode_record(entry).token_hash == digest:
        return
    if entry.revision and not rotate:
        raise AdministrationError(ErrorCode.TEAM_EXISTS, f"team {team!r} already exists")
    if rotate and not entry.revision:
        raise AdministrationError(ErrorCode.TEAM_UNKNOWN, f"team {team!r} does not exist")
    value = msgspec.json.encode(TeamRecord(digest, now))
    answer = store(StoreWrite("team", TEAM_PREFIX + team, value, entry.revision))
    if not answer.succeeded:
        message = f"team {team!r} was changed by another administrator at the same time"
        raise AdministrationError(
            ErrorCode.PUBLISH_CONFLICT, message, "check the team, then try again"
        )


def remove_team(store: StoreFunction, team: str) -> None:
    """Delete a team's token; its services stay and can be changed only by an administrator.

    Args:
        store: Sends a request to the platform's store and returns the response.
        team: The team's name.

    Raises:
        AdministrationError: If the team does not exist.
        StoreError: If the store does not respond.
    """
    entry = _read_entry(store, team)
    if not entry.revision:
        raise AdministrationError(ErrorCode.TEAM_UNKNOWN, f"team {team!r} does not exist")
    store(StoreDelete("team", TEAM_PREFIX + team, entry.revision))


def list_teams(store: StoreFunction) -> dict[str, float]:
    """Return the teams that have a token, each with the time at which the token was set.

    Args:
        store: Sends a request to the platform's store and returns the response.
    """
    entries = store(StoreRead("teams", prefix=TEAM_PREFIX)).entries
    return {
        entry.key.removeprefix(TEAM_PREFIX): _decode_record(entry).created_at for entry in entries
    }


def check_token(store: StoreFunction, team: str, token: str) -> None:
    """Check that a token belongs to a team.

    Args:
        store: Sends a request to the platform's store and returns the response.
        team: The team's name.
        token: The token from the request.

    Raises:
        AdministrationError: `TOKEN_REFUSED`, with the same message for an unknown team and for a
            wrong token.
        StoreError: If the store does not respond.
    """
    if not token or not re.fullmatch(NAME_PATTERN, team):
        raise AdministrationError(ErrorCode.TOKEN_REFUSED, f"no token for team {team[:63]!r}")
    entry = _read_entry(store, team)
    stored_hash = _decode_record(entry).token_hash if entry.revision else ""
    if not hmac.compare_digest(stored_hash.encode(), _hash_token(token).encode()):
        raise AdministrationError(ErrorCode.TOKEN_REFUSED, f"wrong token for team {team!r}")


def _hash_token(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _read_entry(store: StoreFunction, team: str) -> StoreEntry:
    return store(StoreRead("team", keys=(TEAM_PREFIX + team,))).entries[0]


def _decode_record(entry: StoreEntry) -> TeamRecord:
    try:
        return decode_json(entry.value, TeamRecord)
    except DecodingError as error:
        message = f"invalid team record {entry.key}: {error}"
        raise AdministrationError(ErrorCode.BLOB_CORRUPT, message) from error
