"""Parses, checks and encodes service files, in which teams configure their services."""

from __future__ import annotations

import tomllib
from datetime import datetime
from typing import Any

import attrs
import msgspec

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json, describe_error
from ..errors import ServiceFileError

MAX_BLOB_BYTES = 900_000
NAME_PATTERN = r"[a-z][a-z0-9-]{0,62}"

_name_validator = attrs.validators.matches_re(NAME_PATTERN)


def _between_one_and(maximum: int) -> Any:
    return attrs.validators.and_(attrs.validators.ge(1), attrs.validators.le(maximum))


@attrs.frozen
class Route:
    """One route of a service.

    Attributes:
        name: Unique within the service.
        method: The HTTP method, in upper case.
        path: An absolute path; a trailing `/*` matches every path below it.
        idempotent: Whether a request may be run more than once without harm.
        deadline_ms: Milliseconds within which a caller needs the response.
        depends_on: Routes of other services, each as `service.route`.
    """

    name: str = attrs.field(validator=_name_validator)
    method: str = attrs.field(validator=attrs.validators.matches_re(r"[A-Z]{1,16}"))
    path: str = attrs.field(validator=attrs.validators.matches_re(r"(/[A-Za-z0-9._~-]+)+(/\*)?"))
    idempotent: bool = True
    deadline_ms: int = attrs.field(default=5_000, validator=_between_one_and(600_000))
    depends_on: list[str] = attrs.field(factory=list)


@attrs.frozen
class Release:
    """One release of a service's backend servers.

    Attributes:
        name: Unique within the service.
        cold_start_ms: For how many milliseconds after its announcement a server is still slow.
        health_path: The path of the servers' health endpoint.
        load_path: The path of the servers' load endpoint.
    """

    name: str = attrs.field(validator=_name_validator)
    cold_start_ms: int = attrs.field(default=2_000, validator=attrs.validators.ge(0))
    health_path: str = "/healthz"
    load_path: str = "/load"


@attrs.frozen
class Takeover:
    """A planned move of all traffic from one release to another.

    Attributes:
        from_release: The release that serves at present.
        to_release: The release that is to serve instead.
        start_at: The earliest start of the move, with a UTC offset.
        finish_by: When the move must be complete, with a UTC offset.
    """

    from_release: str = attrs.field(validator=_name_validator)
    to_release: str = attrs.field(validator=_name_validator)
    start_at: datetime
    finish_by: datetime


@attrs.frozen
class Limits:
    """Limits on the load of each backend server, on queueing and on request size.

    Attributes:
        slots: How many requests one backend server runs concurrently.
        connections: How many connections one backend server accepts.
        queue_wait_ms: How many milliseconds a call may wait for a free slot.
        max_body_bytes: The size of the largest request body that is forwarded.
    """

    slots: int = attrs.field(default=10, validator=_between_one_and(10_000))
    connections: int = attrs.field(default=100, validator=_between_one_and(100_000))
    queue_wait_ms: int = attrs.field(default=200, validator=attrs.validators.ge(0))
    max_body_bytes: int = attrs.field(
        default=64_000_000, validator=_between_one_and(10_000_000_000)
    )


@attrs.frozen
class ServiceFile:
    """The configuration of one service.

    Attributes:
        service: The name of the service.
        team: The team that owns the service.
        routes: The routes of the service.
        releases: The releases of the service.
        serving: The name of the release that serves, and that a takeover starts from.
        takeover: A takeover to another release, or None.
        limits: Limits on load, queueing and request size.
    """

    service: str = attrs.field(validator=_name_validator)
    team: str = attrs.field(validator=_name_validator)
    routes: list[Route] = attrs.field(validator=attrs.validators.min_len(1))
    releases: list[Release] = attrs.field(validator=attrs.validators.min_len(1))
    serving: str = attrs.field(validator=_name_validator)
    takeover: Takeover | None = None
    limits: Limits = attrs.field(factory=Limits)


_NESTED_TYPES: dict[type, dict[str, type]] = {
    ServiceFile: {"routes": Route, "releases": Release, "takeover": Takeover, "limits": Limits},
}


def parse_service_file(text: str, source: str) -> ServiceFile:
    """Parse and check one service file, without regard to other services.

    Args:
        text: The TOML text.
        source: The file's name, for error messages.

    Returns:
        The parsed service file.

    Raises:
        ServiceFileError: If the text is not TOML, or a key is unknown, missing or invalid.
    """
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as error:  # of TOML, and of too long or nested values
        reason = describe_error(error)
        raise ServiceFileError(ErrorCode.FILE_SYNTAX, f"{source}: {reason}") from error
    _refuse_unknown_keys(raw, ServiceFile, source, "$")
    try:
        parsed = msgspec.convert(raw, ServiceFile)
    except msgspec.ValidationError as error:
        raise ServiceFileError(ErrorCode.FILE_INVALID, f"{source}: {error}") from error
    _check_names(parsed, source)
    _check_takeover(parsed, source)
    return parsed


def encode_service_file(parsed: ServiceFile) -> bytes:
    """Encode a service file in the canonical form that is hashed and stored.

    Args:
        parsed: A checked service file.

    Returns:
        The encoded bytes, the same for equal service files.

    Raises:
        ServiceFileError: If the encoded form is larger than `MAX_BLOB_BYTES`.
    """
    blob = msgspec.json.encode(parsed)
    if len(blob) > MAX_BLOB_BYTES:
        message = f"{parsed.service}: encoded size {len(blob)} bytes, limit {MAX_BLOB_BYTES}"
        raise ServiceFileError(ErrorCode.BLOB_TOO_LARGE, message, "split the service")
    return blob


def decode_service_file(blob: bytes) -> ServiceFile:
    """Decode a stored service file.

    Args:
        blob: The return value of `encode_service_file`.

    Returns:
        The service file.

    Raises:
        ServiceFileError: If the bytes are not a valid service file.
    """
    try:
        parsed = decode_json(blob, ServiceFile)
    except DecodingError as error:
        raise ServiceFileError(
            ErrorCode.FILE_INVALID, f"invalid stored service file: {error}"
        ) from error
    _check_names(parsed, parsed.service)
    _check_takeover(parsed, parsed.service)
    return parsed


def _refuse_unknown_keys(raw: Any, config_class: type, source: str, key_path: str) -> None:
    if not isinstance(raw, dict):
        return
    known = {field.name for field in attrs.fields(config_class)}
    for key in raw:
        if key not in known:
            advice = f"known keys: {', '.join(sorted(known))}"
            message = f"{source}: unknown key `{key_path}.{key}`"
            raise ServiceFileError(ErrorCode.FILE_UNKNOWN_KEY, message, advice)
    for key, nested in _NESTED_TYPES.get(config_class, {}).items():
        value = raw.get(key)
        items = value if isinstance(value, list) else [value]
        for item in items:
            _refuse_unknown_keys(item, nested, source, f"{key_path}.{key}")


def _check_names(parsed: ServiceFile, source: str) -> None:
    for key, names in (
        ("routes", [route.name for route in parsed.routes]),
        ("releases", [release.name for release in parsed.releases]),
    ):
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            message = f"{source}: `{key}` has more than one entry named {duplicates[0]!r}"
            raise ServiceFileError(ErrorCode.FILE_INVALID, message)
    _require_release(parsed, parsed.serving, "serving", source)


def _require_release(parsed: ServiceFile, name: str, key: str, source: str) -> None:
    if name not in {release.name for release in parsed.releases}:
        message = f"{source}: `{key}` names {name!r}, which is not in `releases`"
        raise ServiceFileError(ErrorCode.TAKEOVER_INVALID, message)


def _check_takeover(parsed: ServiceFile, source: str) -> None:
    takeover = parsed.takeover
    if takeover is None:
        return
    _require_release(parsed, takeover.from_release, "takeover.from_release", source)
    _require_release(parsed, takeover.to_release, "takeover.to_release", source)
    problem = ""
    if takeover.from_release == takeover.to_release:
        problem = "`takeover` names the same release twice"
    elif takeover.from_release != parsed.serving:
        problem = "`takeover.from_release` is not the serving release"
    elif takeover.start_at.tzinfo is None or takeover.finish_by.tzinfo is None:
        problem = "`takeover.start_at` and `takeover.finish_by` need a UTC offset"
    elif takeover.finish_by <= takeover.start_at:
        problem = "`takeover.finish_by` is not after `takeover.start_at`"
    if problem:
        raise ServiceFileError(ErrorCode.TAKEOVER_INVALID, f"{source}: {problem}")
