"""What a node asks its surroundings to do: the outputs of the systems."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeAlias

import attrs

if TYPE_CHECKING:
    from ..codes import LogEvent
    from .messages import Message


@attrs.frozen
class SendMessage:
    """Send a message to a peer's address; it may get lost."""

    address: str
    message: Message


@attrs.frozen
class ResetPeer:
    """Close the connection to a peer's address; the next message opens a new one."""

    address: str


@attrs.frozen
class StoreRead:
    """Read keys of the platform's store; every key that starts with `prefix`, or `keys`."""

    purpose: str
    keys: tuple[str, ...] = ()
    prefix: str = ""


@attrs.frozen
class StoreWatch:
    """Wait for a change of a key after a revision, for at most `wait_ms` milliseconds."""

    purpose: str
    key: str
    after_revision: int
    wait_ms: int


@attrs.frozen
class StoreWrite:
    """Set a key by compare-and-swap.

    Attributes:
        purpose: Names the request in the answer.
        key: The key.
        value: The new value.
        expected_revision: The revision that the key must have, 0 for an absent key.
        lease: The lease whose end deletes the key, or an empty string.
    """

    purpose: str
    key: str
    value: bytes
    expected_revision: int
    lease: str = ""


@attrs.frozen
class StoreDelete:
    """Delete a key by compare-and-swap."""

    purpose: str
    key: str
    expected_revision: int


@attrs.frozen
class LeaseGrant:
    """Ask for a lease of `ttl_ms` milliseconds."""

    purpose: str
    ttl_ms: int


@attrs.frozen
class LeaseKeepAlive:
    """Extend a lease."""

    purpose: str
    lease: str


@attrs.frozen
class LeaseRevoke:
    """End a lease and delete the keys that it keeps."""

    purpose: str
    lease: str


@attrs.frozen
class Log:
    """Write one numbered log event."""

    event: LogEvent
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class ResolveWait:
    """Hand a message to the call that waits for it under a token, if it still does."""

    token: bytes
    message: Message


StoreAction: TypeAlias = (
    StoreRead | StoreWatch | StoreWrite | StoreDelete | LeaseGrant | LeaseKeepAlive | LeaseRevoke
)
Action: TypeAlias = SendMessage | ResetPeer | StoreAction | Log | ResolveWait
