"""The choice of the release that a call goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .node import Node
    from .service_file import ServiceFile


def choose_release(node: Node, service: ServiceFile) -> str:
    """Return the release that the next call of a service goes to.

    Args:
        node: The node's tables.
        service: The service as it is configured.
    """
    return service.serving
