"""A stand-in of the users' platform's store: its tables, its calls and its faults."""

from __future__ import annotations

import base64
from collections import Counter, deque
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import attrs

from magnoliasill.codes import ErrorCode
from magnoliasill.core.events import StoreAnswered, StoreEntry
from magnoliasill.errors import StoreError, StoreOutcomeUnknownError
from magnoliasill.platform.store import Call, StoreClient
from magnoliasill.store import build_store_function

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliasill.core.actions import StoreAction

PAGE_ITEMS = 500
HISTORY_EVENTS = 10_000
MAX_ENTRIES = 32
MAX_VALUE_BYTES = 1_048_576
RENEWAL_PRICE = 0.1
RESERVED = ("op/", "servers/")
UNANSWERED = 0  # in place of a status
KINDS = {
    "kv-key": "read",
    "kv-range": "page",
    "kv-watch": "watch",
    "kv-txn": "write",
    "kv-lease": "grant",
    "kv-keep": "renew",
    "kv-lease-end": "end",
}
WRITING = ("write", "grant", "end")  # by rate; a renewal counts as a read


@attrs.define
class Faults:
    """What is wrong with the store at present.

    Attributes:
        refuse: The status of every answer, or 0 for none.
        silent: Requests are not answered.
        lose_answers: So many further writes are carried out and not answered.
        late_s: With `lose_answers`, they are carried out only after so many seconds.
        delay_s: Every answer comes this much later.
        calls_per_s: Calls above this rate get 429; 0 for no limit.
    """

    refuse: int = 0
    silent: bool = False
    lose_answers: int = 0
    late_s: float = 0.0
    delay_s: float = 0.0
    calls_per_s: int = 0


@attrs.define
class Lease:
    """A lease: its end, its length in seconds and the keys that go with it."""

    until: float
    ttl_s: float
    keys: set[str] = attrs.field(factory=set)


@attrs.define
class Tables:
    """Everything that the store holds.

    Attributes:
        items: Rows by key, as they are sent.
        history: Changes, as they are sent.
        floor: The oldest revision after which the history is whole.
        revision: Counts changes.
        leases: Present leases.
        leases_granted: Counts leases, for their names.
        faults: What is wrong at present.
        price: What all calls so far have cost.
        counts: Calls by kind, refused ones included.
        second: The second whose calls are counted for the rates.
        second_counts: Calls of that second, by `reads` and `writes`.
        peak: The greatest numbers of calls in one second.
    """

    items: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    history: deque[dict[str, Any]] = attrs.field(factory=lambda: deque(maxlen=HISTORY_EVENTS))
    floor: int = 1
    revision: int = 1
    leases: dict[int, Lease] = attrs.field(factory=dict)
    leases_granted: int = 1_000
    faults: Faults = attrs.field(factory=Faults)
    price: float = 0.0
    counts: Counter[str] = attrs.field(factory=Counter)
    second: int = 0
    second_counts: Counter[str] = attrs.field(factory=Counter)
    peak: dict[str, int] = attrs.field(factory=lambda: {"reads": 0, "writes": 0})


def build_local_store(
    tables: Tables, clock: Callable[[], float]
) -> Callable[[StoreAction], StoreAnswered]:
    """Return a store function on tables in this process, by the real client; nothing waits.

    Args:
        tables: The store's tables.
        clock: The store's clock, in seconds.
    """

    def ask(call: Call) -> tuple[int, Any]:
        parts = urlsplit(call.path)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        status, answer = handle_call(tables, clock(), call.method, parts.path, query, call.body)
        if status != UNANSWERED:
            return status, answer
        if call.method == "GET":
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "no answer")
        raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, "no answer")

    return build_store_function(StoreClient(ask))


def apply_request(tables: Tables, now: float, action: StoreAction) -> StoreAnswered:
    """Perform one request with the present faults; a watch doesn't wait.

    Args:
        tables: The store's tables.
        now: Seconds of the store's clock.
        action: The request.

    Raises:
        StoreError: If the store refused.
        StoreOutcomeUnknownError: If the answer was lost after the write took effect.
    """
    return build_local_store(tables, lambda: now)(action)


def read_entry(tables: Tables, key: str) -> StoreEntry:
    """Return the entry of a key, with revision 0 where it is absent."""
    row = tables.items.get(key)
    if row is None:
        return StoreEntry(key, b"", 0)
    return StoreEntry(key, base64.b64decode(row["value"]), row["revision"])


def put_item(tables: Tables, key: str, value: bytes, lease: int = 0) -> int:
    """Write an item; returns the revision."""
    tables.revision += 1
    known = tables.items.get(key)
    if known and known["lease"] in tables.leases:
        tables.leases[known["lease"]].keys.discard(key)
    row = {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": tables.revision,
        "create_revision": known["create_revision"] if known else tables.revision,
        "lease": lease,
    }
    tables.items[key] = row
    _add_history(tables, row)
    if lease:
        tables.leases[lease].keys.add(key)
    return tables.revision


def remove_item(tables: Tables, key: str) -> None:
    """Remove an item, if there is one."""
    row = tables.items.pop(key, None)
    if row is None:
        return
    if row["lease"] in tables.leases:
        tables.leases[row["lease"]].keys.discard(key)
    tables.revision += 1
    _add_history(tables, {"key": key, "revision": tables.revision, "tombstone": True})


def drop_history(tables: Tables) -> None:
    """Forget all changes, as a compaction does."""
    tables.history.clear()
    tables.floor = tables.revision


def expire_leases(tables: Tables, now: float) -> None:
    """End the leases that ran out."""
    for lease in [found for found, row in tables.leases.items() if row.until <= now]:
        end_lease(tables, lease)


def end_lease(tables: Tables, lease: int) -> bool:
    """End a lease and remove its items; returns whether there was one."""
    row = tables.leases.pop(lease, None)
    for key in sorted(row.keys) if row else ():
        remove_item(tables, key)
    return row is not None


def handle_call(
    tables: Tables, now: float, method: str, path: str, query: dict[str, str], fields: Any
) -> tuple[int, dict[str, Any]]:
    """Carry out one call; a watch answers at once.

    Args:
        tables: The store's tables.
        now: Seconds of the store's clock.
        method: The HTTP method.
        path: The path.
        query: The query's fields.
        fields: The decoded body, or None.

    Returns:
        Status, or `UNANSWERED`, and answer.
    """
    refusal = admit_call(tables, now, path)
    if refusal is not None:
        return refusal, {}
    expire_leases(tables, now)
    if method == "GET":
        return read(tables, path, query)
    answer = write(tables, now, path, fields or {})
    if tables.faults.lose_answers:
        tables.faults.lose_answers -= 1
        return UNANSWERED, {}
    return answer


def admit_call(tables: Tables, now: float, path: str) -> int | None:
    """Count a call; returns the status with which it is refused, or None."""
    kind = KINDS.get(path.split("/")[2], "unknown") if path.startswith("/-/") else "unknown"
    tables.price += RENEWAL_PRICE if kind == "renew" else 1.0
    tables.counts[kind] += 1
    if int(now) != tables.second:
        tables.second = int(now)
        tables.second_counts.clear()
    side = "writes" if kind in WRITING else "reads"
    tables.second_counts[side] += 1
    tables.peak[side] = max(tables.peak[side], tables.second_counts[side])
    faults = tables.faults
    if faults.silent:
        return UNANSWERED
    if faults.refuse:
        return faults.refuse
    over = 0 < faults.calls_per_s < tables.second_counts.total()
    return 429 if over else None


def read(tables: Tables, path: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
    """Answer a reading call; a watch without changes has no events."""
    if path == "/-/kv-key":
        row = tables.items.get(query["key"])
        return (200, {**row, "store_revision": tables.revision}) if row else (404, {})
    if path == "/-/kv-range":
        keys = sorted(k for k in tables.items if k.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        rows = [tables.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": rows, "more_pages": more, "store_revision": tables.revision}
    if path == "/-/kv-watch":
        after, prefix = int(query["after"]), query["prefix"]
        if after < tables.floor and after < tables.revision:
            return 410, {}
        events = _find_events(tables, prefix, after)
        return 200, {"events": events, "store_revision": tables.revision}
    return 404, {}


def write(
    tables: Tables, now: float, path: str, fields: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    """Carry out a writing call."""
    if path == "/-/kv-txn":
        return transact(tables, fields)
    if path == "/-/kv-lease":
        tables.leases_granted += 1
        ttl_s = fields["ttl_s_time"]
        tables.leases[tables.leases_granted] = Lease(now + ttl_s, ttl_s)
        return 200, {"lease": tables.leases_granted, "ttl_s_time": ttl_s}
    name = path.rpartition("/")[2]
    lease = int(name) if name.isdecimal() else -1
    if path.startswith("/-/kv-keep/") and lease in tables.leases:
        row = tables.leases[lease]
        row.until = now + row.ttl_s
        return 200, {"ttl_s_time": row.ttl_s}
    if path.startswith("/-/kv-lease-end/") and end_lease(tables, lease):
        return 200, {}
    return 404, {}


def transact(tables: Tables, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Carry out a transaction; returns status and answer."""
    conditions, puts = body.get("precondition", []), body.get("puts", [])
    removals = body.get("remove", [])
    if len(conditions) + len(puts) + len(removals) > MAX_ENTRIES:
        return 403, {"error": "too many entries"}
    if any(key.startswith(RESERVED) for key in [*(put["key"] for put in puts), *removals]):
        return 403, {"error": "the key is the platform's"}
    current = [tables.items.get(row["key"]) for row in conditions]
    for row, found in zip(conditions, current, strict=True):
        if row["revision"] != (found["revision"] if found else 0):
            return 412, {"items": [item for item in current if item]}
    if any(put.get("lease", 0) not in (0, *tables.leases) for put in puts):
        return 404, {"error": "no such lease"}
    values = [base64.b64decode(put["value"], validate=True) for put in puts]
    if any(len(value) > MAX_VALUE_BYTES for value in values):
        return 413, {"error": "a value is too long"}
    for put, value in zip(puts, values, strict=True):
        put_item(tables, put["key"], value, put.get("lease", 0))
    for key in removals:
        remove_item(tables, key)
    return 200, {"revision": tables.revision}


def _find_events(tables: Tables, prefix: str, after: int) -> list[dict[str, Any]]:
    events = []
    for row in reversed(tables.history):  # the latest first, since a watch asks for those
        if row["revision"] <= after:
            break
        if row["key"].startswith(prefix):
            events.append(row)
    return events[::-1]


def _add_history(tables: Tables, row: dict[str, Any]) -> None:
    if len(tables.history) == HISTORY_EVENTS:
        tables.floor = max(tables.floor, tables.history[0]["revision"])
    tables.history.append(row)
