"""The base of every error: a code, a message, and what to try next."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .codes import ErrorCode
    from .mesh.items import Item


class MagnoliasillError(Exception):
    """A failure with a stable code."""

    def __init__(self, code: ErrorCode, message: str, advice: str = "") -> None:
        """Describe the failure.

        Args:
            code: The stable code of this kind of failure.
            message: What was wrong, with the names that locate it.
            advice: What the reader can try next, or an empty string.
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
    """A service file, or the set of them, is not acceptable."""


class ConfigurationError(MagnoliasillError):
    """A received configuration can't be applied."""


class StoreError(MagnoliasillError):
    """A request to the platform's store failed without taking effect."""


class StoreOutcomeUnknownError(StoreError):
    """A write to the platform's store may or may not have taken effect."""


class ConditionFailedError(StoreError):
    """A transaction was not carried out, because one of its conditions does not hold."""

    def __init__(self, code: ErrorCode, message: str, items: tuple[Item, ...] = ()) -> None:
        """Describe the failure.

        Args:
            code: The stable code of this kind of failure.
            message: What was wrong.
            items: The items of the conditions as they are.
        """
        super().__init__(code, message)
        self.items = items


class LeaseEndedError(StoreError):
    """The lease that a request names has ended."""


class HistoryLostError(StoreError):
    """The store no longer holds the changes that were asked for."""


class PublishError(MagnoliasillError):
    """A publish was not accepted."""


class MessageError(MagnoliasillError):
    """A message from a peer can't be decoded or is not meant for this node."""


class CallError(MagnoliasillError):
    """A call can't be answered by a backend server."""

    def __init__(self, code: ErrorCode, message: str, retry_after_s: float = 0) -> None:
        """Describe the failure.

        Args:
            code: The stable code of this kind of failure.
            message: What was wrong.
            retry_after_s: Seconds after which the caller may return, or 0 for the default.
        """
        super().__init__(code, message)
        self.retry_after_s = retry_after_s


class AdministrationError(MagnoliasillError):
    """A request to an administration address failed."""
