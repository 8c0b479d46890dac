"""At most once: a key is claimed before its request is sent to a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .actions import StoreWrite
from .codes import ErrorCode
from .errors import CallError
from .manifest import hash_blob

if TYPE_CHECKING:
    from .store import StoreFunction

CLAIM_PREFIX = "claim/"


def claim_key(store: StoreFunction, service: str, key: str, body: bytes) -> None:
    """Claim a caller's key, so that no other request with it runs.

    Args:
        store: Performs requests to the platform's store.
        service: The service that the key belongs to.
        key: The caller's idempotency key.
        body: The request's body, whose hash is kept with the claim.

    Raises:
        CallError: If the key was claimed before.
        StoreError: If the store did not answer.
    """
    name = f"{CLAIM_PREFIX}{service}/{hash_blob(key.encode())}"
    answer = store(StoreWrite("claim", name, hash_blob(body).encode(), 0))
    if not answer.succeeded:
        raise CallError(ErrorCode.OUTCOME_UNKNOWN, "this key was used before")
