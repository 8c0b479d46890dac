"""The caller port's HTTP protocol: rejects malformed requests with an error code in JSON."""

from __future__ import annotations

import http.client
from typing import Any

from eventlet.wsgi import HeaderLineTooLong, HeadersTooLarge

from ..codes import ErrorCode
from .error_responses import encode_error_body
from .request_protocol import RequestProtocol

CHUNKED = "chunked"


class CallerProtocol(RequestProtocol):
    """Checks the request line and the body framing before a request is handled or forwarded."""

    def _read_request_line(self) -> Any:
        line = super()._read_request_line()
        if len(line) < self.server.url_length_limit:
            return line
        self._reject(414, ErrorCode.URI_TOO_LONG, f"request line exceeds {len(line) - 1} bytes")
        return b""

    def parse_request(self) -> bool:
        """Parse the request line and headers; reject a request whose body length is ambiguous.

        Without a clear length, the body can't be distinguished from the request that follows it.
        """
        try:
            if not super().parse_request():
                return False
        except (HeaderLineTooLong, HeadersTooLarge) as error:
            self._reject(431, ErrorCode.HEADERS_TOO_LARGE, type(error).__name__)
            return False
        problem = _find_framing_problem(self.headers)
        if problem:
            self._reject(400, ErrorCode.REQUEST_MALFORMED, problem)
        return not problem

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


def _find_framing_problem(headers: Any) -> str:
    lengths = headers.get_all("content-length") or []
    encodings = headers.get_all("transfer-encoding") or []
    if len(lengths) + len(encodings) > 1:
        return "more than one Content-Length or Transfer-Encoding header"
    if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
        return f"invalid Content-Length: {lengths[0][:40]!r}"
    if encodings and encodings[0].strip().lower() != CHUNKED:
        return f"unsupported Transfer-Encoding: {encodings[0][:40]!r}"
    return ""
