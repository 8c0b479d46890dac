"""Commands that begin only after every argument was understood."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class Pending:
    """A command whose arguments were read, and that has not begun."""

    run: Callable[[], Any]


def defer(command: Callable[..., Any]) -> Callable[..., Pending]:
    """Return a function with the parameters of a command that does not run it yet.

    `fire` refuses an argument that no parameter takes only after it has called the function.

    Args:
        command: The command.
    """

    @functools.wraps(command)
    def read_arguments(*args: Any, **kwargs: Any) -> Pending:
        return Pending(lambda: command(*args, **kwargs))

    return read_arguments


def run_deferred(result: Any) -> Any:
    """Run a pending command and return what it returns; return anything else as it is."""
    return result.run() if isinstance(result, Pending) else result
