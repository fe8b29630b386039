"""Messages about request keys, sent as payloads of `Ask` and `Reply`."""

from __future__ import annotations

import enum

import msgspec

from lovagestage.state.members import MemberId
from lovagestage.types import Offset, RequestId, VmId, WorkspaceId


class RunId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a run of a keyed request and the process that may execute it.

    No other process may execute the run.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        sidecar: VM of the sidecar that executes the run.
        incarnation: Incarnation of the sidecar's process; a restarted process
            has no record of the run.
        permit_ms: The sidecar's own clock, in milliseconds, as the entry had
            last received it when it chose the sidecar. The sidecar refuses the
            run when this time is too long ago.
    """

    request_id: RequestId
    attempt: int
    sidecar: VmId
    incarnation: int
    permit_ms: int


class LedgerEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A claim of a request key as the key's holders store it.

    Attributes:
        workspace: Workspace that the key belongs to.
        key: Request key that the caller sent.
        fingerprint: Digest of the request body.
        run: The run that may execute.
        version: Version of the run, as `MODEL@VERSION`.
        stamp: Epoch and count; of two claims, the claim with the higher stamp
            is the later one.
        put_at_s: Monotonic time of the holder, in seconds, at which the claim
            was stored; in messages, the age of the claim in seconds.
    """

    workspace: WorkspaceId
    key: str
    fingerprint: bytes
    run: RunId
    version: str
    stamp: tuple[Offset, int]
    put_at_s: float

    def with_put_at(self, put_at_s: float) -> LedgerEntry:
        """Returns a copy of the claim with another time.

        Args:
            put_at_s: The new time or age, in seconds.
        """
        return msgspec.structs.replace(self, put_at_s=put_at_s)


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Asks the owner of a request key for permission to execute a run.

    Attributes:
        epoch: Epoch of the sender's member view.
        workspace: Workspace that the key belongs to.
        key: Request key that the caller sent.
        fingerprint: Digest of the request body.
        run: The run to execute; None only queries the claim of the key.
        version: Version of the run, as `MODEL@VERSION`.
        repeatable: Whether the request may run more than once.
        replaces: The earlier run that `run` replaces. Either the earlier run
            was proved not to run, or the request is repeatable.
    """

    epoch: Offset
    workspace: WorkspaceId
    key: str
    fingerprint: bytes
    run: RunId | None
    version: str
    repeatable: bool
    replaces: RunId | None = None


class ClaimOutcome(enum.Enum):
    """Answer of a key's owner to a claim."""

    GRANTED = "granted"
    HELD = "held"
    FREE = "free"
    """The key has no claim; this answers a claim that names no run."""
    OTHER_BODY = "other_body"
    STALE_VIEW = "stale_view"
    BUSY = "busy"
    FULL = "full"
    HISTORY_LOST = "history_lost"


class ClaimAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="claim_answer"
):
    """Answer to `Claim`; `entry` is set for `GRANTED` and `HELD`."""

    outcome: ClaimOutcome
    entry: LedgerEntry | None = None


class Copy(msgspec.Struct, frozen=True, array_like=True, tag="copy"):
    """Asks the copy holder of a slot to store a claim.

    Attributes:
        epoch: Epoch of the owner's member view.
        slot: Number of the slot.
        entry: The claim to store; None only asks whether the copy holder is
            still in the same epoch.
    """

    epoch: Offset
    slot: int
    entry: LedgerEntry | None


class CopyAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="copy_answer"
):
    """Answer to `Copy`: whether the copy holder accepted it."""

    accepted: bool


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Requests all claims of a slot from another holder."""

    epoch: Offset
    slot: int


class PullAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="pull_answer"
):
    """Answer to `Pull` with the fields of `request_keys.Slot`.

    The `put_at_s` of each entry is the age of the claim.
    """

    epoch: Offset
    complete_start: Offset
    lost_at_ms: int
    lost_holders: tuple[MemberId, ...]
    entries: list[LedgerEntry]


class Inquiry(msgspec.Struct, frozen=True, array_like=True, tag="inquiry"):
    """Asks a sidecar whether it knows a run.

    Attributes:
        run: The run.
        forbid: Whether the sidecar has to refuse the run from now on if it
            has never received the run.
    """

    run: RunId
    forbid: bool


class RunKnowledge(enum.Enum):
    """Knowledge of a sidecar about a run."""

    RECORDED = "here"
    NEVER_RECEIVED = "never"
    FORBIDDEN = "forbidden"
    """The run was never executed and never will be."""
    FORGOTTEN = "forgotten"
    """The run may have been executed; its answer is no longer available."""


class InquiryAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="inquiry_answer"
):
    """Answer to `Inquiry`: the sidecar's knowledge about the run."""

    knowledge: RunKnowledge
