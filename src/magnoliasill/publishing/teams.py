"""Teams: the hash of each team's token, kept in the platform's store."""

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
from ..errors import AdministrationError
from ..versions.service_file import NAME_PATTERN

if TYPE_CHECKING:
    from ..core.events import StoreEntry
    from ..store import StoreFunction

TEAM_PREFIX = "team/"
TOKEN_BYTES = 32


@attrs.frozen
class TeamRecord:
    """What the store holds for one team.

    Attributes:
        token_hash: SHA-256 of the token, in hexadecimal digits; the token itself is random.
        created_at: Seconds since the epoch.
    """

    token_hash: str
    created_at: float


def generate_token() -> str:
    """Return a new random token."""
    return secrets.token_urlsafe(TOKEN_BYTES)


def set_token(store: StoreFunction, team: str, token: str, now: float, rotate: bool) -> None:
    """Store the hash of a team's token.

    Repeating the call with the same token after a lost answer does no harm.

    Args:
        store: Performs requests to the platform's store.
        team: The team's name.
        token: Its new token.
        now: Seconds since the epoch.
        rotate: Whether to replace the token of a known team rather than create a team.

    Raises:
        AdministrationError: If the name is malformed, or the team is known or unknown against
            `rotate`.
        StoreError: If the store does not answer.
    """
    if not re.fullmatch(NAME_PATTERN, team):
        raise AdministrationError(ErrorCode.REQUEST_INVALID, f"{team!r} is not a team's name")
    entry = _read_entry(store, team)
    digest = _hash_token(token)
    if entry.revision and _decode(entry).token_hash == digest:
        return
    if entry.revision and not rotate:
        raise AdministrationError(ErrorCode.TEAM_EXISTS, f"team {team!r} exists")
    if rotate and not entry.revision:
        raise AdministrationError(ErrorCode.TEAM_UNKNOWN, f"no team {team!r}")
    value = msgspec.json.encode(TeamRecord(digest, now))
    answer = store(StoreWrite("team", TEAM_PREFIX + team, value, entry.revision))
    if not answer.succeeded:
        message = f"team {team!r} was changed by another administrator at the same time"
        raise AdministrationError(ErrorCode.PUBLISH_CONFLICT, message, "look, then try again")


def remove_team(store: StoreFunction, team: str) -> None:
    """Forget a team's token; its services stay, and only an administrator can change them.

    Args:
        store: Performs requests to the platform's store.
        team: The team's name.

    Raises:
        AdministrationError: If there is no such team.
        StoreError: If the store does not answer.
    """
    entry = _read_entry(store, team)
    if not entry.revision:
        raise AdministrationError(ErrorCode.TEAM_UNKNOWN, f"no team {team!r}")
    store(StoreDelete("team", TEAM_PREFIX + team, entry.revision))


def list_teams(store: StoreFunction) -> dict[str, float]:
    """Return the teams that have a token, with the time of each token.

    Args:
        store: Performs requests to the platform's store.
    """
    entries = store(StoreRead("teams", prefix=TEAM_PREFIX)).entries
    return {entry.key.removeprefix(TEAM_PREFIX): _decode(entry).created_at for entry in entries}


def check_token(store: StoreFunction, team: str, token: str) -> None:
    """Refuse a token that is not the team's.

    Args:
        store: Performs requests to the platform's store.
        team: The team's name.
        token: What the caller presented.

    Raises:
        AdministrationError: `TOKEN_REFUSED`, the same for an unknown team and a wrong token.
        StoreError: If the store does not answer.
    """
    if not token or not re.fullmatch(NAME_PATTERN, team):
        raise AdministrationError(ErrorCode.TOKEN_REFUSED, f"no token for team {team[:63]!r}")
    entry = _read_entry(store, team)
    known = _decode(entry).token_hash if entry.revision else ""
    if not hmac.compare_digest(known.encode(), _hash_token(token).encode()):
        raise AdministrationError(ErrorCode.TOKEN_REFUSED, f"wrong token for team {team!r}")


def _hash_token(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def _read_entry(store: StoreFunction, team: str) -> StoreEntry:
    return store(StoreRead("team", keys=(TEAM_PREFIX + team,))).entries[0]


def _decode(entry: StoreEntry) -> TeamRecord:
    try:
        return msgspec.json.decode(entry.value, type=TeamRecord)
    except msgspec.MsgspecError as error:
        message = f"{entry.key}: {error}"
        raise AdministrationError(ErrorCode.BLOB_CORRUPT, message) from error
