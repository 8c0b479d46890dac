"""Serves HTTP and drops requests whose connection ends within their head."""

from __future__ import annotations

from typing import Any

from eventlet.wsgi import HttpProtocol

from .line_reader import LineReader, TruncatedLineError


class RequestProtocol(HttpProtocol):
    """Closes the connection without a response if a request's head is cut, since it was not whole.

    The chunked framing of its body is checked in the same way while the body is read.
    """

    def setup(self) -> None:
        """Prepare the connection's streams, with every line of a request checked for its end."""
        super().setup()
        self.rfile = LineReader(self.rfile)

    def _read_request_line(self) -> Any:
        try:
            return super()._read_request_line()
        except TruncatedLineError:
            return b""

    def parse_request(self) -> bool:
        """Parse the request line and the headers; return False if the request is dropped."""
        try:
            return super().parse_request()
        except TruncatedLineError:
            self.close_connection = True
            return False
