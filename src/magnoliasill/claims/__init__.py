"""Idempotency keys: requests that must not be retried run at most once."""
