"""The route table: which service and route a call belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .service_file import Route, ServiceFile

WILDCARD = "/*"


@attrs.frozen
class RouteTarget:
    """A route together with the service that it belongs to."""

    service: ServiceFile
    route: Route


@attrs.frozen
class RouteTable:
    """The routes of all services, ready for lookup.

    Attributes:
        exact: Targets by method and path.
        prefixes: Targets by method and the path before the wildcard.
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
    """Find the route of a call: an exact path first, else the longest wildcard.

    Args:
        table: The compiled routes.
        method: The HTTP method, in capitals.
        path: The path without its query.

    Returns:
        The target, or None if no route matches.
    """
    target = table.exact.get((method, path))
    if target is not None:
        return target
    end = path.rfind("/")
    while end > 0:
        target = table.prefixes.get((method, path[:end]))
        if target is not None:
            return target
        end = path.rfind("/", 0, end)
    return None
