"""Outlier detection: temporarily ejects backend servers that fail more often than their peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.outcomes import OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from .upstreams import Upstream

CONSECUTIVE_FAILURES = 5
MIN_CALLS = 20.0
MIN_FAILURE_RATIO = 0.2
MAX_RATIO_TO_PEERS = 3.0
HALF_LIFE_S = 10.0
BASE_EJECTION_S = 3.0
MAX_EJECTION_S = 60.0
EJECTION_RESET_S = 120.0
MAX_EJECTED_SHARE = 1 / 3
MIN_COUNTED_TIMEOUT_S = 0.5

_FAILURES = frozenset({OutcomeKind.FAILED, OutcomeKind.BROKEN, OutcomeKind.TIMED_OUT})


def is_short_timeout(kind: OutcomeKind, seconds: float) -> bool:
    """Return whether a timeout came from a short deadline and is no failure of the server."""
    return kind is OutcomeKind.TIMED_OUT and seconds < MIN_COUNTED_TIMEOUT_S


def count_outcome(entry: Upstream, kind: OutcomeKind, now: float) -> bool:
    """Count the outcome of an attempt.

    Args:
        entry: The backend server.
        kind: How the attempt ended.
        now: Seconds of the node's clock.

    Returns:
        Whether the outcome counts as a failure of the backend server.
    """
    _decay(entry, now)
    entry.calls += 1
    if kind not in _FAILURES:
        if kind is OutcomeKind.SUCCEEDED:
            entry.consecutive_failures = 0
        return False
    entry.failures += 1
    entry.consecutive_failures += 1
    return True


def eject_outlier(entry: Upstream, peers: Collection[Upstream], now: float, random: Random) -> bool:
    """Eject a backend server after a failure if it is an outlier among its peers.

    Args:
        entry: The backend server.
        peers: All backend servers of the same release, this one included.
        now: Seconds of the node's clock.
        random: Adds jitter to the duration of ejections.

    Returns:
        Whether the backend server was ejected by this call.
    """
    if now < entry.ejected_until or not _is_outlier(entry, peers):
        return False
    if not _may_eject(peers, now):
        return False
    _eject(entry, now, random)
    return True


def _is_outlier(entry: Upstream, peers: Collection[Upstream]) -> bool:
    others = [peer for peer in peers if peer is not entry]
    calls = sum(peer.calls for peer in others)
    failures = sum(peer.failures for peer in others)
    peer_failure_ratio = failures / calls if calls else 0.0
    max_failure_ratio = max(MIN_FAILURE_RATIO, MAX_RATIO_TO_PEERS * peer_failure_ratio)
    if entry.consecutive_failures >= CONSECUTIVE_FAILURES:
        return max_failure_ratio < 1.0
    return entry.calls >= MIN_CALLS and entry.failures / entry.calls > max_failure_ratio


def _may_eject(peers: Collection[Upstream], now: float) -> bool:
    if len(peers) < 2:
        return False
    ejected = sum(now < peer.ejected_until for peer in peers)
    return ejected + 1 <= max(1, int(len(peers) * MAX_EJECTED_SHARE))


def _eject(entry: Upstream, now: float, random: Random) -> None:
    if now - entry.ejected_until > EJECTION_RESET_S:
        entry.ejections = 0
    seconds = min(BASE_EJECTION_S * 2**entry.ejections, MAX_EJECTION_S)
    entry.ejected_until = now + seconds * random.uniform(0.9, 1.1)
    entry.ejections += 1
    entry.calls = entry.failures = 0.0
    entry.consecutive_failures = CONSECUTIVE_FAILURES - 1


def _decay(entry: Upstream, now: float) -> None:
    elapsed_s = now - entry.counted_at
    if elapsed_s > 1.0:
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        entry.calls *= factor
        entry.failures *= factor
        entry.counted_at = now
