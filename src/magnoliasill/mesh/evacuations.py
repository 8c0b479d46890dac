"""Data centres whose servers must get no requests, by the operators' orders in the store.

The presence of an order decides, not its content. A sender that has not heard of an order learns of
it from the gate that refuses its request, and then avoids that data centre for a short time. Such a
hint counts only if the sender's copy of the store is older than the order: a newer copy without the
order shows that the order was removed and that the gate has not heard so yet.
"""

from __future__ import annotations

import attrs

EVACUATED_REASON = "evacuated"  # of a gate's refusal
# How long a hint counts. Longer than a configuration usually takes to arrive, and short enough that
# the servers are not idle for long where the removal of the order arrives late.
HINT_S = 2.0
# How long a sender that knows of no order avoids a single gate that does.
GATE_AVOID_S = 0.5
NO_DATA_CENTRES: frozenset[str] = frozenset()


@attrs.define
class Evacuations:
    """The data centres that are being evacuated.

    Attributes:
        orders: The position of each order in the store's history, by data centre.
        hints: Until when each order counts that only gates have reported, by data centre, in
            seconds on the monotonic clock.
    """

    orders: dict[str, int] = attrs.field(factory=dict)
    hints: dict[str, float] = attrs.field(factory=dict)


def apply_evacuation(
    evacuations: Evacuations, data_centre: str, position: int, ordered: bool
) -> bool:
    """Apply an order or its removal, as the store has it; return whether that changes anything.

    Args:
        evacuations: The known orders.
        data_centre: The data centre.
        position: The position of the change in the store's history.
        ordered: Whether the store has an order for the data centre.
    """
    evacuations.hints.pop(data_centre, None)
    known = evacuations.orders.pop(data_centre, None)
    if ordered:
        evacuations.orders[data_centre] = position
    return ordered != (known is not None)


def apply_hint(
    evacuations: Evacuations, data_centre: str, position: int, own_position: int, now: float
) -> bool:
    """Apply an order that a gate reports; return whether the data centre counts as evacuated now.

    Args:
        evacuations: The known orders.
        data_centre: The gate's data centre.
        position: The position of the order in the store's history, or 0 if the gate knows none.
        own_position: The position of the sender's copy of the store.
        now: Seconds on the monotonic clock.
    """
    if data_centre in evacuations.orders:
        return True
    if position <= own_position:
        return False
    evacuations.hints[data_centre] = now + HINT_S
    return True


def is_evacuated(evacuations: Evacuations, data_centre: str, now: float) -> bool:
    """Return whether the servers of a data centre must get no requests."""
    if data_centre in evacuations.orders:
        return True
    return now < evacuations.hints.get(data_centre, now)


def list_evacuated(evacuations: Evacuations, now: float) -> frozenset[str]:
    """Return the data centres whose servers must get no requests."""
    if not evacuations.orders and not evacuations.hints:
        return NO_DATA_CENTRES
    named = evacuations.orders.keys() | evacuations.hints.keys()
    return frozenset(name for name in named if is_evacuated(evacuations, name, now))
