"""Reads the settings file that the platform writes for a sidecar."""

from __future__ import annotations

import os
import tomllib
from math import inf
from typing import TYPE_CHECKING, Any

from ..codes import ErrorCode
from ..decoding import describe_value
from ..errors import SettingsError
from ..mesh.fields import MAX_LINK_MBPS, is_endpoint
from ..mesh.settings import Bounds, SidecarSettings

if TYPE_CHECKING:
    from collections.abc import Mapping

BOOT_VARIABLE = "MAGNOLIASILL_BOOT"
LOCAL_VARIABLE = "MAGNOLIASILL_LOCAL_FIRST"  # "1" keeps requests in their data centre everywhere
PACE_VARIABLE = "MAGNOLIASILL_PACE_STARTS"  # "1" paces the starts of all servers
METRICS_PORT_OFFSET = 0  # the metrics port is the first one of the range that the platform assigns

# the platform's names of the bounds, and the fields of `Bounds` that hold them
_BOUND_FIELDS = {
    "drain_s": "drain_s",
    "grace_s": "grace_s",
    "config_apply_s": "config_apply_s",
    "addr_reuse_s": "address_reuse_s",
    "retry_budget_ratio": "repeat_ratio",
    "budget_window_s": "repeat_window_s",
    "budget_extra": "repeat_extra",
    "exposure_share": "exposure_share",
    "exposure_tolerance": "exposure_calls",
    "strict_revoke": "strict_revocation",
    "revoke_s": "revocation_s",
    "quota_window_s": "quota_window_s",
    "quota_excess": "quota_excess",
    "quota_tolerance": "quota_tolerance",
    "warmup_excess": "warmup_excess",
    "warmup_tolerance": "warmup_tolerance",
    "evacuation_s": "evacuation_s",
}
_TRUTH_VALUES = {"true": True, "false": False}


def read_settings(path: str) -> SidecarSettings:
    """Read and check a settings file.

    Args:
        path: The file, in TOML.

    Raises:
        SettingsError: If the file can't be read, or a field is missing or of the wrong type.
    """
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, ValueError, RecursionError) as error:
        message = f"the settings file {path} can't be read: {error}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message) from error
    return decode_settings(fields)


def decode_settings(fields: Mapping[str, Any]) -> SidecarSettings:
    """Convert the fields of a settings file into typed settings.

    Raises:
        SettingsError: Naming the first field that is missing or of the wrong type.
    """
    addresses = _require_field(fields, "listen_addrs", dict)
    return SidecarSettings(
        name=_require_field(fields, "node_name", str),
        data_centre=_require_field(fields, "zone", str),
        callers=_read_address(addresses, "outbound"),
        gate=_read_address(addresses, "inbound"),
        readiness=_read_address(addresses, "ready"),
        control=_read_address(addresses, "control"),
        server=_read_address(fields, "app_addr"),
        service=_require_field(fields, "service_name", str),
        store=_read_address(_require_field(fields, "platform", dict), "address"),
        metrics=_find_metrics_address(fields),
        link_mbps=_read_link_rate(fields.get("limits")),
        memory_mb=_read_limit(fields.get("limits"), "memory_mb"),
        max_descriptors=int(_read_limit(fields.get("limits"), "max_fds")),
        paces_starts=os.environ.get(PACE_VARIABLE) == "1",
        local_first=os.environ.get(LOCAL_VARIABLE) == "1",
        seeds=tuple(str(seed) for seed in fields.get("seed_nodes") or ()),
        bounds=_read_bounds(fields.get("bounds") or []),
    )


def _require_field(fields: Mapping[str, Any], name: str, expected_type: type) -> Any:
    value = fields.get(name)
    if not isinstance(value, expected_type) or not value:
        message = f"the settings field {name} is missing or is not a {expected_type.__name__}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message)
    return value


def _read_address(fields: Mapping[str, Any], name: str) -> str:
    address = _require_field(fields, name, str)
    if not is_endpoint(address):
        message = f"the settings field {name} is no address: {describe_value(address)}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message)
    return address


def _find_metrics_address(fields: Mapping[str, Any]) -> str:
    """Return the address for metrics, or an empty string if the platform assigns no ports."""
    ip, ports = _require_field(fields, "ip", str), fields.get("port_range")
    if not ports:
        return ""
    first = ports[0] if isinstance(ports, list) else None
    address = f"{ip}:{first + METRICS_PORT_OFFSET}" if isinstance(first, int) else ""
    if not is_endpoint(address):
        message = f"the settings field port_range is no list of ports: {describe_value(ports)}"
        raise SettingsError(ErrorCode.SETTING_INVALID, message)
    return address


def _read_link_rate(limits: Any) -> float:
    """Return the rate of the VM's link in Mbit/s, or 0 if the platform does not give it."""
    return min(_read_limit(limits, "link_mbps"), MAX_LINK_MBPS)


def _read_limit(limits: Any, name: str) -> float:
    """Return a limit of the VM, or 0 if the platform does not give it."""
    value = limits.get(name) if isinstance(limits, dict) else None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number and 0 < value < inf else 0.0


def _read_bounds(entries: Any) -> Bounds:
    values: dict[str, Any] = {}
    for entry in entries if isinstance(entries, list) else str(entries).split(","):
        name, _, value = str(entry).partition("=")
        if name.strip() in _BOUND_FIELDS:
            try:
                values[_BOUND_FIELDS[name.strip()]] = _read_bound(value)
            except ValueError as error:
                message = f"the bound {entry!r} is no number"
                raise SettingsError(ErrorCode.SETTING_INVALID, message) from error
    return Bounds(**values)


def _read_bound(text: str) -> float | bool:
    truth = _TRUTH_VALUES.get(text.strip().lower())
    return float(text) if truth is None else truth
