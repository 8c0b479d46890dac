"""The settings of the daemon: one table of flags, environment variables, defaults and ranges."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any

import attrs

from .codes import ErrorCode
from .errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

ENVIRONMENT_PREFIX = "MAGNOLIASILL_"


def _parse_text(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return text


def _parse_ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _parse_port(text: str) -> int:
    port = int(text)
    if not 1 <= port <= 65_535:
        raise ValueError("must be from 1 to 65535")
    return port


def _parse_addresses(text: str) -> tuple[str, ...]:
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in addresses:
        host, _, port = address.rpartition(":")
        _parse_ip(host)
        _parse_port(port)
    return addresses


def _parse_url(text: str) -> str:
    if not text.startswith("http://"):
        raise ValueError("must start with http://")
    return text.rstrip("/")


def _parse_milliseconds(minimum: int, maximum: int) -> Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(f"must be from {minimum} to {maximum}")
        return value

    return parse


def _setting(
    parse: Callable[[str], Any], meaning: str, unit: str = "", default: str | None = None
) -> Any:
    metadata = {"parse": parse, "meaning": meaning, "unit": unit, "default": default}
    return attrs.field(metadata=metadata)


@attrs.frozen
class Settings:
    """The checked settings of one daemon."""

    name: str = _setting(_parse_text, "unique name of the daemon")
    data_centre: str = _setting(_parse_text, "data centre in which the daemon runs")
    host: str = _setting(_parse_ip, "IP address that the daemon listens on", default="127.0.0.1")
    caller_port: int = _setting(_parse_port, "port for callers")
    peer_port: int = _setting(_parse_port, "port for messages of other daemons")
    admin_port: int = _setting(_parse_port, "port for administration")
    store: str = _setting(_parse_url, "address of the platform's store")
    seeds: tuple[str, ...] = _setting(
        _parse_addresses, "peer addresses to join through, separated by commas", default=""
    )
    tick_ms: int = _setting(
        _parse_milliseconds(10, 1_000), "interval of the tick", "milliseconds", "100"
    )
    store_timeout_ms: int = _setting(
        _parse_milliseconds(10, 60_000), "timeout of a store request", "milliseconds", "1000"
    )
    drain_ms: int = _setting(
        _parse_milliseconds(0, 600_000),
        "longest wait for calls in progress at shutdown",
        "milliseconds",
        "30000",
    )


def load_settings(flags: Mapping[str, Any], environment: Mapping[str, str]) -> Settings:
    """Read and check every setting; a flag goes before its environment variable.

    Args:
        flags: Values by setting name, as the command line gave them.
        environment: The process's environment.

    Returns:
        The checked settings.

    Raises:
        SettingsError: Naming the first setting that is unknown, missing or invalid.
    """
    known = {field.name for field in attrs.fields(Settings)}
    for flag in flags:
        if flag not in known:
            message = f"unknown setting --{flag.replace('_', '-')}"
            raise SettingsError(ErrorCode.SETTING_UNKNOWN, message)
    return Settings(
        **{field.name: _load(field, flags, environment) for field in attrs.fields(Settings)}
    )


def _load(
    field: attrs.Attribute[Any], flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Any:
    flag = f"--{field.name.replace('_', '-')}"
    variable = ENVIRONMENT_PREFIX + field.name.upper()
    raw = flags.get(field.name, environment.get(variable, field.metadata["default"]))
    if raw is None:
        message = f"{flag} ({variable}) is missing: {field.metadata['meaning']}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message)
    text = ",".join(map(str, raw)) if isinstance(raw, (tuple, list)) else str(raw)
    try:
        return field.metadata["parse"](text)
    except ValueError as error:
        message = f"{flag} ({variable}) is {text!r}: {error}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message) from error
