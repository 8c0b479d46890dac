"""What the log lines of a sidecar's requests cost in processor time.

Run: `python -m bench.logs`; the result is one line of JSON.
"""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING, Any

import fire

from magnoliasill.codes import LogEvent
from magnoliasill.sidecar.journal import open_log_writer, write_pending

if TYPE_CHECKING:
    from collections.abc import Callable

ROUNDS = 20_000
FIELDS: dict[LogEvent, dict[str, Any]] = {
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
        journal, write = open_log_writer(sink.fileno(), "vm-1", "dc-1", lambda name: None)

        def write_freely(event: LogEvent, **fields: Any) -> None:
            journal.success_bucket.tokens = journal.success_bucket.tokens_per_s
            write(event, **fields)
            write_pending(journal)

        def write_over_the_bound(event: LogEvent, **fields: Any) -> None:
            journal.success_bucket.tokens, journal.success_bucket.refilled_at = (
                0.0,
                time.monotonic(),
            )
            write(event, **fields)

        off = _measure(lambda event, **fields: None)
        result = {
            "lines_a_request": len(FIELDS),
            "off_us": round(off, 1),
            "written_us": round(_measure(write_freely), 1),
            "left_out_us": round(_measure(write_over_the_bound), 1),
        }
    print(json.dumps(result))


def _measure(write: Callable[..., None]) -> float:
    started = time.process_time()
    for _ in range(ROUNDS):
        for event, fields in FIELDS.items():
            write(event, **fields)
    return (time.process_time() - started) / ROUNDS * 1e6


if __name__ == "__main__":
    fire.Fire(main)
