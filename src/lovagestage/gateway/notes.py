"""What gateways tell each other, through a topic of their own in the store."""

from __future__ import annotations

import msgspec

from lovagestage.exceptions import CodecError
from lovagestage.messages.crashes import CrashReport
from lovagestage.types import InstanceId, ServiceId, VmId, ZoneId

TOPIC = "lovagestage"


class HelloNote(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """A gateway has started.

    Attributes:
        peer_address: Where it takes datagrams; empty for nowhere.
        zone: Its availability zone.
    """

    peer_address: str
    zone: ZoneId = ZoneId("")


class FailureNote(msgspec.Struct, frozen=True, array_like=True, tag="failure"):
    """The new version of a roll-out failed or was far too slow.

    Attributes:
        service: The service.
        order: Offset of the order.
        route: Route of the request.
        upstream: Who answered.
        evidence: Log-likelihood ratio of this answer and of the good ones of
            the route since the gateway's last note.
        age_s: Age of the order.
    """

    service: ServiceId
    order: int
    route: str
    upstream: InstanceId
    evidence: float
    age_s: float


class CountNote(msgspec.Struct, frozen=True, array_like=True, tag="count"):
    """How many answers of the new version a gateway has had.

    Attributes:
        service: The service.
        order: Offset of the order.
        gateway: Who counted.
        answers: The answers so far.
        age_s: Age of the order.
    """

    service: ServiceId
    order: int
    gateway: VmId
    answers: int
    age_s: float


class SessionsNote(
    msgspec.Struct, frozen=True, array_like=True, tag="sessions"
):
    """Sessions that were going on when a roll-out's share was agreed.

    Attributes:
        service: The service.
        order: Offset of the order.
        sessions: Those that the share alone would move at once.
        age_s: Age of the order.
    """

    service: ServiceId
    order: int
    sessions: tuple[str, ...]
    age_s: float


class OutcomeNote(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """A state of a roll-out that has been written for the operators.

    Attributes:
        service: The service.
        order: Offset of the order.
        outcome: The state's value.
        first_share: Share of the sessions before the load step.
        age_s: Age of the order.
    """

    service: ServiceId
    order: int
    outcome: str
    first_share: float
    age_s: float


Note = (
    HelloNote
    | FailureNote
    | CountNote
    | SessionsNote
    | OutcomeNote
    | CrashReport
)


class Letter(msgspec.Struct, frozen=True, array_like=True):
    """Notes of one gateway.

    Attributes:
        vm: The gateway's VM.
        incarnation: Start time of its process in nanoseconds.
        notes: What it tells.
    """

    vm: VmId
    incarnation: int
    notes: tuple[Note, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Letter)


def encode_letter(letter: Letter) -> bytes:
    """Encodes notes for the store."""
    return _encoder.encode(letter)


def decode_letter(data: bytes) -> Letter:
    """Decodes what `encode_letter` makes.

    Raises:
        CodecError: It is not that.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise CodecError(f"Notes: {error}.") from error
