"""An in-memory fake of the platform's key-value store, with faults that tests can switch on."""

from __future__ import annotations

import base64
import copy
from collections import Counter, deque
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, urlsplit

import attrs

from magnoliasill.codes import ErrorCode
from magnoliasill.core.events import StoreAnswered, StoreEntry
from magnoliasill.errors import StoreError, StoreOutcomeUnknownError
from magnoliasill.mesh.positions import join_position
from magnoliasill.platform.store import StoreClient, StoreRequest, StoreResponse
from magnoliasill.store import build_store_function

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliasill.core.actions import StoreAction

PAGE_ITEMS = 500
MAX_HISTORY_EVENTS = 10_000
MAX_ENTRIES = 32
MAX_VALUE_BYTES = 1_048_576
RENEWAL_COST = 0.1
RESERVED_PREFIXES = ("op/", "servers/")
UNANSWERED = 0  # stands in for an HTTP status when the request gets no response
REQUEST_KINDS = {
    "kv-key": "read",
    "kv-range": "page",
    "kv-watch": "watch",
    "kv-txn": "write",
    "kv-lease": "grant",
    "kv-keep": "renew",
    "kv-lease-end": "end",
}
WRITE_KINDS = ("write", "grant", "end")  # the write rate counts these; renewals count as reads


@attrs.define
class Faults:
    """The faults that are active in the store.

    Nothing in this module waits: `late_s` and `delay_s` act only where the fake is served.

    Attributes:
        refuse: The HTTP status that every request is refused with; 0 for none.
        silent: Whether requests get no response.
        lose_answers: How many more writes take effect without a response.
        late_s: Seconds until the writes counted by `lose_answers` take effect.
        delay_s: Seconds by which each response is delayed.
        calls_per_s: Requests above this rate get 429; 0 for no limit.
    """

    refuse: int = 0
    silent: bool = False
    lose_answers: int = 0
    late_s: float = 0.0
    delay_s: float = 0.0
    calls_per_s: int = 0


@attrs.define
class Lease:
    """A lease: when it expires, its TTL in seconds and the keys that are removed with it."""

    expires_at: float
    ttl_s: float
    keys: set[str] = attrs.field(factory=set)


@attrs.define
class FakeStore:
    """The complete state of the fake store.

    Attributes:
        items: Items by key, in the form in which they are sent.
        history: Changes, in the form in which they are sent.
        compacted_revision: The oldest revision after which the history is complete.
        revision: The revision of the latest change.
        leases: Active leases by identifier.
        last_lease: The identifier of the latest lease.
        faults: The active faults.
        cost: The total cost of all requests so far.
        counts: Requests by kind, including refused ones.
        current_second: The second whose requests are counted in `second_counts`.
        second_counts: Requests in that second, by `reads` and `writes`.
        peak: The highest number of requests in one second, by `reads` and `writes`.
        era: The era of the data, which rises by one with each restoration; None for a store that
            does not tell it.
    """

    items: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    history: deque[dict[str, Any]] = attrs.field(factory=lambda: deque(maxlen=MAX_HISTORY_EVENTS))
    compacted_revision: int = 1
    revision: int = 1
    leases: dict[int, Lease] = attrs.field(factory=dict)
    last_lease: int = 1_000
    faults: Faults = attrs.field(factory=Faults)
    cost: float = 0.0
    counts: Counter[str] = attrs.field(factory=Counter)
    current_second: int = 0
    second_counts: Counter[str] = attrs.field(factory=Counter)
    peak: dict[str, int] = attrs.field(factory=lambda: {"reads": 0, "writes": 0})
    era: int | None = None


def build_local_store(
    fake_store: FakeStore, clock: Callable[[], float]
) -> Callable[[StoreAction], StoreAnswered]:
    """Return a store function that runs the real client on a fake in this process, without waits.

    Args:
        fake_store: The fake store.
        clock: The store's clock, in seconds.
    """

    def send_request(request: StoreRequest) -> StoreResponse:
        parts = urlsplit(request.path)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        status, response = handle_request(
            fake_store, clock(), request.method, parts.path, query, request.body
        )
        if status != UNANSWERED:
            return StoreResponse(status, response, format_era(fake_store))
        if request.method == "GET":
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, "no response")
        raise StoreOutcomeUnknownError(ErrorCode.STORE_OUTCOME_UNKNOWN, "no response")

    return build_store_function(StoreClient(send_request))


def apply_request(fake_store: FakeStore, now: float, action: StoreAction) -> StoreAnswered:
    """Execute one store action under the active faults; a watch does not wait.

    Args:
        fake_store: The fake store.
        now: The time in seconds on the store's clock.
        action: The store action.

    Raises:
        StoreError: If the store refused the request.
        StoreOutcomeUnknownError: If a write got no response; it may have taken effect.
    """
    return build_local_store(fake_store, lambda: now)(action)


def read_entry(fake_store: FakeStore, key: str) -> StoreEntry:
    """Return the entry of a key; an absent key has revision 0."""
    row = fake_store.items.get(key)
    if row is None:
        return StoreEntry(key, b"", 0)
    position = join_position(fake_store.era or 0, row["revision"])
    return StoreEntry(key, base64.b64decode(row["value"]), position)


def put_item(fake_store: FakeStore, key: str, value: bytes, lease: int = 0) -> int:
    """Write an item and return the new revision."""
    fake_store.revision += 1
    previous = fake_store.items.get(key)
    if previous and previous["lease"] in fake_store.leases:
        fake_store.leases[previous["lease"]].keys.discard(key)
    row = {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": fake_store.revision,
        "create_revision": previous["create_revision"] if previous else fake_store.revision,
        "lease": lease,
    }
    fake_store.items[key] = row
    _add_history(fake_store, row)
    if lease:
        fake_store.leases[lease].keys.add(key)
    return fake_store.revision


def remove_item(fake_store: FakeStore, key: str) -> None:
    """Remove the item of a key, if there is one."""
    row = fake_store.items.pop(key, None)
    if row is None:
        return
    if row["lease"] in fake_store.leases:
        fake_store.leases[row["lease"]].keys.discard(key)
    fake_store.revision += 1
    _add_history(fake_store, {"key": key, "revision": fake_store.revision, "tombstone": True})


def take_copy(fake_store: FakeStore) -> FakeStore:
    """Return a copy of the store's data as it is now."""
    return copy.deepcopy(fake_store)


def restore_copy(fake_store: FakeStore, saved: FakeStore, now: float) -> None:
    """Go back to the data of a copy; its leases run for their whole time again.

    Revisions are given out again from those of the copy on, and leases as well.

    Args:
        fake_store: The store, whose faults and counts stay as they are.
        saved: The copy, from `take_copy`.
        now: The time in seconds on the store's clock.
    """
    saved = take_copy(saved)
    fake_store.items, fake_store.history = saved.items, saved.history
    fake_store.compacted_revision, fake_store.revision = saved.compacted_revision, saved.revision
    fake_store.leases, fake_store.last_lease = saved.leases, saved.last_lease
    for lease in fake_store.leases.values():
        lease.expires_at = now + lease.ttl_s
    if fake_store.era is not None:
        fake_store.era += 1


def format_era(fake_store: FakeStore) -> str | None:
    """Return the value of the header that tells the era, or None if there is none."""
    return None if fake_store.era is None else str(fake_store.era)


def drop_history(fake_store: FakeStore) -> None:
    """Discard the whole history, as a compaction does."""
    fake_store.history.clear()
    fake_store.compacted_revision = fake_store.revision


def expire_leases(fake_store: FakeStore, now: float) -> None:
    """End every lease whose TTL has passed, which removes its items."""
    for lease in [number for number, row in fake_store.leases.items() if row.expires_at <= now]:
        end_lease(fake_store, lease)


def end_lease(fake_store: FakeStore, lease: int) -> bool:
    """End a lease and remove its items; returns whether the lease existed."""
    row = fake_store.leases.pop(lease, None)
    for key in sorted(row.keys) if row else ():
        remove_item(fake_store, key)
    return row is not None


def handle_request(
    fake_store: FakeStore, now: float, method: str, path: str, query: dict[str, str], fields: Any
) -> tuple[int, dict[str, Any]]:
    """Handle one HTTP request to the store; a watch returns at once.

    Args:
        fake_store: The fake store.
        now: The time in seconds on the store's clock.
        method: The HTTP method.
        path: The path.
        query: The query parameters.
        fields: The decoded body, or None.

    Returns:
        The status, or `UNANSWERED`, and the response body.
    """
    refused_status = admit_request(fake_store, now, path)
    if refused_status is not None:
        return refused_status, {}
    expire_leases(fake_store, now)
    if method == "GET":
        return handle_read(fake_store, path, query)
    response = handle_write(fake_store, now, path, fields or {})
    if fake_store.faults.lose_answers:
        fake_store.faults.lose_answers -= 1
        return UNANSWERED, {}
    return response


def admit_request(fake_store: FakeStore, now: float, path: str) -> int | None:
    """Count a request; returns the status (or `UNANSWERED`) that it is refused with, or None."""
    kind = REQUEST_KINDS.get(path.split("/")[2], "unknown") if path.startswith("/-/") else "unknown"
    fake_store.cost += RENEWAL_COST if kind == "renew" else 1.0
    fake_store.counts[kind] += 1
    if int(now) != fake_store.current_second:
        fake_store.current_second = int(now)
        fake_store.second_counts.clear()
    direction = "writes" if kind in WRITE_KINDS else "reads"
    fake_store.second_counts[direction] += 1
    fake_store.peak[direction] = max(
        fake_store.peak[direction], fake_store.second_counts[direction]
    )
    faults = fake_store.faults
    if faults.silent:
        return UNANSWERED
    if faults.refuse:
        return faults.refuse
    over_limit = 0 < faults.calls_per_s < fake_store.second_counts.total()
    return 429 if over_limit else None


def handle_read(
    fake_store: FakeStore, path: str, query: dict[str, str]
) -> tuple[int, dict[str, Any]]:
    """Handle a read request; a watch returns an empty list of events if nothing changed."""
    if path == "/-/kv-key":
        row = fake_store.items.get(query["key"])
        return (200, {**row, "store_revision": fake_store.revision}) if row else (404, {})
    if path == "/-/kv-range":
        keys = sorted(k for k in fake_store.items if k.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        rows = [fake_store.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": rows, "more_pages": more, "store_revision": fake_store.revision}
    if path == "/-/kv-watch":
        after, prefix = int(query["after"]), query["prefix"]
        is_compacted = after < fake_store.compacted_revision and after < fake_store.revision
        if is_compacted or after > fake_store.revision:
            return 410, {}
        events = _find_events(fake_store, prefix, after)
        return 200, {"events": events, "store_revision": fake_store.revision}
    return 404, {}


def handle_write(
    fake_store: FakeStore, now: float, path: str, fields: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    """Handle a request that changes items or leases."""
    if path == "/-/kv-txn":
        return transact(fake_store, fields)
    if path == "/-/kv-lease":
        fake_store.last_lease += 1
        ttl_s = fields["ttl_s_time"]
        fake_store.leases[fake_store.last_lease] = Lease(now + ttl_s, ttl_s)
        return 200, {"lease": fake_store.last_lease, "ttl_s_time": ttl_s}
    name = path.rpartition("/")[2]
    lease = int(name) if name.isdecimal() else -1
    if path.startswith("/-/kv-keep/") and lease in fake_store.leases:
        row = fake_store.leases[lease]
        row.expires_at = now + row.ttl_s
        return 200, {"ttl_s_time": row.ttl_s}
    if path.startswith("/-/kv-lease-end/") and end_lease(fake_store, lease):
        return 200, {}
    return 404, {}


def transact(fake_store: FakeStore, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Run a transaction; returns the status and the response body."""
    conditions, puts = body.get("precondition", []), body.get("puts", [])
    removals = body.get("remove", [])
    if len(conditions) + len(puts) + len(removals) > MAX_ENTRIES:
        return 403, {"error": "too many entries"}
    if any(key.startswith(RESERVED_PREFIXES) for key in [*(put["key"] for put in puts), *removals]):
        return 403, {"error": "the key is the platform's"}
    current = [fake_store.items.get(row["key"]) for row in conditions]
    for row, found in zip(conditions, current, strict=True):
        if row["revision"] != (found["revision"] if found else 0):
            return 412, {"items": [item for item in current if item]}
    if any(put.get("lease", 0) not in (0, *fake_store.leases) for put in puts):
        return 404, {"error": "no such lease"}
    values = [base64.b64decode(put["value"], validate=True) for put in puts]
    if any(len(value) > MAX_VALUE_BYTES for value in values):
        return 413, {"error": "a value is too long"}
    for put, value in zip(puts, values, strict=True):
        put_item(fake_store, put["key"], value, put.get("lease", 0))
    for key in removals:
        remove_item(fake_store, key)
    return 200, {"revision": fake_store.revision}


def _find_events(fake_store: FakeStore, prefix: str, after: int) -> list[dict[str, Any]]:
    events = []
    for row in reversed(fake_store.history):  # newest first: a watch asks for these
        if row["revision"] <= after:
            break
        if row["key"].startswith(prefix):
            events.append(row)
    return events[::-1]


def _add_history(fake_store: FakeStore, row: dict[str, Any]) -> None:
    if len(fake_store.history) == MAX_HISTORY_EVENTS:
        fake_store.compacted_revision = max(
            fake_store.compacted_revision, fake_store.history[0]["revision"]
        )
    fake_store.history.append(row)
