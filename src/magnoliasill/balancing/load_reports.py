"""Load reports, which backend servers send in the headers of their answers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

LOAD_HEADER = "X-Load"
DRAINING_HEADER = "X-Draining"
MAX_RUNNING = 1_000_000

_LOAD = LOAD_HEADER.lower()
_DRAINING = DRAINING_HEADER.lower()
_COUNT = re.compile(r"[0-9]{1,9}")


@attrs.frozen
class LoadReport:
    """The load that one answer reports.

    Attributes:
        running: Requests that the backend server runs or queues, or None if not reported.
        slots: Maximum requests that it runs at once.
        draining: Whether it accepts no new requests.
    """

    running: int | None = None
    slots: int = 0
    draining: bool = False


EMPTY_REPORT = LoadReport()


def read_report(headers: Iterable[tuple[str, str]]) -> LoadReport:
    """Parse the load report in the headers of an answer; a malformed one is ignored."""
    load, draining = "", False
    for name, value in headers:
        lowered = name.lower()
        if lowered == _LOAD:
            load = value
        elif lowered == _DRAINING:
            draining = True
    if not load and not draining:
        return EMPTY_REPORT
    running, _, slots = load.partition("/")
    if not (_COUNT.fullmatch(running) and _COUNT.fullmatch(slots)):
        return LoadReport(draining=draining)
    return LoadReport(min(int(running), MAX_RUNNING), min(int(slots), MAX_RUNNING), draining)
