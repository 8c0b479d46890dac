"""Applies takeover orders and the records of takeovers, from the store or from other sidecars.

A store that comes back from an older copy may lack the newest of them. What this sidecar knows then
stays in force, and the leader writes it to the store again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import ErrorCode, LogEvent
from ..errors import ConfigurationError
from ..mesh.positions import is_earlier_era
from ..mesh.records import TAKEOVER_PREFIX, decode_takeover
from ..mesh.restored_takeovers import adopt_order, is_outdated_decision
from ..platform.operator_configuration import ORDER_PREFIX, decode_order
from .state import OpenOrder, find_takeover, log_takeover

if TYPE_CHECKING:
    from ..mesh.store_items import Item
    from ..mesh.takeovers import Order, Takeover
    from .state import Sidecar

MAX_REPLACED_ORDERS = 8  # of a service; a copy is some seconds old


def apply_order_item(sidecar: Sidecar, item: Item) -> None:
    """Apply an operator's order, or the removal of one.

    Raises:
        ConfigurationError: If the order is malformed or names another service.
    """
    service = item.key.removeprefix(ORDER_PREFIX)
    known = sidecar.orders.get(service)
    restored = known is not None and is_earlier_era(known.revision, item.revision)
    if item.value is None:
        if not restored:  # else the operator writes it again
            sidecar.orders.pop(service, None)
        return
    order = decode_order(item.value)
    if order.service != service:
        message = f"order for {order.service} is stored under the key of {service}"
        raise ConfigurationError(ErrorCode.FILE_INVALID, message)
    if restored and order == known.order:
        _move_order(sidecar, known, item.revision)
    elif known is None or (
        known.revision < item.revision and not (restored and order in known.replaced)
    ):
        _open_order(sidecar, order, item.revision)


def _open_order(sidecar: Sidecar, order: Order, revision: int) -> None:
    known = sidecar.orders.get(order.service)
    replaced = (*known.replaced, known.order)[-MAX_REPLACED_ORDERS:] if known else ()
    sidecar.orders[order.service] = OpenOrder(order, revision, sidecar.clock(), replaced)
    _adopt_position(sidecar, order.service)
    sidecar.log(
        LogEvent.ORDER_SEEN,
        service=order.service,
        release=order.release,
        duration_s=order.duration_s,
        revision=revision,
    )


def _move_order(sidecar: Sidecar, known: OpenOrder, revision: int) -> None:
    """Give an order and all that refers to it the position that it has in a later era."""
    collected = sidecar.collected_counts.get(known.order.service)
    if collected is not None and collected.order_revision == known.revision:
        collected.order_revision = revision
    known.revision = revision
    _adopt_position(sidecar, known.order.service)


def _adopt_position(sidecar: Sidecar, service: str) -> None:
    open_order = sidecar.orders.get(service)
    if open_order is None:
        return
    revision, release = open_order.revision, open_order.order.release
    if service in sidecar.takeovers:
        takeover, position = sidecar.takeovers[service]
        adopted = adopt_order(takeover, revision, release)
        if adopted != takeover:
            sidecar.takeovers[service] = (adopted, position)
            sidecar.unstored_takeovers.add(service)
    if service in sidecar.stops:
        sidecar.stops[service] = adopt_order(sidecar.stops[service], revision, release)


def apply_takeover_item(sidecar: Sidecar, item: Item) -> None:
    """Apply the record of a takeover; its removal does not revert the decision.

    Raises:
        ConfigurationError: If the record is malformed.
    """
    service = item.key.removeprefix(TAKEOVER_PREFIX)
    known, position = sidecar.takeovers.get(service, (None, 0))
    restored = service in sidecar.unstored_takeovers or is_earlier_era(position, item.revision)
    if item.value is None:
        if known is not None and restored:
            sidecar.takeovers[service] = (known, 0)
            sidecar.unstored_takeovers.add(service)
        return
    takeover = decode_takeover(item.value)
    if known is not None and is_outdated_decision(takeover, known, restored):
        sidecar.takeovers[service] = (known, item.revision)
        sidecar.unstored_takeovers.add(service)
        return
    before, _ = find_takeover(sidecar, service)
    sidecar.unstored_takeovers.discard(service)
    sidecar.takeovers[service] = (takeover, item.revision)
    _adopt_position(sidecar, service)
    if before is None or (before.phase, before.share) != (takeover.phase, takeover.share):
        log_takeover(sidecar, takeover, item.revision)


def learn_decision(sidecar: Sidecar, takeover: Takeover) -> None:
    """Take over a newer state of a takeover that the store has lost, from another sidecar."""
    service = takeover.service
    known, position = sidecar.takeovers.get(service, (None, 0))
    if known is not None and not is_outdated_decision(known, takeover, restored=True):
        return
    sidecar.takeovers[service] = (takeover, position)
    sidecar.unstored_takeovers.add(service)
    _adopt_position(sidecar, service)
    log_takeover(sidecar, takeover, position)
