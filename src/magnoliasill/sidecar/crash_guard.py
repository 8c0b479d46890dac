"""Stops requests that end each backend server that runs them, at the gate and at the hop to it.

The table of suspect requests and its rule are shared with the product's own interface
(`calls/crash_table`). What a sidecar finds here it reports to others (`crash_reports`).
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import eventlet

from ..calls.crash_table import compute_fingerprint, count_ends, find_block_left
from ..codes import LogEvent
from ..mesh.backend import is_current
from ..mesh.crash_findings import (
    add_unresolved,
    describe_request,
    digest_server,
    discard_runs,
    knows_all_ends,
    must_run_alone,
    order_trial_members,
    record_answer,
    record_end,
    resolve_runs,
    withdraw_ends,
)
from ..mesh.evacuations import list_evacuated
from ..mesh.members import find_condition
from .bodies import MAX_BUFFERED_BYTES, LongBody
from .crash_reports import (
    apply_records,
    log_new_blocks,
    report_clearance,
    report_end,
    report_lost_hop,
)
from .crash_store import ask_store
from .release_guard import is_withheld
from .server_liveness import has_server_ended

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ..mesh.backend import Heartbeat
    from ..mesh.crash_findings import CrashRecord
    from ..mesh.hop_headers import GateReport, HopCall
    from ..mesh.members import Member
    from .http_exchange import Message
    from .state import Sidecar

UNKNOWN_LENGTH = -1  # of a body in chunks
BLOCKED_REASON = "servers_ended"
ALONE_REASON = "beside_suspect"
ELSEWHERE_REASON = "suspect_elsewhere"
ALONE_WAIT_S = 0.3
ALONE_POLL_S = 0.005


@attrs.define
class GuardedRequest:
    """A request and its fingerprint, which is computed only if it is needed.

    Attributes:
        service: The service that it is for.
        message: The HTTP request.
    """

    service: str
    message: Message
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """A hash that identifies equal requests, whatever their identifiers.

        Of a long body only the length and the buffered beginning count. The service does not, since
        the route may be split, or lead to another service later.
        """
        if not self._fingerprint:
            headers, body = self.message.headers, _sample_body(self.message.body)
            host = next((value for name, value in headers if name.lower() == "host"), "")
            target = host.lower() + self.message.target
            self._fingerprint = compute_fingerprint(self.message.method, target, body)
        return self._fingerprint


def _sample_body(body: bytes | LongBody | None) -> bytes:
    if isinstance(body, LongBody):
        length = UNKNOWN_LENGTH if body.length is None else body.length
        return length.to_bytes(8, signed=True) + body.first_bytes[:MAX_BUFFERED_BYTES]
    return body or b""


def describe_suspect(sidecar: Sidecar, guarded: GuardedRequest) -> CrashRecord | None:
    """Return which servers ended under equal requests, or None if none did.

    Also of a request that is cleared of all: a gate that has not heard of it would not run it.
    """
    findings = sidecar.crash_findings
    if not findings.table.suspects:
        return None
    return describe_request(findings, guarded.service, guarded.fingerprint)


def is_suspect_request(sidecar: Sidecar, guarded: GuardedRequest) -> bool:
    """Return whether servers have ended under equal requests that nothing has cleared since."""
    table = sidecar.crash_findings.table
    return bool(table.suspects) and count_ends(table, guarded.fingerprint) > 0


def add_knowledge(
    sidecar: Sidecar, call: HopCall, guarded: GuardedRequest, report: GateReport
) -> GateReport:
    """Return a gate's report with what it knows of a request that it or the sender suspects."""
    if call.crashes is None and not is_suspect_request(sidecar, guarded):
        return report
    findings = sidecar.crash_findings
    record = describe_request(findings, guarded.service, guarded.fingerprint)
    blocked_s = find_block_left(findings.table, sidecar.clock(), guarded.fingerprint)
    return attrs.evolve(report, crashes=record, blocked_s=round(blocked_s, 3))


def prepare_suspect(sidecar: Sidecar, call: HopCall, guarded: GuardedRequest) -> None:
    """Learn what others know of a request at its arrival, and let one like it end first.

    Args:
        sidecar: The sidecar of the gate.
        call: The request's metadata, with what its sender knows.
        guarded: The request.
    """
    if call.crashes is not None:
        for service, fingerprint in apply_records(sidecar, [call.crashes]):
            report_clearance(sidecar, service, fingerprint, "known here")
    if not is_suspect_request(sidecar, guarded):
        return
    if find_crash_refusal(sidecar, guarded) != BLOCKED_REASON:
        ask_store(sidecar)
    deadline = sidecar.clock() + min(ALONE_WAIT_S, call.time_left_s / 2)
    while find_crash_refusal(sidecar, guarded) == ALONE_REASON and sidecar.clock() < deadline:
        eventlet.sleep(ALONE_POLL_S)


def choose_trial_member(
    sidecar: Sidecar, guarded: GuardedRequest, candidates: list[Member], tried: Collection[str]
) -> Member | None:
    """Return the gate to send a suspect request to; None for any other request.

    Args:
        sidecar: The sidecar that sends it.
        guarded: The request.
        candidates: The members that it may go to.
        tried: Names of those that it was sent to.
    """
    if not is_suspect_request(sidecar, guarded):
        return None
    findings, now = sidecar.crash_findings, sidecar.clock()
    for member in order_trial_members(findings, guarded.fingerprint, candidates):
        is_avoided = now < find_condition(sidecar.members, member).avoid_until
        if member.name not in tried and not is_avoided:
            return member
    return None


def runs_elsewhere(sidecar: Sidecar, call: HopCall, guarded: GuardedRequest) -> bool:
    """Return whether a suspect request must be sent to the gate that all senders choose for it.

    A sender that knew of all ends reached no gate before this one.
    """
    if not is_suspect_request(sidecar, guarded):
        return False
    findings = sidecar.crash_findings
    if knows_all_ends(findings, guarded.fingerprint, call.crashes):
        return False
    members = sidecar.members.by_service.get(call.service, {}).values()
    evacuated = list_evacuated(sidecar.evacuations, sidecar.clock())
    usable = [
        member for member in members if not (member.leaving or member.data_centre in evacuated)
    ]
    order = order_trial_members(findings, guarded.fingerprint, usable)
    return bool(order) and order[0].name != sidecar.settings.name


def find_crash_refusal(sidecar: Sidecar, guarded: GuardedRequest) -> str:
    """Return why the gate must not run a request now, or an empty string."""
    findings = sidecar.crash_findings
    if not findings.table.suspects:
        return ""
    if find_block_left(findings.table, sidecar.clock(), guarded.fingerprint):
        return BLOCKED_REASON
    if findings.running_alone and must_run_alone(findings, guarded.fingerprint):
        return ALONE_REASON
    return ""


@contextmanager
def run_guarded(sidecar: Sidecar, guarded: GuardedRequest) -> Iterator[None]:
    """Keep others of which one more end blocks the next from running beside this request."""
    findings = sidecar.crash_findings
    alone = bool(findings.table.suspects) and must_run_alone(findings, guarded.fingerprint)
    if alone:
        findings.running_alone.add(guarded.fingerprint)
    try:
        yield
    finally:
        if alone:
            findings.running_alone.discard(guarded.fingerprint)


def record_broken_run(
    sidecar: Sidecar, guarded: GuardedRequest, heartbeat: Heartbeat, may_have_ended: bool
) -> bool:
    """Record that a request ended without a response; return whether its server has ended.

    Args:
        sidecar: The sidecar beside the server.
        guarded: The request.
        heartbeat: The heartbeat of the incarnation that the request was sent to.
        may_have_ended: Whether to find out now if that incarnation has ended.
    """
    findings = sidecar.crash_findings
    server = digest_server(heartbeat.instance, heartbeat.born)
    known = findings.ended_server == server
    add_unresolved(findings, sidecar.clock(), guarded.service, guarded.fingerprint, server)
    if not known and not (may_have_ended and has_server_ended(sidecar)):
        return False
    record_ended_server(sidecar, heartbeat)
    return True


def record_ended_server(sidecar: Sidecar, heartbeat: Heartbeat) -> None:
    """Record that an incarnation has ended, under the requests that had no response by then.

    One that was leaving, or whose release is withdrawn, was going to end anyway.
    """
    findings, now = sidecar.crash_findings, sidecar.clock()
    server = digest_server(heartbeat.instance, heartbeat.born)
    current = is_current(sidecar.backend, heartbeat.instance, heartbeat.born)
    if current and findings.ended_server != server:
        findings.ended_server, findings.ended_at = server, now
    planned = (current and sidecar.backend.leaving_at is not None) or is_withheld(
        sidecar, heartbeat.service, heartbeat.release
    )
    for run in resolve_runs(findings, now, server):
        if not planned and _record_end(sidecar, run.service, run.fingerprint, server, "gate"):
            report_end(sidecar, run.service, run.fingerprint)


def record_lost_hop(sidecar: Sidecar, guarded: GuardedRequest, member: Member) -> None:
    """Record that a gate was lost with a request; its server may have ended with it."""
    server = digest_server(member.instance, member.born)
    if not member.leaving and _record_end(
        sidecar, guarded.service, guarded.fingerprint, server, "hop"
    ):
        report_lost_hop(sidecar, guarded.service, guarded.fingerprint, member)


def _record_end(
    sidecar: Sidecar, service: str, fingerprint: bytes, server: bytes, source: str
) -> bool:
    """Record an end under a request; return whether others need to know."""
    findings = sidecar.crash_findings
    if not record_end(findings, sidecar.clock(), service, fingerprint, server):
        return False
    sidecar.meters.count("crashes", source)
    sidecar.log(
        LogEvent.REQUEST_SUSPECTED,
        fingerprint=fingerprint.hex(),
        service=service,
        server=server.hex(),
        servers=len(findings.table.suspects[fingerprint].counted),
        source=source,
    )
    log_new_blocks(sidecar)
    return True


def record_answered_run(
    sidecar: Sidecar, guarded: GuardedRequest, heartbeat: Heartbeat, started_at: float
) -> None:
    """Record that a server answered a request, which shows that neither ends the other.

    Args:
        sidecar: The sidecar beside the server.
        guarded: The request.
        heartbeat: The heartbeat of the incarnation that answered.
        started_at: When the request was sent to it, in seconds on the monotonic clock.
    """
    findings, now = sidecar.crash_findings, sidecar.clock()
    server = digest_server(heartbeat.instance, heartbeat.born)
    if record_answer(findings, now, guarded.service, guarded.fingerprint):
        report_clearance(sidecar, guarded.service, guarded.fingerprint, "answered")
    discard_runs(findings, server, started_at)
    if findings.ended_server == server and started_at > findings.ended_at:
        findings.ended_server = b""
        for service, fingerprint in withdraw_ends(findings, now, server):
            report_clearance(sidecar, service, fingerprint, "the server runs")
