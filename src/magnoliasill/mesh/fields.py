"""Types of the fields that others write, with the ranges that the codec checks.

A value outside its range is refused like one of the wrong type, before anything reckons with it.
"""

from __future__ import annotations

import re
from typing import Annotated, TypeAlias

from msgspec import Meta

from .slowness import BUCKETS

MAX_COUNT = 2**53  # JSON numbers above it are not exact everywhere
MAX_NUMBER = 1e9
MAX_SLOTS = 100_000
MAX_LINK_MBPS = 10_000_000.0
MAX_NAME_LENGTH = 253  # of a DNS name
_NAME_PATTERN = r"\A[^\x00-\x1f\x7f]+\Z"
_HOST_PATTERN = r"([A-Za-z0-9._-]{1,253}|\[?[0-9A-Fa-f:.]{2,45}\]?)"
_PORT_PATTERN = (
    r"([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
)
_ENDPOINT_PATTERN = rf"\A{_HOST_PATTERN}:{_PORT_PATTERN}\Z"

Count: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Slots: TypeAlias = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Number: TypeAlias = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
PositiveNumber: TypeAlias = Annotated[float, Meta(ge=0.0, le=MAX_NUMBER)]
Share: TypeAlias = Annotated[float, Meta(ge=0.0, le=1.0)]
LinkRate: TypeAlias = Annotated[float, Meta(ge=0.0, le=MAX_LINK_MBPS)]
Name: TypeAlias = Annotated[str, Meta(max_length=MAX_NAME_LENGTH, pattern=_NAME_PATTERN)]
Endpoint: TypeAlias = Annotated[str, Meta(pattern=_ENDPOINT_PATTERN)]
Histogram: TypeAlias = Annotated[list[Count], Meta(min_length=BUCKETS, max_length=BUCKETS)]


def is_name(text: str) -> bool:
    """Return whether a text has 1 to 253 characters, none of which is a control character."""
    return len(text) <= MAX_NAME_LENGTH and re.search(_NAME_PATTERN, text) is not None


def is_endpoint(text: str) -> bool:
    """Return whether a text has the form `host:port`, with a port that exists."""
    return re.search(_ENDPOINT_PATTERN, text) is not None
