"""Retries: which attempts may be repeated, within a budget for each service."""

from __future__ import annotations

import attrs

from ..core.outcomes import DID_NOT_RUN, OutcomeKind

MAX_ATTEMPTS = 3
BUDGET_SHARE = 0.1
BUDGET_CAP = 10.0
ATTEMPT_HEADER = "X-Attempt"


@attrs.define
class RetryBudget:
    """The retries that a service's calls have earned."""

    tokens: float = BUDGET_CAP


def earn_retry(budget: RetryBudget) -> None:
    """Count a new call."""
    budget.tokens = min(budget.tokens + BUDGET_SHARE, BUDGET_CAP)


def take_retry(budget: RetryBudget) -> bool:
    """Take one retry from the budget; returns whether there was one."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def may_retry(
    kind: OutcomeKind, idempotent: bool, repeated: bool, attempts: int, budget: RetryBudget
) -> bool:
    """Return whether an attempt without an answer may be followed by another.

    What did not run is sent to another server without a budget: each such end pauses its server,
    so their number is bounded by servers and not by calls.

    Args:
        kind: How the attempt ended.
        idempotent: Whether running the request twice does no harm.
        repeated: Whether the call is itself a retry of a daemon nearer to the first caller.
        attempts: Attempts made.
        budget: The service's budget.
    """
    if attempts >= MAX_ATTEMPTS:
        return False
    if kind in DID_NOT_RUN:
        return True
    return idempotent and not repeated and take_retry(budget)
