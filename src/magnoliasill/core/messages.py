"""The messages that daemons send to each other, and their codec."""

from __future__ import annotations

from typing import TypeAlias, get_args

import attrs
import msgspec

from ..codes import ErrorCode
from ..errors import MessageError
from ..takeovers.plans import Progress
from ..versions.manifest import Head, HeadDelta

WIRE_VERSION = 2
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
    """Says what the sender holds, for comparison with what the receiver holds.

    Attributes:
        sender: The sender's own record.
        version: The configuration version in force.
        members: Records that changed lately.
        held: The greatest version held whole, in force or about to be.
        joining: Whether the sender may not serve yet and asks what others hold.
        fingerprint: Of the sender's member table.
        heard: For other data centres, tenths of a second since anything was heard from there.
        answer: Whether this answers a digest, and needs no answer.
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
    """Asks the receiver for a `ProbeAck` with the same sequence number."""

    digest: Digest
    sequence: int

    @property
    def sender(self) -> MemberRecord:
        """The sender's own record."""
        return self.digest.sender


@attrs.frozen
class ProbeRequest:
    """Asks the receiver to probe another daemon and to pass its answer on.

    Attributes:
        sender: The asker's own record.
        sequence: The sequence number of the answer.
        target: The peer address to probe.
    """

    sender: MemberRecord
    sequence: int
    target: str


@attrs.frozen
class ProbeAck:
    """Answers a probe."""

    digest: Digest
    sequence: int

    @property
    def sender(self) -> MemberRecord:
        """The sender's own record."""
        return self.digest.sender


@attrs.frozen
class MemberNews:
    """Member records that the sender learned a moment ago."""

    sender: MemberRecord
    members: list[MemberRecord] = attrs.field(factory=list)


@attrs.frozen
class MemberSummary:
    """Asks for the records in which the receiver's member table differs.

    Attributes:
        sender: The sender's own record.
        buckets: The fingerprint of each bucket of the sender's table; none if it is empty.
    """

    sender: MemberRecord
    buckets: list[int] = attrs.field(factory=list)


@attrs.frozen
class MemberPage:
    """Answers a summary with a bounded number of records.

    Attributes:
        sender: The sender's own record.
        members: Records of buckets that differ.
        complete: Whether these are all such records.
        joining: Whether the sender's own table may be far from complete.
    """

    sender: MemberRecord
    members: list[MemberRecord] = attrs.field(factory=list)
    complete: bool = True
    joining: bool = False


@attrs.frozen
class ConfigurationRequest:
    """Asks for the configuration above a version, or for some of its blobs.

    Attributes:
        sender: The sender's own record.
        version: The greatest version held whole.
        manifest: The hash of that version's manifest, empty to ask for a whole head.
        pending: The version whose blobs the sender is collecting, 0 if none.
        wanted: Hashes of blobs that the sender lacks for it.
    """

    sender: MemberRecord
    version: int
    manifest: str = ""
    pending: int = 0
    wanted: list[str] = attrs.field(factory=list)


@attrs.frozen
class ConfigurationReply:
    """Carries a head, whole or as a change, and blobs that the asker lacks.

    Attributes:
        sender: The sender's own record.
        head: The head, if it is sent whole.
        blobs: Blobs by hash; as many as fit.
        delta: The head as a change of the version that the asker holds.
    """

    sender: MemberRecord
    head: Head | None
    blobs: dict[str, bytes] = attrs.field(factory=dict)
    delta: HeadDelta | None = None


@attrs.frozen
class EvidenceReport:
    """Carries a daemon's sums for one takeover to the collectors of its data centre.

    Attributes:
        takeover_id: The takeover.
        origin: The daemon's name.
        data_centre: Its data centre.
        incarnation: When its sums began.
        sequence: Counts its reports from 1.
        counts: The sums since then; the fields of `tally.Tally.counts`.
    """

    takeover_id: str
    origin: str
    data_centre: str
    incarnation: int
    sequence: int
    counts: list[int]


@attrs.frozen
class EvidenceSummary:
    """Carries what a collector has tested to the controller; fields as in `EvidenceReport`."""

    takeover_id: str
    origin: str
    data_centre: str
    incarnation: int
    sequence: int
    counts: list[int]


@attrs.frozen
class TakeoverNews:
    """Says how far a takeover has come.

    Attributes:
        origin: The sender's name.
        peer_address: The sender's address.
        service: The service.
        progress: The progress as the sender knows it.
        controller: The controller's name if the sender is the controller, else empty.
        stored: Whether the end of the takeover is known to be in the platform's store.
        asks: Whether the sender wants to hear of a newer progress.
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
    """Asks the holder of a key range to record a claim, or to release it.

    Attributes:
        asker: The sender's peer address.
        number: The range.
        key: Digest of the service and the caller's key.
        body: Digest of the request that the key belongs to.
        claim: The claim's identifier, made before the first request for it.
        instead_of: A claim of the same key whose request certainly did not run.
        release: Whether the request of this claim certainly did not run and will not.
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
    """Answers a claim request.

    Attributes:
        claim: The claim.
        verdict: `granted`, `used`, `reused`, `moved` or `unavailable`.
        holder: The peer address of the holder, where it is known.
        used_by: The claim that holds the key.
        asker: Digest of the peer address of the daemon that made that claim.
    """

    claim: bytes
    verdict: str
    holder: str = ""
    used_by: bytes = b""
    asker: bytes = b""


@attrs.frozen
class ClaimQuery:
    """Asks the daemon that made a claim what became of it."""

    asker: str
    token: bytes
    claim: bytes


@attrs.frozen
class ClaimReport:
    """Says what became of a claim, with its answer where that is still known.

    Attributes:
        token: Of the query.
        status: A claim status; `unknown` also where the claim is not known.
        answer_status: The HTTP status of the answer, 0 where there is none.
        reason: Its reason phrase.
        headers: Its headers.
        body: Its body.
    """

    token: bytes
    status: str
    answer_status: int = 0
    reason: str = ""
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    body: bytes = b""


@attrs.frozen
class CrashNotice:
    """Says that backend servers broke while they ran a request.

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

_KINDS: dict[str, type] = {kind.__name__: kind for kind in get_args(Message)}


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
