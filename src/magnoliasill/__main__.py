"""Runs the daemon by `python -m magnoliasill`."""

from __future__ import annotations

from .programs import run_daemon

run_daemon()
