"""All sidecars are killed, those of one service a second before the rest; are its callers served?

The callers send equal idempotent requests, as for a page that everybody opens.
"""

from __future__ import annotations

import subprocess
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins3 import (
    BOUNDS,
    Deployment,
    Record,
    Upstream,
    build_rule,
    run_case,
    wait_until,
)

SHOP_VMS, FRONT_VMS = (1, 2, 3), (4, 5)  # in two zones
ALL_VMS = (*SHOP_VMS, *FRONT_VMS)
PATH = "/shop-idempotent/home"
CALLERS_PER_VM = 12
WORK_S = 0.15
CALM_S = 6.0
RESTART_DELAY_S = 0.5
FAULT_GAP_S = 1.0  # between the two faults
DOWN_S = 0.65  # as in the closing fault `kill_all` of the site file
OBSERVED_S = 8.0  # after the time for the recovery
DEADLINE_MS = 2000
REFUSED_PAUSE_S = 0.25


def kill_sidecars(deployment: Deployment, vms: tuple[int, ...]) -> None:
    """Kill the sidecars of VMs at the same moment; the backend servers run on."""
    processes = [deployment.processes[f"sidecar-{vm}"] for vm in vms]
    subprocess.run(["kill", "-KILL", *(str(found.pid) for found in processes)], check=True)
    for vm in vms:
        deployment.processes.pop(f"sidecar-{vm}").wait()
    deployment.record.write("sidecars_killed", vms=vms)


def start_sidecars(deployment: Deployment, vms: tuple[int, ...]) -> None:
    """Start the sidecars of VMs."""
    for vm in vms:
        service, zone = ("shop", "zone-b") if vm in SHOP_VMS else ("front", "zone-a")
        deployment.start_sidecar(vm, service, zone)


def run(deployment: Deployment, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    rules = [build_rule("shop", "idempotent"), build_rule("front", "idempotent")]
    deployment.put_configuration(7, rules, ["front", "shop"])
    start_sidecars(deployment, ALL_VMS)
    for vm in ALL_VMS:
        service = "shop" if vm in SHOP_VMS else "front"
        server = Upstream(record, deployment.ip(vm), service, f"i-{vm}")
        server.work_s = WORK_S
    for vm in ALL_VMS:
        wait_until(lambda vm=vm: deployment.is_ready(vm), 20.0, f"sidecar {vm} is not ready")
    time.sleep(2.5)
    stopped, answers = threading.Event(), []

    def send_requests(vm: int, caller: int) -> None:
        number = 0
        while not stopped.is_set():
            number += 1
            sent_at = time.monotonic() - record.began
            identifier = f"{vm}.{caller}.{number:05d}"
            status = deployment.call(vm, "GET", PATH, identifier, DEADLINE_MS)
            answers.append((sent_at, status))
            time.sleep(0.02 if status == 200 else REFUSED_PAUSE_S)

    for vm in FRONT_VMS:
        for caller in range(CALLERS_PER_VM):
            threading.Thread(target=send_requests, args=(vm, caller), daemon=True).start()
    time.sleep(CALM_S)
    if trouble:
        kill_sidecars(deployment, SHOP_VMS)
        time.sleep(RESTART_DELAY_S)
        start_sidecars(deployment, SHOP_VMS)
        time.sleep(FAULT_GAP_S - RESTART_DELAY_S)
    deployment.put_configuration(8, rules, ["front", "shop"])
    fault_at = record.write("configuration_acknowledged", version="r8")
    if trouble:
        kill_sidecars(deployment, ALL_VMS)
        time.sleep(DOWN_S)
        start_sidecars(deployment, ALL_VMS)
    back_at = record.write("machines_back")
    time.sleep(BOUNDS["recovery_s"] + OBSERVED_S)
    stopped.set()
    time.sleep(2.5)
    before = Counter(status for at, status in answers if at < fault_at)
    later = Counter(status for at, status in answers if at > back_at + BOUNDS["recovery_s"])
    record.write("before_the_fault", sent=before.total(), by_status=dict(before))
    record.write("after_recovery", sent=later.total(), by_status=dict(later))
    for vm in ALL_VMS:
        blocks = [
            line for line in deployment.read_log(vm).splitlines() if "request_blocked" in line
        ]
        record.write("log", vm=vm, lines=len(blocks), last=blocks[-1] if blocks else "")
    was_served = before[200] >= before.total() / 4
    is_served = later[200] >= later.total() / 4
    return is_served or not was_served


if __name__ == "__main__":
    run_case(__file__, run)
