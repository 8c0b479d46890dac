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
from .crash_table import FINGERPRINT_BYTES, add_ends, clear_ends, find_block_left

if TYPE_CHECKING:
    from ..core.node import Node
    from .crash_table import CrashTable, SuspectRequest

MAX_NOTICE_SERVERS = 16
NOTICE_FANOUT = 6
SERVER_DIGEST_BYTES = 4


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


def record_answer(table: CrashTable, now: float, fingerprint: bytes) -> None:
    """Clear a request that has since got a response: it was running at a crash only by chance."""
    clear_ends(table, now, fingerprint)


def _add_servers(node: Node, now: float, fingerprint: bytes, servers: set[bytes]) -> list[Action]:
    blocked_before = find_block_left(node.crashes, now, fingerprint)
    suspect = add_ends(node.crashes, now, fingerprint, servers)
    if suspect is None:
        return []
    actions = _notify_peers(node, fingerprint, suspect)
    seconds = find_block_left(node.crashes, now, fingerprint)
    if seconds and not blocked_before:
        fields = {
            "fingerprint": fingerprint.hex(),
            "servers": len(suspect.counted),
            "seconds": seconds,
        }
        actions.append(Log(LogEvent.REQUEST_BLOCKED, fields))
    return actions


def _notify_peers(node: Node, fingerprint: bytes, suspect: SuspectRequest) -> list[Action]:
    notice = CrashNotice(fingerprint, sorted(suspect.counted)[:MAX_NOTICE_SERVERS])
    return [SendMessage(peer.peer_address, notice) for peer in choose_peers(node, NOTICE_FANOUT, 0)]
