"""Helpers that several benchmarks share: publishing, processor time, memory and quantiles."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from fakes.processes import run_tool

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fakes.processes import DaemonProcess, Fleet

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def publish_folder(fleet: Fleet, folder: Path) -> None:
    """Publish the service files of a folder with the command-line tool."""
    completed = run_tool("publish", str(folder), "--store", fleet.store_url)
    print(completed.stdout, completed.stderr, sep="", end="", file=sys.stderr)
    completed.check_returncode()


def read_cpu_ms(daemon: DaemonProcess) -> float:
    """Return the user and system processor time of a daemon in milliseconds."""
    text = Path(f"/proc/{daemon.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / CLOCK_TICKS_PER_SECOND


def read_memory_mb(daemon: DaemonProcess) -> float:
    """Return the resident memory of a daemon in megabytes."""
    text = Path(f"/proc/{daemon.process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def percentile(values: Sequence[float], quantile: float) -> float:
    """Return a quantile by the nearest-rank method, or 0 if there are no values."""
    sorted_values = sorted(values)
    return (
        sorted_values[min(int(quantile * len(sorted_values)), len(sorted_values) - 1)]
        if sorted_values
        else 0.0
    )
