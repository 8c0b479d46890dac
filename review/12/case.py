"""All servers of a service fail part of their requests for some seconds; is it served after that?

A roll-out of their version, which is good, was completed shortly before.
"""

from __future__ import annotations

import random
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins3 import (
    BOUNDS,
    Deployment,
    Record,
    Request,
    Upstream,
    build_answer,
    build_rule,
    run_case,
    wait_until,
)

if TYPE_CHECKING:
    import socket

OLD_VMS, NEW_VMS, FRONT_VMS = (1, 2, 3), (4, 5, 6), (7, 8)
DURATION_S = 16.0  # of the roll-out
GAP_S = 3.0  # between its completion and the trouble
FAILING_SHARE = 0.45
FAILING_S = 6.5
CALM_S = 4.0  # between the trouble and the final fault
DOWN_S = 0.65  # as in the closing fault `kill_all` of the site file
OBSERVED_S = 8.0  # after the time for the recovery
WORK_S = 0.05
CALLERS = 12
PAUSE_S = 0.15
DEADLINE_MS = 2000


def run(deployment: Deployment, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    rules = [build_rule("shop", "idempotent"), build_rule("front", "idempotent")]
    deployment.put_configuration(7, rules, ["front", "shop"])
    servers: dict[int, Upstream] = {}
    failing = threading.Event()

    def start_vm(vm: int, service: str, release: str) -> None:
        deployment.start_sidecar(vm, service)
        server = servers[vm] = Upstream(record, deployment.ip(vm), service, f"i-{vm}", release)
        server.work_s = WORK_S

        def answer(request: Request, sock: socket.socket) -> bytes | None:
            if failing.is_set() and service == "shop" and random.random() < FAILING_SHARE:
                time.sleep(WORK_S)
                return build_answer(request, b"", "500 Internal Server Error")
            return server.answer(request, sock)

        server.behave = answer

    for vm in (*OLD_VMS, *FRONT_VMS):
        start_vm(vm, "shop" if vm in OLD_VMS else "front", "v1")
    for vm in (*OLD_VMS, *FRONT_VMS):
        wait_until(lambda vm=vm: deployment.is_ready(vm), 20.0, f"sidecar {vm} is not ready")
    time.sleep(3.0)
    stopped, answers = threading.Event(), []

    def send_requests(caller: int) -> None:
        number = 0
        while not stopped.is_set():
            number += 1
            sent_at = time.monotonic() - record.began
            path, identifier = f"/shop-idempotent/{caller}/{number}", f"{caller:02d}-{number:05d}-q"
            vm = FRONT_VMS[caller % len(FRONT_VMS)]
            answers.append((sent_at, deployment.call(vm, "GET", path, identifier, DEADLINE_MS)))
            time.sleep(PAUSE_S)

    for caller in range(CALLERS):
        threading.Thread(target=send_requests, args=(caller,), daemon=True).start()
    time.sleep(3.0)
    for vm in NEW_VMS:
        start_vm(vm, "shop", "v2")
    order = {"service_name": "shop", "target_version": "v2", "duration_s": DURATION_S}
    deployment.store.put("op/rollout/shop", order)
    record.write("ordered", **order)
    wait_until(lambda: read_state(deployment) == "completed", 30.0, "the roll-out isn't completed")
    record.write("status", state="completed")
    for vm in OLD_VMS:  # as the platform does at "completed"
        servers[vm].end()
    for vm in OLD_VMS:
        deployment.processes[f"sidecar-{vm}"].send_signal(signal.SIGTERM)
    time.sleep(GAP_S)
    if trouble:
        failing.set()
        record.write("servers_fail", share=FAILING_SHARE)
    time.sleep(FAILING_S)
    failing.clear()
    calm_at = record.write("servers_are_sound")
    time.sleep(CALM_S)
    deployment.put_configuration(8, rules, ["front", "shop"])
    fault_at = record.write("configuration_acknowledged", version="r8")
    left_vms = (*NEW_VMS, *FRONT_VMS)
    for vm in left_vms:
        deployment.processes[f"sidecar-{vm}"].kill()
    for vm in left_vms:
        deployment.processes[f"sidecar-{vm}"].wait()
    record.write("sidecars_killed", vms=left_vms)
    time.sleep(DOWN_S)
    for vm in left_vms:
        deployment.start_sidecar(vm, servers[vm].service)
    back_at = record.write("machines_back")
    time.sleep(BOUNDS["recovery_s"] + OBSERVED_S)
    stopped.set()
    time.sleep(2.5)
    before = Counter(status for at, status in answers if at < fault_at)
    calm = Counter(status for at, status in answers if calm_at < at < fault_at)
    later = Counter(status for at, status in answers if at > back_at + BOUNDS["recovery_s"])
    record.write("before_the_fault", sent=before.total(), by_status=dict(before))
    record.write("of_these_with_sound_servers_again", sent=calm.total(), by_status=dict(calm))
    record.write("after_recovery", sent=later.total(), by_status=dict(later))
    for vm in NEW_VMS:
        lines = deployment.read_log(vm).splitlines()
        stops = [line for line in lines if '"release_stopped"' in line]
        record.write("log", vm=vm, lines=len(stops), last=stops[-1] if stops else "")
    was_served = before[200] >= before.total() / 4
    is_served = later[200] >= later.total() / 4
    return is_served or not was_served


def read_state(deployment: Deployment) -> str | None:
    """Return the state of the roll-out, or None."""
    status = deployment.store.read("status/rollout/shop")
    return None if status is None else status["state"]


if __name__ == "__main__":
    run_case(__file__, run)
