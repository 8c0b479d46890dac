"""Paces large answers on a VM's network link.

Handles a service whose answers fill the thin links of its VMs. Bytes that the link can't carry yet
would queue in the network, where small answers, acknowledgements and new connections wait behind
them. Large answers are sent one after another instead, so that each arrives as early as possible
and small ones overtake them.
"""

from __future__ import annotations

import attrs

SMALL_ANSWER_BYTES = 16_384  # takes about 20 ms on a link of 7.5 Mbit/s
PIECE_BYTES = 8_192  # of a large answer, between which small ones are sent
USABLE_SHARE = 0.9  # of a link, beside headers, acknowledgements and requests
SIZE_SMOOTHING = 0.1  # weight of the newest answer in the moving average of a route's answers
BITS_PER_BYTE = 8


@attrs.define
class Egress:
    """The expected use of a VM's link by answers to other VMs.

    Attributes:
        free_at: When all answers that are ready are sent, in seconds on the monotonic clock.
        answer_bytes: The moving average of the size of an answer, by route.
    """

    free_at: float = 0.0
    answer_bytes: dict[str, float] = attrs.field(factory=dict)


def find_transfer_seconds(size: float, link_mbps: float) -> float:
    """Return the seconds that a link takes for a number of bytes, 0 if its rate is not known.

    Args:
        size: The number of bytes.
        link_mbps: The rate of the link in Mbit/s, or 0.
    """
    if link_mbps <= 0:
        return 0.0
    return size * BITS_PER_BYTE / (USABLE_SHARE * link_mbps * 1e6)


def find_backlog(egress: Egress, now: float) -> float:
    """Return the seconds until the link has sent all answers that are ready."""
    return max(egress.free_at - now, 0.0)


def estimate_delivery(egress: Egress, route: str, link_mbps: float, now: float) -> float:
    """Return the seconds from the end of a run until its answer is expected to be sent.

    Args:
        egress: The use of the link.
        route: The request's route.
        link_mbps: The rate of the link in Mbit/s, or 0 if it is not known.
        now: Seconds on the monotonic clock.
    """
    size = egress.answer_bytes.get(route, 0.0)
    if size <= SMALL_ANSWER_BYTES:
        return 0.0
    return find_backlog(egress, now) + find_transfer_seconds(size, link_mbps)


def observe_size(egress: Egress, route: str, size: int) -> None:
    """Update the usual size of a route's answers, in bytes."""
    average = egress.answer_bytes.get(route, float(size))
    egress.answer_bytes[route] = average + SIZE_SMOOTHING * (size - average)


def reserve_link(egress: Egress, size: int, link_mbps: float, now: float) -> float:
    """Reserve the link for an answer; return the seconds until the link is free for it.

    The time is reserved whether or not the other end reads, so that one that doesn't holds up none
    of the answers after it.

    Args:
        egress: The use of the link.
        size: The number of bytes.
        link_mbps: The rate of the link in Mbit/s, or 0 if it is not known.
        now: Seconds on the monotonic clock.
    """
    wait_s = find_backlog(egress, now)
    egress.free_at = now + wait_s + find_transfer_seconds(size, link_mbps)
    return wait_s
