"""Prints the number and share of Python lines in core, edge, fakes, tests, bench and tools.

Core: the modules named by the first import contract in pyproject.toml. Edge: the rest of src.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> None:
    """Print one line for each part of the code base."""
    contracts = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["importlinter"]
    core = {name.split(".")[-1] for name in contracts["contracts"][0]["source_modules"]}
    counts: dict[str, int] = {}
    for folder in ("src", "fakes", "tests", "bench", "tools"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            part = folder if folder != "src" else ("core" if path.stem in core else "edge")
            counts[part] = counts.get(part, 0) + len(path.read_text().splitlines())
    total = sum(counts.values())
    for part, lines in counts.items():
        print(f"{part:6} {lines:6} lines {100 * lines / total:5.1f}%")


if __name__ == "__main__":
    main()
