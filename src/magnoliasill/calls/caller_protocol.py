"""The caller port's HTTP protocol: rejects malformed requests with an error code in JSON."""

from __future__ import annotations

import http.client
from typing import Any

from eventlet.wsgi import HeaderLineTooLong, HeadersTooLarge

from ..codes import ErrorCode
from .error_responses import encode_error_body
from .request_protocol import RequestProtocol


class CallerProtocol(RequestProtocol):
    """Checks the request line and the body framing before a request is handled or forwarded."""

    def _read_request_line(self) -> Any:
        line = super()._read_request_line()
        if len(line) < self.server.url_length_limit:
            return line
        self._reject(414, ErrorCode.URI_TOO_LONG, f"request line exceeds {len(line) - 1} bytes")
        return b""

    def parse_request(self) -> bool:
        """Parse the request line and headers; reject headers that are too large."""
        try:
            return super().parse_request()
        except (HeaderLineTooLong, HeadersTooLarge) as error:
            self._reject(431, ErrorCode.HEADERS_TOO_LARGE, type(error).__name__)
            return False

    def reject_framing(self, problem: str) -> None:
        """Reject a request whose body length is ambiguous."""
        self._reject(400, ErrorCode.REQUEST_MALFORMED, problem)

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        """Reject a request whose request line or headers can't be parsed."""
        error = ErrorCode.HEADERS_TOO_LARGE if code == 431 else ErrorCode.REQUEST_MALFORMED
        self._reject(code, error, message or "")

    def _reject(self, status: int, code: ErrorCode, message: str) -> None:
        reason = http.client.responses.get(status, "Refused")
        body = encode_error_body(code, message)
        head = (
            f"HTTP/1.1 {status} {reason}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.wfile.write(head.encode("latin-1") + body)
        self.wfile.flush()
        self.close_connection = True
