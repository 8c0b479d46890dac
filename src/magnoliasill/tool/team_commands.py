"""The commands with which the platform's administrators manage the teams' tokens."""

from __future__ import annotations

import time
from datetime import UTC, datetime

from ..errors import StoreOutcomeUnknownError
from ..publishing.command_targets import connect_platform_store
from ..publishing.teams import generate_token, list_teams, remove_team, set_token
from .publishing_commands import format_output

MAX_ATTEMPTS = 3


def create(name: str, store: str = "", json: bool = False) -> str:
    """Create a team and print its token, which is not kept anywhere.

    Args:
        name: The team's name.
        store: Address of the platform's store.
        json: Print JSON.
    """
    return _issue_token(str(name), store, json, rotate=False)


def rotate(name: str, store: str = "", json: bool = False) -> str:
    """Replace a team's token and print the new one; the old one is refused from then on.

    Args:
        name: The team's name.
        store: Address of the platform's store.
        json: Print JSON.
    """
    return _issue_token(str(name), store, json, rotate=True)


def remove(name: str, store: str = "", json: bool = False) -> str:
    """Remove a team's token; the team's services stay as they are.

    Args:
        name: The team's name.
        store: Address of the platform's store.
        json: Print JSON.
    """
    remove_team(connect_platform_store(store), str(name))
    return format_output({"team": str(name)}, f"team {name} has no token any more", json)


def show(store: str = "", json: bool = False) -> str:
    """List the teams that have a token.

    Args:
        store: Address of the platform's store.
        json: Print JSON.
    """
    teams = list_teams(connect_platform_store(store))
    lines = [
        f"{name}  since {datetime.fromtimestamp(at, UTC).isoformat(timespec='seconds')}"
        for name, at in sorted(teams.items())
    ]
    return format_output(teams, "\n".join(lines) or "no team has a token", json)


def _issue_token(name: str, store: str, as_json: bool, rotate: bool) -> str:
    store_function = connect_platform_store(store)
    token = generate_token()
    for attempt in range(MAX_ATTEMPTS):
        try:
            set_token(store_function, name, token, time.time(), rotate)
            break
        except StoreOutcomeUnknownError:
            if attempt == MAX_ATTEMPTS - 1:
                raise
    return format_output({"team": name, "token": token}, token, as_json)


TEAM_COMMANDS = {"create": create, "rotate": rotate, "remove": remove, "list": show}
