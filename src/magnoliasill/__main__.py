"""Runs the daemon as `python -m magnoliasill`."""

from __future__ import annotations

from .programs import run_daemon

run_daemon()
