"""A drill of the store, and a configuration that is published some seconds after it."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.fleet import HOST, Fleet, SetupError, run_case
from review.http1 import send_request

SERVICES = ["old", "old", "new", "new"]
KIND = "idempotent"
COPY_AGE_S = 4.0  # "a copy some seconds old"
AWAY_S = 1.0  # "away for a moment"
CALM_S = 6.0  # twice `contact_s`, so that all machines are in touch
APPLY_S = 2.0  # `config_apply_s`
STRETCH_S = 5.0  # `max_stretch_s`, which isn't owed here since the store was away
WATCHED_S = 10.0
INTERVAL_S = 0.1


@dataclass
class Probe:
    """A request of a client and what became of it."""

    at: float
    identifier: str
    vm: str
    target: str
    status: int


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    """Publish versions before and after the drill; look at what the last one changes."""
    old = {"/jobs/": ("old", KIND)}
    fleet.publish(1, old)
    await fleet.wait_ready()
    probes: list[Probe] = []
    sending = asyncio.create_task(_send_probes(fleet, probes))
    copy = fleet.store.take_copy()
    fleet.record.write(f"the copy of the store is taken at revision {copy.revision}")
    began = time.monotonic()
    # Planned work: two servers are replaced, then three versions of the configuration follow.
    for vm in fleet.vms[:2]:
        fleet.crash_server(vm)
        await fleet.start_server(vm)
        await asyncio.sleep(0.5)
    versions = [{**old, f"/added{number}/": ("old", KIND)} for number in (2, 3, 4)]
    for version, routes in enumerate(versions, 2):
        await asyncio.sleep(0.5)
        fleet.publish(version, routes)
    await asyncio.sleep(max(began + COPY_AGE_S - time.monotonic(), 0.0))
    if trouble:
        fleet.record.write(f"the store goes away at revision {fleet.store.data.revision}")
        fleet.store.go_away()
        await asyncio.sleep(AWAY_S)
        fleet.store.come_back(copy)
        fleet.record.write(f"the store is back at revision {copy.revision}")
        for version, routes in enumerate(versions, 2):  # the operator writes them again
            fleet.publish(version, routes)
    await asyncio.sleep(CALM_S)
    acknowledged_at = fleet.publish(5, {"/jobs/": ("new", KIND), "/fresh/": ("new", KIND)})
    await asyncio.sleep(WATCHED_S)
    if sending.done():
        await sending
    sending.cancel()
    return _find_breaches(fleet, probes, acknowledged_at)


def _find_breaches(fleet: Fleet, probes: list[Probe], acknowledged_at: float) -> list[str]:
    runs = {run.identifier: run for run in fleet.runs}
    before = [probe for probe in probes if probe.at < acknowledged_at and "/jobs/" in probe.target]
    served = sum(probe.status == 200 for probe in before)
    fleet.record.write(f"before the last version: {served} of {len(before)} requests served")
    if served < 0.8 * len(before):
        raise SetupError("too few requests were served before")
    breaches = []
    for probe in probes:
        late_s = probe.at - acknowledged_at
        if late_s <= APPLY_S + STRETCH_S:
            continue
        run = runs.get(probe.identifier)
        if run is not None and run.service == "old":
            done = f"ran at the old service ({run.server})"
        elif probe.status == 404:
            done = "refused with 404 though the route is there"
        else:
            continue
        breaches.append(
            f"CONFIG: {probe.identifier} {probe.target} on {probe.vm}, "
            f"sent {late_s:.1f} s after the acknowledgement: {done}"
        )
    return breaches


async def _send_probes(fleet: Fleet, probes: list[Probe]) -> None:
    numbers = itertools.count(1)
    async with asyncio.TaskGroup() as group:
        while True:
            for vm in fleet.vms:
                for prefix in ("/jobs/", "/fresh/"):
                    identifier = f"p-{next(numbers):05}"
                    group.create_task(_probe(fleet, vm, prefix + identifier, identifier, probes))
            await asyncio.sleep(INTERVAL_S * 2)


async def _probe(fleet: Fleet, vm, target: str, identifier: str, probes: list[Probe]) -> None:
    at = time.monotonic()
    headers = {
        "Host": HOST,
        "Attempt-Id": identifier,
        "Request-Deadline": "3000",
        "Connection": "close",
    }
    answer = await send_request(
        vm.address("outbound"), f"GET {target} HTTP/1.1", headers, timeout_s=3.0
    )
    probes.append(Probe(at, identifier, vm.name, target, answer.status))
    fleet.record.write(f"answered {identifier} on {vm.name}: {answer.status or answer.failure}")


if __name__ == "__main__":
    sys.exit(run_case(sys.argv[1], sys.argv[2] != "0", SERVICES, play))
