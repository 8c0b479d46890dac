"""Mutation check: disables each guard condition in turn and prints whether its tests fail.

Prints `missed` if the tests fail without the guard, else `NOT MISSED`: such a guard needs a test or
is to be removed. Run by hand: `python -m tools.guards [MODULE...]`.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
MAX_PARALLEL_CHECKS = 3
TIMEOUT_S = 240


@attrs.frozen
class Guard:
    """A guard condition in the source, and the tests that must fail without it.

    Attributes:
        path: The path of the module below `src/magnoliasill`.
        text: The source text of the guard.
        replacement: The source text that disables the guard.
        tests: The test modules to run.
    """

    path: str
    text: str
    replacement: str
    tests: tuple[str, ...]


_CALLS = ("tests.sidecar.test_calls",)
_CHANGES = ("tests.sidecar.test_store_changes",)
_GATE = ("tests.mesh.test_gate",)
_MEMBERS = ("tests.mesh.test_members",)
_SLOWNESS = ("tests.mesh.test_slowness",)
_TAKEOVERS = ("tests.mesh.test_takeovers",)

GUARDS = (
    Guard("mesh/backend.py", "heartbeat.born < known.born", "False", ("tests.mesh.test_backend",)),
    Guard(
        "mesh/backend.py",
        "heartbeat.sequence <= known.sequence",
        "False",
        ("tests.mesh.test_backend",),
    ),
    Guard("mesh/slowness.py", "if sum(server) >= MIN_ANSWERS", "", _SLOWNESS),
    Guard(
        "mesh/slowness.py", "- SPEED_SLACK, max(medians) + SPEED_SLACK", ", max(medians)", _SLOWNESS
    ),
    Guard("mesh/gate.py", "if gate.running < gate.slots and not gate.waiting:", "if True:", _GATE),
    Guard("mesh/gate.py", "if not late:", "if False:", _GATE),
    Guard(
        "mesh/gate.py",
        ">= gate.slots:\n        return False",
        ">= 999:\n        return False",
        _GATE,
    ),
    Guard(
        "mesh/gate.py",
        "gate.late_start_share >= MIN_LATE_START_SHARE or gate",
        "True or gate",
        _GATE,
    ),
    Guard(
        "mesh/gate.py",
        "if gate.running_new < NEW_REQUEST_SLOT_SHARE * gate.slots:",
        "if False:",
        _GATE,
    ),
    Guard("mesh/gate.py", " or now >= request.start_by:", ":", _GATE),
    Guard("mesh/gate.py", "now + wait_s > request.start_by", "False", _GATE),
    Guard("mesh/members.py", "if now >= condition.avoid_until:", "if True:", _MEMBERS),
    Guard(
        "mesh/members.py",
        "if any(condition.reported_at >= since for condition in conditions):",
        "if False:",
        _MEMBERS,
    ),
    Guard("mesh/placement.py", "0.5 ** (age_s / REPORT_HALF_LIFE_S)", "1.0", _MEMBERS),
    Guard("mesh/placement.py", "if member.leaving:", "if False:", _MEMBERS),
    Guard("mesh/placement.py", "FAILING_WEIGHT * condition.failing**2", "0.0", _MEMBERS),
    Guard(
        "mesh/retries.py",
        "windows.retries.count(since) + 1 > allowed",
        "False",
        ("tests.mesh.test_retries",),
    ),
    Guard(
        "mesh/store_items.py",
        "known is None or item.revision > known.revision",
        "True",
        ("tests.mesh.test_store_items",),
    ),
    Guard("mesh/takeovers.py", "if observation.verdict is Verdict.BAD:", "if False:", _TAKEOVERS),
    Guard("mesh/takeovers.py", "if due and takeover.share >= 1.0:", "if due:", _TAKEOVERS),
    Guard("mesh/takeovers.py", "if release in takeover.retired:", "if False:", _TAKEOVERS),
    Guard("mesh/takeovers.py", "if release == ordered_release:", "if False:", _TAKEOVERS),
    Guard("sidecar/gate_port.py", "latest.instance != call.instance or", "False or", _CALLS),
    Guard("sidecar/gate_port.py", "if not response_metadata.signed:", "if False:", _CALLS),
    Guard(
        "sidecar/gate_port.py",
        "if is_withheld(sidecar, latest.service, latest.release):",
        "if False:",
        _CALLS,
    ),
    Guard(
        "sidecar/forwarding.py",
        "if state.servers_reached >= request.route.attempts:",
        "if False:",
        _CALLS,
    ),
    Guard("sidecar/forwarding.py", "return request.route.idempotent\n", "return True\n", _CALLS),
    Guard("sidecar/store_sync.py", "table.version <= sidecar.table.version", "False", _CHANGES),
    Guard(
        "sidecar/takeover_leader.py", "Condition(LEADER_KEY, leadership.revision),", "", _CHANGES
    ),
    Guard(
        "sidecar/registration.py",
        "condition = (Condition(key, registration.revision),)",
        "condition = ()",
        _CHANGES,
    ),
    Guard(
        "takeovers/controller.py",
        "if not answer.succeeded:\n        return _lose_control(node, now, takeover)\n    return _",
        "if False:\n        pass\n    return _",
        ("tests.takeovers.test_controller",),
    ),
)


def check_guard(guard: Guard) -> bool:
    """Return whether a test fails, or hangs, in a copy of the tree with the guard disabled."""
    with tempfile.TemporaryDirectory() as folder:
        for name in ("src", "tests", "fakes", "tools"):
            shutil.copytree(ROOT / name, Path(folder) / name)
        (Path(folder) / "KNOWN-RED.txt").write_text("")
        path = Path(folder) / "src" / "magnoliasill" / guard.path
        source = path.read_text(encoding="utf-8")
        if guard.text not in source:
            raise SystemExit(f"{guard.path} has no {guard.text!r}")
        path.write_text(source.replace(guard.text, guard.replacement, 1), encoding="utf-8")
        environment = {**os.environ, "PYTHONPATH": f"{folder}/src"}
        command = [sys.executable, "-W", "ignore", "-m", "tools.run_tests", *guard.tests]
        process = subprocess.Popen(
            command,
            cwd=folder,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )
        try:
            return process.wait(TIMEOUT_S) != 0
        except subprocess.TimeoutExpired:  # without the guard, a loop may not end
            os.killpg(process.pid, signal.SIGKILL)
            process.wait()
            return True


def main() -> None:
    """Check all guards, or those in the named modules, and print a table of the results."""
    names = sys.argv[1:]
    guards = [guard for guard in GUARDS if not names or guard.path in names]
    with ThreadPoolExecutor(MAX_PARALLEL_CHECKS) as pool:
        detected = list(pool.map(check_guard, guards))
    for guard, was_detected in zip(guards, detected, strict=True):
        text = " ".join(guard.text.split())
        print(f"{'missed' if was_detected else 'NOT MISSED':10} {guard.path:26} {text[:70]}")
    sys.exit(not all(detected))


if __name__ == "__main__":
    main()
