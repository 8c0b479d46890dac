"""Refuses requests at the caller's port while the event loop of this process is late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from ..codes import ErrorCode
from ..errors import CallError
from ..mesh.loop_lag import find_refusal_share, is_hopeless, record_lag, schedule_measurement
from ..mesh.retry_after import RetryAfterState, choose_retry_after, count_arrival
from .state import find_own_lag

if TYPE_CHECKING:
    from .forwarding import Request
    from .state import Sidecar

MEASUREMENT_INTERVAL_S = 0.05


def measure_lag(sidecar: Sidecar) -> None:
    """Measure how late the event loop resumes what is due, until the process ends."""
    while True:
        schedule_measurement(sidecar.loop_lag, sidecar.clock() + MEASUREMENT_INTERVAL_S)
        eventlet.sleep(MEASUREMENT_INTERVAL_S)
        sidecar.meters.observe("loop_lag", sidecar.clock() - sidecar.loop_lag.due_at)
        record_lag(sidecar.loop_lag, sidecar.clock())


def refuse_excess(sidecar: Sidecar, request: Request) -> None:
    """Refuse a request that this process has no time for.

    A request that another one waits for is refused only if it can't be answered in time, since the
    work that was done for the other one would be lost.

    Args:
        sidecar: State of this sidecar.
        request: The request, as it arrived.

    Raises:
        CallError: If it is refused.
    """
    lag_s = find_own_lag(sidecar)
    left_s = request.answer_deadline - sidecar.clock()
    is_excess = not request.nested and sidecar.random.random() < find_refusal_share(lag_s)
    if not is_excess and not is_hopeless(lag_s, left_s):
        return
    sidecar.meters.count("shed", "excess" if is_excess else "hopeless")
    state = sidecar.retry_after_states.setdefault(request.service, RetryAfterState())
    count_arrival(state, request.arrived_at)
    left_s = request.caller_deadline - sidecar.clock()
    retry_after_s = choose_retry_after(state, left_s, sidecar.random)
    message = f"the daemon is {lag_s:.2f} s late"
    raise CallError(ErrorCode.OVERLOADED, message, max(retry_after_s, 0.001))
