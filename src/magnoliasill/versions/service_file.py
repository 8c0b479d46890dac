"""The service file: what operators write beside each service's code."""

from __future__ import annotations

import tomllib
from datetime import datetime
from typing import Any

import attrs
import msgspec

from ..codes import ErrorCode
from ..errors import ServiceFileError

MAX_BLOB_BYTES = 900_000
NAME_PATTERN = r"[a-z][a-z0-9-]{0,62}"

_name = attrs.validators.matches_re(NAME_PATTERN)


def _positive(maximum: int) -> Any:
    return attrs.validators.and_(attrs.validators.ge(1), attrs.validators.le(maximum))


@attrs.frozen
class Route:
    """One route of a service.

    Attributes:
        name: Unique within the service.
        method: The HTTP method, in capitals.
        path: An absolute path; a final `/*` matches every path below it.
        idempotent: Whether running the request twice does no harm.
        deadline_ms: Milliseconds within which a caller needs the answer.
        depends_on: Routes of other services, each as `service.route`.
    """

    name: str = attrs.field(validator=_name)
    method: str = attrs.field(validator=attrs.validators.matches_re(r"[A-Z]{1,16}"))
    path: str = attrs.field(validator=attrs.validators.matches_re(r"(/[A-Za-z0-9._~-]+)+(/\*)?"))
    idempotent: bool = True
    deadline_ms: int = attrs.field(default=5_000, validator=_positive(600_000))
    depends_on: list[str] = attrs.field(factory=list)


@attrs.frozen
class Release:
    """One release of a service's backend servers.

    Attributes:
        name: Unique within the service.
        cold_start_ms: Milliseconds after its announcement in which a server is still slow.
        health_path: The path of the health endpoint.
        load_path: The path of the load endpoint.
    """

    name: str = attrs.field(validator=_name)
    cold_start_ms: int = attrs.field(default=2_000, validator=attrs.validators.ge(0))
    health_path: str = "/healthz"
    load_path: str = "/load"


@attrs.frozen
class Takeover:
    """A move of all traffic from one release to another.

    Attributes:
        from_release: The release that serves now.
        to_release: The release that is to serve.
        start_at: When the move may begin, with a UTC offset.
        finish_by: When the move has to be complete, with a UTC offset.
    """

    from_release: str = attrs.field(validator=_name)
    to_release: str = attrs.field(validator=_name)
    start_at: datetime
    finish_by: datetime


@attrs.frozen
class Limits:
    """Bounds on the load of each backend server and on waiting.

    Attributes:
        slots: Requests that one backend server runs at once.
        connections: Connections that one backend server accepts.
        queue_wait_ms: Milliseconds that a call may wait for a free slot.
        max_body_bytes: The largest request body that is forwarded.
    """

    slots: int = attrs.field(default=10, validator=_positive(10_000))
    connections: int = attrs.field(default=100, validator=_positive(100_000))
    queue_wait_ms: int = attrs.field(default=200, validator=attrs.validators.ge(0))
    max_body_bytes: int = attrs.field(default=64_000_000, validator=_positive(10_000_000_000))


@attrs.frozen
class ServiceFile:
    """Everything that operators say about one service."""

    service: str = attrs.field(validator=_name)
    team: str = attrs.field(validator=_name)
    routes: list[Route] = attrs.field(validator=attrs.validators.min_len(1))
    releases: list[Release] = attrs.field(validator=attrs.validators.min_len(1))
    serving: str = attrs.field(validator=_name)
    takeover: Takeover | None = None
    limits: Limits = attrs.field(factory=Limits)


_NESTED: dict[type, dict[str, type]] = {
    ServiceFile: {"routes": Route, "releases": Release, "takeover": Takeover, "limits": Limits},
}


def parse_service_file(text: str, source: str) -> ServiceFile:
    """Parse and check one service file on its own.

    Args:
        text: The TOML text.
        source: The file's name, for messages.

    Returns:
        The parsed file.

    Raises:
        ServiceFileError: If the text is not TOML, or a key is unknown, missing or invalid.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ServiceFileError(ErrorCode.FILE_SYNTAX, f"{source}: {error}") from error
    _refuse_unknown_keys(raw, ServiceFile, source, "$")
    try:
        parsed = msgspec.convert(raw, ServiceFile)
    except msgspec.ValidationError as error:
        raise ServiceFileError(ErrorCode.FILE_INVALID, f"{source}: {error}") from error
    _check_names(parsed, source)
    _check_takeover(parsed, source)
    return parsed


def encode_service_file(parsed: ServiceFile) -> bytes:
    """Encode a service file in the one form that is hashed and stored.

    Args:
        parsed: A checked service file.

    Returns:
        The encoded bytes; equal files give equal bytes.

    Raises:
        ServiceFileError: If the encoded form is larger than a stored value may be.
    """
    blob = msgspec.json.encode(parsed)
    if len(blob) > MAX_BLOB_BYTES:
        message = f"{parsed.service}: {len(blob)} bytes, the limit is {MAX_BLOB_BYTES}"
        raise ServiceFileError(ErrorCode.BLOB_TOO_LARGE, message, "split the service")
    return blob


def decode_service_file(blob: bytes) -> ServiceFile:
    """Decode a stored service file.

    Args:
        blob: What `encode_service_file` returned.

    Returns:
        The service file.

    Raises:
        ServiceFileError: If the bytes are not an acceptable service file.
    """
    try:
        parsed = msgspec.json.decode(blob, type=ServiceFile)
    except msgspec.MsgspecError as error:
        raise ServiceFileError(ErrorCode.FILE_INVALID, f"stored service: {error}") from error
    _check_names(parsed, parsed.service)
    _check_takeover(parsed, parsed.service)
    return parsed


def _refuse_unknown_keys(raw: Any, kind: type, source: str, where: str) -> None:
    if not isinstance(raw, dict):
        return
    known = {field.name for field in attrs.fields(kind)}
    for key in raw:
        if key not in known:
            advice = f"known keys: {', '.join(sorted(known))}"
            message = f"{source}: unknown key `{where}.{key}`"
            raise ServiceFileError(ErrorCode.FILE_UNKNOWN_KEY, message, advice)
    for key, nested in _NESTED.get(kind, {}).items():
        value = raw.get(key)
        items = value if isinstance(value, list) else [value]
        for item in items:
            _refuse_unknown_keys(item, nested, source, f"{where}.{key}")


def _check_names(parsed: ServiceFile, source: str) -> None:
    for key, names in (
        ("routes", [route.name for route in parsed.routes]),
        ("releases", [release.name for release in parsed.releases]),
    ):
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            message = f"{source}: `{key}` names {repeated[0]!r} more than once"
            raise ServiceFileError(ErrorCode.FILE_INVALID, message)
    _require_release(parsed, parsed.serving, "serving", source)


def _require_release(parsed: ServiceFile, name: str, key: str, source: str) -> None:
    if name not in {release.name for release in parsed.releases}:
        message = f"{source}: `{key}` names {name!r}, which `releases` does not list"
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
        problem = "`takeover` times need a UTC offset"
    elif takeover.finish_by <= takeover.start_at:
        problem = "`takeover.finish_by` is not after `takeover.start_at`"
    if problem:
        raise ServiceFileError(ErrorCode.TAKEOVER_INVALID, f"{source}: {problem}")
