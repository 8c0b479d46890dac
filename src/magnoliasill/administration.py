"""The administration port: health, metrics, the state dump and the server's announcement."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from .dispatch import list_entries
from .events import ServerAnnounced
from .metrics import format_metrics

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .events import Event
    from .proxy import Proxy

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4"
MAX_BODY_BYTES = 65_536


@attrs.frozen
class Reply:
    """Status line, content type and body of an answer."""

    status: str
    content_type: str
    body: bytes


def build_administration(
    proxy: Proxy, submit: Callable[[Event], None]
) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of the administration port.

    Args:
        proxy: The daemon's serving state.
        submit: Passes an event to the engine.
    """

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        reply = _answer(proxy, submit, environ)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(reply.status, headers)
        return [reply.body]

    return application


def dump_state(proxy: Proxy) -> dict[str, Any]:
    """Return the state of the daemon as plain data."""
    node = proxy.node
    applied = node.configuration.applied
    return {
        "own": attrs.asdict(node.own),
        "version": node.configuration.version,
        "applied_at": node.configuration.applied_at,
        "head": attrs.asdict(applied.head) if applied is not None else None,
        "members": [attrs.asdict(member.record) for member in node.members.values()],
        "relay_slot": node.relay.slot,
        "store_available": node.store_available,
        "open_calls": proxy.open_calls,
        "upstreams": [attrs.asdict(entry) for entry in list_entries(proxy.dispatcher)],
    }


def _answer(proxy: Proxy, submit: Callable[[Event], None], environ: dict[str, Any]) -> Reply:
    match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
        case "GET", "/healthz":
            return Reply("200 OK", JSON_TYPE, b'{"status":"ok"}')
        case "GET", "/readyz":
            ready = proxy.node.configuration.applied is not None and not proxy.stopping
            status = "200 OK" if ready else "503 Service Unavailable"
            return Reply(status, JSON_TYPE, msgspec.json.encode({"ready": ready}))
        case "GET", "/metrics":
            return Reply("200 OK", TEXT_TYPE, format_metrics(proxy.metrics))
        case "GET", "/v1/state":
            return Reply("200 OK", JSON_TYPE, msgspec.json.encode(dump_state(proxy)))
        case "POST", "/v1/server":
            return _announce(submit, environ)
    return Reply("404 Not Found", JSON_TYPE, b'{"error":"unknown path"}')


def _announce(submit: Callable[[Event], None], environ: dict[str, Any]) -> Reply:
    length = min(int(environ.get("CONTENT_LENGTH") or 0), MAX_BODY_BYTES)
    try:
        event = msgspec.json.decode(environ["wsgi.input"].read(length), type=ServerAnnounced)
    except msgspec.MsgspecError as error:
        body = msgspec.json.encode({"error": str(error)})
        return Reply("400 Bad Request", JSON_TYPE, body)
    submit(event)
    return Reply("200 OK", JSON_TYPE, b"{}")
