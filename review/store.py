"""A stand-in of the platform's store, by PROTOCOL.md, with the drill of the later letter.

In a drill the store is away for a moment and comes back from a copy that is some seconds old. What
the operator wrote since is written again by whoever stands in for the operator.
"""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from .http1 import MessageError, encode_message, read_body, read_head

TICK_S = 0.005
RESERVED = ("op/", "servers/")
REASONS = {
    200: "OK",
    403: "Forbidden",
    404: "Not Found",
    410: "Gone",
    412: "Precondition Failed",
    503: "Service Unavailable",
}


@dataclass
class Lease:
    """A lease and the keys that end with it."""

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass
class Data:
    """What the store holds, and what a copy of it contains."""

    revision: int = 1
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    history: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)


class Store:
    """Serves the store on one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.data = Data()
        self.era = 1
        self.next_lease = 1_000  # never given out again, also after a drill
        self.away = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to serve."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 21)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item, as the operator or the platform does; return its revision."""
        data = self.data
        data.revision += 1
        known = data.items.get(key)
        if known and known["lease"] in data.leases:
            data.leases[known["lease"]].keys.discard(key)
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": data.revision,
            "create_revision": known["create_revision"] if known else data.revision,
            "lease": lease,
        }
        data.items[key] = row
        data.history.append(row)
        if lease:
            data.leases[lease].keys.add(key)
        return data.revision

    def _remove(self, key: str) -> None:
        data = self.data
        row = data.items.pop(key, None)
        if row is None:
            return
        if row["lease"] in data.leases:
            data.leases[row["lease"]].keys.discard(key)
        data.revision += 1
        data.history.append({"key": key, "revision": data.revision, "tombstone": True})

    def take_copy(self) -> Data:
        """Return a copy of all that the store holds now."""
        return copy.deepcopy(self.data)

    def go_away(self) -> None:
        """Stop answering and cut all connections."""
        self.away = True
        for writer in list(self._writers):
            writer.close()

    def come_back(self, data: Data) -> None:
        """Answer again, from a copy; its leases run for their whole time from now on."""
        self.data = data
        for lease in data.leases.values():
            lease.expires_at = time.monotonic() + lease.ttl_s
        self.era += 1
        self.away = False

    def _expire(self) -> None:
        now = time.monotonic()
        for number, lease in list(self.data.leases.items()):
            if lease.expires_at <= now:
                self._end_lease(number)

    def _end_lease(self, number: int) -> bool:
        lease = self.data.leases.pop(number, None)
        for key in sorted(lease.keys) if lease else ():
            self._remove(key)
        return lease is not None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self.away and (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                method, target, _ = head.line.split(" ")
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                status, content = await self._handle(method, parts.path, query, body)
                if self.away:
                    break
                headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                line = f"HTTP/1.1 {status} {REASONS[status]}"
                writer.write(encode_message(line, headers, json.dumps(content).encode()))
                await writer.drain()
        except (OSError, MessageError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        self._expire()
        if path == "/-/kv-watch":
            return await self._watch(query)
        data = self.data
        if path == "/-/kv-key":
            row = data.items.get(query["key"])
            return (200, {**row, "store_revision": data.revision}) if row else (404, {})
        if path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in data.items if k.startswith(query["prefix"]) and k > after)
            rows = [data.items[key] for key in keys[:500]]
            return 200, {
                "items": rows,
                "more_pages": len(keys) > 500,
                "store_revision": data.revision,
            }
        fields = json.loads(body) if body else {}
        if path == "/-/kv-txn":
            return self._transact(fields)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl_s = float(fields["ttl_s_time"])
            data.leases[self.next_lease] = Lease(ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": self.next_lease, "ttl_s_time": ttl_s}
        number = int(path.rpartition("/")[2] or 0)
        if path.startswith("/-/kv-keep/") and number in data.leases:
            lease = data.leases[number]
            lease.expires_at = time.monotonic() + lease.ttl_s
            return 200, {"ttl_s_time": lease.ttl_s}
        if path.startswith("/-/kv-lease-end/") and self._end_lease(number):
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while not self.away:
            self._expire()
            data = self.data
            if after > data.revision:  # a revision that the store doesn't have
                return 410, {}
            events = [
                row
                for row in data.history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "store_revision": data.revision}
            await asyncio.sleep(TICK_S)
        return 503, {}

    def _transact(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        data, puts, removals = self.data, fields.get("puts", []), fields.get("remove", [])
        rows = fields.get("precondition", [])
        if any(key.startswith(RESERVED) for key in [*(put["key"] for put in puts), *removals]):
            return 403, {}
        current = [data.items.get(row["key"]) for row in rows]
        for row, found in zip(rows, current, strict=True):
            if row["revision"] != (found["revision"] if found else 0):
                return 412, {"items": [item for item in current if item]}
        if any((put.get("lease") or 0) not in (0, *data.leases) for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease") or 0)
        for key in removals:
            self._remove(key)
        return 200, {"revision": data.revision}
