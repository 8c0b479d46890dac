"""Structured logging of numbered events to standard error, one JSON object per line."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import structlog

if TYPE_CHECKING:
    from ..codes import LogEvent


def configure_logs() -> None:
    """Configure structlog to write each event to standard error as one line of JSON."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def bind_logger(daemon: str, data_centre: str) -> Any:
    """Return a logger that adds the daemon's name and data centre to each event."""
    return structlog.get_logger().bind(daemon=daemon, data_centre=data_centre)


def write_log(logger: Any, event: LogEvent, **fields: Any) -> None:
    """Write one log event with its name and number.

    Args:
        logger: The bound logger.
        event: The type of event.
        **fields: The fields that the event catalogue lists for this event.
    """
    logger.info(event.name.lower(), number=int(event), **fields)
