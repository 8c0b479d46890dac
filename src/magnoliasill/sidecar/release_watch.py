"""Judges a new release beside its own servers while no leader does, and after its takeover.

The leader collects the counts of all gates several times a second. A gate of the new release that
has not been asked for a while collects them itself; the others are then asked by it and stay
passive. So a bad release is stopped without the store, and without a leader. Leaders decide until a
takeover is completed; the gates go on judging for some time after that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from ..mesh.evidence import Verdict
from ..mesh.takeovers import Phase, ReleaseStop, is_under_review
from .release_counts import (
    collect_counts,
    evaluate_release,
    find_stop,
    record_stop,
    review_release,
)
from .state import find_takeover

if TYPE_CHECKING:
    from ..mesh.gate_counts import CollectedCounts
    from .state import OpenOrder, Sidecar

WATCH_INTERVAL_S = 0.4  # between two evaluations
SILENCE_S = 1.0  # after the last request for counts; the leader sends one every 0.4 s
RANK_DELAY_S = 0.2  # per position in name order, so that usually one gate begins alone
MAX_RANK = 8
# Fewer answers of the established release are no baseline: the new release's failures may have a
# cause that both share.
MIN_BASELINE_ANSWERS = 30


def run_release_watch(sidecar: Sidecar) -> None:
    """Judge the release of this VM's server while nobody else does, until the process ends."""
    while True:
        eventlet.sleep(WATCH_INTERVAL_S)
        open_order = _find_watched_order(sidecar)
        if open_order is not None and _is_unwatched(sidecar, open_order):
            _judge(sidecar, open_order)


def _find_watched_order(sidecar: Sidecar) -> OpenOrder | None:
    """Return the order whose takeover moves or has just moved requests to this VM's server."""
    latest = sidecar.backend.latest
    if sidecar.stop_schedule is not None:
        return None
    open_order = sidecar.orders.get(latest.service) if latest is not None else None
    if open_order is None or open_order.order.release != latest.release:
        return None
    takeover, pending_release = find_takeover(sidecar, latest.service)
    if takeover is None or pending_release:
        return None
    age_s = sidecar.clock() - open_order.seen_at
    is_open = takeover.phase is Phase.RUNNING or is_under_review(takeover, age_s)
    return open_order if is_open else None


def _is_unwatched(sidecar: Sidecar, open_order: OpenOrder) -> bool:
    release = open_order.order.release
    members = sidecar.members.by_service.get(open_order.order.service, {})
    names = sorted(name for name, member in members.items() if member.release == release)
    own_name = sidecar.settings.name
    rank = names.index(own_name) if own_name in names else MAX_RANK
    if sidecar.watches_release:
        rank = 0
    silence_s = SILENCE_S + min(rank, MAX_RANK) * RANK_DELAY_S
    asked_at = max(sidecar.counts_collected_at, open_order.seen_at)
    sidecar.watches_release = sidecar.clock() - asked_at >= silence_s
    return sidecar.watches_release


def _judge(sidecar: Sidecar, open_order: OpenOrder) -> None:
    collected = collect_counts(sidecar, open_order)
    if find_stop(sidecar, open_order) is not None:
        return
    order = open_order.order
    takeover, _ = find_takeover(sidecar, order.service)
    if takeover.phase is Phase.COMPLETED:
        verdict, reason = review_release(sidecar, collected, order)
    elif _count_baseline(collected, order.release) < MIN_BASELINE_ANSWERS:
        return
    else:
        evaluation = evaluate_release(collected, order.release)
        verdict, reason = evaluation.verdict, evaluation.reason
    if verdict is Verdict.BAD:
        stop = ReleaseStop(order.service, order.release, open_order.revision, reason)
        record_stop(sidecar, stop)
        collect_counts(sidecar, open_order)  # tells the other gates


def _count_baseline(collected: CollectedCounts, release: str) -> int:
    return sum(
        route_counts.answers
        for gate in collected.by_process.values()
        if gate.release != release
        for route_counts in gate.counts.values()
    )
