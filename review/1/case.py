"""Uploads of over 256 KiB in chunks while one server of seven crashes and comes back."""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.fleet import HOST, Fleet, SetupError, run_case
from review.http1 import CHUNK_BYTES, Answer, send_request

SERVICES = ["records"] * 7 + ["front"] * 6
CALM_S = 4.0
CRASH_S = 5.0
INTERVAL_S = 0.03
UPLOAD_BYTES = 400_000
WORK_S = 0.2
DEADLINE_MS = 4000


async def play(fleet: Fleet, trouble: bool) -> list[str]:
    """Send uploads from the last VMs; compare what ran with what was sent."""
    fleet.work_s = WORK_S
    fleet.publish(1, {"/records/": ("records", "non_idempotent")})
    await fleet.wait_ready()
    sent: dict[str, str] = {}
    answers: dict[str, Answer] = {}
    until = time.monotonic() + 2 * CALM_S + CRASH_S
    uploads = asyncio.create_task(_send_uploads(fleet, until, sent, answers))
    await asyncio.sleep(CALM_S)
    if trouble:
        fleet.crash_server(fleet.vms[1])
    await asyncio.sleep(CRASH_S)
    if trouble:
        await fleet.start_server(fleet.vms[1])
    await uploads
    served = sum(answer.status == 200 for answer in answers.values())
    fleet.record.write(f"{len(sent)} uploads sent, {served} answered with 200")
    if served < len(sent) / 2:
        raise SetupError("less than half of the uploads were served")
    breaches = []
    for run in fleet.runs:
        if run.digest != sent.get(run.identifier):
            answer = answers.get(run.identifier, Answer())
            breaches.append(
                f"UNASKED: {run.identifier} ran at {run.server} with another body: "
                f"{run.length} of {UPLOAD_BYTES} bytes; the client got {answer.status or answer}"
            )
    return breaches


async def _send_uploads(
    fleet: Fleet, until: float, sent: dict[str, str], answers: dict[str, Answer]
) -> None:
    generator = random.Random(50)
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.monotonic() < until:
            number += 1
            body = generator.randbytes(UPLOAD_BYTES)
            group.create_task(_upload(fleet, number, body, sent, answers))
            await asyncio.sleep(INTERVAL_S)


async def _upload(
    fleet: Fleet, number: int, body: bytes, sent: dict[str, str], answers: dict[str, Answer]
) -> None:
    identifier = f"u-{number:04}"
    sent[identifier] = hashlib.sha256(body).hexdigest()[:16]
    fleet.record.write(f"sent {identifier}: {len(body)} bytes, {sent[identifier]}")
    headers = {
        "Host": HOST,
        "Attempt-Id": identifier,
        "Request-Deadline": str(DEADLINE_MS),
        "Connection": "close",
    }
    chunks = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    answer = await send_request(
        fleet.vms[-1 - number % 6].address("outbound"),
        f"POST /records/{identifier} HTTP/1.1",
        headers,
        chunks,
        timeout_s=DEADLINE_MS / 1000,
    )
    answers[identifier] = answer
    fleet.record.write(f"answered {identifier}: {answer.status or answer.failure}")


if __name__ == "__main__":
    sys.exit(run_case(sys.argv[1], sys.argv[2] != "0", SERVICES, play, zones=1))
