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

from lovagestage.crash_reports import CrashReport
from lovagestage.exceptions import CodecError
from lovagestage.exposure import Evidence
from lovagestage.key_messages import (
    Claim,
    ClaimAnswer,
    Copy,
    CopyAnswer,
    Inquiry,
    InquiryAnswer,
    Pull,
    PullAnswer,
)
from lovagestage.learned import LearnedDelta
from lovagestage.plain_calls import Header
from lovagestage.types import (
    FencingNumber,
    LeaseId,
    Offset,
    PoolId,
    RequestId,
    RunState,
    ServiceId,
    VmId,
    WorkspaceId,
    WorkspaceTag,
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


class Dispatch(msgspec.Struct, frozen=True, array_like=True, tag="dispatch"):
    """Runs a request at the sidecar's upstream.

    Attributes:
        request_id: The request.
        attempt: Attempt number from 1; names the run with the request id.
        workspace: Who asks; the sidecar checks it again.
        service: The service.
        version: `MODEL@VERSION`.
        priority: 0 is most urgent.
        deadline_s: Time left until the deadline.
        stream: Whether chunks are wanted as they arrive.
        body: The request's JSON body for the engine.
        in_session: It goes on with an open session, so that a retired version
            takes it.
        incarnation: The process that may run it; 0 is any. A restarted
            sidecar remembers nothing and must not run what was meant for
            the one before.
        keyed: It was claimed under a request key.
        permit_ms: That process's clock when it was chosen, where keyed.
        strikes: Crashes at which the request was in flight.
        probe: It must not run beside others that have strikes.
        clock_ms: That process's clock as the entry had heard it last; -1
            where it had not.
        headers: Headers of a call to a plain service.
    """

    request_id: RequestId
    attempt: int
    workspace: WorkspaceId
    service: str
    version: str
    priority: int
    deadline_s: float
    stream: bool
    body: bytes
    in_session: bool = False
    incarnation: int = 0
    keyed: bool = False
    permit_ms: int = 0
    strikes: int = 0
    probe: bool = False
    clock_ms: int = -1
    headers: tuple[Header, ...] = ()


class Attach(msgspec.Struct, frozen=True, array_like=True, tag="attach"):
    """Asks for a run's chunks again, from `from_seq`.

    Where the sidecar never saw the run, it bars it and answers `not_run`.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        from_seq: First chunk that is wanted.
        incarnation: The process that was to run it; 0 is any.
    """

    request_id: RequestId
    attempt: int
    from_seq: int
    incarnation: int = 0


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """The reader has passed on all chunks before `next_seq`."""

    request_id: RequestId
    attempt: int
    next_seq: int


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancels a run, down to the engine."""

    request_id: RequestId
    attempt: int


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="accepted"):
    """The sidecar has taken the run; from here on it may have run."""

    request_id: RequestId
    attempt: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="chunk"):
    """Part of an answer.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        seq: Number of the chunk within the run, from 0.
        data: Bytes for the caller.
        count: Number of chunks that are joined in `data`.
    """

    request_id: RequestId
    attempt: int
    seq: int
    data: bytes
    count: int = 1


class Finished(msgspec.Struct, frozen=True, array_like=True, tag="finished"):
    """The run is whole.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        chunks: Number of chunks; all must have arrived.
        prompt_tokens: As the engine counted.
        completion_tokens: As the engine counted.
        digest: xxh3 of the answer's bytes, in hex.
    """

    request_id: RequestId
    attempt: int
    chunks: int
    prompt_tokens: int
    completion_tokens: int
    digest: str


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The run ends without a whole answer.

    Attributes:
        request_id: The request.
        attempt: The attempt.
        code: Code of the error.
        message: Whole sentences.
        run: Whether it was run.
        retry_after_s: When to come back; None where that does not help.
    """

    request_id: RequestId
    attempt: int
    code: str
    message: str
    run: RunState
    retry_after_s: int | None = None


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


class NumberedBill(msgspec.Struct, frozen=True, array_like=True):
    """An encoded bill with its place in its owner's order, from 1."""

    number: int
    data: bytes


class BillCopy(msgspec.Struct, frozen=True, array_like=True, tag="bill_copy"):
    """Asks another entry to hold copies of bills.

    Attributes:
        owner: The entry that answered the requests.
        incarnation: Start time of the owner's process.
        bills: The bills.
    """

    owner: VmId
    incarnation: int
    bills: list[NumberedBill]


class BillCopied(
    msgspec.Struct, frozen=True, array_like=True, tag="bill_copied"
):
    """Says whether the copies are held; False where there is no room."""

    held: bool


class BillRelease(
    msgspec.Struct, frozen=True, array_like=True, tag="bill_release"
):
    """Renews an owner's copies and drops those that the log has.

    Attributes:
        owner: The entry that answered the requests.
        incarnation: Start time of the owner's process.
        last_number: The log has all bills up to this number.
    """

    owner: VmId
    incarnation: int
    last_number: int


class VersionQuestion(
    msgspec.Struct, frozen=True, array_like=True, tag="version_question"
):
    """Asks another entry which sidecars have versions loaded."""

    versions: list[str]


class VersionPlace(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar that has a version loaded."""

    vm: VmId
    version: str


class VersionAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="version_answer"
):
    """Some of the sidecars that have the versions."""

    places: list[VersionPlace]


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """What one entry knows first-hand of one workspace.

    Attributes:
        tag: The workspace.
        used_tokens: Charged since the process has started.
        demand_per_s: Tokens that callers ask for, smoothed.
    """

    tag: WorkspaceTag
    used_tokens: int
    demand_per_s: int


class UsageReport(
    msgspec.Struct, frozen=True, array_like=True, tag="usage_report"
):
    """Tells another entry what was used through this one.

    Attributes:
        entry: The sender.
        incarnation: Start time of its process.
        rows: Workspaces with demand that matters.
    """

    entry: VmId
    incarnation: int
    rows: list[UsageRow]


class EvidenceReport(
    msgspec.Struct, frozen=True, array_like=True, tag="evidence_report"
):
    """What an entry tells the others of one roll-out.

    Attributes:
        service: The service.
        model: The model.
        evidence: What it saw since its last report.
    """

    service: ServiceId
    model: str
    evidence: Evidence


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
