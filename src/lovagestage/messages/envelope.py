"""Messages between the system's processes, MessagePack over pyzmq.

An entry connects to a sidecar and sends `Hello`, `Dispatch`, `Attach`, `Ack`
and `Cancel`; the sidecar answers with the rest. A run is named by the request
id together with the attempt number; frames of another attempt are dropped.
Messages are arrays on the wire: a later version may only append fields that
have defaults.
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
        incarnation: Start time of the process; a restart has a higher one.
        sequence: Counts up on a link; its answer carries it back.
        heard_sequence: Where this is an answer: the sequence it answers.
        known_state: `state_hash` of the latest heartbeat; an answer may then
            leave out what has that hash. 0 asks for all. With it, `vm` and
            `incarnation` are left out too: the connection has said them.
    """

    vm: VmId
    incarnation: int
    sequence: int = 0
    heard_sequence: int = 0
    known_state: int = 0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """The sidecar's state, sent on a timer and after each change of it.

    Attributes:
        vm: The sidecar's VM.
        zone: Its availability zone.
        incarnation: Start time of the process; a restart has a higher one.
        sequence: Counts up; an older heartbeat is dropped.
        leaving: It takes no new work.
        versions: `MODEL@VERSION` that its upstream has loaded.
        running: Requests running at the upstream.
        waiting: Requests waiting at the upstream.
        max_running: Requests that may run at once.
        token_interval_ms: Time between tokens of a stream, as measured.
        control_offset: How far it has read the `control` stream.
        clock_ms: Its own clock, from which runs of keyed requests take
            their permit.
        heard_sequence: Sequence of the latest `Hello` on this connection.
        max_batch: Requests that the engine works on at once; 0 if unknown.
        pool: Pool of its plain service; empty beside an engine.
        is_up: Whether the plain service takes calls.
        state_hash: Hash of VM, zone and versions; never 0.
        shortened: These three are left out: the reader has that hash.
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
    heard_sequence: int = 0
    max_batch: int = 0
    pool: PoolId = PoolId("")
    is_up: bool = False
    state_hash: int = 0
    shortened: bool = False


class DumpRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="dump_request"
):
    """Asks a process for its state."""


class DumpAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="dump_answer"
):
    """A process's state as JSON."""

    state: bytes


class StateQuestion(
    msgspec.Struct, frozen=True, array_like=True, tag="state_question"
):
    """Asks a process for its folded state, or only for its hash."""

    with_state: bool


class StateAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="state_answer"
):
    """A process's folded state.

    Attributes:
        next_offset: Its offset.
        checksum: Its hash; empty where it may not be acted on.
        state: Its encoding; empty where not asked for or not to be used.
    """

    next_offset: Offset
    checksum: str
    state: bytes


class StateOffer(
    msgspec.Struct, frozen=True, array_like=True, tag="state_offer"
):
    """A folded state for a process that has none; as `StateAnswer`."""

    next_offset: Offset
    checksum: str
    state: bytes


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A question; its answer comes in a `Reply` with the same call id.

    Attributes:
        call_id: Chosen by the asker.
        payload: An encoded message.
    """

    call_id: int
    payload: bytes


class Reply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """The answer to an `Ask`."""

    call_id: int
    payload: bytes


class OrderState(enum.Enum):
    """What became of an order to an engine."""

    STARTED = "started"
    DONE = "done"
    THROTTLED = "throttled"
    """The weight store's rate limit; nothing was started."""
    REFUSED = "refused"
    """By the gate or the engine; nothing was started."""
    UNKNOWN = "unknown"


class Order(msgspec.Struct, frozen=True, array_like=True, tag="order"):
    """Orders an engine to load a version.

    Attributes:
        lease: The lease that the sender holds.
        fencing: Its fencing number.
        version: `MODEL@VERSION`.
    """

    lease: LeaseId
    fencing: FencingNumber
    version: str


class OrderResult(
    msgspec.Struct, frozen=True, array_like=True, tag="order_result"
):
    """What became of an order."""

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
        CodecError: The bytes are no message.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"A message does not decode: {error}.") from error
