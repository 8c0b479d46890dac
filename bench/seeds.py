"""Runs a simulation for many seeds, each in a process of its own, since each has its own clock."""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

ROOT = Path(__file__).resolve().parent.parent
RUN_TIMEOUT_S = 300


def run_seeds(
    module: str, seeds: Iterable[int], jobs: int, function: str = "run_seed", **options: Any
) -> dict[int, dict[str, Any]]:
    """Return the figures of each seed, which a function of a module prints as JSON.

    Args:
        module: The dotted name of the module.
        seeds: The seeds.
        jobs: The number of processes that run at the same time.
        function: The name of the function.
        options: Further arguments of the function.

    Raises:
        subprocess.CalledProcessError: If a simulation ended with an error.
    """

    def run(seed: int) -> tuple[int, dict[str, Any]]:
        flags = [f"--{name}={value}" for name, value in options.items()]
        finished = subprocess.run(
            [sys.executable, "-W", "ignore", "-m", module, function, str(seed), *flags],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_S,
            check=True,
        )
        return seed, json.loads(finished.stdout.splitlines()[-1])

    with ThreadPoolExecutor(jobs) as pool:
        return dict(pool.map(run, seeds))
