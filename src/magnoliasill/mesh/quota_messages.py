"""Messages about teams' quotas between sidecars and coordinators, and the list of coordinators.

What is said of a team is a tuple, since 76 sidecars and more send these messages all the time.
"""

from __future__ import annotations

from typing import Annotated

import attrs
import msgspec

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json
from ..errors import ConfigurationError
from .fields import Count, Name  # noqa: TC001 - msgspec evaluates it

MAX_AMOUNT = 1_000_000_000  # requests in a window
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


@attrs.frozen
class QuotaReport:
    """A sidecar's report to a coordinator.

    Attributes:
        name: The sidecar's name.
        start: When its process started, in milliseconds since the epoch; a later process has more.
        number: Increases with each report of the process.
        version: The version of the list of coordinators by which it is sent.
        teams: By team: the allowance that is held, the capacity that it is a part of, the requests
            that ran under it in the last window, and the requests that found no allowance.
        full: Not 0 if the sender holds nothing of other teams: what the answer to its last such
            report told, or 1.
    """

    name: Name
    start: Count
    number: Count
    version: Count
    teams: dict[Name, tuple[Amount, Amount, Amount, Amount]]
    full: Count = 0


@attrs.frozen
class QuotaAnswer:
    """A coordinator's answer to a report.

    Attributes:
        number: The number of the report.
        valid_ms: For how long the allowances may be used, from the sending of the report.
        teams: By team: the granted allowance, the capacity that it is a part of, and whether
            allowances are scarce (1) or not (0). A team is absent if nothing can be granted.
        heard: Not 0 if a full report was taken as such. If it is another number than the report
            told, the sender sends another full report with this one.
    """

    number: Count
    valid_ms: Count = 0
    teams: dict[Name, tuple[Amount, Amount, Amount]] = attrs.field(factory=dict)
    heard: Count = 0


@attrs.frozen
class CoordinatorList:
    """The item of the store that names the coordinators.

    Attributes:
        version: Increases by one with each change, so that a sidecar notices that it missed one.
        names: The coordinators' names; teams are divided among them by a hash.
        writer: Identifies the process that wrote it.
    """

    version: Count
    names: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    writer: str


def decode_report(data: bytes) -> QuotaReport:
    """Decode a report.

    Raises:
        ConfigurationError: If it is malformed.
    """
    return _decode(data, QuotaReport)


def decode_list(data: bytes) -> CoordinatorList:
    """Decode the list of coordinators.

    Raises:
        ConfigurationError: If it is malformed.
    """
    return _decode(data, CoordinatorList)


def _decode(data: bytes, kind: type) -> object:
    try:
        return decode_json(data, kind)
    except DecodingError as error:
        raise ConfigurationError(ErrorCode.FILE_INVALID, f"it is malformed: {error}") from error
