"""Requests that crash backend servers: counted over the data centre, then refused."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..codes import LogEvent
from ..core.actions import Action, Log, SendMessage
from ..core.messages import CrashNotice
from ..spreading.spreading import choose_peers
from .crash_table import CrashTable, Suspect

if TYPE_CHECKING:
    from ..core.node import Node

MAX_SERVERS = 2
MAX_ENTRIES = 1_000
MAX_NOTICE_SERVERS = 16
FORGET_S = 600.0
FIRST_BLOCK_S = 60.0
LONGEST_BLOCK_S = 3_600.0
FANOUT = 6
FINGERPRINT_BYTES = 12
SERVER_BYTES = 4


def digest_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return what equal requests have in common; the caller's key is left out.

    A path belongs to one route of one service, so these need not be named.
    """
    state = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), target.encode(), body):
        state.update(len(part).to_bytes(8))
        state.update(part)
    return state.digest()


def is_blocked(table: CrashTable, now: float, fingerprint: bytes) -> bool:
    """Return whether a request is refused at present."""
    suspect = table.suspects.get(fingerprint)
    return suspect is not None and now < suspect.blocked_until


def record_crash(node: Node, now: float, fingerprint: bytes, address: str) -> list[Action]:
    """Note that a backend server was gone after it broke while running a request.

    Args:
        node: The node's tables.
        now: Seconds of the node's clock.
        fingerprint: The request.
        address: The backend server's `ip:port`.
    """
    server = hashlib.blake2b(address.encode(), digest_size=SERVER_BYTES).digest()
    return _add_servers(node, now, fingerprint, {server})


def receive_crash_notice(node: Node, now: float, notice: CrashNotice) -> list[Action]:
    """Add what a peer saw, and pass it on where it is new."""
    sizes = {len(server) for server in notice.servers}
    if len(notice.fingerprint) != FINGERPRINT_BYTES or sizes - {SERVER_BYTES}:
        return []
    return _add_servers(node, now, notice.fingerprint, set(notice.servers[:MAX_NOTICE_SERVERS]))


def clear_suspect(table: CrashTable, fingerprint: bytes) -> None:
    """Forget a request that was answered: it was only near when a server broke."""
    table.suspects.pop(fingerprint, None)


def _add_servers(node: Node, now: float, fingerprint: bytes, servers: set[bytes]) -> list[Action]:
    table = node.crashes
    suspect = table.suspects.get(fingerprint)
    if suspect is None or now - suspect.seen_at > _remember_s(suspect):
        suspect = table.suspects[fingerprint] = Suspect()
    if servers <= suspect.servers:
        return []
    suspect.servers |= servers
    suspect.seen_at = now
    table.suspects.move_to_end(fingerprint)
    while len(table.suspects) > MAX_ENTRIES:
        table.suspects.popitem(last=False)
    actions = _tell_peers(node, fingerprint, suspect)
    if len(suspect.servers) >= MAX_SERVERS and now >= suspect.blocked_until:
        actions.append(_block(now, fingerprint, suspect))
    return actions


def _remember_s(suspect: Suspect) -> float:
    return FORGET_S + LONGEST_BLOCK_S if suspect.blocks else FORGET_S


def _block(now: float, fingerprint: bytes, suspect: Suspect) -> Action:
    seconds = min(FIRST_BLOCK_S * 2**suspect.blocks, LONGEST_BLOCK_S)
    suspect.blocks += 1
    suspect.blocked_until = now + seconds
    fields = {
        "fingerprint": fingerprint.hex(),
        "servers": len(suspect.servers),
        "seconds": seconds,
    }
    return Log(LogEvent.REQUEST_BLOCKED, fields)


def _tell_peers(node: Node, fingerprint: bytes, suspect: Suspect) -> list[Action]:
    servers = sorted(suspect.servers)[:MAX_NOTICE_SERVERS]
    notice = CrashNotice(fingerprint, servers)
    return [SendMessage(peer.peer_address, notice) for peer in choose_peers(node, FANOUT, 0)]
