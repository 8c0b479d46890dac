"""Decodes the operators' configuration and takeover orders; encodes takeover status for them."""

from __future__ import annotations

import re
from math import inf
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from ..codes import ErrorCode
from ..decoding import decode_json, describe_error
from ..errors import ConfigurationError
from ..mesh.fields import is_name
from ..mesh.routes import (
    DEFAULT_ATTEMPTS,
    DEFAULT_PRIORITY,
    DEFAULT_TIMEOUT_S,
    CallerLimits,
    Destination,
    Route,
    RouteTable,
    Team,
    Warmup,
    index_routes,
)
from ..mesh.takeovers import Order, Phase
from ..mesh.team_keys import digest_key

if TYPE_CHECKING:
    from collections.abc import Callable

CONFIGURATION_KEY = "op/config"
ORDER_PREFIX = "op/rollout/"
EVACUATION_PREFIX = "op/evacuate/"  # followed by the data centre; any value orders
STATUS_PREFIX = "status/rollout/"
_HEALTH_PATH = re.compile(r"/[!-~]{0,255}")  # what can be sent in a request line
# of fields that are missing, of another type or out of range; DecodingError is a ValueError
_FIELD_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
# a request of any other kind, also of one that is not known here, runs once at most
_IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})
_STATUS_BY_PHASE = {
    Phase.RUNNING: "running",
    Phase.COMPLETED: "completed",
    Phase.TAKEN_BACK: "rolled_back",
    Phase.STOPPED: "completed",  # a final state; there is nothing to return to
}


@attrs.frozen
class _Listener:
    """The rules of one host, each still encoded."""

    host_name: str
    rule_set: list[msgspec.Raw]


@attrs.frozen
class _Document:
    """The fields of a configuration."""

    version: str
    listener_set: list[_Listener]
    cluster_set: list[dict[str, Any]]
    limits: dict[str, Any] = attrs.field(factory=dict)
    tenant_table: list[dict[str, Any]] | None = None


def build_decoder() -> Callable[[bytes], RouteTable]:
    """Return a decoder of successive versions, which reuses the routes that did not change.

    It works and fails as `decode_configuration` does.
    """
    routes: dict[bytes, Route] = {}

    def decode(value: bytes) -> RouteTable:
        nonlocal routes
        table, routes = _decode(value, routes)
        return table

    return decode


def decode_configuration(value: bytes) -> RouteTable:
    """Decode one version of the operators' configuration.

    Raises:
        ConfigurationError: If any part is invalid; no part of that version is used then.
    """
    return _decode(value, {})[0]


def _decode(value: bytes, known: dict[bytes, Route]) -> tuple[RouteTable, dict[bytes, Route]]:
    """Return a version and its routes by their encoded rules, given those of an earlier one."""
    try:
        document = decode_json(value, _Document)
        routes: dict[bytes, Route] = {}
        hosts: dict[str, list[Route]] = {}
        for listener in document.listener_set:
            found = hosts.setdefault(listener.host_name.lower(), [])
            for raw in listener.rule_set:
                rule = bytes(raw)
                route = known.get(rule) or _build_route(decode_json(rule))
                routes[rule] = route
                found.append(route)
        return _build_route_table(document, hosts), routes
    except _FIELD_ERRORS as error:
        message = f"the configuration can't be understood: {describe_error(error)}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message) from error


def _build_route_table(document: _Document, hosts: dict[str, list[Route]]) -> RouteTable:
    limits, defaults = document.limits, CallerLimits()
    return RouteTable(
        version=decode_version(document.version),
        hosts={host: index_routes(routes) for host, routes in hosts.items() if routes},
        limits=CallerLimits(
            header_bytes=int(limits.get("max_header_bytes", defaults.header_bytes)),
            body_bytes=int(limits.get("max_body_bytes", defaults.body_bytes)),
            header_timeout_s=float(limits.get("header_timeout_s", defaults.header_timeout_s)),
            idle_timeout_s=float(limits.get("idle_timeout_s", defaults.idle_timeout_s)),
        ),
        services=frozenset(cluster["name"] for cluster in document.cluster_set),
        teams=_build_teams(document.tenant_table),
        team_names=_build_team_names(document.tenant_table or []),
        warmups=_build_warmups(document.cluster_set),
        health_paths=_build_health_paths(document.cluster_set),
    )


def _build_teams(entries: list[dict[str, Any]] | None) -> dict[str, Team] | None:
    """Return the teams by name, or None if the configuration has no table of them."""
    if entries is None:
        return None
    return {
        _read_team_name(entry): Team(
            name=_read_team_name(entry),
            priority=int(entry.get("priority", DEFAULT_PRIORITY)),
            rate_per_s=_read_amount(entry, "rate_per_s"),
            burst=_read_amount(entry, "burst_size"),
        )
        for entry in entries
    }


def _build_team_names(entries: list[dict[str, Any]]) -> dict[bytes, str]:
    """Return the name of each key's team by the key's digest."""
    names: dict[bytes, str] = {}
    for entry in entries:
        keys = entry.get("api_keys") or []
        if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
            raise ValueError("the keys of a team are no list of texts")
        for key in keys:
            if names.setdefault(digest_key(key), entry["name"]) != entry["name"]:
                raise ValueError("two teams have the same key")
    return names


def _read_team_name(entry: dict[str, Any]) -> str:
    """Return a team's name, which is sent to servers as a header."""
    name = entry["name"]
    if not (isinstance(name, str) and name.isascii() and is_name(name)):
        raise ValueError("the name of a team can't be sent as a header")
    return name


def _build_warmups(clusters: list[dict[str, Any]]) -> dict[str, Warmup]:
    """Return how the servers of each service with a warm-up rate start."""
    warmups = {
        cluster["name"]: Warmup(
            _read_amount(cluster, "warmup_s"), _read_amount(cluster, "warmup_per_s")
        )
        for cluster in clusters
    }
    return {name: warmup for name, warmup in warmups.items() if warmup.rate_per_s > 0}


def _build_health_paths(clusters: list[dict[str, Any]]) -> dict[str, str]:
    """Return the path that tells whether a server is cold, by service; odd ones are left out."""
    paths = {cluster["name"]: cluster.get("health_path") for cluster in clusters}
    return {
        name: path
        for name, path in paths.items()
        if isinstance(path, str) and _HEALTH_PATH.fullmatch(path)
    }


def _read_amount(fields: dict[str, Any], name: str) -> float:
    """Return a number that is not negative; 0 if it is absent."""
    value = float(fields.get(name) or 0)
    if not 0 <= value < inf:
        raise ValueError(f"{name} is out of range")
    return value


def _build_route(rule: dict[str, Any]) -> Route:
    action = rule["route_action"]
    split = action.get("traffic_split") or ()
    weighted = [Destination(entry["service_name"], float(entry["weight"])) for entry in split]
    destinations = tuple(entry for entry in weighted if entry.weight > 0)
    if not destinations:
        destinations = (Destination(action["service_name"]),)
    return Route(
        name=rule["name"],
        prefix=rule["match_criteria"]["prefix"],
        destinations=destinations,
        idempotent=rule["route_kind"] in _IDEMPOTENT_KINDS,
        timeout_s=float(action.get("timeout_s") or DEFAULT_TIMEOUT_S),
        target_s=float(rule.get("target_latency_s") or DEFAULT_TIMEOUT_S),
        attempts=int(action.get("max_attempts") or DEFAULT_ATTEMPTS),
        priority=int(rule.get("priority", DEFAULT_PRIORITY)),
        needs_key=rule.get("auth_exempt") is not True,
    )


def decode_version(text: str) -> int:
    """Return the number of a version string: 12 for `r12`."""
    if not text.startswith("r"):
        raise ValueError(f"version {text!r}")
    return int(text[1:])


def decode_order(value: bytes) -> Order:
    """Decode an order to move a service to another release.

    Raises:
        ConfigurationError: If the order is malformed.
    """
    try:
        fields = decode_json(value)
        return Order(
            service=str(fields["service_name"]),
            release=str(fields["target_version"]),
            duration_s=float(fields["duration_s"]),
        )
    except _FIELD_ERRORS as error:
        message = f"the order can't be understood: {describe_error(error)}"
        raise ConfigurationError(ErrorCode.TAKEOVER_INVALID, message) from error


def encode_status(release: str, phase: Phase) -> bytes:
    """Encode the status of a takeover for operators."""
    return msgspec.json.encode({"state": _STATUS_BY_PHASE[phase], "target_version": release})
