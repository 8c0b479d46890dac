"""Counts what a VM's network link carries, and logs what fills it.

Only what this process reads and writes is counted: bytes of requests that their senders gave up
while they were on the way use the link as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from ..codes import LogEvent
from ..mesh.egress import BITS_PER_BYTE

if TYPE_CHECKING:
    from collections import Counter

    from .metrics import Meters
    from .state import Sidecar

HEAD_BYTES = 600  # roughly, of a message's head and its packets
REPORT_INTERVAL_S = 1.0
FILLED_SHARE = 0.6  # of the link; what was given up on the way is not counted
_RECEIVED = "received_"
_SENT = "sent_"


def count_received(sidecar: Sidecar, kind: str, size: int) -> None:
    """Count a message that came over the link, with the size of its body in bytes."""
    sidecar.meters.count("link", _RECEIVED + kind, size + HEAD_BYTES)


def count_sent(sidecar: Sidecar, kind: str, size: int) -> None:
    """Count a message that goes over the link, with the size of its body in bytes."""
    sidecar.meters.count("link", _SENT + kind, size + HEAD_BYTES)


def count_store_answer(meters: Meters, size: int) -> None:
    """Count an answer of the store, with the size of its body in bytes."""
    meters.count("link", _RECEIVED + "store", size + HEAD_BYTES)


def watch_link_use(sidecar: Sidecar) -> None:
    """Log what filled the link in the last second, until the process ends."""
    counter = sidecar.meters.counters["link"]
    before = counter.copy()
    while True:
        eventlet.sleep(REPORT_INTERVAL_S)
        _report_filled(sidecar, counter - before)
        before = counter.copy()


def _report_filled(sidecar: Sidecar, used: Counter[str]) -> None:
    """Log the use of the link since the last report if it was filled in a direction."""
    capacity = sidecar.settings.link_mbps * 1e6 / BITS_PER_BYTE * REPORT_INTERVAL_S
    for prefix in (_RECEIVED, _SENT):
        kinds = {
            name.removeprefix(prefix): size
            for name, size in used.items()
            if name.startswith(prefix)
        }
        if capacity > 0 and sum(kinds.values()) >= FILLED_SHARE * capacity:
            sidecar.log(
                LogEvent.LINK_FILLED,
                direction=prefix.removesuffix("_"),
                share=round(sum(kinds.values()) / capacity, 2),
                kinds=kinds,
            )
