"""Retries: decides which failed attempts are retried, within a retry budget per service."""

from __future__ import annotations

import attrs

from ..core.outcomes import DID_NOT_RUN, OutcomeKind

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.1
MAX_RETRY_TOKENS = 10.0
ATTEMPT_HEADER = "X-Attempt"


@attrs.define
class RetryBudget:
    """Token bucket of a service's retries; each new call adds `RETRY_RATIO` tokens."""

    tokens: float = MAX_RETRY_TOKENS


def add_retry_tokens(budget: RetryBudget) -> None:
    """Add the tokens for a new call to the budget."""
    budget.tokens = min(budget.tokens + RETRY_RATIO, MAX_RETRY_TOKENS)


def try_acquire_retry(budget: RetryBudget) -> bool:
    """Take one retry from the budget; return whether one was available."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def may_retry(
    kind: OutcomeKind, idempotent: bool, is_retry: bool, attempts: int, budget: RetryBudget
) -> bool:
    """Return whether an attempt without an answer may be retried.

    A request that did not run is sent to another server without using the budget. Each such attempt
    makes its server back off, so their number is bounded by servers and not by calls.

    Args:
        kind: How the attempt ended.
        idempotent: Whether the request can be run twice without harm.
        is_retry: Whether the call is itself a retry by a daemon closer to the original caller.
        attempts: Number of attempts made so far.
        budget: The service's retry budget.
    """
    if attempts >= MAX_ATTEMPTS:
        return False
    if kind in DID_NOT_RUN:
        return True
    return idempotent and not is_retry and try_acquire_retry(budget)
