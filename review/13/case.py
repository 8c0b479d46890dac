"""A new version fails half of its requests while a call of its own is open; is it rolled back?"""

from __future__ import annotations

import random
import signal
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins3 import (
    BOUNDS,
    PORTS,
    Deployment,
    Record,
    Request,
    Upstream,
    build_answer,
    build_request,
    build_rule,
    read_answer,
    run_case,
    wait_until,
)

OLD_VMS, NEW_VMS, OTHER_VMS = (1, 2, 3), (4, 5), (6, 7)
DURATION_S = 16.0  # of the roll-out
FAILING_SHARE = 0.5  # of the requests of the bad version
FAILING_AFTER_S = 0.02
CALL_S = 0.06  # that a call to the other service takes
CALLERS = 12
PAUSE_S = 0.15
JUDGED_S = 34.0  # from the order on
BAD_ANSWERS = 50
ARRIVAL_S = 0.25  # at most, from a request's sending to its run
DEADLINE_MS = 2000


class Observed:
    """The runs at the service that is rolled out.

    Attributes:
        runs: When each run began and by which version.
        bad_answers: When each bad answer was sent.
    """

    def __init__(self) -> None:
        self.runs: list[tuple[float, str]] = []
        self.bad_answers: list[float] = []


def call_other_service(server: Upstream, request: Request) -> int:
    """Make a call through the server's own sidecar; return the status, or 0 without an answer."""
    try:
        address = (server.control[0], PORTS["outbound"])
        with socket.create_connection(address, 1.0) as sock:
            sock.settimeout(DEADLINE_MS / 1000)
            path, identifier = f"/other-idempotent/{request.identifier}", f"{request.identifier}.1"
            sock.sendall(build_request("GET", path, identifier, DEADLINE_MS))
            return read_answer(sock.makefile("rb"))[0]
    except (OSError, EOFError, ValueError):
        return 0


def behave(server: Upstream, observed: Observed, record: Record, trouble: bool) -> None:
    """Let a server of the rolled out service make a call for each request, and maybe fail."""

    def answer(request: Request, _sock: socket.socket) -> bytes:
        observed.runs.append((time.monotonic(), server.release))
        statuses: list[int] = []
        call = threading.Thread(
            target=lambda: statuses.append(call_other_service(server, request)), daemon=True
        )
        call.start()
        if trouble and server.release == "v2" and random.random() < FAILING_SHARE:
            time.sleep(FAILING_AFTER_S)
            observed.bad_answers.append(time.monotonic())
            record.write("bad_answer", id=request.identifier, at=server.instance)
            return build_answer(request, b"", "500 Internal Server Error")
        call.join()
        status = "200 OK" if statuses == [200] else "500 Internal Server Error"
        return build_answer(request, b"done", status)

    server.behave = answer


def run(deployment: Deployment, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    rules = [build_rule("shop", "idempotent"), build_rule("other", "idempotent")]
    deployment.put_configuration(7, rules, ["other", "shop"])
    observed, servers = Observed(), {}

    def start_vm(vm: int, service: str, release: str) -> None:
        deployment.start_sidecar(vm, service)
        servers[vm] = Upstream(record, deployment.ip(vm), service, f"i-{vm}", release)
        if service == "shop":
            behave(servers[vm], observed, record, trouble)
        else:
            servers[vm].work_s = CALL_S

    for vm in OLD_VMS:
        start_vm(vm, "shop", "v1")
    for vm in OTHER_VMS:
        start_vm(vm, "other", "v1")
    for vm in (*OLD_VMS, *OTHER_VMS):
        wait_until(lambda vm=vm: deployment.is_ready(vm), 20.0, f"sidecar {vm} is not ready")
    time.sleep(3.0)
    stopped, answers = threading.Event(), []

    def send_requests(caller: int) -> None:
        number = 0
        while not stopped.is_set():
            number += 1
            vm = OTHER_VMS[caller % len(OTHER_VMS)]
            path, identifier = f"/shop-idempotent/{caller}/{number}", f"{caller:02d}-{number:05d}-q"
            status = deployment.call(vm, "GET", path, identifier, DEADLINE_MS)
            answers.append((time.monotonic(), status))
            time.sleep(PAUSE_S)

    for caller in range(CALLERS):
        threading.Thread(target=send_requests, args=(caller,), daemon=True).start()
    time.sleep(3.0)
    for vm in NEW_VMS:
        start_vm(vm, "shop", "v2")
    order = {"service_name": "shop", "target_version": "v2", "duration_s": DURATION_S}
    deployment.store.put("op/rollout/shop", order)
    ordered_at, completed_at, state = time.monotonic(), float("inf"), None
    record.write("ordered", **order)
    while time.monotonic() < ordered_at + JUDGED_S and state != "rolled_back":
        status = deployment.store.read("status/rollout/shop")
        if status is not None and status["state"] != state:
            state = status["state"]
            record.write("status", **status, bad_answers=len(observed.bad_answers))
            if state == "completed":
                completed_at = time.monotonic()
                stop_old_version(deployment, servers)
        time.sleep(0.05)
    time.sleep(1.0)
    stopped.set()
    time.sleep(1.0)
    statuses = Counter(status for at, status in answers if at > completed_at)
    record.write("callers_after_the_completion", by_status=dict(statuses))
    return judge(observed, record, ordered_at)


def stop_old_version(deployment: Deployment, servers: dict[int, Upstream]) -> None:
    """Stop the old servers at once, as the platform does, and then their sidecars."""
    for vm in OLD_VMS:
        servers[vm].end()
    for vm in OLD_VMS:
        deployment.processes[f"sidecar-{vm}"].send_signal(signal.SIGTERM)


def judge(observed: Observed, record: Record, ordered_at: float) -> bool:
    """Return whether the bad version got no more requests than the rule allows."""
    timely = [release for at, release in observed.runs if 0 <= at - ordered_at <= DURATION_S]
    allowed = BOUNDS["exposure_share"] * len(timely) + BOUNDS["exposure_tolerance"]
    until, bad = float("inf"), sorted(observed.bad_answers)
    if len(bad) >= BAD_ANSWERS:
        until = bad[BAD_ANSWERS - 1] + BOUNDS["rollback_s"] + ARRIVAL_S
    late = sum(release == "v2" and at > until for at, release in observed.runs)
    if not bad:
        record.write("good_version", runs=timely.count("v2"))
        return True
    record.write("exposure", runs=timely.count("v2"), of=len(timely), allowed=allowed)
    record.write("after_the_50th_bad_answer", runs=late, bad_answers=len(bad))
    return timely.count("v2") <= allowed and not late


if __name__ == "__main__":
    run_case(__file__, run)
