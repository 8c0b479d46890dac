"""Lets request bodies come over a VM's network link a few at a time.

Handles a service whose requests fill the thin links of its VMs. Bodies that all senders send at
once queue in the network, where new connections, answers and changes of the configuration wait
behind them, also behind those that their senders have given up. So senders ask first, and a gate
asks for a body when its turn has come. What can't arrive in time is refused before it is sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .egress import find_transfer_seconds
from .gate import MAX_LATE_WAIT_SHARE, MIN_TIME_LEFT_SHARE

if TYPE_CHECKING:
    from collections.abc import Callable

ANNOUNCED_S = 0.02  # of a link; asking for a shorter body takes as long as sending it
MAX_ARRIVING = 2  # the second uses the link while the first one's sender is slow or far away
TURN_SHARE = 3.0  # of the time that the link takes for a body, until its turn is passed on
TURN_MARGIN_S = 0.25


@attrs.define(eq=False)
class ExpectedBody:
    """A body that its sender has announced.

    Attributes:
        transfer_s: The seconds that the link takes for it.
        begin: Called once its turn has come.
        overdue_at: When its turn is passed on although it has not arrived, in monotonic seconds.
    """

    transfer_s: float
    begin: Callable[[], None]
    overdue_at: float = 0.0


@attrs.define
class Ingress:
    """The bodies that come over a VM's link.

    Attributes:
        arriving: Those that have their turn.
        waiting: Those that wait for it, in the order in which they were announced.
    """

    arriving: list[ExpectedBody] = attrs.field(factory=list)
    waiting: list[ExpectedBody] = attrs.field(factory=list)


def is_announced(size: int, link_mbps: float) -> bool:
    """Return whether a sender asks before it sends a body.

    Args:
        size: The length of the body in bytes.
        link_mbps: The rate of the receiving VM's link in Mbit/s, or 0 if it is not known.
    """
    return find_transfer_seconds(size, link_mbps) >= ANNOUNCED_S


def estimate_arrival(ingress: Ingress, transfer_s: float) -> float:
    """Return the seconds until a body that is announced now is expected to have arrived."""
    return transfer_s + sum(body.transfer_s for body in (*ingress.arriving, *ingress.waiting))


def find_arrival_refusal(
    arrival_s: float, service_s: float, left_s: float, target_left_s: float, late: bool
) -> str:
    """Return why a body need not be sent, or an empty string.

    Args:
        arrival_s: The seconds until it would have arrived.
        service_s: The usual duration of a request of its route, in seconds.
        left_s: The seconds until its caller stops waiting.
        target_left_s: The seconds until its latency target.
        late: Whether it may be served past its target.
    """
    if arrival_s + MIN_TIME_LEFT_SHARE * service_s >= left_s:
        return "deadline"
    if not late:
        return "target" if arrival_s + service_s > target_left_s else ""
    return "deadline" if arrival_s > MAX_LATE_WAIT_SHARE * left_s else ""


def announce_body(ingress: Ingress, body: ExpectedBody, now: float) -> None:
    """Give a body its turn at once if the link is free, or when others have arrived."""
    ingress.waiting.append(body)
    _give_turns(ingress, now)


def end_turn(ingress: Ingress, body: ExpectedBody, now: float) -> None:
    """Give the next body its turn: this one has arrived, or is not expected any more."""
    if body in ingress.arriving:
        ingress.arriving.remove(body)
    elif body in ingress.waiting:
        ingress.waiting.remove(body)
    _give_turns(ingress, now)


def pass_overdue_turns(ingress: Ingress, now: float) -> None:
    """Give others the turns of bodies that should have arrived; those may arrive beside them."""
    ingress.arriving = [body for body in ingress.arriving if now < body.overdue_at]
    _give_turns(ingress, now)


def _give_turns(ingress: Ingress, now: float) -> None:
    while ingress.waiting and len(ingress.arriving) < MAX_ARRIVING:
        body = ingress.waiting.pop(0)
        ingress.arriving.append(body)
        expected_s = sum(arriving.transfer_s for arriving in ingress.arriving)
        body.overdue_at = now + TURN_SHARE * expected_s + TURN_MARGIN_S
        body.begin()
