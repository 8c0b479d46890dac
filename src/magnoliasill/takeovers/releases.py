"""Choice of the release for each call, weighted by the share during a takeover."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..core.node import Node
    from ..versions.service_file import ServiceFile


def choose_release(node: Node, service: ServiceFile, route: str = "") -> str:
    """Choose the release that the next call to a service goes to.

    Args:
        node: The node's state.
        service: The service's configuration.
        route: The route's name.
    """
    takeover = node.takeovers.active.get(service.service)
    if takeover is None:
        return service.serving
    share = takeover.shares.get(route, 0.0)
    if share <= 0.0 or (share < 1.0 and node.random.random() >= share):
        return takeover.plan.from_release
    return takeover.plan.to_release
