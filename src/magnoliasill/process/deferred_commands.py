"""Defers commands until `fire` has accepted every command-line argument."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class DeferredCommand:
    """A command with its parsed arguments, not yet started."""

    run: Callable[[], Any]


def defer(command: Callable[..., Any]) -> Callable[..., DeferredCommand]:
    """Wrap a command so that calling it captures the arguments without running it.

    `fire` rejects surplus arguments only after it has called the function, so that a plain command
    would already have run.

    Args:
        command: The function to wrap.
    """

    @functools.wraps(command)
    def capture_arguments(*args: Any, **kwargs: Any) -> DeferredCommand:
        return DeferredCommand(lambda: command(*args, **kwargs))

    return capture_arguments


def run_deferred(result: Any) -> Any:
    """Run a deferred command and return its result; return any other value unchanged."""
    return result.run() if isinstance(result, DeferredCommand) else result
