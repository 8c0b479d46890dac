"""Runs every test module in a process of its own and prints one verdict."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL = 6
MODULE_TIMEOUT_S = 900


@attrs.frozen
class ModuleResult:
    """The outcome of one test module.

    Attributes:
        module: Its dotted name.
        passed: Identifiers of the tests that passed.
        failed: Identifiers of the tests that did not.
        output: What the module printed.
    """

    module: str
    passed: list[str]
    failed: list[str]
    output: str


def list_modules() -> list[str]:
    """Return the dotted names of all test modules, those of real processes first."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: "processes" not in name)


def read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt: the line of each test identifier."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def run_module(module: str) -> ModuleResult:
    """Run one test module in a process of its own."""
    command = [sys.executable, "-m", "tools.run_tests", "--module", module]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return ModuleResult(module, [], [f"{module} (timeout)"], "timeout")
    try:
        data = json.loads(done.stdout.splitlines()[-1])
    except (IndexError, json.JSONDecodeError):
        return ModuleResult(module, [], [f"{module} (crashed)"], done.stdout + done.stderr)
    return ModuleResult(module, data["passed"], data["failed"], done.stderr)


def run_here(module: str) -> None:
    """Run one test module in this process and print its outcome as JSON."""
    import unittest

    import testtools
    from testscenarios.scenarios import generate_scenarios

    class Recorder(testtools.TextTestResult):
        """Remembers the tests that passed."""

        def __init__(self) -> None:
            super().__init__(io.StringIO())
            self.passed: list[str] = []

        def addSuccess(self, test: object, details: object = None) -> None:  # noqa: N802
            """Remember a passed test."""
            super().addSuccess(test, details)
            self.passed.append(test.id())

    loaded = unittest.defaultTestLoader.loadTestsFromName(module)
    suite = unittest.TestSuite(generate_scenarios(loaded))
    recorder = Recorder()
    recorder.startTestRun()
    suite.run(recorder)
    problems = [*recorder.errors, *recorder.failures]
    for test, text in problems:
        print(f"--- {test.id()}\n{text}", file=sys.stderr)
    failed = sorted({test.id() for test, _ in problems})
    failed += [test.id() for test in recorder.unexpectedSuccesses]
    skipped = [test.id() for tests in recorder.skip_reasons.values() for test in tests]
    failed += [f"{name} (skipped)" for name in skipped]
    print(json.dumps({"passed": recorder.passed, "failed": failed}))


def report(results: list[ModuleResult]) -> int:
    """Print failures, known failures and the counts.

    Returns:
        The exit status: 0 if nothing failed but what KNOWN-RED.txt lists.
    """
    known = read_known_red()
    failed = [name for result in results for name in result.failed]
    passed = [name for result in results for name in result.passed]
    unexpected = [name for name in failed if name not in known]
    for result in results:
        if any(name in unexpected for name in result.failed):
            print(f"=== {result.module}\n{result.output}")
    for name, line in known.items():
        state = "passes now" if name in passed else "did not run"
        print(f"KNOWN-RED ({'fails as listed' if name in failed else state}): {line}")
    for name in unexpected:
        print(f"FAILED {name}")
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


def main() -> None:
    """Run everything, or one module where `--module` names it."""
    if sys.argv[1:2] == ["--module"]:
        run_here(sys.argv[2])
        return
    modules = sys.argv[1:] or list_modules()
    with ThreadPoolExecutor(PARALLEL) as pool:
        results = list(pool.map(run_module, modules))
    sys.exit(report(results))


if __name__ == "__main__":
    main()
