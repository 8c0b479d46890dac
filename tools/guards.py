"""Takes out each guard of the decisions in turn, and prints which tests miss it.

A guard that no test misses gets a test or goes. Run by hand: `python -m tools.guards [MODULE...]`.
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
PARALLEL = 3
TIMEOUT_S = 240


@attrs.frozen
class Guard:
    """One guard, and the tests that are to miss it.

    Attributes:
        path: The module, below `src/magnoliasill`.
        text: The guard as it stands.
        without: What stands there without it.
        tests: Test modules.
    """

    path: str
    text: str
    without: str
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
        "mesh/repeats.py",
        "windows.retries.count(since) + 1 > allowed",
        "False",
        ("tests.mesh.test_repeats",),
    ),
    Guard(
        "mesh/items.py",
        "known is None or item.revision > known.revision",
        "True",
        ("tests.mesh.test_items",),
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
    Guard("sidecar/following.py", "table.version <= sidecar.table.version", "False", _CHANGES),
    Guard("sidecar/deciding.py", "Condition(DECIDER_KEY, leadership.revision),", "", _CHANGES),
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
    """Return whether a test misses the guard once it is taken out of a copy of the tree."""
    with tempfile.TemporaryDirectory() as folder:
        for name in ("src", "tests", "fakes", "tools"):
            shutil.copytree(ROOT / name, Path(folder) / name)
        (Path(folder) / "KNOWN-RED.txt").write_text("")
        path = Path(folder) / "src" / "magnoliasill" / guard.path
        source = path.read_text(encoding="utf-8")
        if guard.text not in source:
            raise SystemExit(f"{guard.path} has no {guard.text!r}")
        path.write_text(source.replace(guard.text, guard.without, 1), encoding="utf-8")
        environment = {**os.environ, "PYTHONPATH": f"{folder}/src"}
        command = [sys.executable, "-W", "ignore", "-m", "tools.run_tests", *guard.tests]
        running = subprocess.Popen(
            command,
            cwd=folder,
            env=environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )
        try:
            return running.wait(TIMEOUT_S) != 0
        except subprocess.TimeoutExpired:  # a loop that the guard would have ended
            os.killpg(running.pid, signal.SIGKILL)
            running.wait()
            return True


def main() -> None:
    """Print a table of the guards, or of those in the modules that are named."""
    names = sys.argv[1:]
    guards = [guard for guard in GUARDS if not names or guard.path in names]
    with ThreadPoolExecutor(PARALLEL) as pool:
        missed = list(pool.map(check_guard, guards))
    for guard, found in zip(guards, missed, strict=True):
        text = " ".join(guard.text.split())
        print(f"{'missed' if found else 'NOT MISSED':10} {guard.path:26} {text[:70]}")
    sys.exit(not all(missed))


if __name__ == "__main__":
    main()
