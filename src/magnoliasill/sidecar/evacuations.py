"""Applies the operators' orders to evacuate data centres, at the gate and at the senders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..mesh.evacuations import (
    EVACUATED_REASON,
    GATE_AVOID_S,
    apply_evacuation,
    apply_hint,
    is_evacuated,
)
from ..mesh.gate import refuse_waiting
from ..platform.operator_configuration import EVACUATION_PREFIX
from .cold_servers import record_evacuation_end

if TYPE_CHECKING:
    from ..mesh.hop_headers import GateReport
    from ..mesh.members import Member, MemberCondition
    from ..mesh.store_items import Item
    from .state import Sidecar


def apply_evacuation_item(sidecar: Sidecar, item: Item) -> None:
    """Apply an order to evacuate a data centre, whatever its value, or the removal of one."""
    data_centre, ordered = item.key.removeprefix(EVACUATION_PREFIX), item.value is not None
    if not apply_evacuation(sidecar.evacuations, data_centre, item.revision, ordered):
        return
    is_own = data_centre == sidecar.settings.data_centre
    waiting = len(sidecar.gate.waiting) if is_own else 0
    sidecar.log(
        LogEvent.EVACUATION_ORDERED if ordered else LogEvent.EVACUATION_ENDED,
        name=data_centre,
        own=is_own,
        waiting=waiting,
        revision=item.revision,
    )
    if is_own and ordered:
        refuse_waiting(sidecar.gate)
    elif is_own:
        record_evacuation_end(sidecar)


def find_evacuation_refusal(sidecar: Sidecar) -> str:
    """Return the reason to refuse requests if this VM's data centre is evacuated, else nothing."""
    data_centre = sidecar.settings.data_centre
    if is_evacuated(sidecar.evacuations, data_centre, sidecar.clock()):
        return EVACUATED_REASON
    return ""


def find_own_order(sidecar: Sidecar) -> int:
    """Return the position of the order to evacuate this VM's data centre, or 0 for none.

    An order that only other gates have reported is left out: sidecars that have lost the store
    would otherwise keep each other from noticing its end.
    """
    return sidecar.evacuations.orders.get(sidecar.settings.data_centre, 0)


def record_evacuated(
    sidecar: Sidecar, member: Member, condition: MemberCondition, report: GateReport, now: float
) -> None:
    """Record that a gate refused a request because of an order that this sidecar lacks."""
    condition.avoid_until = max(condition.avoid_until, now + GATE_AVOID_S)
    name, own_position = member.data_centre, sidecar.mirror.revision
    known = is_evacuated(sidecar.evacuations, name, now)
    if not apply_hint(sidecar.evacuations, name, report.evacuated_at, own_position, now):
        sidecar.meters.count("evacuations", "gate_behind")
        return
    if not known:
        sidecar.meters.count("evacuations", "heard")
        sidecar.log(
            LogEvent.EVACUATION_HEARD, name=name, member=member.name, revision=report.evacuated_at
        )
