"""The store stand-in as a process: HTTP in front of the tables."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import attrs
import eventlet
import eventlet.wsgi
import fire
import msgspec

from magnoliasill.actions import StoreWatch
from magnoliasill.errors import StoreError, StoreOutcomeUnknownError
from magnoliasill.store import STORE_PATHS

from .store import StoreFaults, StoreTables, apply_request, expire_leases, read_entry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from magnoliasill.events import StoreAnswered

WATCH_POLL_S = 0.01
LOST_ANSWER_HANG_S = 30.0
LISTEN_BACKLOG = 512
MAX_CONCURRENT = 10_000
_KINDS = {path: kind for kind, path in STORE_PATHS.items()}
_JSON = [("Content-Type", "application/json")]


def build_application(tables: StoreTables) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the store and of its fault control."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        path = environ["PATH_INFO"]
        if path == "/control/faults":
            tables.faults = msgspec.json.decode(body, type=StoreFaults)
            start_response("200 OK", _JSON)
            return [b"{}"]
        if path == "/control/counts":
            start_response("200 OK", _JSON)
            return [msgspec.json.encode({"counts": tables.counts, "peak": tables.peak})]
        try:
            answer = _answer(tables, path, body)
        except StoreOutcomeUnknownError:
            eventlet.sleep(LOST_ANSWER_HANG_S)
            start_response("503 Service Unavailable", _JSON)
            return [b"{}"]
        except StoreError as error:
            start_response("503 Service Unavailable", _JSON)
            return [msgspec.json.encode({"error": str(error)})]
        start_response("200 OK", _JSON)
        return [msgspec.json.encode(answer)]

    return application


def _answer(tables: StoreTables, path: str, body: bytes) -> StoreAnswered:
    action = msgspec.json.decode(body, type=_KINDS[path])
    answer = apply_request(tables, time.monotonic(), action)
    if tables.faults.delay_ms:
        eventlet.sleep(tables.faults.delay_ms / 1000)
    if isinstance(action, StoreWatch):
        return _wait_for_change(tables, action, answer)
    return answer


def _wait_for_change(
    tables: StoreTables, action: StoreWatch, answer: StoreAnswered
) -> StoreAnswered:
    until = time.monotonic() + action.wait_ms / 1000
    while time.monotonic() < until and not tables.faults.outage:
        expire_leases(tables, time.monotonic())
        entry = read_entry(tables, action.key)
        if entry.revision > action.after_revision:
            return attrs.evolve(answer, entries=(entry,), revision=tables.revision)
        eventlet.sleep(WATCH_POLL_S)
    return attrs.evolve(answer, entries=(read_entry(tables, action.key),))


def serve(port: int, host: str = "127.0.0.1") -> None:
    """Serve until a signal ends the process."""
    listener = eventlet.listen((host, port), backlog=LISTEN_BACKLOG)
    application = build_application(StoreTables())
    eventlet.wsgi.server(
        listener, application, log_output=False, max_size=MAX_CONCURRENT, debug=False
    )


if __name__ == "__main__":
    eventlet.monkey_patch()
    fire.Fire(serve)
