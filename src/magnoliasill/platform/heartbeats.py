"""Decodes what a backend server says of itself on the control address."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

import msgspec

from ..codes import ErrorCode
from ..errors import MessageError
from ..mesh.backend import Heartbeat

INSTANCE_PATH = "/-/instances/"
ACKNOWLEDGEMENT = b"{}"
_LEAVING = {"ready": False, "draining": True}
MAX_SLOTS = 100_000


def parse_instance_path(path: str) -> str:
    """Return the identifier in the path of a call, or an empty string if there is none."""
    if not path.startswith(INSTANCE_PATH):
        return ""
    return unquote(path[len(INSTANCE_PATH) :])


def decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Decode a heartbeat.

    Args:
        instance: The identifier from the path.
        body: The body.

    Raises:
        MessageError: If a field is missing, of another type or out of its range.
    """
    fields = _decode(body)
    described = _read(fields, "node_info", dict)  # what stays as it is for a whole incarnation
    status = _read(fields, "status", dict)
    state = _read(status, "state", str)
    slots = _read(described, "slots", int)
    sequence = _read(status, "sequence", int)
    cold = status.get("warmup_left_s", 0)
    if state not in _LEAVING:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"the heartbeat's state is {state!r}")
    if not 0 < slots <= MAX_SLOTS or sequence < 0:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"{slots} slots, sequence {sequence}")
    if isinstance(cold, bool) or not isinstance(cold, (int, float)) or cold < 0:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"the cold start lasts {cold!r}")
    return Heartbeat(
        instance=instance,
        born=_read_born(fields),
        sequence=sequence,
        address=_read(fields, "address", str),
        service=_read(described, "service_name", str),
        release=_read(described, "version", str),
        data_centre=_read(described, "zone", str),
        slots=slots,
        leaving=_LEAVING[state],
        cold_s=float(cold),
    )


def decode_born(body: bytes) -> int:
    """Return the start that a leaving backend server names, or 0 where it names none."""
    if not body.strip():
        return 0
    return _read_born(_decode(body))


def _decode(body: bytes) -> dict[str, Any]:
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MessageError(ErrorCode.MESSAGE_INVALID, "the body is no object")
    return fields


def _read(fields: dict[str, Any], name: str, kind: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, kind) or isinstance(value, bool) or value == "":
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"{name} is {value!r}")
    return value


def _read_born(fields: dict[str, Any]) -> int:
    return _read(fields, "born", int) if "born" in fields else 0
