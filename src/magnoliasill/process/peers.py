"""Messages to and from other daemons, over pynng sockets."""

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

# The library calls back from threads of its own, which a lock of green threads must not meet.
pynng.nng.threading = eventlet.patcher.original("threading")

MAX_DIALED = 64
SEND_BUFFER_MESSAGES = 8
RECEIVE_BUFFER_MESSAGES = 128
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000


@attrs.define
class PeerSockets:
    """The sockets of one daemon.

    Attributes:
        listener: Receives every peer's messages.
        dialed: Sending sockets by address, the one used last at the end.
    """

    listener: pynng.Pull0
    dialed: OrderedDict[str, pynng.Push0] = attrs.field(factory=OrderedDict)


def open_peers(address: str) -> PeerSockets:
    """Listen for messages.

    Args:
        address: `ip:port`.

    Returns:
        The sockets.

    Raises:
        SettingsError: If the address is in use or not of this VM.
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
    """Send bytes without waiting.

    Args:
        peers: The daemon's sockets.
        address: The peer's `ip:port`.
        data: An encoded message.

    Returns:
        Whether the bytes were queued; they may still get lost.
    """
    socket = peers.dialed.pop(address, None)
    if socket is None:
        socket = _dial(address)
        _evict(peers)
    peers.dialed[address] = socket
    try:
        socket.send(data, block=False)
    except pynng.TryAgain:
        return False
    return True


def receive_from_peers(peers: PeerSockets, handle: Callable[[bytes], None]) -> None:
    """Pass every received message on, until the listener is closed.

    Args:
        peers: The daemon's sockets.
        handle: Called with the bytes of each message.
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
    """Close the sending socket to an address; the next message opens a new connection."""
    socket = peers.dialed.pop(address, None)
    if socket is not None:
        socket.close()


def close_peers(peers: PeerSockets) -> None:
    """Close every sending socket."""
    for socket in peers.dialed.values():
        socket.close()
    peers.dialed.clear()


def _dial(address: str) -> pynng.Push0:
    socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
    socket.reconnect_time_min = RECONNECT_MIN_MS
    socket.reconnect_time_max = RECONNECT_MAX_MS
    socket.dial(f"tcp://{address}", block=False)
    return socket


def _evict(peers: PeerSockets) -> None:
    while len(peers.dialed) >= MAX_DIALED:
        _, oldest = peers.dialed.popitem(last=False)
        oldest.close()
