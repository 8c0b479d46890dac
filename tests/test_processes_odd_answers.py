"""Tests of a daemon of the own interface, as it is started, beside a server with odd answers.

Guards against heads that only the parser of a sidecar's process refuses.
"""

from __future__ import annotations

import socket
import tempfile
import threading
from contextlib import suppress
from pathlib import Path

import testtools
import urllib3
from testscenarios import WithScenarios

from fakes.processes import (
    HOST,
    ROOT,
    list_serving,
    post_json,
    read_version,
    run_tool,
    start_daemon,
    start_fleet,
    stop_fleet,
    wait_until,
)

from .odd_answers import BODY, LENGTH, USUAL, build_plain, name_answers

TIMEOUT_S = 60.0
PATH = "/enrolments"  # runs once at most


class RawServer:
    """A server that answers each request with the same bytes and closes the connection.

    Attributes:
        answer: The bytes.
        requests: How many requests for `PATH` it got.
        address: The `ip:port` that it listens on.
    """

    def __init__(self) -> None:
        self.answer = b""
        self.requests = 0
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with suppress(OSError):  # the listener was closed
            while True:
                connection, _ = self._listener.accept()
                with connection, suppress(OSError):
                    self.requests += f" {PATH} ".encode() in connection.recv(65_536)
                    connection.sendall(self.answer)

    def close(self) -> None:
        """Stop serving."""
        self._listener.close()


class OwnInterfaceTest(WithScenarios, testtools.TestCase):
    scenarios = name_answers(
        (
            build_plain(b"Content-Length: +31\r\n"),
            build_plain(LENGTH + b"no colon\r\n"),
            build_plain(b"X(A): 1\r\n" + LENGTH),
        )
    )

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = start_fleet(Path(folder.name))
        self.addCleanup(stop_fleet, fleet)
        self.server = RawServer()
        self.addCleanup(self.server.close)
        self.daemon = start_daemon(fleet, "a-1", "a")
        services = str(ROOT / "examples" / "ikenna" / "services")
        self.assertEqual(0, run_tool("publish", services, "--store", fleet.store_url).returncode)
        wait_until(lambda: read_version(self.daemon) == 1, TIMEOUT_S, "configuration")
        announcement = {"service": "lessons", "release": "r1", "address": self.server.address}
        post_json(self.daemon.admin, "/v1/server", {**announcement, "serving": True})
        wait_until(lambda: len(list_serving(self.daemon)) == 1, TIMEOUT_S, "announced")

    def call(self, answer: bytes, key: str) -> urllib3.BaseHTTPResponse:
        """Return what a caller gets while the server answers with some bytes."""
        self.server.answer, self.server.requests = answer, 0
        url, headers = f"http://{self.daemon.caller}{PATH}", {"Idempotency-Key": key}
        return urllib3.request("POST", url, headers=headers, body=b"", retries=False, timeout=10)

    # the head ended at the line without a colon, and the other lines were taken
    def test_an_odd_answer_is_none(self) -> None:
        response = self.call(USUAL[0].encode(), "usual")
        self.assertEqual((200, BODY), (response.status, response.data))
        response = self.call(self.answer.encode(), "odd")
        self.assertEqual((502, "MS-504"), (response.status, response.json()["code"]))
        self.assertEqual(1, self.server.requests)
