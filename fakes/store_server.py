"""An HTTP server for the fake store, with endpoints that set its faults and read its counts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import eventlet
import eventlet.wsgi
import fire
import msgspec

from magnoliasill.platform.store_era import ERA_HEADER

from .store import (
    UNANSWERED,
    FakeStore,
    Faults,
    admit_request,
    expire_leases,
    format_era,
    handle_read,
    handle_write,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

WATCH_POLL_INTERVAL_S = 0.005
NO_RESPONSE_HOLD_S = 30.0  # how long a request without a response is held before its 503
LISTEN_BACKLOG = 512
MAX_CONCURRENT_REQUESTS = 10_000
_JSON = [("Content-Type", "application/json")]
_STATUSES = {
    200: "200 OK",
    403: "403 Forbidden",
    404: "404 Not Found",
    410: "410 Gone",
    412: "412 Precondition Failed",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


def build_application(fake_store: FakeStore) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application that serves the store and the endpoints below `/control`."""

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        query = dict(parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True))
        body = environ["wsgi.input"].read()
        if path == "/control/faults":
            fake_store.faults = msgspec.json.decode(body, type=Faults)
            status, content = 200, {}
        elif path == "/control/counts":
            status, content = 200, {"counts": fake_store.counts, "peak": fake_store.peak}
        else:
            status, content = _handle_request(
                fake_store, environ["REQUEST_METHOD"], path, query, body
            )
        if status == UNANSWERED:
            eventlet.sleep(NO_RESPONSE_HOLD_S)
            status, content = 503, {}
        era = format_era(fake_store)
        headers = _JSON if era is None else [*_JSON, (ERA_HEADER, era)]
        start_response(_STATUSES[status], headers)
        return [msgspec.json.encode(content)]

    return application


def _handle_request(
    fake_store: FakeStore, method: str, path: str, query: dict[str, str], body: bytes
) -> tuple[int, dict[str, Any]]:
    refused_status = admit_request(fake_store, time.monotonic(), path)
    if refused_status is not None:
        return refused_status, {}
    faults = fake_store.faults
    eventlet.sleep(faults.delay_s)
    expire_leases(fake_store, time.monotonic())
    if method == "GET":
        return (
            _wait_for_events(fake_store, path, query)
            if "wait_ms" in query
            else handle_read(fake_store, path, query)
        )
    fields = msgspec.json.decode(body) if body else {}
    if faults.lose_answers:
        faults.lose_answers -= 1
        eventlet.spawn_after(faults.late_s, _write_now, fake_store, path, fields)
        return UNANSWERED, {}
    return _write_now(fake_store, path, fields)


def _write_now(
    fake_store: FakeStore, path: str, fields: dict[str, Any]
) -> tuple[int, dict[str, Any]]:
    return handle_write(fake_store, time.monotonic(), path, fields)


def _wait_for_events(
    fake_store: FakeStore, path: str, query: dict[str, str]
) -> tuple[int, dict[str, Any]]:
    deadline = time.monotonic() + int(query["wait_ms"]) / 1000
    while True:
        if fake_store.faults.refuse or fake_store.faults.silent:
            return 503, {}
        expire_leases(fake_store, time.monotonic())
        status, content = handle_read(fake_store, path, query)
        if status != 200 or content["events"] or time.monotonic() >= deadline:
            return status, content
        eventlet.sleep(WATCH_POLL_INTERVAL_S)


def serve(port: int, host: str = "127.0.0.1") -> None:
    """Serve until a signal ends the process."""
    listener = eventlet.listen((host, port), backlog=LISTEN_BACKLOG)
    application = build_application(FakeStore())
    eventlet.wsgi.server(
        listener, application, log_output=False, max_size=MAX_CONCURRENT_REQUESTS, debug=False
    )


if __name__ == "__main__":
    eventlet.monkey_patch()
    fire.Fire(serve)
