"""Detects requests that crash backend servers, and blocks them in the whole data centre.

Without this, a caller that retries such a request would crash one server after the other. Daemons
report to their peers which servers crashed while running a request with a given fingerprint.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..core.actions import Action, Log, SendMessage
from ..core.messages import CrashNotice
from ..spreading.gossip import choose_peers
from .crash_table import CrashTable, SuspectRequest

if TYPE_CHECKING:
    from ..core.node import Node

BLOCK_AFTER_SERVERS = 2
MAX_SUSPECTS = 1_000
MAX_NOTICE_SERVERS = 16
RETENTION_S = 600.0
FIRST_BLOCK_S = 60.0
MAX_BLOCK_S = 3_600.0
NOTICE_FANOUT = 6
FINGERPRINT_BYTES = 12
SERVER_DIGEST_BYTES = 4


def compute_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a hash that identifies equal requests, regardless of their idempotency keys.

    It does not include the service and the route, since these follow from the path.
    """
    state = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), target.encode(), body):
        state.update(len(part).to_bytes(8))
        state.update(part)
    return state.digest()


def is_blocked(table: CrashTable, now: float, fingerprint: bytes) -> bool:
    """Return whether a request is currently blocked."""
    suspect = table.suspects.get(fingerprint)
    return suspect is not None and now < suspect.blocked_until


def record_crash(node: Node, now: float, fingerprint: bytes, address: str) -> list[Action]:
    """Record that a backend server crashed while it was running a request.

    Args:
        node: The node's state.
        now: Seconds of the node's clock.
        fingerprint: The request's fingerprint.
        address: The backend server's `ip:port`.
    """
    server = hashlib.blake2b(address.encode(), digest_size=SERVER_DIGEST_BYTES).digest()
    return _add_servers(node, now, fingerprint, {server})


def receive_crash_notice(node: Node, now: float, notice: CrashNotice) -> list[Action]:
    """Apply a peer's report of crashes, and send it on to other peers if it contains new ones."""
    sizes = {len(server) for server in notice.servers}
    if len(notice.fingerprint) != FINGERPRINT_BYTES or sizes - {SERVER_DIGEST_BYTES}:
        return []
    return _add_servers(node, now, notice.fingerprint, set(notice.servers[:MAX_NOTICE_SERVERS]))


def remove_suspect(table: CrashTable, fingerprint: bytes) -> None:
    """Remove a request that has since got a response: it was running at a crash only by chance."""
    table.suspects.pop(fingerprint, None)


def _add_servers(node: Node, now: float, fingerprint: bytes, servers: set[bytes]) -> list[Action]:
    table = node.crashes
    suspect = table.suspects.get(fingerprint)
    if suspect is None or now - suspect.seen_at > _retention_s(suspect):
        suspect = table.suspects[fingerprint] = SuspectRequest()
    if servers <= suspect.servers:
        return []
    suspect.servers |= servers
    suspect.seen_at = now
    table.suspects.move_to_end(fingerprint)
    while len(table.suspects) > MAX_SUSPECTS:
        table.suspects.popitem(last=False)
    actions = _notify_peers(node, fingerprint, suspect)
    if len(suspect.servers) >= BLOCK_AFTER_SERVERS and now >= suspect.blocked_until:
        actions.append(_block(now, fingerprint, suspect))
    return actions


def _retention_s(suspect: SuspectRequest) -> float:
    return RETENTION_S + MAX_BLOCK_S if suspect.blocks else RETENTION_S


def _block(now: float, fingerprint: bytes, suspect: SuspectRequest) -> Action:
    seconds = min(FIRST_BLOCK_S * 2**suspect.blocks, MAX_BLOCK_S)
    suspect.blocks += 1
    suspect.blocked_until = now + seconds
    fields = {
        "fingerprint": fingerprint.hex(),
        "servers": len(suspect.servers),
        "seconds": seconds,
    }
    return Log(LogEvent.REQUEST_BLOCKED, fields)


def _notify_peers(node: Node, fingerprint: bytes, suspect: SuspectRequest) -> list[Action]:
    servers = sorted(suspect.servers)[:MAX_NOTICE_SERVERS]
    notice = CrashNotice(fingerprint, servers)
    return [SendMessage(peer.peer_address, notice) for peer in choose_peers(node, NOTICE_FANOUT, 0)]
