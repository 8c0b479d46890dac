"""Tells other sidecars under which requests backend servers ended, and hears of it from them.

Findings go to all gates of the service at once, since each of them decides by what it knows.
"""

from __future__ import annotations

from functools import partial
from itertools import islice
from typing import TYPE_CHECKING

import attrs
import eventlet

from ..calls.crash_table import count_ends, find_block_left, list_blocked
from ..codes import LogEvent
from ..errors import ConfigurationError
from ..mesh.crash_findings import (
    CrashRecord,
    describe_request,
    digest_server,
    merge_own,
    merge_records,
    read_fingerprint,
)
from ..mesh.records import decode_crash_records, encode_record
from ..urgent_hub import set_urgent
from .crash_notices import NOTICE_PATH, describe_findings, exchange_records, schedule_round

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..mesh.members import Member
    from .state import Sidecar

ALL_PATH = "/mesh/crashes/all"
MAX_RECORDS = 512  # for a gate that has started
START_GATES = 2  # asked after a start; the store knows what they have forgotten
START_CHECKS = 200
START_CHECK_INTERVAL_S = 0.05
# Requests that ran on one server end within about this time; one notice names them all.
END_DELAY_S = 0.002
CLEARANCE_DELAY_S = 0.2  # a clearance is urgent only for a request that is blocked
GATE_TIMEOUT_S = 0.25  # of the gate that was lost; a restarted one is found through the store


def report_end(sidecar: Sidecar, service: str, fingerprint: bytes) -> None:
    """Tell others that a server ended under a request."""
    _report(sidecar, service, fingerprint, END_DELAY_S)


def report_lost_hop(sidecar: Sidecar, service: str, fingerprint: bytes, member: Member) -> None:
    """Tell others that a server may have ended under a request, unless its own gate denies it."""

    def ask_gate() -> None:
        set_urgent(True)
        records = describe_findings(sidecar, [(service, fingerprint)])
        answer = exchange_records(sidecar, member, NOTICE_PATH, records, GATE_TIMEOUT_S)
        if answer is not None:
            _merge_answer(sidecar, answer)
        if answer is None or count_ends(sidecar.crash_findings.table, fingerprint):
            report_end(sidecar, service, fingerprint)

    eventlet.spawn(ask_gate)


def report_clearance(sidecar: Sidecar, service: str, fingerprint: bytes, reason: str) -> None:
    """Tell others that a request is cleared of ends, soon enough for one that is nearly blocked."""
    suspect = sidecar.crash_findings.table.suspects[fingerprint]
    sidecar.meters.count("crashes", "cleared")
    sidecar.log(
        LogEvent.REQUEST_CLEARED,
        fingerprint=fingerprint.hex(),
        service=service,
        servers=len(suspect.cleared),
        reason=reason,
    )
    _report(
        sidecar,
        service,
        fingerprint,
        END_DELAY_S if _is_urgent(sidecar, fingerprint) else CLEARANCE_DELAY_S,
    )


def _is_urgent(sidecar: Sidecar, fingerprint: bytes) -> bool:
    table = sidecar.crash_findings.table
    return len(table.suspects[fingerprint].ended) >= table.rule.servers - 1


def _report(sidecar: Sidecar, service: str, fingerprint: bytes, delay_s: float) -> None:
    """Tell the gates of a service of a request, and have it written to the store."""
    reports = sidecar.crash_reports
    if not reports.changed.ready():
        reports.changed.send()
    schedule_round(sidecar, (service, fingerprint), delay_s, partial(_merge_answer, sidecar))


def _merge_answer(sidecar: Sidecar, answer: list[CrashRecord]) -> None:
    """Merge what a gate knows; tell all others of its clearances, so that it does not have to."""
    findings = sidecar.crash_findings
    for record in answer:
        fingerprint = read_fingerprint(record)
        known = describe_request(findings, record.service, fingerprint) if fingerprint else None
        if known is None:
            continue
        apply_records(sidecar, [record])
        if set(record.cleared) - set(known.cleared):
            merge_own(findings, [attrs.evolve(record, ended=())])
            _report(sidecar, record.service, fingerprint, END_DELAY_S)


def receive_notice(sidecar: Sidecar, body: bytes) -> bytes:
    """Apply another sidecar's notice; return what this one knows beyond it, encoded."""
    try:
        records = decode_crash_records(body)
    except ConfigurationError as error:
        sidecar.log(LogEvent.ENTRY_REFUSED, key=NOTICE_PATH, revision=0, reason=error.message)
        return b"[]"
    apply_records(sidecar, records)
    known = [
        describe_request(sidecar.crash_findings, record.service, fingerprint)
        for record in records
        if (fingerprint := read_fingerprint(record)) is not None
    ]
    return encode_record([record for record in known if record and record not in records])


def describe_all(sidecar: Sidecar) -> bytes:
    """Return what this sidecar knows, for one that has started."""
    suspects = sidecar.crash_findings.table.suspects
    newest = list(islice(reversed(suspects), MAX_RECORDS))
    service = sidecar.settings.service
    return encode_record(describe_findings(sidecar, [(service, found) for found in newest]))


def learn_from_gates(sidecar: Sidecar) -> None:
    """Ask other gates of the service what they know, once, after this process has started."""
    service = sidecar.settings.service
    for _ in range(START_CHECKS):
        members = sidecar.members.by_service.get(service, {})
        others = [member for name, member in members.items() if name != sidecar.settings.name]
        if others:
            break
        eventlet.sleep(START_CHECK_INTERVAL_S)
    chosen = sidecar.random.sample(others, min(len(others), START_GATES)) if others else []
    for member in chosen:
        answer = exchange_records(sidecar, member, ALL_PATH, [])
        if answer is not None:
            apply_records(sidecar, answer)


def apply_records(sidecar: Sidecar, records: Iterable[CrashRecord]) -> list[tuple[str, bytes]]:
    """Merge records of other sidecars.

    Returns:
        The service and the fingerprint of each request that this sidecar cleared of an end.
    """
    running = _find_running_server(sidecar)
    cleared = merge_records(sidecar.crash_findings, sidecar.clock(), records, running)
    log_new_blocks(sidecar)
    return cleared


def _find_running_server(sidecar: Sidecar) -> bytes:
    """Return the digest of the local incarnation, or empty if it has ended or is not known."""
    latest = sidecar.backend.latest
    if latest is None:
        return b""
    server = digest_server(latest.instance, latest.born)
    return b"" if server == sidecar.crash_findings.ended_server else server


def log_new_blocks(sidecar: Sidecar) -> None:
    """Log which requests have become blocked."""
    table, reports = sidecar.crash_findings.table, sidecar.crash_reports
    blocked = list_blocked(table, sidecar.clock())
    for fingerprint in sorted(blocked - reports.blocked):
        sidecar.meters.count("crashes", "blocked")
        sidecar.log(
            LogEvent.REQUEST_BLOCKED,
            fingerprint=fingerprint.hex(),
            servers=count_ends(table, fingerprint),
            seconds=round(find_block_left(table, sidecar.clock(), fingerprint), 1),
        )
    reports.blocked = blocked
