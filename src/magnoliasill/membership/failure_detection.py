"""Failure detection by direct probes, indirect probes and a suspicion timeout, as in SWIM.

A daemon is probed, suspected and declared failed by daemons of its own data centre only, so that
a network partition between data centres raises no suspicion. Probes to other data centres only
exchange state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..codes import LogEvent
from ..core.actions import Log, ResetPeer, SendMessage
from ..core.messages import Probe, ProbeAck, ProbeRequest
from ..core.node import ForwardedProbe, PendingProbe, list_alive
from ..spreading.distribution import build_digest, receive_digest
from ..spreading.gossip import choose_peers
from .membership import set_record
from .syncing import remove_member

if TYPE_CHECKING:
    from ..core.actions import Action
    from ..core.messages import MemberRecord
    from ..core.node import Node

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_TIMEOUT_S = 1.2
INDIRECT_PROBES = 3
SUSPICION_TIMEOUT_S = 3.0
REMOTE_PROBE_RATIO = 0.5  # probes to other data centres per probe within this one
FAILED_PROBE_RATIO = 0.1
MAX_FORWARDED = 64
SEED_PROBES_WHILE_JOINING = 3
PAUSE_THRESHOLD_S = 2.0
DEPARTED_RETENTION_S = 600.0
CLEANUP_INTERVAL_S = 10.0
DATA_CENTRE_SILENT_S = 15.0


def tick_probes(node: Node, now: float) -> list[Action]:
    """Probe the next daemon when due, and update the status of daemons that did not answer.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
    """
    actions = _detect_pause(node, now)
    actions += _check_pending_probes(node, now)
    actions += _fail_suspects(node, now)
    actions += _update_silent_data_centres(node, now)
    if now >= node.probes.cleanup_at:
        _remove_departed(node, now)
    if now < node.probes.probe_at or node.own.status == "left":
        return actions
    node.probes.probe_at = now + PROBE_INTERVAL_S * node.random.uniform(0.8, 1.2)
    return actions + _probe_local(node, now) + _probe_remote_and_failed(node, now)


def receive_probe(node: Node, now: float, probe: Probe) -> list[Action]:
    """Answer a probe, and report to its sender any status other than `alive` that it has here."""
    sender = probe.digest.sender
    actions = receive_digest(node, now, attrs.evolve(probe.digest, answer=True))
    known = node.members.get(sender.name)
    reported = [known.record] if known is not None and known.record.status != "alive" else []
    ack = ProbeAck(build_digest(node, now, reported), probe.sequence)
    actions.append(SendMessage(sender.peer_address, ack))
    return actions


def receive_ack(node: Node, now: float, ack: ProbeAck) -> list[Action]:
    """Record that a probed daemon answered, or forward the answer to who requested it."""
    node.probes.pending.pop(ack.sequence, None)
    actions = receive_digest(node, now, attrs.evolve(ack.digest, answer=True))
    forwarded = node.probes.forwarded.pop(ack.sequence, None)
    if forwarded is not None and now < forwarded.until:
        digest = build_digest(node, now, [ack.digest.sender])
        actions.append(SendMessage(forwarded.address, ProbeAck(digest, forwarded.sequence)))
    return actions


def receive_probe_request(node: Node, now: float, request: ProbeRequest) -> list[Action]:
    """Probe a daemon on request of another one."""
    forwarded = node.probes.forwarded
    for sequence in [number for number, probe in forwarded.items() if now >= probe.until]:
        del forwarded[sequence]
    if len(forwarded) >= MAX_FORWARDED:
        return []
    sequence = _next_sequence(node)
    until = now + INDIRECT_TIMEOUT_S
    forwarded[sequence] = ForwardedProbe(request.sender.peer_address, request.sequence, until)
    return [_build_probe(node, now, request.target, sequence)]


def probe_address(node: Node, now: float, address: str) -> list[Action]:
    """Probe a daemon of which only the peer address is known, to exchange member records."""
    if address == node.own.peer_address:
        return []
    return [_build_probe(node, now, address, _next_sequence(node))]


def _probe_local(node: Node, now: float) -> list[Action]:
    record = _next_target(node)
    if record is None:
        return []
    sequence = _next_sequence(node)
    node.probes.pending[sequence] = PendingProbe(record.name, now)
    reported = [record] if record.status != "alive" else []
    return [_build_probe(node, now, record.peer_address, sequence, reported)]


def _probe_remote_and_failed(node: Node, now: float) -> list[Action]:
    targets: list[MemberRecord] = []
    if node.random.random() < REMOTE_PROBE_RATIO:
        targets += choose_peers(node, 0, 1)
    if node.random.random() < FAILED_PROBE_RATIO:
        failed = [
            member.record for member in node.members.values() if member.record.status == "failed"
        ]
        targets += node.random.sample(failed, min(1, len(failed)))
    actions: list[Action] = []
    for record in targets:
        reported = [record] if record.status != "alive" else []
        actions.append(_build_probe(node, now, record.peer_address, _next_sequence(node), reported))
    return actions + _probe_seeds(node, now)


def _probe_seeds(node: Node, now: float) -> list[Action]:
    known = {member.record.peer_address for member in node.members.values()}
    seeds = [seed for seed in node.seeds if seed not in known and seed != node.own.peer_address]
    count = 1 if node.join.done else SEED_PROBES_WHILE_JOINING
    chosen = node.random.sample(seeds, min(count, len(seeds)))
    return [_build_probe(node, now, seed, _next_sequence(node)) for seed in chosen]


def _next_target(node: Node) -> MemberRecord | None:
    probes = node.probes
    if not probes.round:
        probes.round = [record.name for record in list_alive(node, node.own.data_centre)]
        node.random.shuffle(probes.round)
    while probes.round:
        member = node.members.get(probes.round.pop())
        if member is not None and member.record.status in ("alive", "suspect"):
            return member.record
    return None


def _build_probe(
    node: Node, now: float, address: str, sequence: int, reported: list[MemberRecord] | None = None
) -> SendMessage:
    return SendMessage(address, Probe(build_digest(node, now, reported or []), sequence))


def _next_sequence(node: Node) -> int:
    node.probes.sequence += 1
    return node.probes.sequence


def _check_pending_probes(node: Node, now: float) -> list[Action]:
    actions: list[Action] = []
    for sequence, probe in list(node.probes.pending.items()):
        member = node.members.get(probe.name)
        if member is None or member.record.status in ("failed", "left"):
            del node.probes.pending[sequence]
        elif now >= probe.sent_at + PROBE_TIMEOUT_S + INDIRECT_TIMEOUT_S:
            del node.probes.pending[sequence]
            actions += _mark_suspect(node, now, member.record)
        elif now >= probe.sent_at + PROBE_TIMEOUT_S and not probe.indirect:
            probe.indirect = True
            actions += _probe_indirectly(node, now, sequence, member.record)
    return actions


def _probe_indirectly(node: Node, now: float, sequence: int, record: MemberRecord) -> list[Action]:
    request = ProbeRequest(node.own, sequence, record.peer_address)
    intermediaries = choose_peers(node, INDIRECT_PROBES, 0, {record.name})
    actions: list[Action] = [ResetPeer(record.peer_address)]
    actions.append(_build_probe(node, now, record.peer_address, sequence))
    return actions + [SendMessage(helper.peer_address, request) for helper in intermediaries]


def _mark_suspect(node: Node, now: float, record: MemberRecord) -> list[Action]:
    if record.status != "alive":
        return []
    return set_record(node, now, attrs.evolve(record, status="suspect"))


def _fail_suspects(node: Node, now: float) -> list[Action]:
    actions: list[Action] = []
    for name in sorted(node.suspects):
        member = node.members[name]
        record = member.record
        if (
            record.data_centre == node.own.data_centre
            and now >= member.updated_at + SUSPICION_TIMEOUT_S
        ):
            actions += set_record(node, now, attrs.evolve(record, status="failed"))
    return actions


def _detect_pause(node: Node, now: float) -> list[Action]:
    previous_tick_at, node.probes.ticked_at = node.probes.ticked_at, now
    if not previous_tick_at or now < previous_tick_at + PAUSE_THRESHOLD_S:
        return []
    node.probes.pending.clear()
    node.server_announced_at = now
    for name in node.suspects:
        node.members[name].updated_at = now
    for data_centre in node.data_centres_heard_at:
        node.data_centres_heard_at[data_centre] = now
    return [Log(LogEvent.PAUSE_NOTICED, {"seconds": round(now - previous_tick_at, 1)})]


def _update_silent_data_centres(node: Node, now: float) -> list[Action]:
    silent = {
        data_centre
        for data_centre, heard_at in node.data_centres_heard_at.items()
        if now >= heard_at + DATA_CENTRE_SILENT_S
    }
    changed = sorted(silent ^ node.silent)
    node.silent = silent
    node.members_revision += bool(changed)
    events = {True: LogEvent.DATA_CENTRE_SILENT, False: LogEvent.DATA_CENTRE_HEARD}
    return [Log(events[name in silent], {"other_data_centre": name}) for name in changed]


def _remove_departed(node: Node, now: float) -> None:
    node.probes.cleanup_at = now + CLEANUP_INTERVAL_S
    for name, member in list(node.members.items()):
        if (
            member.record.status in ("failed", "left")
            and now >= member.updated_at + DEPARTED_RETENTION_S
        ):
            remove_member(node, name)
