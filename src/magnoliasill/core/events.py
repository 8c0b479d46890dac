"""What happens to a node: the inputs of the systems."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

if TYPE_CHECKING:
    from .messages import Message


@attrs.frozen
class Tick:
    """A tick interval has passed."""


@attrs.frozen
class MessageReceived:
    """A peer's message arrived."""

    message: Message


@attrs.frozen
class StoreEntry:
    """One key of the platform's store.

    Attributes:
        key: The key.
        value: Its value, empty where the key is absent.
        revision: The store's revision of the last change of this key, 0 where it is absent.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class StoreAnswered:
    """The platform's store answered a request.

    Attributes:
        purpose: The purpose that the request named.
        succeeded: False only where a compare-and-swap found another revision.
        entries: What was read, or the present entry after a compare-and-swap.
        lease: The lease that was granted or kept alive, or an empty string.
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
        purpose: The purpose that the request named.
        unknown: Whether a write may have taken effect.
    """

    purpose: str
    unknown: bool = False


@attrs.frozen
class ServerAnnounced:
    """The backend server on this VM announced itself, or that it is draining."""

    service: str
    release: str
    address: str
    serving: bool = True


Event: TypeAlias = Tick | MessageReceived | StoreAnswered | StoreFailed | ServerAnnounced
