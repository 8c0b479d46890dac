"""The command that merges the log entries about one request from the logs of several daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json
from ..errors import AdministrationError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

LEADING_FIELDS = ("timestamp", "daemon", "event")
OMITTED_FIELDS = frozenset({*LEADING_FIELDS, "data_centre", "number", "id"})


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
        message = f"none of {len(files)} files has a log entry about {identifier}"
        raise AdministrationError(ErrorCode.REQUEST_INVALID, message)
    for entry in sorted(entries, key=lambda log_entry: log_entry.get("timestamp", "")):
        print(format_entry(entry))


def find_entries(identifier: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log entries about a request.

    Args:
        identifier: The request's identifier; nested requests are included, since their
            identifiers begin with it.
        lines: Lines of logs. Text before the first brace, such as a log collector's prefix, is
            skipped; so are lines that are not valid JSON, such as truncated ones.
    """
    for line in lines:
        if identifier not in line:
            continue
        _, brace, remainder = line.partition("{")
        try:
            entry = decode_json(brace + remainder)
        except DecodingError:
            continue
        if isinstance(entry, dict) and str(entry.get("id", "")).startswith(identifier):
            yield entry


def format_entry(entry: dict[str, Any]) -> str:
    """Return a log entry as one line of text."""
    fields = [f"{name}={value}" for name, value in entry.items() if name not in OMITTED_FIELDS]
    leading = [str(entry.get(name, "")) for name in LEADING_FIELDS]
    return " ".join([*leading, str(entry.get("id", "")), *fields])
