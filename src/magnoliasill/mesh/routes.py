"""The routing configuration from the operators, and the routing of a request by it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

DEFAULT_ATTEMPTS = 2
DEFAULT_TIMEOUT_S = 30.0
DEFAULT_PRIORITY = 5


@attrs.frozen
class Destination:
    """A service that a route leads to, and its weight among the route's destinations."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """The requests under one path prefix, and how to serve them.

    Attributes:
        name: The route's name, for logs.
        prefix: The prefix of the paths that it matches.
        destinations: The services that requests are split between, with their weights.
        idempotent: Whether a request may run more than once.
        timeout_s: The longest time until a caller gets an answer.
        target_s: The latency target.
        attempts: The maximum number of backend servers that a request is sent to.
        priority: Its priority; 0 is the most urgent.
        needs_key: Whether its requests must carry a team's key, where the configuration has teams.
    """

    name: str
    prefix: str
    destinations: tuple[Destination, ...]
    idempotent: bool
    timeout_s: float = DEFAULT_TIMEOUT_S
    target_s: float = DEFAULT_TIMEOUT_S
    attempts: int = DEFAULT_ATTEMPTS
    priority: int = DEFAULT_PRIORITY
    needs_key: bool = True


@attrs.frozen
class Team:
    """A team whose callers identify themselves by a key.

    Attributes:
        name: The team's name, which backend servers are told.
        priority: Its priority, which goes before that of a route; 0 is the most urgent.
        rate_per_s: The requests a second that it may send, over all sidecars; 0 is no limit.
        burst: The requests that it may send at once on top of that.
    """

    name: str
    priority: int = DEFAULT_PRIORITY
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class Warmup:
    """How the servers of a service start.

    Attributes:
        duration_s: Seconds for which a server is cold after its start.
        rate_per_s: The requests a second that a cold server bears, from all sidecars together.
    """

    duration_s: float
    rate_per_s: float


@attrs.frozen
class CallerLimits:
    """Limits on the size and the duration of callers' requests.

    Attributes:
        header_bytes: The maximum size of a request line with its headers.
        body_bytes: The maximum size of a body.
        header_timeout_s: The time allowed from the first byte of the headers to the last.
        idle_timeout_s: The time allowed between two requests on one connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class HostRoutes:
    """The routes of one host, indexed by their prefixes.

    Attributes:
        by_prefix: The routes by prefix; the first of those with the same prefix.
        lengths: The lengths of the prefixes, in descending order.
    """

    by_prefix: dict[str, Route]
    lengths: tuple[int, ...]


@attrs.frozen
class RouteTable:
    """One version of the configuration.

    Attributes:
        version: The version number.
        hosts: The routes by host name.
        limits: Limits on callers' requests.
        services: The names of the services in it.
        teams: The teams by name, or None if requests need no key.
        team_names: The name of the team that holds a key, by the key's digest.
        warmups: How servers start, by service; services without a warm-up rate are absent.
        health_paths: The path at which servers tell whether they are cold, by service.
    """

    version: int
    hosts: dict[str, HostRoutes]
    limits: CallerLimits
    services: frozenset[str]
    teams: dict[str, Team] | None = None
    team_names: dict[bytes, str] = attrs.field(factory=dict, repr=False)
    warmups: dict[str, Warmup] = attrs.field(factory=dict)
    health_paths: dict[str, str] = attrs.field(factory=dict)


def index_routes(routes: Iterable[Route]) -> HostRoutes:
    """Return the routes of one host so that the longest prefix of a path is found quickly."""
    by_prefix: dict[str, Route] = {}
    for route in routes:
        by_prefix.setdefault(route.prefix, route)
    return HostRoutes(by_prefix, tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True)))


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that matches a path, or None.

    Args:
        table: The applied configuration.
        host: The value of the Host header.
        path: The path as the caller sent it, without its query.
    """
    name = host.lower()
    routes = table.hosts.get(name) or table.hosts.get(name.partition(":")[0])
    if routes is None:
        return None
    for length in routes.lengths:
        route = routes.by_prefix.get(path[:length])
        if route is not None:
            return route
    return None


@attrs.define
class SplitTable:
    """State of the smooth weighted round robin between the destinations of a route.

    Keeps the split close to the weights even over a few requests.

    Attributes:
        credits: The credit of each destination, by route name and destinations.
    """

    credits: dict[tuple[str, tuple[Destination, ...]], list[float]] = attrs.field(factory=dict)


def choose_destination(splits: SplitTable, route: Route, random: Random) -> str:
    """Return the service for the next request of a route, by weighted round robin.

    Args:
        splits: The state of the round robin.
        route: The route.
        random: Source of the initial credits, which are random so that the sidecars of a fleet
            don't all start with the same service.
    """
    if len(route.destinations) == 1:
        return route.destinations[0].service
    key = (route.name, route.destinations)
    credit = splits.credits.get(key)
    total = sum(destination.weight for destination in route.destinations)
    if credit is None:
        credit = splits.credits[key] = [random.random() * total for _ in route.destinations]
    for index, destination in enumerate(route.destinations):
        credit[index] += destination.weight
    chosen = max(range(len(credit)), key=lambda index: credit[index])
    credit[chosen] -= total
    return route.destinations[chosen].service
