"""Messages between entries about bills, usage, evidence and loaded versions."""

from __future__ import annotations

import msgspec

from lovagestage.types import (
    ServiceId,
    VmId,
    WorkspaceHash,
)


class Evidence(msgspec.Struct, frozen=True, array_like=True, tag="evidence"):
    """Observations of a roll-out by one entry since its last message.

    Attributes:
        vm: VM of the entry.
        incarnation: Start time of the entry's process.
        sequence: Sequence number, which increases by one; a repeated message
            is dropped.
        epoch: Revision of the document that last changed the roll-out.
        stopped: Whether the entry has stopped the roll-out.
        step: Index of the roll-out's step at the entry.
        old_scores: Scores of the old version's answers, one byte each in units
            of 1/255, in the order of arrival.
        new_scores: Scores of the new version's answers, encoded likewise.
        old_failure_shares: Share of each failed request of the old version,
            one byte each in units of 1/255.
        new_failure_shares: Share of each failed request of the new version,
            encoded likewise.
        old_successes: Number of requests of the old version that did not fail.
        new_successes: Number of requests of the new version that did not fail.
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
    """An encoded bill with its sequence number at its owner, from 1."""

    number: int
    data: bytes


class BillCopy(msgspec.Struct, frozen=True, array_like=True, tag="bill_copy"):
    """Asks another entry to store copies of bills.

    Attributes:
        owner: VM of the entry that answered the requests.
        incarnation: Start time of the owner's process.
        bills: Bills to store.
    """

    owner: VmId
    incarnation: int
    bills: list[NumberedBill]


class BillCopied(
    msgspec.Struct, frozen=True, array_like=True, tag="bill_copied"
):
    """Answers whether the copies are stored; False if the capacity is full."""

    held: bool


class BillRelease(
    msgspec.Struct, frozen=True, array_like=True, tag="bill_release"
):
    """Renews an owner's copies and drops the copies of bills in the log.

    Attributes:
        owner: VM of the entry that answered the requests.
        incarnation: Start time of the owner's process.
        last_number: Number up to which the log has all bills of the owner.
    """

    owner: VmId
    incarnation: int
    last_number: int


class VersionQuestion(
    msgspec.Struct, frozen=True, array_like=True, tag="version_question"
):
    """Asks another entry which sidecars have given versions loaded."""

    versions: list[str]


class VersionLocation(msgspec.Struct, frozen=True, array_like=True):
    """A sidecar that has a version loaded."""

    vm: VmId
    version: str


class VersionAnswer(
    msgspec.Struct, frozen=True, array_like=True, tag="version_answer"
):
    """Answers `VersionQuestion` with some sidecars that loaded the versions."""

    locations: list[VersionLocation]


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """Usage and demand of one workspace through one entry.

    Attributes:
        tag: Identifies the workspace.
        used_tokens: Tokens charged through the entry since its process
            started.
        demand_per_s: Smoothed number of tokens per second that callers
            request through the entry.
    """

    tag: WorkspaceHash
    used_tokens: int
    demand_per_s: int


class UsageReport(
    msgspec.Struct, frozen=True, array_like=True, tag="usage_report"
):
    """Reports the usage through the sending entry to another entry.

    Attributes:
        entry: VM of the sending entry.
        incarnation: Start time of the sending entry's process.
        rows: Usage of each workspace whose demand is large enough to matter.
    """

    entry: VmId
    incarnation: int
    rows: list[UsageRow]


class EvidenceReport(
    msgspec.Struct, frozen=True, array_like=True, tag="evidence_report"
):
    """Reports an entry's observations of one roll-out to the other entries.

    Attributes:
        service: Name of the service.
        model: Name of the model.
        evidence: Observations since the entry's last report.
    """

    service: ServiceId
    model: str
    evidence: Evidence
