"""Messages between entries: bills, usage, evidence and loaded versions."""

from __future__ import annotations

import msgspec

from lovagestage.types import (
    ServiceId,
    VmId,
    WorkspaceTag,
)


class Evidence(msgspec.Struct, frozen=True, array_like=True, tag="evidence"):
    """What one entry saw of a roll-out since its last message.

    Attributes:
        vm: The entry.
        incarnation: Start time of its process.
        sequence: Counts up by one; a repeated message is dropped.
        epoch: Revision of the document that last changed the roll-out.
        stopped: Whether the entry has stopped the roll-out.
        step: Index of its step.
        old_scores: Scores in 1/255, in the order of arrival.
        new_scores: The same of the new version.
        old_failure_shares: Share, in 1/255, of each failed request.
        new_failure_shares: The same of the new version.
        old_successes: Requests that did not fail.
        new_successes: The same of the new version.
    """

    vm: VmId
    incarnation: int
    sequence: int
    epoch: int
    stopped: bool
    step: int
    old_scores: bytes
    new_scores: bytes
    old_failure_shares: bytes
    new_failure_shares: bytes
    old_successes: int
    new_successes: int


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
