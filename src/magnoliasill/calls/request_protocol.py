"""Serves HTTP within limits and drops requests whose connection ends within their head."""

from __future__ import annotations

from typing import Any

import eventlet
from eventlet.hubs import get_hub
from eventlet.support import get_errno
from eventlet.wsgi import BAD_SOCK, BROKEN_SOCK, HttpProtocol

from .client_connections import ClientConnections, close_socket
from .line_reader import LineReader, TruncatedLineError
from .request_bodies import MAX_DISCARDED_BYTES, RequestBody

HEAD_TIMEOUT_S = 10.0  # from the first byte of a request's head to its last
LINE_OVERHEAD_BYTES = 64  # of the objects that keep a line of a head
HEAD_END = b"\r\n\r\n"
CHUNKED = "chunked"


class RequestProtocol(HttpProtocol):
    """Closes the connection without a response if a request's head is cut, since it was not whole.

    The chunked framing of its body is checked in the same way while the body is read.

    Attributes:
        clients: Enforces the budgets for clients; shared by all ports of a process.
        client: This connection, as the budgets count it.
    """

    clients = ClientConnections()

    def setup(self) -> None:
        """Prepare the connection's streams, with every line of a request checked for its end."""
        super().setup()
        self.rfile = self._lines = LineReader(self.rfile)
        self._head_timer: Any = None
        self._has_body_bytes = False
        self.client = self.clients.open(self.connection)

    def finish(self) -> None:
        """Close the connection and stop counting it."""
        self.stop_head_timer()
        self.clients.close(self.client)
        super().finish()

    def get_head_timeout_s(self) -> float:
        """Return how many seconds a request's head may take from its first byte to its last."""
        return HEAD_TIMEOUT_S

    def _read_request_line(self) -> Any:
        """Read a request line; the time for the head counts from its first byte.

        Replaces the method of the base class, which limits only the time between two bytes.
        """
        sock, keepalive = self.connection, self.server.keepalive
        if keepalive and not isinstance(keepalive, bool):
            sock.settimeout(keepalive)
        try:
            data = self.rfile.peek(1)
            sock.settimeout(self.server.socket_timeout)
            head_end = data.find(HEAD_END)
            self._has_body_bytes = 0 <= head_end < len(data) - len(HEAD_END)
            if data and head_end < 0:
                self._begin_slow_head()
            return self.rfile.readline(self.server.url_length_limit)
        except TruncatedLineError:
            return b""
        except OSError as error:
            if get_errno(error) in BROKEN_SOCK or get_errno(error) in BAD_SOCK:
                return b""
            raise

    def _begin_slow_head(self) -> None:
        """Count what arrives of a head that is not complete yet, and limit its time."""
        self.stop_head_timer()
        seconds = self.get_head_timeout_s()
        self._head_timer = get_hub().schedule_call_global(seconds, self._expire_head)
        self.clients.begin_head(self.client)
        self._lines.observe = self._hold_line

    def _expire_head(self) -> None:
        self._head_timer = None
        self.end_late_head()

    def end_late_head(self) -> None:
        """Close the connection, since a request's head has not arrived in time."""
        self.clients.turn_away("head_time")
        close_socket(self.connection)

    def _hold_line(self, length: int) -> None:
        self.clients.hold(self.client, length + LINE_OVERHEAD_BYTES)
        if self.clients.is_crowded():
            eventlet.sleep(0)
        if self.client.closed_for:
            raise TruncatedLineError(f"closed: {self.client.closed_for}")

    def stop_head_timer(self) -> None:
        """Stop limiting the time of a head, which has arrived or was given up."""
        timer, self._head_timer = self._head_timer, None
        if timer is not None:
            timer.cancel()
        if self._lines.observe is not None:
            self._lines.observe = None
            self.clients.end_head(self.client)

    def parse_request(self) -> bool:
        """Parse the request line and the headers; return False if the request is dropped.

        A request whose body length is ambiguous is rejected: the body can't be distinguished from
        the request that follows it.
        """
        try:
            if not super().parse_request():
                return False
        except TruncatedLineError:
            self.close_connection = True
            return False
        finally:
            self.stop_head_timer()
        problem = find_framing_problem(self.headers)
        if problem:
            self.clients.turn_away("framing")
            self.reject_framing(problem)
        return not problem

    def reject_framing(self, problem: str) -> None:
        """Answer a request whose body length is ambiguous and close the connection."""
        body = problem.encode("latin-1", "replace")
        head = f"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: {len(body)}"
        self.wfile.write(head.encode() + HEAD_END + body)
        self.wfile.flush()
        self.close_connection = True

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with an input stream that is bounded."""
        environ: dict[str, Any] = super().get_environ()
        body = RequestBody(
            environ["wsgi.input"], self.server.socket_timeout, self.clients, self.client
        )
        body.is_buffered = self._has_body_bytes
        environ["wsgi.input"] = environ["eventlet.input"] = body
        environ["eventlet.posthooks"].append((body.end, (), {}))
        return environ

    def handle_one_response(self) -> None:
        """Answer a request; tell the client if the connection is closed for the rest of its body.

        A client that is not told may send the next request on the connection.
        """
        body = self.environ["eventlet.input"]
        if body.chunked_input or body.content_length > MAX_DISCARDED_BYTES:
            self.application = self._run_with_long_body
        super().handle_one_response()

    def _run_with_long_body(self, environ: dict[str, Any], start_response: Any) -> Any:
        def start(status: str, headers: list[tuple[str, str]], *details: Any) -> Any:
            if environ["eventlet.input"].exceeds_discard():
                self.close_connection = True
            return start_response(status, headers, *details)

        return self.server.app(environ, start)


def find_framing_problem(headers: Any) -> str:
    """Return why the length of a request's body is ambiguous, or an empty string."""
    lengths = headers.get_all("content-length") or []
    encodings = headers.get_all("transfer-encoding") or []
    if len(lengths) + len(encodings) > 1:
        return "more than one Content-Length or Transfer-Encoding header"
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        return f"invalid Content-Length: {lengths[0][:40]!r}"
    if encodings and encodings[0].strip().lower() != CHUNKED:
        return f"unsupported Transfer-Encoding: {encodings[0][:40]!r}"
    return ""
