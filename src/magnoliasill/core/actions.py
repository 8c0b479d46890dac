"""Actions: the side effects that event handlers return for the daemon to carry out.

Handlers do no I/O themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

import attrs

if TYPE_CHECKING:
    from ..codes import LogEvent
    from .messages import Message


@attrs.frozen
class SendMessage:
    """Send a message to a peer's address; delivery is not guaranteed."""

    address: str
    message: Message


@attrs.frozen
class ResetPeer:
    """Close the connection to a peer's address; the next message opens a new one."""

    address: str


@attrs.frozen
class StoreRead:
    """Read keys from the platform's store: `keys`, or every key that starts with `prefix`."""

    purpose: str
    keys: tuple[str, ...] = ()
    prefix: str = ""


@attrs.frozen
class StoreWatch:
    """Wait up to `wait_ms` milliseconds for a key to change after `after_revision`."""

    purpose: str
    key: str
    after_revision: int
    wait_ms: int


@attrs.frozen
class StoreWrite:
    """Set a key in the platform's store by compare-and-swap.

    Attributes:
        purpose: Identifies the request in the store's answer.
        key: The key to set.
        value: The new value.
        expected_revision: The revision that the key must have; 0 if it must be absent.
        lease: The lease whose expiry deletes the key, or an empty string.
    """

    purpose: str
    key: str
    value: bytes
    expected_revision: int
    lease: str = ""


@attrs.frozen
class StoreDelete:
    """Delete a key from the platform's store by compare-and-swap."""

    purpose: str
    key: str
    expected_revision: int


@attrs.frozen
class LeaseGrant:
    """Request a lease of `ttl_ms` milliseconds from the platform's store."""

    purpose: str
    ttl_ms: int


@attrs.frozen
class LeaseKeepAlive:
    """Renew a lease of the platform's store."""

    purpose: str
    lease: str


@attrs.frozen
class LeaseRevoke:
    """Revoke a lease, which deletes the keys attached to it."""

    purpose: str
    lease: str


@attrs.frozen
class Log:
    """Write one log event of the event catalogue."""

    event: LogEvent
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class ResolveWait:
    """Pass a message to the call that waits for it under `token`, if it is still waiting."""

    token: bytes
    message: Message


StoreAction: TypeAlias = (
    StoreRead | StoreWatch | StoreWrite | StoreDelete | LeaseGrant | LeaseKeepAlive | LeaseRevoke
)
Action: TypeAlias = SendMessage | ResetPeer | StoreAction | Log | ResolveWait
