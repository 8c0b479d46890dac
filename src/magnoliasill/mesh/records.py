"""The sidecars' own items in the store: their keys and encodings."""

from __future__ import annotations

import msgspec

from ..codes import ErrorCode
from ..errors import ConfigurationError
from .members import Member
from .takeovers import Takeover

OWN_PREFIX = "mesh/"
MEMBER_PREFIX = OWN_PREFIX + "members/"
TAKEOVER_PREFIX = OWN_PREFIX + "takeovers/"
DECIDER_KEY = OWN_PREFIX + "decider"


def encode_record(record: Member | Takeover) -> bytes:
    """Return the value of an item."""
    return msgspec.json.encode(record)


def decode_member(value: bytes) -> Member:
    """Decode a sidecar's record.

    Raises:
        ConfigurationError: If it can't be understood.
    """
    return _decode(value, Member)


def decode_takeover(value: bytes) -> Takeover:
    """Decode a takeover.

    Raises:
        ConfigurationError: If it can't be understood.
    """
    return _decode(value, Takeover)


def _decode(value: bytes, kind: type) -> Member | Takeover:
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        message = f"the record can't be understood: {error}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message) from error
