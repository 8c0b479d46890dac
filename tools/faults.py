"""Builds docs/FAULTS.md, the matrix of faults by step, from the scenarios of the tests."""

from __future__ import annotations

import importlib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs

from .run_tests import read_known_red

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ROOT = Path(__file__).resolve().parent.parent
PROVED = "proved"
NOT_RUN = "not run"
FAILS = "fails"
CONVERGES_LATER = "allowed: it converges once the store answers again"


@attrs.frozen
class FaultTable:
    """One table of the page, with a row for each step and a column for each fault.

    Attributes:
        title: The heading of the table.
        source: The test class, or the test module that defines `FAULT_CELLS`.
        cells: The state by step and fault.
        notes: Descriptions of steps and faults, from the docstrings in the tests.
    """

    title: str
    source: str
    cells: dict[tuple[str, str], str]
    notes: dict[str, str]


def _get_step_and_fault(name: str, values: dict[str, Any]) -> tuple[Any, Any]:
    return values["step"], values["fault"]


def _get_attempt_ends(name: str, values: dict[str, Any]) -> tuple[str, str]:
    first, second = values["ends"]
    kind = "idempotent" if values["idempotent"] else "not to be repeated"
    return f"{kind}: {first}", f"then {second}"


def _split_scenario_name(name: str, values: dict[str, Any]) -> tuple[str, str]:
    step, fault = name.split("/")
    return step, fault


# Tests with a scenario for each cell: title, module, class, test, and a function that returns the
# step and the fault of a scenario.
SCENARIOS = (
    (
        "Configuration: steps of a version on its way",
        "test_faults",
        "FaultTableTest",
        "test_cell",
        _get_step_and_fault,
    ),
    (
        "At most once: steps of a claimed request",
        "claims.test_idempotency",
        "FaultTableTest",
        "test_at_most_once",
        _get_step_and_fault,
    ),
    (
        "Calls: the end of the first attempt, then of the second",
        "calls.test_forwarder",
        "FaultMatrixTest",
        "test_verdict_is_true",
        _get_attempt_ends,
    ),
    (
        "Takeover of a good release: what happens to its controller",
        "takeovers.test_controller",
        "GoodReleaseTest",
        "test_completed_in_time",
        _split_scenario_name,
    ),
    (
        "Takeover of a release that goes bad",
        "takeovers.test_collecting",
        "BadReleaseTest",
        "test_taken_back",
        _split_scenario_name,
    ),
)
TITLES = {"test_publisher": "Publishing: requests to the platform's store"}

# The faults that the users expect, the tests that cause each of them, and the state.
EXPECTED_FAULTS = (
    (
        "daemons die, also in herds, and reconnect in storms",
        "test_faults, test_relays.PlatformLoadTest, test_processes_spread, test_processes_once",
        PROVED,
    ),
    (
        "the platform's store is down, slow or loses answers",
        "test_faults, test_publisher, test_idempotency, test_processes_once",
        PROVED,
    ),
    (
        "the platform's store comes back from an older copy",
        "test_store_restoration, test_store_era, test_store, test_publisher",
        "partly: claims of idempotency keys are not played",
    ),
    ("updates cross each other in flight", "test_faults, test_orders", PROVED),
    (
        "leases lapse while their holder is paused",
        "test_faults, test_idempotency.PausedHolderTest, test_processes_spread",
        PROVED,
    ),
    (
        "operators race each other",
        "test_publisher, test_administration, test_processes_administration",
        PROVED,
    ),
    (
        "data centres are cut off from each other or from the platform",
        "test_faults, test_failure_detection, test_processes_spread",
        PROVED,
    ),
    (
        "a release is bad: at once, late, under load, on one route",
        "test_rollout, test_sequential_tests, test_collecting, test_controller",
        "partly: over synthetic outcomes with virtual clocks",
    ),
    (
        "a request crashes each backend server that runs it",
        "test_crashes, test_processes_once, test_crashing_requests, test_crash_guard",
        PROVED,
    ),
    (
        "open connections go silent",
        "test_exchange.SilentTest, test_faults, test_http_exchange",
        PROVED,
    ),
    (
        "backend servers drain, start cold, shed load, report late or falsely",
        "test_forwarder, test_failure_detection",
        "partly: false reports and cold starts with real backend servers are not run",
    ),
    (
        "several of these at once, or twice",
        "test_orders, test_processes_once",
        "partly: pairs of configuration faults in random orders; not every pair",
    ),
)


def build_faults_page() -> str:
    """Return the text of docs/FAULTS.md."""
    lines = [
        "# Faults",
        "",
        "Generated by `make docs`; a test fails when this page is stale.",
        "",
        "Each cell stands for one test that CI runs: the fault comes at the step, and the test",
        "checks what must hold. `proved` passes, `fails` is listed in KNOWN-RED.txt, `allowed`",
        "gives its reason, `not run` has no test.",
        "",
        "## What is expected to fail",
        "",
        "| Fault | Caused in | State |",
        "| --- | --- | --- |",
    ]
    lines += [f"| {fault} | {source} | {state} |" for fault, source, state in EXPECTED_FAULTS]
    for table in collect_tables():
        lines += ["", *_format_table(table)]
    return "\n".join(lines) + "\n"


def collect_tables() -> list[FaultTable]:
    """Return the tables of all tests that cover faults."""
    tables = [_read_scenarios(*entry) for entry in SCENARIOS]
    for path in sorted((ROOT / "tests").rglob("test_*.py"), key=lambda found: found.stem):
        if "\nFAULT_CELLS" not in path.read_text(encoding="utf-8"):
            continue
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        module = importlib.import_module(name)
        title = TITLES.get(path.stem, path.stem.removeprefix("test_").replace("_", " "))
        tables.append(FaultTable(title, name, dict(module.FAULT_CELLS), {}))
    return tables


def _read_scenarios(
    title: str,
    module: str,
    class_name: str,
    test: str,
    get_step_and_fault: Callable[[str, dict[str, Any]], Any],
) -> FaultTable:
    test_module = importlib.import_module(f"tests.{module}")
    test_class = getattr(test_module, class_name)
    without_path = getattr(test_module, "STORE_UNREACHABLE", ())
    known_red = read_known_red()
    cells: dict[tuple[str, str], str] = {}
    notes: dict[str, str] = {}
    for name, values in test_class.scenarios:
        step, fault = get_step_and_fault(name, values)
        test_id = f"tests.{module}.{class_name}.{test}({name})"
        state = CONVERGES_LATER if (step, fault) in without_path else PROVED
        cells[_label(step), _label(fault)] = FAILS if test_id in known_red else state
        for part in (step, fault):
            if getattr(part, "__doc__", None) and callable(part):
                notes[_label(part)] = part.__doc__.splitlines()[0]
    return FaultTable(title, f"tests.{module}.{class_name}", cells, notes)


def _label(part: Any) -> str:
    name = getattr(part, "__name__", str(part))
    return name.removeprefix("step_").removeprefix("fault_").replace("_", " ")


def _format_table(table: FaultTable) -> Iterable[str]:
    steps = list(dict.fromkeys(step for step, _ in table.cells))
    faults = list(dict.fromkeys(fault for _, fault in table.cells))
    states = list(table.cells.values())
    counts = ", ".join(f"{states.count(state)} {state}" for state in dict.fromkeys(states))
    yield f"## {table.title}"
    yield ""
    yield f"`{table.source}`: {counts}."
    yield ""
    yield f"| Step | {' | '.join(faults)} |"
    yield f"| --- |{' --- |' * len(faults)}"
    for step in steps:
        row = [table.cells.get((step, fault), NOT_RUN) for fault in faults]
        yield f"| {step} | {' | '.join(row)} |"
    if table.notes:
        yield ""
        yield from (f"- {name}: {note}" for name, note in table.notes.items())
