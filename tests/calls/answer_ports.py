"""The ports that read answers, each as the tests ask it."""

from __future__ import annotations

import http.client
import io
from time import monotonic
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest import mock

import eventlet
import testtools
from testscenarios import WithScenarios

from magnoliasill.calls.connections import ConnectionPool
from magnoliasill.calls.exchange import exchange_call
from magnoliasill.core.outcomes import OutcomeKind
from magnoliasill.errors import AdministrationError, StoreError
from magnoliasill.platform.store import connect_client
from magnoliasill.sidecar.bodies import LongBody
from magnoliasill.sidecar.header_parser import parse_head
from magnoliasill.sidecar.http_exchange import BrokenError, Message, NotSentError, exchange
from magnoliasill.sidecar.member_requests import request_from_member
from magnoliasill.sidecar.metrics import Meters
from magnoliasill.tool.client import read_daemon

from ..http_helpers import read_request, serve_bytes
from ..odd_answers import BODY

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_S = 10.0


def serve_answer(answer: bytes) -> str:
    """Answer each request with some bytes, then close; return `ip:port`."""

    def handle(sock: Any) -> None:
        read_request(sock)
        sock.sendall(answer)
        eventlet.sleep(0.05)

    return serve_bytes(handle)


def ask_server(address: str) -> tuple[int, bytes] | None:
    """Return the status and body that a gate or server answers, or None."""
    message = Message("GET", "/x", [("Host", "x")], None)
    try:
        reply = exchange(ConnectionPool(), address, message, monotonic() + TIMEOUT_S, False)
    except BrokenError:
        return None
    return reply.status, reply.body


def ask_for_body(address: str) -> tuple[int, bytes] | None:
    """Return the same where a long body is sent only once it is asked for."""
    body = LongBody(b"x" * 10, io.BytesIO(b"y" * 10), 20, 100)
    message = Message("POST", "/x", [("Host", "x")], body, expects_continue=True)
    try:
        reply = exchange(ConnectionPool(), address, message, monotonic() + TIMEOUT_S, False)
    except (BrokenError, NotSentError):
        return None
    return reply.status, reply.body


def ask_member(address: str) -> tuple[int, bytes] | None:
    """Return the same for what another sidecar answers."""
    sidecar: Any = SimpleNamespace(
        control_connections=ConnectionPool(), clock=monotonic, meters=Meters()
    )
    member: Any = SimpleNamespace(gate=address)
    answer = request_from_member(sidecar, member, "/x", TIMEOUT_S, dict)
    return None if answer is None else (200, BODY)


def ask_store(address: str) -> tuple[int, bytes] | None:
    """Return the same for what the store answers."""
    try:
        page = connect_client(address, TIMEOUT_S).read_page("")
    except StoreError:
        return None
    return (200, BODY) if page.revision == 7 else None


def ask_own_interface(address: str) -> tuple[int, bytes] | None:
    """Return the same for a backend server of the own interface."""
    call: Any = SimpleNamespace(
        method="GET", target="/x", headers={"Host": "x"}, body=None, new_connection=False
    )
    result = exchange_call(ConnectionPool(), address, call, TIMEOUT_S)
    if result.kind is not OutcomeKind.SUCCEEDED:
        return None
    return result.response.status, result.response.body


def ask_daemon(address: str) -> tuple[int, bytes] | None:
    """Return the same for what a daemon answers to the operators' tool."""
    try:
        report = read_daemon(address, "/v1/state", dict)
    except AdministrationError:
        return None
    return (200, BODY) if report["store_revision"] == 7 else None


class PortCase(WithScenarios, testtools.TestCase):
    """A port that reads answers, in a process as its daemon starts it.

    Only a sidecar replaces the header parser of the standard library.
    """

    scenarios = [
        (ask.__name__, {"ask": ask, "parse": parse})
        for ask, parse in (
            *((ask, parse_head) for ask in (ask_server, ask_for_body, ask_member, ask_store)),
            (ask_own_interface, http.client.parse_headers),
            (ask_daemon, http.client.parse_headers),
        )
    ]
    ask: Callable[[str], tuple[int, bytes] | None]
    parse: Callable[..., http.client.HTTPMessage]

    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(http.client, "parse_headers", self.parse)
        patch.start()
        self.addCleanup(patch.stop)
