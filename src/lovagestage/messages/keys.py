"""Messages about request keys, asked and answered inside `Ask` and `Reply`."""

from __future__ import annotations

import enum

import msgspec

from lovagestage.state.members import MemberId
from lovagestage.types import Offset, RequestId, VmId, WorkspaceId


class RunId(msgspec.Struct, frozen=True, array_like=True):
    """One run of a keyed request, and the only process that may execute it.

    Attributes:
        request_id: The request.
        attempt: Attempt number from 1.
        sidecar: VM of the executing sidecar.
        incarnation: Its process; a later one has no record of the run.
        permit_ms: The sidecar's own clock when it was chosen. It refuses the
            run once that is too long ago.
    """

    request_id: RequestId
    attempt: int
    sidecar: VmId
    incarnation: int
    permit_ms: int


class LedgerEntry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A claim as its holders keep it.

    Attributes:
        workspace: Scope of the key.
        key: The caller's key.
        fingerprint: Digest of the body.
        run: The run that may execute.
        version: `MODEL@VERSION` of the run.
        stamp: Epoch and count; the higher stamp is the later claim.
        put_at_s: The holder's monotonic time; in messages its age.
    """

    workspace: WorkspaceId
    key: str
    fingerprint: bytes
    run: RunId
    version: str
    stamp: tuple[Offset, int]
    put_at_s: float

    def at(self, put_at_s: float) -> LedgerEntry:
        """The same claim with another time."""
        return msgspec.structs.replace(self, put_at_s=put_at_s)


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Asks a key's owner to let a run execute.

    Attributes:
        epoch: Epoch of the asker's view.
        workspace: Scope of the key.
        key: The caller's key.
        fingerprint: Digest of the body.
        run: The run; None only asks what is known of the key.
        version: `MODEL@VERSION` of the run.
        repeatable: Whether the request may run more than once.
        after: The run that this one replaces; it was proved not to run, or
            the request is repeatable.
    """

    epoch: Offset
    workspace: WorkspaceId
    key: str
    fingerprint: bytes
    run: RunId | None
    version: str
    repeatable: bool
    after: RunId | None = None


class ClaimOutcome(enum.Enum):
    """What an owner says to a claim."""

    GRANTED = "granted"
    HELD = "held"
    FREE = "free"
    """No run was claimed; answers a claim that names no run."""
    OTHER_BODY = "other_body"
    STALE_VIEW = "stale_view"
    BUSY = "busy"
    FULL = "full"
    HISTORY_LOST = "history_lost"


class ClaimAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="claim_answer"
):
    """Answer to `Claim`; `entry` for `GRANTED` and `HELD`."""

    outcome: ClaimOutcome
    entry: LedgerEntry | None = None


class Copy(msgspec.Struct, frozen=True, array_like=True, tag="copy"):
    """Asks the copy of a slot to take a claim.

    Attributes:
        epoch: The owner's epoch.
        slot: The slot.
        entry: The claim; None only asks whether the copy is in the same
            epoch still.
    """

    epoch: Offset
    slot: int
    entry: LedgerEntry | None


class CopyAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="copy_answer"
):
    """Answer to `Copy`."""

    taken: bool


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for all claims of a slot."""

    epoch: Offset
    slot: int


class PullAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="pull_answer"
):
    """Answer to `Pull`; see `request_keys.Slot`. Entries carry ages."""

    epoch: Offset
    complete_start: Offset
    lost_at_ms: int
    lost_holders: tuple[MemberId, ...]
    entries: list[LedgerEntry]


class Inquiry(msgspec.Struct, frozen=True, array_like=True, tag="inquiry"):
    """Asks a sidecar about a run.

    Attributes:
        run: The run.
        forbid: Where it never came, refuse it from now on.
    """

    run: RunId
    forbid: bool


class RunKnown(enum.Enum):
    """What a sidecar knows of a run."""

    HERE = "here"
    NEVER = "never"
    FORBIDDEN = "forbidden"
    """It never ran and never will."""
    FORGOTTEN = "forgotten"
    """It may have run; its answer is gone."""


class InquiryAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="inquiry_answer"
):
    """Answer to `Inquiry`."""

    known: RunKnown
