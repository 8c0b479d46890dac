"""Keys and encodings of the items that sidecars write to the store."""

from __future__ import annotations

from typing import Any

import msgspec

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json
from ..errors import ConfigurationError
from .crash_findings import CrashRecord
from .members import Member
from .takeovers import Takeover

SIDECAR_PREFIX = "mesh/"  # of all keys that sidecars write
MEMBER_PREFIX = SIDECAR_PREFIX + "members/"
TAKEOVER_PREFIX = SIDECAR_PREFIX + "takeovers/"
CRASH_PREFIX = SIDECAR_PREFIX + "crashes/"
LEADER_KEY = SIDECAR_PREFIX + "decider"  # held by the sidecar that decides on takeovers
QUOTA_RECORD_KEY = SIDECAR_PREFIX + "quota-record"  # the sidecars that may hold allowances
QUOTA_KEY = SIDECAR_PREFIX + "quotas"  # the list of coordinators of teams' quotas


def encode_record(record: Member | Takeover | list[CrashRecord]) -> bytes:
    """Encode a record, or a list of them, as the value of an item."""
    return msgspec.json.encode(record)


def decode_member(value: bytes) -> Member:
    """Decode a sidecar's member record.

    Raises:
        ConfigurationError: If the value is malformed.
    """
    return _decode(value, Member)


def decode_takeover(value: bytes) -> Takeover:
    """Decode a takeover record.

    Raises:
        ConfigurationError: If the value is malformed.
    """
    return _decode(value, Takeover)


def decode_crash_records(value: bytes) -> list[CrashRecord]:
    """Decode what a sidecar found of requests under which servers ended.

    Raises:
        ConfigurationError: If the value is malformed.
    """
    return _decode(value, list[CrashRecord])


def _decode(value: bytes, kind: Any) -> Any:
    try:
        return decode_json(value, kind)
    except DecodingError as error:
        message = f"the record is malformed: {error}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message) from error
