"""Messages between gateways, sent through a topic of their own in the store.

The records are encoded as arrays: the order of their fields is part of the
format.
"""

from __future__ import annotations

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.messages.crashes import CrashReport
from lovagestage.types import InstanceId, Position, ServiceId, VmId, ZoneId

PEER_MESSAGES_TOPIC = "lovagestage"


class HelloMessage(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Announces that a gateway has started.

    Attributes:
        peer_address: Address at which the gateway receives datagrams; empty
            if it receives none.
        zone: Availability zone of the gateway.
    """

    peer_address: str
    zone: ZoneId = ZoneId("")


class FailureMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="failure"
):
    """Reports an answer that speaks against a roll-out's new version.

    It failed, was far too slow or did not come.

    Attributes:
        service: The service.
        order: Position of the order.
        route: Route of the request.
        upstream: The upstream that answered.
        evidence: Log-likelihood ratio of this answer.
        age_s: Age of the order in seconds.
        quality: Value of the answer's quality.
        begun_age_s: Age of the order at the begin of the run, in seconds.
        has_answered: As in `RunSpan`.
        earlier: Log-likelihood ratio of the good answers between the gateway's
            last message and this answer, by route.
        gateway: The gateway that received the answer.
        answers: Number of its answers so far.
        total: Sum of the log-likelihood ratios of these answers.
    """

    service: ServiceId
    order: Position
    route: str
    upstream: InstanceId
    evidence: float
    age_s: float
    quality: str = "failed"
    begun_age_s: float = 0.0
    has_answered: bool = False
    earlier: dict[str, float] = {}
    gateway: VmId = VmId("")
    answers: int = 0
    total: float = 0.0


class AnswerCountMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="count"
):
    """Reports how many answers of the new version a gateway has received.

    Attributes:
        service: The service.
        order: Position of the order.
        gateway: The gateway that received the answers.
        answers: Number of answers so far.
        age_s: Age of the order in seconds.
        evidence: Sum of the log-likelihood ratios of these answers.
        routes: Log-likelihood ratio of the good answers since the gateway's
            last message, by route.
        under_way: Sum of the log-likelihood ratios of its requests under
            way.
        requests_per_s: Requests a second of the service at the gateway; 0 if
            unknown.
    """

    service: ServiceId
    order: Position
    gateway: VmId
    answers: int
    age_s: float
    evidence: float = 0.0
    routes: dict[str, float] = {}
    under_way: float = 0.0
    requests_per_s: float = 0.0


class ActiveSessionsMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="sessions"
):
    """Reports sessions that were active when a roll-out's share was agreed.

    Attributes:
        service: The service.
        order: Position of the order.
        sessions: Ids of the sessions that the share alone would move to the
            new version immediately.
        age_s: Age of the order in seconds.
    """

    service: ServiceId
    order: Position
    sessions: tuple[str, ...]
    age_s: float


class OutcomeMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="outcome"
):
    """Reports a state of a roll-out that was written for the operators.

    Attributes:
        service: The service.
        order: Position of the order.
        outcome: Value of the state.
        first_share: Share of the sessions before the load step.
        age_s: Age of the order in seconds.
    """

    service: ServiceId
    order: Position
    outcome: str
    first_share: float
    age_s: float


GatewayMessage = (
    HelloMessage
    | FailureMessage
    | AnswerCountMessage
    | ActiveSessionsMessage
    | OutcomeMessage
    | CrashReport
)


class MessageBatch(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one gateway, stored as one record.

    Attributes:
        vm: The gateway's VM.
        incarnation: Start time of the gateway's process in nanoseconds.
        messages: The messages in the order of sending.
    """

    vm: VmId
    incarnation: int
    messages: tuple[GatewayMessage, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MessageBatch)


def encode_batch(batch: MessageBatch) -> bytes:
    """Encodes a batch of messages for the store."""
    return _encoder.encode(batch)


def decode_batch(data: bytes) -> MessageBatch:
    """Decodes a batch that `encode_batch` has encoded.

    Raises:
        CodecError: The data is not a valid batch of messages.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"Notes: {error}.") from error
