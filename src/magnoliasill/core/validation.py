"""Validation of peer messages beyond the field types, which the codec checks."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import TYPE_CHECKING

from ..takeovers.ramp import LAST_STAGE
from .messages import (
    ClaimQuery,
    ClaimRequest,
    ConfigurationReply,
    ConfigurationRequest,
    Digest,
    EvidenceReport,
    EvidenceSummary,
    MemberNews,
    MemberPage,
    MemberSummary,
    Probe,
    ProbeAck,
    ProbeRequest,
    TakeoverNews,
)
from .node import MEMBER_BUCKETS

if TYPE_CHECKING:
    from collections.abc import Sized

    from ..takeovers.plans import Progress
    from .messages import MemberRecord, Message

STATUSES = ("alive", "suspect", "failed", "left")
MAX_TEXT_LENGTH = 128
MAX_PORT = 65_535
MAX_COUNTER = 2**53
MAX_EPOCH_S = 2.0**40
MAX_MEMBERS = 256
MAX_DATA_CENTRES = 64
MAX_WANTED = 256
MAX_COUNTS = 4_096
_ADDRESS = re.compile(
    r"(?P<ip>\[[0-9a-fA-F.:]{2,45}\]|[0-9a-fA-F.:]{2,45}):(?P<port>[0-9]{1,5})", re.ASCII
)


def find_problem(message: Message) -> str:
    """Return why a message is invalid, or an empty string if it is valid.

    A malformed record among the members of a message does not make the message invalid:
    `merge_records` rejects that record and applies the others.

    Args:
        message: A message whose types the codec has checked.
    """
    sender = getattr(message, "sender", None)
    problem = find_record_problem(sender) if sender is not None else ""
    if problem:
        return f"sender: {problem}"
    match message:
        case Digest():
            return _find_digest_problem(message)
        case Probe(digest=digest) | ProbeAck(digest=digest):
            return _find_digest_problem(digest) or _find_counter_problem(message.sequence)
        case ProbeRequest():
            address = "" if is_address(message.target) else "invalid target"
            return address or _find_counter_problem(message.sequence)
        case MemberNews() | MemberPage():
            return _find_length_problem(message.members, MAX_MEMBERS)
        case MemberSummary():
            return "" if len(message.buckets) in (0, MEMBER_BUCKETS) else "number of buckets"
        case ConfigurationRequest():
            counters = _find_counter_problem(message.version, message.pending)
            return counters or _find_length_problem(message.wanted, MAX_WANTED)
        case ConfigurationReply(head=head, delta=delta):
            versions = [part.version for part in (head, delta) if part is not None]
            return _find_counter_problem(*versions)
        case ClaimRequest(asker=asker) | ClaimQuery(asker=asker):
            return "" if is_address(asker) else "invalid asker"
        case EvidenceReport(counts=counts) | EvidenceSummary(counts=counts):
            counters = _find_counter_problem(message.sequence, message.incarnation, *counts)
            return counters or _find_length_problem(counts, MAX_COUNTS)
        case TakeoverNews():
            return _find_progress_problem(message.progress)
    return ""


def find_record_problem(record: MemberRecord) -> str:
    """Return why a member record is invalid, or an empty string if it is valid."""
    texts = (record.name, record.data_centre, record.service, record.release)
    addresses = [record.peer_address]
    if record.server_address:
        addresses.append(record.server_address)
    if not record.name or not record.data_centre:
        return "member without a name or a data centre"
    if any(len(text) > MAX_TEXT_LENGTH for text in texts):
        return "member with a text that is too long"
    if record.status not in STATUSES:
        return f"member status {record.status[:MAX_TEXT_LENGTH]!r}"
    if not all(map(is_address, addresses)):
        return f"member {record.name} with an invalid address"
    if not 0 <= record.incarnation <= MAX_COUNTER:
        return f"member {record.name} with incarnation {record.incarnation}"
    if not 0.0 <= record.started_at <= MAX_EPOCH_S:
        return f"member {record.name} started at {record.started_at}"
    return ""


def is_address(text: str) -> bool:
    """Return whether a text has the form `ip:port`."""
    match = _ADDRESS.fullmatch(text)
    if match is None or not 1 <= int(match["port"]) <= MAX_PORT:
        return False
    try:
        ip_address(match["ip"].removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


def _find_digest_problem(digest: Digest) -> str:
    if any(age < 0 for age in digest.heard.values()):
        return "negative age"
    counters = _find_counter_problem(digest.version, digest.held)
    members = _find_length_problem(digest.members, MAX_MEMBERS)
    return counters or members or _find_length_problem(digest.heard, MAX_DATA_CENTRES)


def _find_progress_problem(progress: Progress) -> str:
    if not -1 <= progress.stage <= LAST_STAGE:
        return f"stage {progress.stage}"
    if not all(0.0 <= boost <= 1.0 for boost in progress.boosts.values()):
        return "share out of range"
    if not 0.0 <= progress.changed_at <= MAX_EPOCH_S:
        return f"progress changed at {progress.changed_at}"
    counters = _find_counter_problem(progress.number, progress.lowered, progress.alarms)
    return counters or _find_length_problem(progress.boosts, MAX_COUNTS)


def _find_counter_problem(*counters: int) -> str:
    invalid = [counter for counter in counters if not 0 <= counter <= MAX_COUNTER]
    return f"counter {invalid[0]}" if invalid else ""


def _find_length_problem(items: Sized, limit: int) -> str:
    return f"{len(items)} items" if len(items) > limit else ""
