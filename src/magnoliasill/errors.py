"""The exceptions of the package; each has a stable code, a message and advice on what to try."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .codes import ErrorCode
    from .mesh.store_items import Item


class MagnoliasillError(Exception):
    """Base class of the package's exceptions."""

    def __init__(self, code: ErrorCode, message: str, advice: str = "") -> None:
        """Describe the failure.

        Args:
            code: The stable code of this kind of failure.
            message: What was wrong, naming the file, key or address concerned.
            advice: What the reader can try next; empty for the remedy in the error catalogue.
        """
        super().__init__(message)
        self.code = code
        self.message = message
        self.advice = advice

    def __str__(self) -> str:
        """Return the code, the message and the advice on one line."""
        text = f"{self.code.value}: {self.message}"
        return f"{text} ({self.advice})" if self.advice else text


class SettingsError(MagnoliasillError):
    """A setting is unknown, malformed or out of its range."""


class ServiceFileError(MagnoliasillError):
    """A service file, or the combination of several, is invalid."""


class ConfigurationError(MagnoliasillError):
    """A received configuration can't be applied."""


class StoreError(MagnoliasillError):
    """A request to the platform's store failed and had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """A write to the platform's store may or may not have taken effect."""


class ConditionFailedError(StoreError):
    """A store transaction was rejected because one of its conditions does not hold."""

    def __init__(self, code: ErrorCode, message: str, items: tuple[Item, ...] = ()) -> None:
        """Describe the failure.

        Args:
            code: The stable code of this kind of failure.
            message: What was wrong.
            items: The current items at the keys of the conditions.
        """
        super().__init__(code, message)
        self.items = items


class LeaseEndedError(StoreError):
    """The lease named in a store request has expired or was revoked."""


class HistoryLostError(StoreError):
    """The requested revisions have been dropped from the store's change history."""


class PublishError(MagnoliasillError):
    """A publish or another change of the configuration was rejected."""


class MessageError(MagnoliasillError):
    """A message from a peer can't be decoded or is addressed to another node."""


class CallError(MagnoliasillError):
    """A call fails without a response from a backend server."""

    def __init__(self, code: ErrorCode, message: str, retry_after_s: float = 0) -> None:
        """Describe the failure.

        Args:
            code: The stable code of this kind of failure.
            message: What was wrong.
            retry_after_s: Seconds after which the caller may retry, or 0 for the default.
        """
        super().__init__(code, message)
        self.retry_after_s = retry_after_s


class AdministrationError(MagnoliasillError):
    """A request to an administration address failed."""
