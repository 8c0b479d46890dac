"""Recognises requests during which backend servers end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..calls.crash_table import compute_fingerprint
from .bodies import MAX_BUFFERED_BYTES, LongBody

if TYPE_CHECKING:
    from .http_exchange import Message

UNKNOWN_LENGTH = -1  # of a body in chunks


def fingerprint_request(service: str, message: Message) -> bytes:
    """Return a hash that identifies equal requests to a service, whatever their identifiers.

    Of a long body only the length and the buffered beginning count.

    Args:
        service: The service that the request is for.
        message: The HTTP request.
    """
    host = next((value for name, value in message.headers if name.lower() == "host"), "")
    target = f"{service} {host.lower()}{message.target}"
    return compute_fingerprint(message.method, target, _sample_body(message.body))


def _sample_body(body: bytes | LongBody | None) -> bytes:
    if isinstance(body, LongBody):
        length = UNKNOWN_LENGTH if body.length is None else body.length
        return length.to_bytes(8, signed=True) + body.first_bytes[:MAX_BUFFERED_BYTES]
    return body or b""
