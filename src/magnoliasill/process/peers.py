"""Sends messages to other daemons and receives theirs, over pynng sockets."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs
import eventlet.hubs
import eventlet.patcher
import pynng
import pynng.nng

from ..codes import ErrorCode
from ..core.messages import MAX_MESSAGE_BYTES
from ..errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

# pynng runs callbacks on its own native threads, so it needs native locks instead of the green
# ones that eventlet patches in.
pynng.nng.threading = eventlet.patcher.original("threading")

MAX_SENDERS = 64
SEND_BUFFER_MESSAGES = 8
RECEIVE_BUFFER_MESSAGES = 128
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000


@attrs.define
class PeerSockets:
    """The peer sockets of one daemon.

    Attributes:
        listener: The socket that receives the messages of all peers.
        senders: Sending sockets by peer address, the most recently used one last.
    """

    listener: pynng.Pull0
    senders: OrderedDict[str, pynng.Push0] = attrs.field(factory=OrderedDict)


def open_peers(address: str) -> PeerSockets:
    """Listen for messages of peers.

    Args:
        address: `ip:port`.

    Returns:
        The sockets, without any connection to a peer yet.

    Raises:
        SettingsError: If the address is in use or does not belong to this VM.
    """
    listener = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
    listener.recv_max_size = MAX_MESSAGE_BYTES
    try:
        listener.listen(f"tcp://{address}")
    except pynng.NNGException as error:
        message = f"--peer-port: {address}: {error}"
        raise SettingsError(ErrorCode.PORT_IN_USE, message) from error
    return PeerSockets(listener)


def send_to_peer(peers: PeerSockets, address: str, data: bytes) -> bool:
    """Queue a message for a peer without blocking.

    Args:
        peers: The daemon's sockets.
        address: The peer's `ip:port`.
        data: An encoded message.

    Returns:
        Whether the message was queued; it may still be lost.
    """
    socket = peers.senders.pop(address, None)
    if socket is None:
        socket = _dial(address)
        _evict_least_recent(peers)
    peers.senders[address] = socket
    try:
        socket.send(data, block=False)
    except pynng.TryAgain:
        return False
    return True


def receive_from_peers(peers: PeerSockets, handle: Callable[[bytes], None]) -> None:
    """Pass each received message to a handler until the listener is closed.

    Args:
        peers: The daemon's sockets.
        handle: Called with the encoded bytes of each message.
    """
    while True:
        try:
            data = peers.listener.recv(block=False)
        except pynng.TryAgain:
            eventlet.hubs.trampoline(peers.listener.recv_fd, read=True)
            continue
        except pynng.Closed:
            return
        handle(data)


def reset_peer(peers: PeerSockets, address: str) -> None:
    """Close the sending socket of a peer; the next message to it opens a new connection."""
    socket = peers.senders.pop(address, None)
    if socket is not None:
        socket.close()


def close_peers(peers: PeerSockets) -> None:
    """Close all sending sockets."""
    for socket in peers.senders.values():
        socket.close()
    peers.senders.clear()


def _dial(address: str) -> pynng.Push0:
    socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
    socket.reconnect_time_min = RECONNECT_MIN_MS
    socket.reconnect_time_max = RECONNECT_MAX_MS
    socket.dial(f"tcp://{address}", block=False)
    return socket


def _evict_least_recent(peers: PeerSockets) -> None:
    while len(peers.senders) >= MAX_SENDERS:
        _, oldest = peers.senders.popitem(last=False)
        oldest.close()
