"""The choice of the release that a call goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..core.node import Node
    from ..versions.service_file import ServiceFile


def choose_release(node: Node, service: ServiceFile, route: str = "") -> str:
    """Return the release that the next call of a service goes to.

    Args:
        node: The node's tables.
        service: The service as it is configured.
        route: The route's name.
    """
    takeover = node.takeovers.active.get(service.service)
    if takeover is None:
        return service.serving
    share = takeover.shares.get(route, 0.0)
    if share <= 0.0 or (share < 1.0 and node.random.random() >= share):
        return takeover.plan.from_release
    return takeover.plan.to_release
