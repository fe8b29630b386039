"""Operators: who may edit which team's documents, folded from the log.

Operators are named by a record signed with the root key that every process
has in its settings; the record may name the next root key, which is how it is
rotated. Changes of documents are signed with an operator's own key. The check
is part of the fold, so a change that was not signed loses for every reader.
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


class _Form(msgspec.Struct, frozen=True, array_like=True):
    root_key: str
    revision: int
    operators: list[OperatorSpec]
    outcomes: list[OutcomeEntry]


class Operators:
    """Operators in force.

    Args:
        root_key: Hex Ed25519 public key that signs changes of the operators;
            empty where the log itself guards who may append, and then
            signatures are not checked.

    Attributes:
        revision: Counts the accepted changes.
        operators: Operators by name.
        outcomes: Results of the latest changes.
    """

    name = "operators"
    kinds: tuple[type[msgspec.Struct], ...] = (OperatorsChange,)

    def __init__(self, root_key: str = "") -> None:
        self.revision = 0
        self.operators: dict[str, OperatorSpec] = {}
        self.outcomes = OutcomeTable(MAX_OUTCOMES)
        self._root_key = root_key

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a change where the root key signed it and its base fits."""
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
        """Whether a change is signed by an operator of the team.

        Args:
            change: The signed change.
            team: Owner of the document in force, or of a first document.
        """
        if not self._root_key:
            return True
        spec = self.operators.get(change.author)
        if spec is None or not {team, ANY_TEAM} & set(spec.teams):
            return False
        message = get_signed_bytes(change)
        return any(
            _is_signed(key, message, change.signature)
            for key in spec.public_keys
        )

    def encode(self) -> bytes:
        """Canonical encoding: equal states give equal bytes."""
        operators = sorted(self.operators.values(), key=lambda s: s.name)
        return msgspec.msgpack.encode(
            _Form(
                self._root_key,
                self.revision,
                operators,
                self.outcomes.get_entries(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are no encoded state.
        """
        form = msgspec.msgpack.decode(data, type=_Form)
        self._root_key = form.root_key
        self.revision = form.revision
        self.operators = {spec.name: spec for spec in form.operators}
        self.outcomes.restore(form.outcomes)

    def _is_signed_by_root(self, change: OperatorsChange) -> bool:
        return bool(self._root_key) and _is_signed(
            self._root_key, get_signed_bytes(change), change.signature
        )


def get_signed_bytes(change: DocumentChange | OperatorsChange) -> bytes:
    """What the signature of a change covers: all of it but the signature."""
    return msgspec.msgpack.encode(
        msgspec.structs.replace(change, signature=b"")
    )


def sign_change(
    change: DocumentChange | OperatorsChange, signing_key: str
) -> DocumentChange | OperatorsChange:
    """Signs a change.

    Args:
        change: The change.
        signing_key: Hex Ed25519 seed, 32 bytes.
    """
    key = nacl.signing.SigningKey(bytes.fromhex(signing_key))
    signature = key.sign(get_signed_bytes(change)).signature
    return msgspec.structs.replace(change, signature=signature)


def _is_signed(public_key: str, message: bytes, signature: bytes) -> bool:
    try:
        key = nacl.signing.VerifyKey(bytes.fromhex(public_key))
        key.verify(message, signature)
    except (nacl.exceptions.CryptoError, ValueError, TypeError):
        return False
    return True
