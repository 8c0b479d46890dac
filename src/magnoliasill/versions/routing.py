"""Finds the service and the route that a call belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .service_file import Route, ServiceFile

WILDCARD = "/*"


@attrs.frozen
class RouteTarget:
    """A route and the service that it belongs to."""

    service: ServiceFile
    route: Route


@attrs.frozen
class RouteTable:
    """The routes of all services, indexed for lookup.

    Attributes:
        exact: The targets of routes without a wildcard, by method and path.
        prefixes: The targets of wildcard routes, by method and the path before the wildcard.
    """

    exact: dict[tuple[str, str], RouteTarget]
    prefixes: dict[tuple[str, str], RouteTarget]


def compile_routes(services: Mapping[str, ServiceFile]) -> RouteTable:
    """Build the route table of a set of services."""
    table = RouteTable({}, {})
    for service in services.values():
        for route in service.routes:
            target = RouteTarget(service, route)
            if route.path.endswith(WILDCARD):
                table.prefixes[(route.method, route.path.removesuffix(WILDCARD))] = target
            else:
                table.exact[(route.method, route.path)] = target
    return table


def find_route(table: RouteTable, method: str, path: str) -> RouteTarget | None:
    """Find the route of a call: an exact match, else the wildcard with the longest prefix.

    Args:
        table: The compiled routes.
        method: The HTTP method, in upper case.
        path: The path, without a query string.

    Returns:
        The target, or None if no route matches.
    """
    target = table.exact.get((method, path))
    if target is not None:
        return target
    prefix_end = path.rfind("/")
    while prefix_end > 0:
        target = table.prefixes.get((method, path[:prefix_end]))
        if target is not None:
            return target
        prefix_end = path.rfind("/", 0, prefix_end)
    return None
