"""What sidecars know of requests under which backend servers ended, and how they merge it.

The gate beside a server sees best that the server ended, and under which requests. A sidecar whose
hop to a gate broke knows less: the server may still run. All findings are ends and clearances,
which are merged in any order. A gate decides by what it knows, so findings go to all gates of the
service.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

import attrs

from ..calls.crash_table import (
    BlockRule,
    CrashTable,
    add_ends,
    clear_ends,
    count_ends,
)
from .rate_limits import RateLimiter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .members import Member

# A request that ran beside others when a server ended is usually repeated while these are. With one
# end less it would often be blocked together with the one that ended the servers.
BLOCK_RULE = BlockRule(servers=3, first_s=600.0, max_s=3_600.0)
SERVER_DIGEST_BYTES = 6
MAX_ANSWERED = 4_096
# A request answered this recently does not end each server that runs it. While the servers of a
# service end one after another, equal requests may stay unanswered for most of this time.
ANSWER_VALID_S = 30.0
MAX_OWN_FINDINGS = 256
MAX_UNRESOLVED = 64
# Between the end of a request without a response and the moment when its server is found ended.
UNRESOLVED_S = 5.0
FINGERPRINT_HEX_LENGTH = 24
# A request that ends a server after the other needs few rounds; more come from a common cause.
FIRST_ROUNDS = 4.0
ROUNDS_PER_S = 1.0
WRITES_PER_S = 0.4  # of the findings to the store, after the first ones
MIN_SERIOUS_ENDS = 2
MAX_STORED_SINGLE = 16  # requests under which a single server ended


@attrs.frozen
class CrashRecord:
    """The known ends of servers under one request, as sidecars exchange and store it.

    Attributes:
        service: The service whose servers ran it, and whose gates are told.
        fingerprint: The request's fingerprint, in hexadecimal.
        ended: Digests of the incarnations that ended while they ran it, in hexadecimal.
        cleared: Digests of those whose end it is cleared of.
    """

    service: str
    fingerprint: str
    ended: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.frozen
class UnresolvedRun:
    """A request that ended without a response while its server seemed to run.

    Attributes:
        service: The service that the request is for.
        fingerprint: The request's fingerprint.
        server: Digest of the server's incarnation.
        at: When it ended, in seconds on the monotonic clock.
    """

    service: str
    fingerprint: bytes
    server: bytes
    at: float


@attrs.define
class CrashFindings:
    """What one sidecar knows.

    Attributes:
        table: The suspect requests, by what this sidecar and others found.
        own: What this sidecar found, by service and fingerprint; the newest is last.
        answered: When equal requests were last answered here, by fingerprint.
        unresolved: Requests that ended without a response while their server seemed to run.
        ended_server: Digest of the local incarnation that this sidecar found ended.
        ended_at: When it found that, in seconds on the monotonic clock.
        running_alone: Fingerprints of running requests of which one more end blocks the next.
    """

    table: CrashTable = attrs.field(factory=lambda: CrashTable(BLOCK_RULE))
    own: OrderedDict[tuple[str, bytes], CrashRecord] = attrs.field(factory=OrderedDict)
    answered: OrderedDict[bytes, float] = attrs.field(factory=OrderedDict)
    unresolved: deque[UnresolvedRun] = attrs.field(factory=lambda: deque(maxlen=MAX_UNRESOLVED))
    ended_server: bytes = b""
    ended_at: float = 0.0
    running_alone: set[bytes] = attrs.field(factory=set)


def build_limiter(limit_per_s: float) -> RateLimiter:
    """Return what limits how often findings are told or stored: a few times, then steadily."""
    return RateLimiter(
        limit_per_s=limit_per_s,
        tokens=FIRST_ROUNDS,
        updated_at=0.0,
        next_turn_at=0.0,
        burst=FIRST_ROUNDS,
    )


def digest_server(instance: str, born: int) -> bytes:
    """Return a digest of an incarnation of a backend server.

    Args:
        instance: Its identifier.
        born: Its start time in milliseconds since the epoch, or 0 if it is not known.
    """
    text = f"{instance} {born}"
    return hashlib.blake2b(text.encode(), digest_size=SERVER_DIGEST_BYTES).digest()


def record_end(
    findings: CrashFindings, now: float, service: str, fingerprint: bytes, server: bytes
) -> bool:
    """Record that an incarnation ended while it ran a request; return whether others need to know.

    Args:
        findings: What this sidecar knows.
        now: Seconds on the monotonic clock.
        service: The service that the request is for.
        fingerprint: The request's fingerprint.
        server: The incarnation's digest.
    """
    if add_ends(findings.table, now, fingerprint, {server}) is None:
        return False
    _add_own(findings, service, fingerprint, ended=(server.hex(),))
    return not _clear_if_answered(findings, now, service, fingerprint)


def record_answer(findings: CrashFindings, now: float, service: str, fingerprint: bytes) -> bool:
    """Record that a server answered a request; return whether that cleared it of ends."""
    findings.answered[fingerprint] = now
    findings.answered.move_to_end(fingerprint)
    if len(findings.answered) > MAX_ANSWERED:
        findings.answered.popitem(last=False)
    if not count_ends(findings.table, fingerprint):
        return False
    return _clear_own(findings, now, service, fingerprint)


def merge_records(
    findings: CrashFindings, now: float, records: Iterable[CrashRecord], running_server: bytes
) -> list[tuple[str, bytes]]:
    """Merge what other sidecars found, and clear requests of what this one knows better.

    Args:
        findings: What this sidecar knows.
        now: Seconds on the monotonic clock.
        records: The records; malformed ones are passed over.
        running_server: Digest of the local incarnation if it runs for all that is known, or empty.

    Returns:
        The service and the fingerprint of each request that this sidecar cleared of an end.
    """
    cleared = []
    for record in records:
        decoded = _decode_record(record)
        if decoded is None:
            continue
        fingerprint, ended, already_cleared = decoded
        if already_cleared:
            clear_ends(findings.table, now, fingerprint, already_cleared)
        if not ended or add_ends(findings.table, now, fingerprint, ended) is None:
            continue
        is_new = _clear_if_answered(findings, now, record.service, fingerprint)
        if running_server and running_server in ended - already_cleared:
            is_new |= _clear_own(findings, now, record.service, fingerprint, running_server)
        if is_new:
            cleared.append((record.service, fingerprint))
    return cleared


def describe_request(
    findings: CrashFindings, service: str, fingerprint: bytes
) -> CrashRecord | None:
    """Return what is known of a request, or None if nothing is."""
    suspect = findings.table.suspects.get(fingerprint)
    if suspect is None:
        return None
    return CrashRecord(
        service,
        fingerprint.hex(),
        tuple(sorted(server.hex() for server in suspect.ended)),
        tuple(sorted(server.hex() for server in suspect.cleared)),
    )


def list_stored(findings: CrashFindings) -> list[CrashRecord]:
    """Return what this sidecar found that is written to the store, the newest last.

    Of requests under which one server ended only the newest are: many at a time are answers that
    were lost, and all VMs get what is stored.
    """
    records = list(findings.own.values())
    single = [record for record in records if not _is_serious(findings, record)]
    left_out = {record.fingerprint for record in single[:-MAX_STORED_SINGLE]}
    return [record for record in records if record.fingerprint not in left_out]


def _is_serious(findings: CrashFindings, record: CrashRecord) -> bool:
    """Return whether several servers are known to have ended under a request."""
    suspect = findings.table.suspects.get(bytes.fromhex(record.fingerprint))
    return suspect is not None and len(suspect.ended) >= MIN_SERIOUS_ENDS


def merge_own(findings: CrashFindings, records: Iterable[CrashRecord]) -> None:
    """Take over what an earlier process on this VM found, so that it is stored on."""
    for record in records:
        decoded = _decode_record(record)
        if decoded is not None:
            _add_own(findings, record.service, decoded[0], record.ended, record.cleared)


def must_run_alone(findings: CrashFindings, fingerprint: bytes) -> bool:
    """Return whether one more end would block a request.

    Such requests don't run beside each other, so that one that never ends a server is answered.
    """
    return count_ends(findings.table, fingerprint) >= findings.table.rule.servers - 1


def order_trial_members(
    findings: CrashFindings, fingerprint: bytes, members: Iterable[Member]
) -> list[Member]:
    """Return the members to try a suspect request at, in the same order on every VM.

    Equal requests then run at one gate, one after another, instead of ending a server each.

    Args:
        findings: What this sidecar knows.
        fingerprint: The request's fingerprint.
        members: The members; those whose server ended under the request are left out.
    """
    suspect = findings.table.suspects.get(fingerprint)
    ended = set() if suspect is None else suspect.ended
    running = [m for m in members if digest_server(m.instance, m.born) not in ended]
    return sorted(running, key=lambda member: _weigh(fingerprint, member.name))


def _weigh(fingerprint: bytes, name: str) -> bytes:
    return hashlib.blake2b(fingerprint + name.encode(), digest_size=SERVER_DIGEST_BYTES).digest()


def knows_all_ends(findings: CrashFindings, fingerprint: bytes, record: CrashRecord | None) -> bool:
    """Return whether a record of another sidecar has all ends that this one knows."""
    suspect = findings.table.suspects.get(fingerprint)
    if suspect is None:
        return True
    return record is not None and {end.hex() for end in suspect.ended} <= {*record.ended}


def add_unresolved(
    findings: CrashFindings, now: float, service: str, fingerprint: bytes, server: bytes
) -> None:
    """Keep a request that ended without a response, in case its server is found ended soon."""
    findings.unresolved.append(UnresolvedRun(service, fingerprint, server, now))


def resolve_runs(findings: CrashFindings, now: float, server: bytes) -> list[UnresolvedRun]:
    """Remove the unresolved runs of a server that has ended, and return the recent ones."""
    found = [run for run in findings.unresolved if run.server == server]
    for run in found:
        findings.unresolved.remove(run)
    return [run for run in found if now - run.at <= UNRESOLVED_S]


def discard_runs(findings: CrashFindings, server: bytes, before: float) -> None:
    """Forget the unresolved runs of a server that answered a request sent after they ended."""
    for run in [run for run in findings.unresolved if run.server == server and run.at < before]:
        findings.unresolved.remove(run)


def _clear_if_answered(
    findings: CrashFindings, now: float, service: str, fingerprint: bytes
) -> bool:
    answered_at = findings.answered.get(fingerprint)
    if answered_at is None or now - answered_at > ANSWER_VALID_S:
        return False
    return _clear_own(findings, now, service, fingerprint)


def _clear_own(
    findings: CrashFindings,
    now: float,
    service: str,
    fingerprint: bytes,
    server: bytes | None = None,
) -> bool:
    """Clear a request of one end or of all; return whether that was new."""
    suspect = findings.table.suspects[fingerprint]
    servers = suspect.counted if server is None else {server}
    if not clear_ends(findings.table, now, fingerprint, servers):
        return False
    cleared = tuple(sorted(found.hex() for found in servers))
    _add_own(findings, service, fingerprint, cleared=cleared)
    return True


def _add_own(
    findings: CrashFindings,
    service: str,
    fingerprint: bytes,
    ended: tuple[str, ...] = (),
    cleared: tuple[str, ...] = (),
) -> None:
    known = findings.own.pop((service, fingerprint), None)
    if known is not None:
        ended = tuple(sorted({*known.ended, *ended}))
        cleared = tuple(sorted({*known.cleared, *cleared}))
    findings.own[service, fingerprint] = CrashRecord(service, fingerprint.hex(), ended, cleared)
    if len(findings.own) > MAX_OWN_FINDINGS:
        findings.own.popitem(last=False)


def read_fingerprint(record: CrashRecord) -> bytes | None:
    """Return the fingerprint in a record, or None if the record is malformed."""
    decoded = _decode_record(record)
    return None if decoded is None else decoded[0]


def withdraw_ends(findings: CrashFindings, now: float, server: bytes) -> list[tuple[str, bytes]]:
    """Clear all requests of the end of an incarnation that runs after all.

    Returns:
        The service and the fingerprint of each of these requests that this sidecar suspected.
    """
    found = [
        (service, fingerprint)
        for (service, fingerprint), record in findings.own.items()
        if server.hex() in record.ended and fingerprint in findings.table.suspects
    ]
    return [pair for pair in found if _clear_own(findings, now, *pair, server)]


def _decode_record(record: CrashRecord) -> tuple[bytes, set[bytes], set[bytes]] | None:
    """Return the fingerprint, the ended and the cleared servers; None if a digest is malformed."""
    try:
        fingerprint = bytes.fromhex(record.fingerprint)
        ended = {bytes.fromhex(server) for server in record.ended}
        cleared = {bytes.fromhex(server) for server in record.cleared}
    except ValueError:
        return None
    sizes = {len(server) for server in ended | cleared}
    if len(record.fingerprint) != FINGERPRINT_HEX_LENGTH or sizes - {SERVER_DIGEST_BYTES}:
        return None
    return fingerprint, ended, cleared
