"""Decodes the heartbeats that a backend server sends to its sidecar's control port."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json, describe_value
from ..errors import MessageError
from ..mesh.backend import Heartbeat
from ..mesh.fields import MAX_COUNT, MAX_SLOTS, is_name

INSTANCE_PATH = "/-/instances/"
ACKNOWLEDGEMENT = b"{}"
_LEAVING_BY_STATE = {"ready": False, "draining": True}
MAX_COLD_S = 86_400.0


def parse_instance_path(path: str) -> str:
    """Return the instance identifier in a request path, or an empty string if there is none."""
    if not path.startswith(INSTANCE_PATH):
        return ""
    return unquote(path[len(INSTANCE_PATH) :])


def decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Decode the JSON body of a heartbeat.

    Args:
        instance: The instance identifier from the request path.
        body: The request body.

    Raises:
        MessageError: If the body is not a JSON object, or a field is missing, of the wrong
            type or out of range.
    """
    fields = _decode_object(body)
    # constant for the lifetime of an instance, unlike the status
    node_info = _require_field(fields, "node_info", dict)
    status = _require_field(fields, "status", dict)
    state = _require_field(status, "state", str)
    slots = _require_field(node_info, "slots", int)
    sequence = _require_field(status, "sequence", int)
    warmup_s = status.get("warmup_left_s", 0)
    if state not in _LEAVING_BY_STATE:
        raise MessageError(
            ErrorCode.MESSAGE_INVALID, f"the heartbeat's state is {describe_value(state)}"
        )
    if not 0 < slots <= MAX_SLOTS or not 0 <= sequence <= MAX_COUNT:
        message = f"{describe_value(slots)} slots, sequence {describe_value(sequence)}"
        raise MessageError(ErrorCode.MESSAGE_INVALID, message)
    if isinstance(warmup_s, bool) or not isinstance(warmup_s, (int, float)):
        warmup_s = None
    if warmup_s is None or not 0 <= warmup_s <= MAX_COLD_S:
        message = f"the cold start lasts {describe_value(status['warmup_left_s'])}"
        raise MessageError(ErrorCode.MESSAGE_INVALID, message)
    if not is_name(instance):
        message = f"the instance is {describe_value(instance)}"
        raise MessageError(ErrorCode.MESSAGE_INVALID, message)
    return Heartbeat(
        instance=instance,
        born=_read_start_time(fields),
        sequence=sequence,
        address=_require_field(fields, "address", str),
        service=_require_name(node_info, "service_name"),
        release=_require_name(node_info, "version"),
        data_centre=_require_name(node_info, "zone"),
        slots=slots,
        leaving=_LEAVING_BY_STATE[state],
        cold_s=float(warmup_s),
    )


def decode_born(body: bytes) -> int:
    """Return the start time in a backend server's deregistration, or 0 if it has none."""
    if not body.strip():
        return 0
    return _read_start_time(_decode_object(body))


def _decode_object(body: bytes) -> dict[str, Any]:
    try:
        fields = decode_json(body)
    except DecodingError as error:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MessageError(ErrorCode.MESSAGE_INVALID, "the body is no object")
    return fields


def _require_field(fields: dict[str, Any], name: str, expected_type: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, expected_type) or isinstance(value, bool) or value == "":
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"{name} is {describe_value(value)}")
    return value


def _require_name(fields: dict[str, Any], name: str) -> str:
    value = _require_field(fields, name, str)
    if not is_name(value):
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"{name} is {describe_value(value)}")
    return value


def _read_start_time(fields: dict[str, Any]) -> int:
    born = _require_field(fields, "born", int) if "born" in fields else 0
    if not 0 <= born <= MAX_COUNT:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"born is {describe_value(born)}")
    return born
