"""Defines the commands of `magnoliasill`, runs one of them and prints its errors."""

from __future__ import annotations

import os
import sys
from typing import Any

import fire

from ..error_catalogue import ERRORS
from ..errors import MagnoliasillError
from ..process.deferred_commands import defer, run_deferred
from .explain import explain
from .inspection_commands import convergence, dump, members
from .publishing_commands import check, history, publish_folder, pull, remove, show, status, undo
from .rollout_commands import rollouts
from .team_commands import TEAM_COMMANDS
from .where_command import where

EXIT_FAILED = 1

COMMANDS: dict[str, Any] = {
    "check": check,
    "publish": publish_folder,
    "remove": remove,
    "undo": undo,
    "pull": pull,
    "show": show,
    "status": status,
    "history": history,
    "dump": dump,
    "explain": explain,
    "members": members,
    "convergence": convergence,
    "rollouts": rollouts,
    "where": where,
    "team": TEAM_COMMANDS,
}


def main() -> None:
    """Run one command; the exit status is 0 only when it succeeded."""
    try:
        fire.Fire(_defer_all(COMMANDS), name="magnoliasill", serialize=run_deferred)
        sys.stdout.flush()
    except MagnoliasillError as error:
        print(format_error(error), file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except BrokenPipeError:  # the reader closed the pipe, as `head` does
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)


def format_error(error: MagnoliasillError) -> str:
    """Return an error's code and message, and its advice or the remedy from the catalogue."""
    return f"{error.code.value}: {error.message} ({error.advice or ERRORS[error.code].remedy})"


def _defer_all(commands: dict[str, Any]) -> dict[str, Any]:
    return {
        name: _defer_all(command) if isinstance(command, dict) else defer(command)
        for name, command in commands.items()
    }
