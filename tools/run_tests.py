"""Runs each test module in its own process and prints a summary of all results."""

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
MAX_PARALLEL_MODULES = 6
MODULE_TIMEOUT_S = 900


@attrs.frozen
class ModuleResult:
    """The result of one test module.

    Attributes:
        module: Its dotted name.
        passed: Identifiers of the tests that passed.
        failed: Identifiers of the tests that did not pass, including skipped ones.
        output: What the module printed, for failures.
    """

    module: str
    passed: list[str]
    failed: list[str]
    output: str


def list_modules() -> list[str]:
    """Return the dotted names of all test modules; those that start real processes come first."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return sorted(names, key=lambda name: "processes" not in name)


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test identifier."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def run_module(module: str) -> ModuleResult:
    """Run one test module in its own process."""
    command = [sys.executable, "-m", "tools.run_tests", "--module", module]
    try:
        finished = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return ModuleResult(module, [], [f"{module} (timeout)"], "timeout")
    try:
        data = json.loads(finished.stdout.splitlines()[-1])
    except (IndexError, json.JSONDecodeError):
        return ModuleResult(module, [], [f"{module} (crashed)"], finished.stdout + finished.stderr)
    return ModuleResult(module, data["passed"], data["failed"], finished.stderr)


def run_in_this_process(module: str) -> None:
    """Run one test module in this process and print its result as JSON."""
    import unittest

    import testtools
    from testscenarios.scenarios import generate_scenarios

    class RecordingResult(testtools.TextTestResult):
        """A test result that also records the tests that passed."""

        def __init__(self) -> None:
            super().__init__(io.StringIO())
            self.passed: list[str] = []

        def addSuccess(self, test: object, details: object = None) -> None:  # noqa: N802
            """Record a test that passed."""
            super().addSuccess(test, details)
            self.passed.append(test.id())

    loaded = unittest.defaultTestLoader.loadTestsFromName(module)
    suite = unittest.TestSuite(generate_scenarios(loaded))
    recorder = RecordingResult()
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
    """Print the failures, the entries of KNOWN-RED.txt and the counts.

    Returns:
        The exit status: 0 if a test passed and only tests listed in KNOWN-RED.txt failed.
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
    """Run all test modules or those named; `--module` runs one in this process."""
    if sys.argv[1:2] == ["--module"]:
        run_in_this_process(sys.argv[2])
        return
    modules = sys.argv[1:] or list_modules()
    with ThreadPoolExecutor(MAX_PARALLEL_MODULES) as pool:
        results = list(pool.map(run_module, modules))
    sys.exit(report(results))


if __name__ == "__main__":
    main()
