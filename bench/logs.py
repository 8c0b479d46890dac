"""Measures the processor time that a sidecar spends on the log lines of a request.

Run: `python -m bench.logs`; the result is one line of JSON.
"""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING, Any

import fire

from magnoliasill.codes import LogEvent
from magnoliasill.sidecar.log_writer import open_log_writer, write_pending

if TYPE_CHECKING:
    from collections.abc import Callable

REQUESTS = 20_000
LOG_FIELDS: dict[LogEvent, dict[str, Any]] = {
    LogEvent.GATE_ANSWERED: {
        "id": "aebbc614b591dd01",
        "route": "r-lessons",
        "instance": "i-e0e58d5f04",
        "release": "v1",
        "status": 200,
        "queue_s": 0.0,
        "server_s": 0.0129,
    },
    LogEvent.ATTEMPT_ENDED: {
        "id": "aebbc614b591dd01",
        "route": "r-lessons",
        "member": "vm-17",
        "instance": "i-e0e58d5f04",
        "end": "answered",
        "status": 200,
        "seconds": 0.0161,
    },
    LogEvent.REQUEST_ANSWERED: {
        "id": "aebbc614b591dd01",
        "route": "r-lessons",
        "service": "lessons",
        "version": 2,
        "nested": False,
        "attempts": 1,
        "seconds": 0.0174,
    },
}


def main() -> None:
    """Print the microseconds of processor time that one request's lines cost."""
    with open(os.devnull, "wb", buffering=0) as sink:
        log_writer, write = open_log_writer(sink.fileno(), "vm-1", "dc-1", lambda name: None)

        def write_within_limit(event: LogEvent, **fields: Any) -> None:
            log_writer.success_bucket.tokens = log_writer.success_bucket.tokens_per_s
            write(event, **fields)
            write_pending(log_writer)

        def write_over_limit(event: LogEvent, **fields: Any) -> None:
            log_writer.success_bucket.tokens, log_writer.success_bucket.refilled_at = (
                0.0,
                time.monotonic(),
            )
            write(event, **fields)

        baseline_us = _measure_request_us(lambda event, **fields: None)
        result = {
            "lines_a_request": len(LOG_FIELDS),
            "off_us": round(baseline_us, 1),
            "written_us": round(_measure_request_us(write_within_limit), 1),
            "left_out_us": round(_measure_request_us(write_over_limit), 1),
        }
    print(json.dumps(result))


def _measure_request_us(write: Callable[..., None]) -> float:
    started = time.process_time()
    for _ in range(REQUESTS):
        for event, fields in LOG_FIELDS.items():
            write(event, **fields)
    return (time.process_time() - started) / REQUESTS * 1e6


if __name__ == "__main__":
    fire.Fire(main)
