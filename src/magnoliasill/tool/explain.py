"""The command that tells the story of one request from the logs of several daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ..codes import ErrorCode
from ..errors import AdministrationError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

SHOWN_FIRST = ("timestamp", "daemon", "event")
HIDDEN = frozenset({*SHOWN_FIRST, "data_centre", "number", "id"})


def explain(identifier: str, *files: str) -> None:
    """Print what daemons logged about one request, in order of time.

    Args:
        identifier: The request's identifier; calls made while it ran begin with it.
        *files: Log files, of any daemons in any order; other lines in them are passed over.

    Raises:
        AdministrationError: If a file can't be read, or no line names the identifier.
    """
    entries = []
    for file in files:
        try:
            with open(file, encoding="utf-8", errors="replace") as lines:
                entries.extend(find_entries(str(identifier), lines))
        except OSError as error:
            raise AdministrationError(ErrorCode.FILE_UNREADABLE, f"{file}: {error}") from error
    if not entries:
        message = f"no line of {len(files)} files names {identifier}"
        raise AdministrationError(ErrorCode.REQUEST_INVALID, message)
    for entry in sorted(entries, key=lambda found: found.get("timestamp", "")):
        print(format_entry(entry))


def find_entries(identifier: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log entries about a request.

    Args:
        identifier: Its identifier.
        lines: Lines of logs; what stands before the first brace, as a collector may write it, is
            passed over, and so is a line that is cut short.
    """
    for line in lines:
        if identifier not in line:
            continue
        _, brace, rest = line.partition("{")
        try:
            entry = msgspec.json.decode(brace + rest)
        except msgspec.MsgspecError:
            continue
        if isinstance(entry, dict) and str(entry.get("id", "")).startswith(identifier):
            yield entry


def format_entry(entry: dict[str, Any]) -> str:
    """Return one line of the story."""
    fields = [f"{name}={value}" for name, value in entry.items() if name not in HIDDEN]
    head = [str(entry.get(name, "")) for name in SHOWN_FIRST]
    return " ".join([*head, str(entry.get("id", "")), *fields])
