"""All VMs lose power, those of one service a second before the rest; are its callers served?

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
FAULT_GAP_S = 1.0  # between the two losses of power
DOWN_S = 1.5  # as in the closing fault `power_off_all` of the site file
OBSERVED_S = 8.0  # after the time for the recovery
DEADLINE_MS = 2000
REFUSED_PAUSE_S = 0.25


def lose_power(deployment: Deployment, servers: dict[int, Upstream], vms: tuple[int, ...]) -> None:
    """End the sidecars and the backend servers of VMs at the same moment."""
    processes = [deployment.processes.pop(f"sidecar-{vm}") for vm in vms]
    subprocess.run(["kill", "-KILL", *(str(found.pid) for found in processes)], check=True)
    for vm in vms:
        servers[vm].end()
    for process in processes:
        process.wait()
    deployment.record.write("power_lost", vms=vms)


def start_vms(deployment: Deployment, servers: dict[int, Upstream], start: int) -> None:
    """Start all VMs; each backend server is a new incarnation."""
    for vm in ALL_VMS:
        service, zone = ("shop", "zone-b") if vm in SHOP_VMS else ("front", "zone-a")
        deployment.start_sidecar(vm, service, zone)
        servers[vm] = Upstream(deployment.record, deployment.ip(vm), service, f"i-{vm}-{start}")
        servers[vm].work_s = WORK_S


def run(deployment: Deployment, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    rules = [build_rule("shop", "idempotent"), build_rule("front", "idempotent")]
    deployment.put_configuration(7, rules, ["front", "shop"])
    servers: dict[int, Upstream] = {}
    start_vms(deployment, servers, 1)
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
        lose_power(deployment, servers, SHOP_VMS)
        time.sleep(FAULT_GAP_S)
    deployment.put_configuration(8, rules, ["front", "shop"])
    fault_at = record.write("configuration_acknowledged", version="r8")
    if trouble:
        lose_power(deployment, servers, FRONT_VMS)
        time.sleep(DOWN_S)
        start_vms(deployment, servers, 2)
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
