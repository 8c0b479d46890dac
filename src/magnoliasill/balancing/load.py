"""Load reports: what the answer of a backend server says of its load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

LOAD_HEADER = "X-Load"
DRAINING_HEADER = "X-Draining"
MAX_RUNNING = 1_000_000

_LOAD = LOAD_HEADER.lower()
_DRAINING = DRAINING_HEADER.lower()


@attrs.frozen
class LoadReport:
    """What one answer says.

    Attributes:
        running: Requests that the backend server runs or queues, or None where it says nothing.
        slots: Requests that it runs at once.
        draining: Whether it takes no new work.
    """

    running: int | None = None
    slots: int = 0
    draining: bool = False


SILENT = LoadReport()


def read_report(headers: Iterable[tuple[str, str]]) -> LoadReport:
    """Read the report from the headers of an answer; a malformed one counts as none."""
    load, draining = "", False
    for name, value in headers:
        lowered = name.lower()
        if lowered == _LOAD:
            load = value
        elif lowered == _DRAINING:
            draining = True
    if not load and not draining:
        return SILENT
    running, _, slots = load.partition("/")
    if not (running.isdecimal() and slots.isdecimal()):
        return LoadReport(draining=draining)
    return LoadReport(min(int(running), MAX_RUNNING), min(int(slots), MAX_RUNNING), draining)
