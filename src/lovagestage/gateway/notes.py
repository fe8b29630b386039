"""What gateways tell each other, through a topic of their own in the store."""

from __future__ import annotations

import msgspec

from lovagestage.crash_reports import CrashReport
from lovagestage.exceptions import CodecError
from lovagestage.types import InstanceId, ServiceId, VmId

TOPIC = "lovagestage"


class FailureNote(msgspec.Struct, frozen=True, array_like=True, tag="failure"):
    """A failed or far too slow answer during a roll-out.

    Attributes:
        service: The service.
        order: Offset of the order.
        upstream: Who gave it.
        is_new: Whether that is of the new version.
        share: Chance that the request had of going there.
        age_s: Age of the order.
    """

    service: ServiceId
    order: int
    upstream: InstanceId
    is_new: bool
    share: float
    age_s: float


class OutcomeNote(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """A state of a roll-out that has been written for the operators.

    Attributes:
        service: The service.
        order: Offset of the order.
        outcome: The state's value.
        age_s: Age of the order.
    """

    service: ServiceId
    order: int
    outcome: str
    age_s: float


Note = FailureNote | OutcomeNote | CrashReport


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
