"""The messages that daemons send to each other, and their codec."""

from __future__ import annotations

from typing import TypeAlias

import attrs
import msgspec

from .codes import ErrorCode
from .errors import MessageError
from .manifest import Head

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 4_000_000


@attrs.frozen
class MemberRecord:
    """What is known of one daemon and of the backend server on its VM.

    Attributes:
        name: Unique name of the daemon.
        data_centre: Where it runs.
        peer_address: `ip:port` for messages.
        incarnation: Raised by the daemon itself to override what others say of it.
        status: `alive`, `suspect`, `failed` or `left`.
        service: The backend server's service, or an empty string while there is none.
        release: The backend server's release.
        server_address: The backend server's `ip:port`.
        serving: Whether the backend server takes new work.
        started_at: Seconds since the epoch at which the backend server announced itself.
        admin_port: The daemon's administration port, on the address of `peer_address`.
    """

    name: str
    data_centre: str
    peer_address: str
    incarnation: int
    status: str = "alive"
    service: str = ""
    release: str = ""
    server_address: str = ""
    serving: bool = False
    started_at: float = 0.0
    admin_port: int = 0


@attrs.frozen
class Digest:
    """Says which configuration version the sender has applied, and changed members."""

    sender: MemberRecord
    version: int
    members: list[MemberRecord] = attrs.field(factory=list)
    wants_members: bool = False


@attrs.frozen
class ConfigurationRequest:
    """Asks for the configuration above a version, without the blobs already held."""

    sender: MemberRecord
    version: int
    held: list[str] = attrs.field(factory=list)


@attrs.frozen
class ConfigurationReply:
    """Carries a head and the blobs that the asker lacked."""

    sender: MemberRecord
    head: Head
    blobs: dict[str, bytes] = attrs.field(factory=dict)


Message: TypeAlias = Digest | ConfigurationRequest | ConfigurationReply

_KINDS: dict[str, type] = {
    kind.__name__: kind for kind in (Digest, ConfigurationRequest, ConfigurationReply)
}


@attrs.frozen
class _Envelope:
    wire_version: int
    kind: str
    body: msgspec.Raw


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message."""
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    return msgspec.msgpack.encode(_Envelope(WIRE_VERSION, type(message).__name__, body))


def decode_message(data: bytes) -> Message:
    """Decode the bytes of a message.

    Args:
        data: What `encode_message` returned at the sender.

    Returns:
        The message.

    Raises:
        MessageError: If the bytes are too many, malformed, or of another wire version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"{len(data)} bytes")
    try:
        envelope = msgspec.msgpack.decode(data, type=_Envelope)
        if envelope.wire_version != WIRE_VERSION:
            raise MessageError(ErrorCode.MESSAGE_INVALID, f"wire version {envelope.wire_version}")
        kind = _KINDS.get(envelope.kind)
        if kind is None:
            raise MessageError(ErrorCode.MESSAGE_INVALID, f"kind {envelope.kind[:40]!r}")
        return msgspec.msgpack.decode(envelope.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageError(ErrorCode.MESSAGE_INVALID, str(error)[:200]) from error
