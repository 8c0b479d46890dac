"""The daemon's settings: flags, environment variables, defaults and accepted values."""

from __future__ import annotations

import difflib
import ipaddress
from typing import TYPE_CHECKING, Any

import attrs

from ..codes import ErrorCode
from ..errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

ENVIRONMENT_PREFIX = "MAGNOLIASILL_"


def _parse_text(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    return text


def _parse_ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _parse_addresses(text: str) -> tuple[str, ...]:
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    for address in addresses:
        host, _, port = address.rpartition(":")
        _parse_ip(host)
        _PORT.parse(port)
    return addresses


def _parse_url(text: str) -> str:
    if not text.startswith("http://"):
        raise ValueError("must start with http://")
    return text.rstrip("/")


@attrs.frozen
class SettingType:
    """The type of a setting's value.

    Attributes:
        parse: Converts text to a value; raises ValueError if the text is not acceptable.
        range: A description of the accepted values for people.
    """

    parse: Callable[[str], Any]
    range: str


def _integer_range(minimum: int, maximum: int) -> SettingType:
    def parse(text: str) -> int:
        value = int(text)
        if not minimum <= value <= maximum:
            raise ValueError(f"must be from {minimum} to {maximum}")
        return value

    return SettingType(parse, f"{minimum} to {maximum}")


_TEXT = SettingType(_parse_text, "not empty")
_IP = SettingType(_parse_ip, "an IPv4 or IPv6 address")
_PORT = _integer_range(1, 65_535)
_ADDRESSES = SettingType(_parse_addresses, "`ip:port,ip:port,...`, may be empty")
_URL = SettingType(_parse_url, "`http://ip:port`")


def _setting(kind: SettingType, meaning: str, unit: str = "", default: str | None = None) -> Any:
    metadata = {"kind": kind, "meaning": meaning, "unit": unit, "default": default}
    return attrs.field(metadata=metadata)


@attrs.frozen
class Settings:
    """The validated settings of one daemon."""

    name: str = _setting(_TEXT, "unique name of the daemon")
    data_centre: str = _setting(_TEXT, "data centre in which the daemon runs")
    host: str = _setting(_IP, "IP address that the daemon listens on", default="127.0.0.1")
    caller_port: int = _setting(_PORT, "port for callers")
    peer_port: int = _setting(_PORT, "port for messages of other daemons")
    admin_port: int = _setting(_PORT, "port for administration")
    store: str = _setting(_URL, "address of the platform's store")
    seeds: tuple[str, ...] = _setting(
        _ADDRESSES, "peer addresses to join through, separated by commas", default=""
    )
    tick_ms: int = _setting(
        _integer_range(10, 1_000), "interval of the tick", "milliseconds", "100"
    )
    store_timeout_ms: int = _setting(
        _integer_range(10, 60_000), "timeout of a store request", "milliseconds", "1000"
    )
    drain_ms: int = _setting(
        _integer_range(0, 600_000),
        "longest wait for calls in progress at shutdown",
        "milliseconds",
        "30000",
    )


def format_flag(name: str) -> str:
    """Return the command-line flag of a setting, such as `--peer-port`."""
    return f"--{name.replace('_', '-')}"


def format_variable(name: str) -> str:
    """Return the name of the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def format_help() -> str:
    """Return the help text that lists all settings."""
    lines = ["magnoliasilld: the daemon; each setting is a flag or an environment variable", ""]
    for field in attrs.fields(Settings):
        data = field.metadata
        lines.append(f"  {format_flag(field.name)} ({format_variable(field.name)})")
        default = "required" if data["default"] is None else f"default {data['default'] or 'empty'}"
        unit = f", in {data['unit']}" if data["unit"] else ""
        lines.append(f"      {data['meaning']}{unit}; {data['kind'].range}; {default}")
    return "\n".join(lines)


def load_settings(flags: Mapping[str, Any], environment: Mapping[str, str]) -> Settings:
    """Read and validate all settings; a flag takes precedence over its environment variable.

    Args:
        flags: The values given on the command line, by setting name.
        environment: The environment variables of the process.

    Returns:
        The validated settings.

    Raises:
        SettingsError: Naming the first setting that is unknown, missing or invalid.
    """
    known = {field.name for field in attrs.fields(Settings)}
    for flag in flags:
        if flag not in known:
            matches = difflib.get_close_matches(flag, known, 1)
            advice = f"did you mean {format_flag(matches[0])}?" if matches else ""
            message = f"unknown setting {format_flag(flag)}"
            raise SettingsError(ErrorCode.SETTING_UNKNOWN, message, advice)
    return Settings(
        **{field.name: _load_setting(field, flags, environment) for field in attrs.fields(Settings)}
    )


def _load_setting(
    field: attrs.Attribute[Any], flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Any:
    flag = format_flag(field.name)
    variable = format_variable(field.name)
    raw_value = flags.get(field.name, environment.get(variable, field.metadata["default"]))
    if raw_value is None:
        message = f"{flag} ({variable}) is missing: {field.metadata['meaning']}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message)
    text = ",".join(map(str, raw_value)) if isinstance(raw_value, (tuple, list)) else str(raw_value)
    try:
        return field.metadata["kind"].parse(text)
    except ValueError as error:
        message = f"{flag} ({variable}) is {text!r}: {error}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message) from error
