"""Events: the inputs of a node's event handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

if TYPE_CHECKING:
    from .messages import Message


@attrs.frozen
class Tick:
    """The periodic timer fired."""


@attrs.frozen
class MessageReceived:
    """A message from a peer arrived."""

    message: Message


@attrs.frozen
class StoreEntry:
    """A key of the platform's store with its value.

    Attributes:
        key: The key.
        value: Its value; empty if the key is absent.
        revision: The store revision that last changed this key; 0 if the key is absent.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class StoreAnswered:
    """The platform's store answered a request.

    Attributes:
        purpose: The `purpose` of the request.
        succeeded: False only if a compare-and-swap found another revision.
        entries: The entries read, or the current entry after a compare-and-swap.
        lease: The lease that was granted or renewed, or an empty string.
        revision: The store's revision at the time of the answer.
    """

    purpose: str
    succeeded: bool = True
    entries: tuple[StoreEntry, ...] = ()
    lease: str = ""
    revision: int = 0


@attrs.frozen
class StoreFailed:
    """The platform's store did not answer a request.

    Attributes:
        purpose: The `purpose` of the request.
        unknown: Whether a write may have taken effect.
    """

    purpose: str
    unknown: bool = False


@attrs.frozen
class ServerAnnounced:
    """The backend server on this VM announced that it is serving or draining."""

    service: str
    release: str
    address: str
    serving: bool = True


Event: TypeAlias = Tick | MessageReceived | StoreAnswered | StoreFailed | ServerAnnounced
