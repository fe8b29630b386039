"""Operators and the teams whose documents they may edit, folded from the log.

A record that is signed with the root key lists the operators. Every process
has the first root key in its settings, and the record may name the next root
key, which is how the root key is rotated. Changes of documents are signed with
an operator's own key. The signature check is part of the fold, so every reader
rejects a change that was not signed.
"""

from __future__ import annotations

import msgspec
import nacl.exceptions
import nacl.signing

from lovagestage.state.outcomes import (
    ChangeResult,
    Outcome,
    OutcomeEntry,
    OutcomeTable,
)
from lovagestage.state.records import (
    DocumentChange,
    OperatorsChange,
    OperatorSpec,
)
from lovagestage.types import Offset

MAX_OUTCOMES = 256
ANY_TEAM = "*"


class _EncodedState(msgspec.Struct, frozen=True, array_like=True):
    root_key: str
    revision: int
    operators: list[OperatorSpec]
    outcomes: list[OutcomeEntry]


class Operators:
    """Operators in force, with the results of recent changes.

    Args:
        root_key: Ed25519 public key, in hex, that verifies changes of the
            operators. Empty if the log itself restricts who may append; then
            signatures of document changes are not checked, and changes of the
            operators are rejected.

    Attributes:
        revision: Number of accepted changes of the operators.
        operators: Operators by name.
        outcomes: Results of the latest changes of the operators.
    """

    name = "operators"
    record_types: tuple[type[msgspec.Struct], ...] = (OperatorsChange,)

    def __init__(self, root_key: str = "") -> None:
        self.revision = 0
        self.operators: dict[str, OperatorSpec] = {}
        self.outcomes = OutcomeTable(MAX_OUTCOMES)
        self._root_key = root_key

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a change if its root signature and its base are valid."""
        assert isinstance(record, OperatorsChange)
        if record.change_id in self.outcomes:
            return
        outcome = Outcome.ACCEPTED
        if not self._is_signed_by_root(record):
            outcome = Outcome.FORBIDDEN
        elif record.base != self.revision:
            outcome = Outcome.CONFLICT
        else:
            self.revision += 1
            self.operators = {spec.name: spec for spec in record.operators}
            self._root_key = record.next_root_key or self._root_key
        self.outcomes.add(
            record.change_id, ChangeResult(outcome, self.revision, offset)
        )

    def may_edit(self, change: DocumentChange, team: str) -> bool:
        """Whether an operator with rights on a team signed a change.

        Args:
            change: The signed change.
            team: Team that owns the document in force or the changed document.
        """
        if not self._root_key:
            return True
        spec = self.operators.get(change.author)
        if spec is None or not {team, ANY_TEAM} & set(spec.teams):
            return False
        message = get_signed_bytes(change)
        return any(
            _is_signature_valid(key, message, change.signature)
            for key in spec.public_keys
        )

    def encode(self) -> bytes:
        """Returns the canonical encoding: equal states give equal bytes."""
        operators = sorted(self.operators.values(), key=lambda s: s.name)
        return msgspec.msgpack.encode(
            _EncodedState(
                self._root_key,
                self.revision,
                operators,
                self.outcomes.get_entries(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces this state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are not an encoded state.
        """
        encoded = msgspec.msgpack.decode(data, type=_EncodedState)
        self._root_key = encoded.root_key
        self.revision = encoded.revision
        self.operators = {spec.name: spec for spec in encoded.operators}
        self.outcomes.restore(encoded.outcomes)

    def _is_signed_by_root(self, change: OperatorsChange) -> bool:
        return bool(self._root_key) and _is_signature_valid(
            self._root_key, get_signed_bytes(change), change.signature
        )


def get_signed_bytes(change: DocumentChange | OperatorsChange) -> bytes:
    """Returns the bytes that a change's signature covers.

    They encode all fields of the change, with an empty signature.
    """
    return msgspec.msgpack.encode(
        msgspec.structs.replace(change, signature=b"")
    )


def sign_change(
    change: DocumentChange | OperatorsChange, signing_key: str
) -> DocumentChange | OperatorsChange:
    """Returns a copy of a change with its signature.

    Args:
        change: The change to sign.
        signing_key: Ed25519 seed of 32 bytes, in hex.
    """
    key = nacl.signing.SigningKey(bytes.fromhex(signing_key))
    signature = key.sign(get_signed_bytes(change)).signature
    return msgspec.structs.replace(change, signature=signature)


def _is_signature_valid(
    public_key: str, message: bytes, signature: bytes
) -> bool:
    try:
        key = nacl.signing.VerifyKey(bytes.fromhex(public_key))
        key.verify(message, signature)
    except (nacl.exceptions.CryptoError, ValueError, TypeError):
        return False
    return True
