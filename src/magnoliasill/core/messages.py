"""The messages that daemons exchange, and their MessagePack codec."""

from __future__ import annotations

from typing import TypeAlias, get_args

import attrs
import msgspec

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_msgpack
from ..errors import MessageError
from ..takeovers.plans import Progress
from ..versions.manifest import Head, HeadDelta

WIRE_VERSION = 2
MAX_MESSAGE_BYTES = 4_000_000


@attrs.frozen
class MemberRecord:
    """The state of one daemon and of the backend server on its VM, as shared between daemons.

    Attributes:
        name: Unique name of the daemon.
        data_centre: The data centre in which the daemon runs.
        peer_address: `ip:port` at which the daemon receives peer messages.
        incarnation: Version of the record. Only the daemon itself raises it, to override records
            that other daemons spread about it.
        status: `alive`, `suspect`, `failed` or `left`.
        service: The backend server's service, or an empty string if there is no server.
        release: The backend server's release.
        server_address: The backend server's `ip:port`.
        serving: Whether the backend server accepts new requests.
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
    """Summarizes the sender's state, so that the receiver can find what either side lacks.

    Attributes:
        sender: The sender's own record.
        version: The active configuration version.
        members: Member records that changed recently.
        held: The highest version that the sender has completely, active or staged.
        joining: Whether the sender is still joining, may not serve yet and asks for the
            receiver's versions.
        fingerprint: Hash of the sender's member table.
        heard: For each other data centre, tenths of a second since anything was heard from there.
        answer: Whether this digest answers another one and needs no answer itself.
    """

    sender: MemberRecord
    version: int
    members: list[MemberRecord] = attrs.field(factory=list)
    held: int = 0
    joining: bool = False
    fingerprint: int = 0
    heard: dict[str, int] = attrs.field(factory=dict)
    answer: bool = False


@attrs.frozen
class Probe:
    """Checks that the receiver is alive; it answers with a `ProbeAck` of the same sequence."""

    digest: Digest
    sequence: int

    @property
    def sender(self) -> MemberRecord:
        """The sender's own record."""
        return self.digest.sender


@attrs.frozen
class ProbeRequest:
    """Asks the receiver to probe another daemon and to forward its answer.

    Attributes:
        sender: The sender's own record.
        sequence: The sequence number that the forwarded answer must carry.
        target: The peer address to probe.
    """

    sender: MemberRecord
    sequence: int
    target: str


@attrs.frozen
class ProbeAck:
    """Answers a `Probe`, directly or through the daemon that probed on request."""

    digest: Digest
    sequence: int

    @property
    def sender(self) -> MemberRecord:
        """The sender's own record."""
        return self.digest.sender


@attrs.frozen
class MemberNews:
    """Spreads member records that the sender has just learned."""

    sender: MemberRecord
    members: list[MemberRecord] = attrs.field(factory=list)


@attrs.frozen
class MemberSummary:
    """Requests the records in which the receiver's member table differs from the sender's.

    Attributes:
        sender: The sender's own record.
        buckets: The fingerprint of each bucket of the sender's table; empty if the table is.
    """

    sender: MemberRecord
    buckets: list[int] = attrs.field(factory=list)


@attrs.frozen
class MemberPage:
    """Answers a `MemberSummary` with a bounded number of records.

    Attributes:
        sender: The sender's own record.
        members: Records from the buckets that differ.
        complete: Whether these are all records of those buckets.
        joining: Whether the sender is still joining, so that its own table may lack many members.
    """

    sender: MemberRecord
    members: list[MemberRecord] = attrs.field(factory=list)
    complete: bool = True
    joining: bool = False


@attrs.frozen
class ConfigurationRequest:
    """Requests a configuration newer than the sender's, or blobs of one.

    Attributes:
        sender: The sender's own record.
        version: The highest version that the sender has completely.
        manifest: The hash of that version's manifest; empty to request a complete head.
        pending: The version whose blobs the sender is collecting; 0 if there is none.
        wanted: Hashes of the blobs that the sender lacks for `pending`.
    """

    sender: MemberRecord
    version: int
    manifest: str = ""
    pending: int = 0
    wanted: list[str] = attrs.field(factory=list)


@attrs.frozen
class ConfigurationReply:
    """Answers a `ConfigurationRequest` with a head, complete or as a delta, and blobs.

    Attributes:
        sender: The sender's own record.
        head: The complete head, or None.
        blobs: Blobs by hash, as many as fit into the message.
        delta: The head as a delta to the version that the requester has, or None.
    """

    sender: MemberRecord
    head: Head | None
    blobs: dict[str, bytes] = attrs.field(factory=dict)
    delta: HeadDelta | None = None


@attrs.frozen
class EvidenceReport:
    """Sends a daemon's counts for one takeover to the collectors of its data centre.

    Attributes:
        takeover_id: Identifier of the takeover.
        origin: The name of the daemon that counted.
        data_centre: The data centre of that daemon.
        incarnation: When the daemon started counting.
        sequence: Number of this report, from 1.
        counts: The totals since `incarnation`, in the order of `tally.Tally.counts`.
    """

    takeover_id: str
    origin: str
    data_centre: str
    incarnation: int
    sequence: int
    counts: list[int]


@attrs.frozen
class EvidenceSummary:
    """Sends a collector's tested counts to the controller; fields as in `EvidenceReport`."""

    takeover_id: str
    origin: str
    data_centre: str
    incarnation: int
    sequence: int
    counts: list[int]


@attrs.frozen
class TakeoverNews:
    """Spreads the progress of a takeover.

    Attributes:
        origin: The sender's name.
        peer_address: The sender's peer address.
        service: The service that is taken over.
        progress: The latest progress that the sender knows.
        controller: The sender's name if it controls the takeover, otherwise empty.
        stored: Whether the end of the takeover is known to be recorded in the platform's store.
        asks: Whether the sender requests a newer progress if the receiver has one.
    """

    origin: str
    peer_address: str
    service: str
    progress: Progress
    controller: str = ""
    stored: bool = False
    asks: bool = False


@attrs.frozen
class ClaimRequest:
    """Asks the daemon that holds a key range to record a claim, or to release one.

    Attributes:
        asker: The sender's peer address.
        number: Number of the key range.
        key: Digest of the service and the caller's key.
        body: Digest of the request that the key belongs to.
        claim: The claim's identifier, chosen before the first `ClaimRequest` for it is sent.
        instead_of: A claim of the same key to replace, whose request certainly did not run.
        release: Whether to release the claim, because its request did not run and will not.
    """

    asker: str
    number: int
    key: bytes
    body: bytes
    claim: bytes
    instead_of: bytes = b""
    release: bool = False


@attrs.frozen
class ClaimReply:
    """Answers a `ClaimRequest`.

    Attributes:
        claim: Identifier of the requested claim.
        verdict: `granted`, `used`, `reused`, `moved` or `unavailable`.
        holder: The peer address of the daemon that holds the range, if known.
        used_by: Identifier of the claim that already has the key.
        asker: Digest of the peer address of the daemon that made the claim `used_by`.
    """

    claim: bytes
    verdict: str
    holder: str = ""
    used_by: bytes = b""
    asker: bytes = b""


@attrs.frozen
class ClaimQuery:
    """Asks the daemon that made a claim for the claim's status and answer."""

    asker: str
    token: bytes
    claim: bytes


@attrs.frozen
class ClaimReport:
    """Answers a `ClaimQuery` with the claim's status, and its HTTP answer if still available.

    Attributes:
        token: The token of the query.
        status: The claim status; `unknown` also if the receiver of the query has no such claim.
        answer_status: The HTTP status of the answer; 0 if there is no answer.
        reason: The reason phrase of the answer.
        headers: The headers of the answer.
        body: The body of the answer.
    """

    token: bytes
    status: str
    answer_status: int = 0
    reason: str = ""
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""


@attrs.frozen
class CrashNotice:
    """Reports that backend servers crashed while they ran a request.

    Attributes:
        fingerprint: Digest of the request.
        servers: Digests of the addresses of those servers.
    """

    fingerprint: bytes
    servers: list[bytes]


Message: TypeAlias = (
    Digest
    | Probe
    | ProbeRequest
    | ProbeAck
    | MemberNews
    | MemberSummary
    | MemberPage
    | ConfigurationRequest
    | ConfigurationReply
    | EvidenceReport
    | EvidenceSummary
    | TakeoverNews
    | ClaimRequest
    | ClaimReply
    | ClaimQuery
    | ClaimReport
    | CrashNotice
)

_MESSAGE_TYPES: dict[str, type] = {kind.__name__: kind for kind in get_args(Message)}


@attrs.frozen
class _Envelope:
    wire_version: int
    kind: str
    body: msgspec.Raw


def encode_message(message: Message) -> bytes:
    """Encode a message for the network."""
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    return msgspec.msgpack.encode(_Envelope(WIRE_VERSION, type(message).__name__, body))


def decode_message(data: bytes) -> Message:
    """Decode a message from the network.

    Args:
        data: The bytes that `encode_message` returned at the sender.

    Returns:
        The message.

    Raises:
        MessageError: If the data is too long, malformed, or of another wire version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(ErrorCode.MESSAGE_INVALID, f"{len(data)} bytes")
    try:
        envelope = decode_msgpack(data, _Envelope)
        if envelope.wire_version != WIRE_VERSION:
            raise MessageError(ErrorCode.MESSAGE_INVALID, f"wire version {envelope.wire_version}")
        kind = _MESSAGE_TYPES.get(envelope.kind)
        if kind is None:
            raise MessageError(ErrorCode.MESSAGE_INVALID, f"kind {envelope.kind[:40]!r}")
        return decode_msgpack(envelope.body, kind)
    except DecodingError as error:
        raise MessageError(ErrorCode.MESSAGE_INVALID, str(error)) from error
