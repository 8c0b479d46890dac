"""A sidecar's part in teams' quotas: how many requests of a team may run here in any window.

A sidecar holds an allowance of each team: the number of requests that it may let run in any window
of `quota_window_s`. It counts them by the times at which they were admitted. Allowances of all
sidecars together are at most the team's capacity, which their coordinator divides. A small share
beside that needs no coordinator.
"""

from __future__ import annotations

from collections import deque
from math import floor
from typing import TYPE_CHECKING
from zlib import crc32

import attrs

from .quota_messages import MAX_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Collection

    from .quota_messages import QuotaAnswer
    from .routes import Team
    from .settings import Bounds

NEVER = float("-inf")
# Longer than it takes to replace a coordinator whose VM died: its record lapses within 4 s and it
# is replaced 2 s later. Leases may be 4.5 s old when it dies.
LEASE_S = 16.0
# Where keys are revoked strictly, a VM that is out of touch soon serves no team anyway, so that
# leases need not outlast that, and a successor waits for less.
STRICT_LEASE_SLACK_S = 1.0
RENEWAL_AGE_S = 2.0  # of a lease that is renewed; the answer also tells what became scarce
IDLE_S = 10.0  # without a request, after which an allowance that is not scarce is returned
REPORT_INTERVAL_S = 1.0  # between two reports to a coordinator
URGENT_INTERVAL_S = 0.05  # the same if a request waits for the answer
SHORT_SHARE = 0.9  # of the allowance; more is asked for when more than that is used
REFUSAL_S = 0.5  # how long no request waits for a coordinator that has no more to give
# Parts of the excess: one for shares, another one for shares by outdated tables of members, and the
# others for allowances, which serve more requests.
SLACK_PARTS = 5
RETRY_AFTER_S = 0.5  # where it is not known when the next request is due


@attrs.frozen
class Quota:
    """How many requests of a team may run in any window.

    Attributes:
        capacity: The sum of all sidecars' allowances.
        shared: The sum of their shares, which need no coordinator.
    """

    capacity: int
    shared: int


def find_lease(bounds: Bounds) -> float:
    """Return for how many seconds allowances are valid after the store confirmed their basis."""
    if not bounds.strict_revocation:
        return LEASE_S
    return min(LEASE_S, bounds.revocation_s + STRICT_LEASE_SLACK_S)


def compute_quota(team: Team, bounds: Bounds) -> Quota:
    """Divide what the bound allows a team in a window.

    A part of the excess is left for times at which sidecars differ in how many they are.
    """
    exact = team.rate_per_s * bounds.quota_window_s + team.burst
    slack = exact * bounds.quota_excess + bounds.quota_tolerance
    part = slack / SLACK_PARTS
    capacity = floor(exact + part * (SLACK_PARTS - 2))
    return Quota(min(capacity, MAX_AMOUNT), min(floor(part), MAX_AMOUNT))


def compute_share(shared: int, team: str, position: int | None, members: int) -> int:
    """Return how many requests a sidecar may let run in a window without a coordinator.

    Args:
        shared: The sum of all sidecars' shares.
        team: The team's name; which sidecars get one request more differs between teams.
        position: The sidecar's position among the members by name, or None if it is not one.
        members: The number of members.
    """
    if position is None or not members:
        return 0
    base, extra = divmod(shared, members)
    return base + ((position - crc32(team.encode())) % members < extra)


@attrs.define
class TeamUse:
    """A team's requests at this sidecar, and its allowance.

    Attributes:
        leased: When the requests under the allowance were admitted, in the last window.
        shared: The same of the requests under the share.
        allowance: How many requests may run under it in any window.
        basis: The capacity that the allowance is a part of.
        leased_until: When it expires.
        renew_at: When it is to be renewed.
        counted: What the coordinator counts for this sidecar.
        scarce: Whether what is not used is to be returned soon.
        report: The number of the last report on the team; only its answer counts.
        needed: The requests that it told of.
        requested_at: When a request came last.
        reported_at: When that was sent.
        waiting: The requests that wait for the answer.
        missed: The requests refused since that report.
        refused_until: Until when requests beyond the allowance are refused at once.
    """

    leased: deque[float] = attrs.field(factory=deque)
    shared: deque[float] = attrs.field(factory=deque)
    allowance: int = 0
    basis: int = 0
    leased_until: float = NEVER
    renew_at: float = NEVER
    counted: int = 0
    scarce: bool = False
    report: int = 0
    needed: int = 0
    requested_at: float = NEVER
    reported_at: float = NEVER
    waiting: int = 0
    missed: int = 0
    refused_until: float = NEVER


def update_use(use: TeamUse, capacity: int, window_s: float, now: float) -> None:
    """Forget requests older than a window, an expired lease, and a part of a lowered quota's.

    Args:
        use: The team's use.
        capacity: The team's capacity by the applied configuration.
        window_s: The window in seconds.
        now: Seconds on the monotonic clock.
    """
    for times in (use.leased, use.shared):
        while times and times[0] <= now - window_s:
            times.popleft()
    if now >= use.leased_until:
        use.allowance = 0
    if now >= use.leased_until + window_s:
        use.counted = 0
    if capacity < use.basis:
        use.allowance = use.allowance * capacity // use.basis
        use.basis = capacity


def take_token(use: TeamUse, share: int, now: float) -> bool:
    """Admit a request if the allowance or the share has room; `update_use` was called before."""
    use.requested_at = now
    if len(use.leased) < use.allowance:
        use.leased.append(now)
        return True
    if len(use.shared) < share:
        use.shared.append(now)
        return True
    return False


def count_left(use: TeamUse, capacity: int, share: int, window_s: float, now: float) -> int:
    """Return how many requests may run here now under the allowance and the share; changes nothing.

    Args:
        use: The team's use.
        capacity: The team's capacity by the applied configuration.
        share: What needs no coordinator.
        window_s: The window in seconds.
        now: Seconds on the monotonic clock.
    """
    copy = attrs.evolve(use, leased=deque(use.leased), shared=deque(use.shared))
    update_use(copy, capacity, window_s, now)
    return max(copy.allowance - len(copy.leased), 0) + max(share - len(copy.shared), 0)


def forget_request(use: TeamUse, admitted_at: float | None) -> None:
    """Forget an admitted request that reached no server.

    Args:
        use: The team's use.
        admitted_at: When it was admitted, or None if that is not known; the oldest one is forgotten
            then, which keeps the others counted for longer.
    """
    for times in (use.leased, use.shared):
        if admitted_at is None and times:
            times.popleft()
            return
        if admitted_at in times:
            times.remove(admitted_at)
            return


def needs_report(use: TeamUse, now: float) -> bool:
    """Return whether the coordinator is to be told of the team now."""
    used, pause_s = len(use.leased), now - use.reported_at
    if use.waiting:
        return pause_s >= URGENT_INTERVAL_S
    if use.missed:
        return pause_s >= REFUSAL_S
    if pause_s < REPORT_INTERVAL_S:
        return False
    if not use.counted:
        return False
    is_short = used > SHORT_SHARE * use.allowance and now >= use.refused_until
    if is_short or now >= use.renew_at:
        return True
    has_excess = use.counted > used if use.scarce else now >= use.requested_at + IDLE_S
    return has_excess


def describe_use(use: TeamUse, number: int, now: float) -> tuple[int, int, int, int]:
    """Return what a report says of a team, and note that it is sent."""
    use.report, use.reported_at = number, now
    used, lacking, use.missed = len(use.leased), use.waiting + use.missed, 0
    use.needed = used + lacking
    if now >= use.requested_at + IDLE_S:
        use.allowance = 0
    use.counted = max(use.counted, use.allowance, used)
    amounts = (use.allowance, use.basis, used, lacking)
    return tuple(min(amount, MAX_AMOUNT) for amount in amounts)


def apply_answer(
    uses: dict[str, TeamUse], answer: QuotaAnswer, asked: Collection[str], sent_at: float
) -> None:
    """Adopt the allowances that a coordinator granted.

    Args:
        uses: The use of each team.
        answer: The answer.
        asked: The teams in the report.
        sent_at: When the report was sent; leases count from then, by any coordinator's clock.
    """
    for team in asked:
        use = uses[team]
        if use.report != answer.number:
            continue  # a later report told another coordinator what is held
        granted = answer.teams.get(team)
        if granted is None:
            use.refused_until = sent_at + REFUSAL_S
            continue
        use.counted = max(granted[0], use.allowance, len(use.leased))
        use.allowance, use.basis, use.scarce = granted[0], granted[1], bool(granted[2])
        use.leased_until = sent_at + answer.valid_ms / 1000
        use.renew_at = sent_at + min(RENEWAL_AGE_S, answer.valid_ms / 3000)
        if use.allowance < use.needed:
            use.refused_until = sent_at + REFUSAL_S


def estimate_retry_after(use: TeamUse, window_s: float, now: float) -> float:
    """Return the seconds until the next request of the team may be due here."""
    if 0 < use.allowance <= len(use.leased):
        return max(use.leased[len(use.leased) - use.allowance] + window_s - now, URGENT_INTERVAL_S)
    return RETRY_AFTER_S
