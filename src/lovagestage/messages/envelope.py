"""Messages between the system's processes, as MessagePack over pyzmq.

An entry connects to a sidecar and sends the messages of `EntryMessage`, such as
`Hello`, `Dispatch`, `Attach`, `Ack` and `Cancel`. The sidecar answers with the
messages of `SidecarMessage`. A run is identified by the request id together
with the attempt number; frames of another attempt are dropped. Messages are
arrays on the wire, so a later software version may only append fields, and the
new fields must have defaults.
"""

from __future__ import annotations

import enum

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.messages.counters import LearnedDelta
from lovagestage.messages.crashes import CrashReport
from lovagestage.messages.keys import (
    Claim,
    ClaimAnswer,
    Copy,
    CopyAnswer,
    Inquiry,
    InquiryAnswer,
    Pull,
    PullAnswer,
)
from lovagestage.messages.peers import (
    BillCopied,
    BillCopy,
    BillRelease,
    EvidenceReport,
    UsageReport,
    VersionAnswer,
    VersionQuestion,
)
from lovagestage.messages.runs import (
    Accepted,
    Ack,
    Attach,
    Cancel,
    Chunk,
    Dispatch,
    Finished,
    Refused,
)
from lovagestage.types import (
    FencingNumber,
    LeaseId,
    Offset,
    PoolId,
    VmId,
    ZoneId,
)

MAX_MESSAGE_BYTES = 16 * 1024 * 1024


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """First message on a connection, and the entry's heartbeat.

    Attributes:
        vm: The sender's VM.
        incarnation: Start time of the sender's process; a restarted process
            has a higher one.
        sequence: Sequence number, which increases on a connection; the answer
            carries it back.
        answered_sequence: If this message is an answer, the sequence number of
            the answered message.
        known_state: `state_hash` of the latest heartbeat received. The answer
            may then omit the fields that have this hash; 0 requests all
            fields. If it is not 0, `vm` and `incarnation` are omitted too,
            because an earlier message on the connection contained them.
    """

    vm: VmId
    incarnation: int
    sequence: int = 0
    answered_sequence: int = 0
    known_state: int = 0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """The sidecar's state, sent on a timer and after each change of the state.

    Attributes:
        vm: The sidecar's VM.
        zone: Availability zone of the VM.
        incarnation: Start time of the sidecar's process; a restarted process
            has a higher one.
        sequence: Sequence number, which increases; a heartbeat older than the
            latest one received is dropped.
        leaving: Whether the sidecar accepts no new requests.
        versions: Versions, each as `MODEL@VERSION`, that the upstream has
            loaded.
        running: Number of requests that run at the upstream.
        waiting: Number of requests that wait at the upstream.
        max_running: Largest number of requests that may run at the same time.
        token_interval_ms: Measured time between tokens of a stream, in
            milliseconds.
        control_offset: Offset up to which the sidecar has read the `control`
            stream.
        clock_ms: The sidecar's own clock in milliseconds, from which runs of
            keyed requests take their permit.
        answered_sequence: Sequence number of the latest `Hello` received on
            this connection.
        max_batch: Number of requests that the engine processes at the same
            time; 0 if unknown.
        pool: Pool of the plain service; empty beside an engine.
        is_up: Whether the plain service accepts calls.
        state_hash: Hash of VM, zone and versions; never 0.
        shortened: Whether VM, zone and versions are omitted because the
            receiver already has the values with this hash.
    """

    vm: VmId
    zone: ZoneId
    incarnation: int
    sequence: int
    leaving: bool
    versions: list[str]
    running: int
    waiting: int
    max_running: int
    token_interval_ms: float
    control_offset: int
    clock_ms: int = 0
    answered_sequence: int = 0
    max_batch: int = 0
    pool: PoolId = PoolId("")
    is_up: bool = False
    state_hash: int = 0
    shortened: bool = False


class DumpRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="dump_request"
):
    """Requests the diagnostic dump of a process."""


class DumpAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="dump_answer"
):
    """Diagnostic dump of a process as JSON."""

    state: bytes


class StateQuestion(
    msgspec.Struct, frozen=True, array_like=True, tag="state_question"
):
    """Requests a process's folded state, or only its offset and hash."""

    with_state: bool


class StateAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="state_answer"
):
    """A process's folded control state.

    Attributes:
        next_offset: `next_offset` of the state.
        checksum: Hash of the state; empty if the state may not be acted on.
        state: The encoded state; empty if it was not requested or may not be
            acted on.
    """

    next_offset: Offset
    checksum: str
    state: bytes


class StateOffer(
    msgspec.Struct, frozen=True, array_like=True, tag="state_offer"
):
    """Offers a folded state to a process that has none.

    The fields are those of `StateAnswer`.
    """

    next_offset: Offset
    checksum: str
    state: bytes


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Request to a process that answers it in a `Reply` with the same call id.

    Attributes:
        call_id: Id of the call, which the sender of the request chooses.
        payload: The encoded message of the request.
    """

    call_id: int
    payload: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Answer to an `Ask`; the payload is an encoded message."""

    call_id: int
    payload: bytes


class OrderState(enum.Enum):
    """Result of an order to an engine."""

    STARTED = "started"
    DONE = "done"
    THROTTLED = "throttled"
    """The weight store's rate limit was reached; no load was started."""
    REFUSED = "refused"
    """The fencing gate or the engine rejected the order; no load started."""
    UNKNOWN = "unknown"


class Order(msgspec.Struct, frozen=True, array_like=True, tag="order"):
    """Orders an engine to load a version.

    Attributes:
        lease: Name of the lease that the sender holds.
        fencing: Fencing number of the sender's grant of the lease.
        version: Version to load, as `MODEL@VERSION`.
    """

    lease: LeaseId
    fencing: FencingNumber
    version: str


class OrderResult(
    msgspec.Struct, frozen=True, array_like=True, tag="order_result"
):
    """Result of an order, with an error message if it failed."""

    state: OrderState
    message: str


EntryMessage = Hello | Dispatch | Attach | Ack | Cancel | DumpRequest | Order
SidecarMessage = (
    Heartbeat | Accepted | Chunk | Finished | Refused | DumpAnswer | OrderResult
)
PeerMessage = (
    CrashReport
    | BillCopy
    | BillCopied
    | BillRelease
    | EvidenceReport
    | LearnedDelta
    | VersionQuestion
    | VersionAnswer
    | UsageReport
)
StateMessage = StateQuestion | StateAnswer | StateOffer
KeyMessage = (
    Claim
    | ClaimAnswer
    | Copy
    | CopyAnswer
    | Pull
    | PullAnswer
    | Inquiry
    | InquiryAnswer
)
Message = (
    EntryMessage
    | SidecarMessage
    | PeerMessage
    | StateMessage
    | KeyMessage
    | Ask
    | Reply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        CodecError: The bytes are not an encoded message.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"The message can't be decoded: {error}.") from error
