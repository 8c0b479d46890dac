"""Runs the command-line tool in the test's process."""

from __future__ import annotations

import contextlib
import io
import os
from unittest import mock

import attrs

from magnoliasill.tool.cli import main


@attrs.frozen
class CommandResult:
    """The exit status and the output of a command."""

    returncode: int
    stdout: str
    stderr: str


def run_tool(*arguments: str, **environment: str) -> CommandResult:
    """Run one command and return its result.

    Environment variables of this process that hold settings are hidden from the command.
    Exceptions other than `SystemExit` propagate.

    Args:
        *arguments: The command and its arguments.
        **environment: Environment variables to add.
    """
    inherited = {name: value for name, value in os.environ.items() if "MAGNOLIASILL" not in name}
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with (
        mock.patch("sys.argv", ["magnoliasill", *arguments]),
        mock.patch.dict(os.environ, {**inherited, **environment}, clear=True),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as exit_request:
            code = int(exit_request.code or 0)
    return CommandResult(code, out.getvalue(), err.getvalue())
