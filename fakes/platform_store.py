"""A stand-in of the users' platform's store, speaking its published protocol, with its faults."""

from __future__ import annotations

import base64
import time
from collections import deque
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import attrs
import eventlet
import eventlet.wsgi
import fire
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

PAGE_ITEMS = 500
HISTORY_EVENTS = 10_000
WATCH_POLL_S = 0.005
HANG_S = 30.0
MAX_ENTRIES = 32
RENEWAL_PRICE = 0.1
_JSON = [("Content-Type", "application/json")]
_STATUSES = {
    200: "200 OK",
    403: "403 Forbidden",
    404: "404 Not Found",
    410: "410 Gone",
    412: "412 Precondition Failed",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}
RESERVED = ("op/", "servers/")


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
class Tables:
    """Everything that the store holds.

    Attributes:
        items: Rows by key, as they are sent.
        history: Changes, as they are sent.
        floor: The oldest revision after which the history is whole.
        revision: Counts changes.
        leases: End, length and keys of each lease.
        faults: What is wrong at present.
        price: What all calls so far have cost.
        second: The second whose calls are counted, and their number.
    """

    items: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    history: deque[dict[str, Any]] = attrs.field(factory=lambda: deque(maxlen=HISTORY_EVENTS))
    floor: int = 1
    revision: int = 1
    leases: dict[int, list[Any]] = attrs.field(factory=dict)
    faults: Faults = attrs.field(factory=Faults)
    price: float = 0.0
    second: tuple[int, int] = (0, 0)


def put_item(tables: Tables, key: str, value: bytes, lease: int = 0) -> int:
    """Write an item; returns the revision."""
    tables.revision += 1
    known = tables.items.get(key)
    if known and known["lease"] in tables.leases:
        tables.leases[known["lease"]][2].discard(key)
    row = {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": tables.revision,
        "create_revision": known["create_revision"] if known else tables.revision,
        "lease": lease,
    }
    tables.items[key] = row
    tables.history.append(row)
    if lease:
        tables.leases[lease][2].add(key)
    return tables.revision


def remove_item(tables: Tables, key: str) -> None:
    """Remove an item, if there is one."""
    row = tables.items.pop(key, None)
    if row is None:
        return
    if row["lease"] in tables.leases:
        tables.leases[row["lease"]][2].discard(key)
    tables.revision += 1
    tables.history.append({"key": key, "revision": tables.revision, "tombstone": True})


def drop_history(tables: Tables) -> None:
    """Forget all changes, as a compaction does."""
    tables.history.clear()
    tables.floor = tables.revision


def expire_leases(tables: Tables, now: float) -> None:
    """End the leases that ran out."""
    for lease in [found for found, row in tables.leases.items() if row[0] <= now]:
        end_lease(tables, lease)


def end_lease(tables: Tables, lease: int) -> bool:
    """End a lease and remove its items; returns whether there was one."""
    row = tables.leases.pop(lease, None)
    for key in sorted(row[2]) if row else ():
        remove_item(tables, key)
    return row is not None


def transact(tables: Tables, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Carry out a transaction; returns status and answer."""
    conditions, puts = body.get("precondition", []), body.get("puts", [])
    removals = body.get("remove", [])
    if len(conditions) + len(puts) + len(removals) > MAX_ENTRIES:
        return 403, {"error": "too many entries"}
    if any(put["key"].startswith(RESERVED) for put in puts):
        return 403, {"error": "the key is the platform's"}
    current = [tables.items.get(row["key"]) for row in conditions]
    for row, found in zip(conditions, current, strict=True):
        if row["revision"] != (found["revision"] if found else 0):
            return 412, {"items": [item for item in current if item]}
    if any(put.get("lease", 0) not in (0, *tables.leases) for put in puts):
        return 404, {"error": "no such lease"}
    for put in puts:
        value = base64.b64decode(put["value"], validate=True)
        put_item(tables, put["key"], value, put.get("lease", 0))
    for key in removals:
        remove_item(tables, key)
    return 200, {"revision": tables.revision}


def build_application(tables: Tables) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the store."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        query = {
            name: values[0]
            for name, values in parse_qs(
                environ.get("QUERY_STRING", ""), keep_blank_values=True
            ).items()
        }
        body = environ["wsgi.input"].read()
        status, answer = _handle(tables, method, path, query, body)
        if status == 0:
            eventlet.sleep(HANG_S)
            status, answer = 503, {}
        start_response(_STATUSES[status], _JSON)
        return [msgspec.json.encode(answer)]

    return application


def _handle(
    tables: Tables, method: str, path: str, query: dict[str, str], body: bytes
) -> tuple[int, dict[str, Any]]:
    faults = tables.faults
    tables.price += RENEWAL_PRICE if path.startswith("/-/kv-keep/") else 1.0
    if faults.silent:
        return 0, {}
    if faults.refuse or _is_over_rate(tables):
        return faults.refuse or 429, {}
    eventlet.sleep(faults.delay_s)
    expire_leases(tables, time.monotonic())
    if method == "GET":
        return _read(tables, path, query)
    fields = msgspec.json.decode(body) if body else {}
    if faults.lose_answers:
        faults.lose_answers -= 1
        eventlet.spawn_after(faults.late_s, _write, tables, path, fields)
        return 0, {}
    return _write(tables, path, fields)


def _is_over_rate(tables: Tables) -> bool:
    second, count = tables.second
    now = int(time.monotonic())
    tables.second = (now, count + 1 if now == second else 1)
    return 0 < tables.faults.calls_per_s < tables.second[1]


def _read(tables: Tables, path: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
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
        return _watch(tables, query)
    return 404, {}


def _watch(tables: Tables, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
    after, prefix = int(query["after"]), query["prefix"]
    until = time.monotonic() + int(query["wait_ms"]) / 1000
    while True:
        if after < tables.floor and after < tables.revision:
            return 410, {}
        if tables.faults.refuse or tables.faults.silent:
            return 503, {}
        expire_leases(tables, time.monotonic())
        found = [
            row
            for row in tables.history
            if row["revision"] > after and row["key"].startswith(prefix)
        ]
        if found or time.monotonic() >= until:
            return 200, {"events": found, "store_revision": tables.revision}
        eventlet.sleep(WATCH_POLL_S)


def _write(tables: Tables, path: str, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    now = time.monotonic()
    if path == "/-/kv-txn":
        return transact(tables, fields)
    if path == "/-/kv-lease":
        lease = 1000 + len(tables.leases) + tables.revision * 100
        tables.leases[lease] = [now + fields["ttl_s_time"], fields["ttl_s_time"], set()]
        return 200, {"lease": lease, "ttl_s_time": fields["ttl_s_time"]}
    lease = int(path.rpartition("/")[2]) if path.rpartition("/")[2].isdecimal() else -1
    if path.startswith("/-/kv-keep/") and lease in tables.leases:
        row = tables.leases[lease]
        row[0] = now + row[1]
        return 200, {"ttl_s_time": row[1]}
    if path.startswith("/-/kv-lease-end/") and end_lease(tables, lease):
        return 200, {}
    return 404, {}


def serve(port: int, host: str = "127.0.0.1") -> None:
    """Serve until a signal ends the process."""
    listener = eventlet.listen((host, port))
    eventlet.wsgi.server(listener, build_application(Tables()), log_output=False, debug=False)


if __name__ == "__main__":
    eventlet.monkey_patch()
    fire.Fire(serve)
