"""Serves `GET /where` on the metrics port, to clients on this VM only."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from ..codes import ErrorCode
from ..errors import CallError, MessageError
from .protocol import list_headers
from .where import Question, find_destination

if TYPE_CHECKING:
    from .state import Sidecar

WHERE_PATH = "/where"
MAX_COUNT = 1_000  # choices for one question; 10 to 18 ms with 3 servers a service
MAX_FIELDS = 4


def answer_where(sidecar: Sidecar, environ: dict[str, Any]) -> tuple[str, bytes]:
    """Return the status and the JSON body of the response to a question where a request would go.

    Args:
        sidecar: The sidecar's state.
        environ: The WSGI environment.
    """
    if not _is_on_this_vm(sidecar, environ.get("REMOTE_ADDR", "")):
        message = "only clients on this VM are answered"
        return "403 Forbidden", _encode_error(ErrorCode.REQUEST_INVALID, message)
    if environ["REQUEST_METHOD"] != "GET":
        message = "only GET is possible here"
        return "405 Method Not Allowed", _encode_error(ErrorCode.METHOD_UNKNOWN, message)
    try:
        question = _read_question(environ)
        return "200 OK", msgspec.json.encode(find_destination(sidecar, question))
    except MessageError as error:
        return "400 Bad Request", _encode_error(error.code, error.message)
    except CallError as error:
        advice = "give the file of a valid key (--key-file)"
        return "401 Unauthorized", _encode_error(
            ErrorCode.REQUEST_INVALID, f"{error.code.value}: {error.message}", advice
        )


def _is_on_this_vm(sidecar: Sidecar, client: str) -> bool:
    settings = sidecar.settings
    own = {address.rpartition(":")[0] for address in (settings.gate, settings.metrics)}
    try:
        address = ip_address(client)
    except ValueError:
        return False
    mapped = getattr(address, "ipv4_mapped", None) or address
    return mapped.is_loopback or str(mapped) in own


def _read_question(environ: dict[str, Any]) -> Question:
    """Return the request that a question is about.

    Raises:
        MessageError: If the question is malformed.
    """
    try:
        fields = parse_qs(environ.get("QUERY_STRING", ""), True, max_num_fields=MAX_FIELDS)
    except ValueError as error:
        raise _refuse("it has too many fields") from error
    unknown = fields.keys() - {"method", "host", "path", "count"}
    if unknown or any(len(values) != 1 for values in fields.values()):
        raise _refuse("give method, host, path and count, each once")
    values = {name: found[0] for name, found in fields.items()}
    method, path, count = values.get("method", ""), values.get("path", ""), values.get("count", "1")
    if not (method.isascii() and method.isalpha()):
        raise _refuse("method is not an HTTP method")
    if not values.get("host") or not path.startswith("/"):
        raise _refuse("host is empty, or path does not begin with /")
    if not (count.isascii() and count.isdigit() and 0 < int(count[:9]) <= MAX_COUNT):
        raise _refuse(f"count is not between 1 and {MAX_COUNT}")
    return Question(method.upper(), values["host"], path, int(count), list_headers(environ))


def _refuse(message: str) -> MessageError:
    return MessageError(ErrorCode.REQUEST_INVALID, message)


def _encode_error(code: ErrorCode, message: str, advice: str = "") -> bytes:
    return msgspec.json.encode({"code": code.value, "message": message, "advice": advice})
