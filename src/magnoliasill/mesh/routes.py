"""The operators' configuration as a sidecar holds it, and the routing of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

DEFAULT_ATTEMPTS = 2
DEFAULT_TIMEOUT_S = 30.0
DEFAULT_PRIORITY = 5


@attrs.frozen
class Destination:
    """One service that a route leads to, and its part of the requests."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """How one group of requests is served.

    Attributes:
        name: The route's name, for logs.
        prefix: The beginning of the paths that it takes.
        destinations: The services, with their parts.
        idempotent: Whether a request may run more than once.
        timeout_s: The longest time that a caller is kept waiting.
        target_s: The time within which an answer is worth most.
        attempts: Backend servers that one request may be sent to.
        priority: Its rank; 0 is the most urgent.
    """

    name: str
    prefix: str
    destinations: tuple[Destination, ...]
    idempotent: bool
    timeout_s: float = DEFAULT_TIMEOUT_S
    target_s: float = DEFAULT_TIMEOUT_S
    attempts: int = DEFAULT_ATTEMPTS
    priority: int = DEFAULT_PRIORITY


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: The longest head of a request.
        body_bytes: The longest body.
        header_timeout_s: From the first byte of a head to its last.
        idle_timeout_s: Between two requests on one connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RouteTable:
    """One version of the configuration.

    Attributes:
        version: Its number.
        hosts: By host name, the routes with the longest prefix first.
        limits: Bounds on callers.
        services: The names of the services that it knows.
    """

    version: int
    hosts: dict[str, tuple[Route, ...]]
    limits: CallerLimits
    services: frozenset[str]


def sort_host_routes(routes: dict[str, list[Route]]) -> dict[str, tuple[Route, ...]]:
    """Order the routes of each host so that the first match is the longest prefix."""
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in routes.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of a path, or None.

    Args:
        table: The configuration in force.
        host: The value of the Host header.
        path: The path as the caller sent it, without its query.
    """
    name = host.lower()
    routes = table.hosts.get(name) or table.hosts.get(name.partition(":")[0]) or ()
    return next((route for route in routes if path.startswith(route.prefix)), None)


@attrs.define
class SplitTable:
    """Keeps the parts of split routes close to their weights over few requests.

    Attributes:
        credits: By route name and weights, what each destination is owed.
    """

    credits: dict[tuple[str, tuple[Destination, ...]], list[float]] = attrs.field(factory=dict)


def choose_destination(splits: SplitTable, route: Route, random: Random) -> str:
    """Return the service that takes the next request of a route, in turn by weight.

    Args:
        splits: The state of the turns; each begins at a random point, so that the daemons of a
            fleet do not all begin with the same service.
        route: The route.
        random: Gives the starting points.
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
