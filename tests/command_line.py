"""Runs the command-line tool inside the test's process."""

from __future__ import annotations

import contextlib
import io
import os
from unittest import mock

import attrs

from magnoliasill.tool.cli import main


@attrs.frozen
class Done:
    """The end of a command."""

    returncode: int
    stdout: str
    stderr: str


def run_tool(*arguments: str, **environment: str) -> Done:
    """Run one command, without the settings of this process; any other exception passes through."""
    kept = {name: value for name, value in os.environ.items() if "MAGNOLIASILL" not in name}
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with (
        mock.patch("sys.argv", ["magnoliasill", *arguments]),
        mock.patch.dict(os.environ, {**kept, **environment}, clear=True),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as end:
            code = int(end.code or 0)
    return Done(code, out.getvalue(), err.getvalue())
