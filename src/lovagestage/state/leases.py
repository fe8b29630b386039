"""Leases folded from the `control` stream, without any clock.

A take names the grant and the number of renewals that it supersedes. A
renewal that came first in the log therefore defeats the take, and a take that
came first defeats the renewal: the order of the log decides, and every
reader decides the same. Clocks are used only around the fold (`leasing.py`).
"""

from __future__ import annotations

import msgspec

from lovagestage.state.outcomes import (
    ChangeResult,
    Outcome,
    OutcomeEntry,
    OutcomeTable,
)
from lovagestage.state.records import LeaseRelease, LeaseRenew, LeaseTake
from lovagestage.types import FencingNumber, LeaseId, Offset, VmId

MAX_OUTCOMES = 256
"""Results of lease records remembered; a retry comes within seconds."""

NO_FENCING = FencingNumber(-1)
"""Superseded by the first take of a lease."""


class LeaseInForce(msgspec.Struct, frozen=True, array_like=True):
    """A lease as the log has it.

    Attributes:
        lease: Name of the lease.
        holder: VM of the process that took it last.
        incarnation: Incarnation of that process.
        fencing: Offset of the record that granted it.
        renewals: Number of renewals since.
        ttl_ms: How long it is held after its latest renewal.
        released: The holder gave it up; it may be taken at once.
    """

    lease: LeaseId
    holder: VmId
    incarnation: int
    fencing: FencingNumber
    renewals: int
    ttl_ms: int
    released: bool = False


class _Form(msgspec.Struct, frozen=True, array_like=True):
    leases: list[LeaseInForce]
    outcomes: list[OutcomeEntry]


class Leases:
    """Leases by name, with the results of recent records.

    Attributes:
        held: The leases, also released ones: fencing never goes back.
        outcomes: Results of the latest lease records.
    """

    name = "leases"
    kinds: tuple[type[msgspec.Struct], ...] = (
        LeaseTake,
        LeaseRenew,
        LeaseRelease,
    )

    def __init__(self) -> None:
        self.held: dict[LeaseId, LeaseInForce] = {}
        self.outcomes = OutcomeTable(MAX_OUTCOMES)

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a lease record where it names the lease as it stands."""
        assert isinstance(record, LeaseTake | LeaseRenew | LeaseRelease)
        if record.change_id in self.outcomes:
            return
        current = self.held.get(record.lease)
        fencing = current.fencing if current else NO_FENCING
        renewals = current.renewals if current else 0
        outcome = Outcome.CONFLICT
        if (record.fencing, record.renewals) == (fencing, renewals):
            changed = _change(offset, record, current)
            if changed is not None:
                outcome = Outcome.ACCEPTED
                renewals = changed.renewals
                self.held[record.lease] = changed
        self.outcomes.add(
            record.change_id, ChangeResult(outcome, renewals, offset)
        )

    def get_fencing(self, lease: LeaseId) -> FencingNumber:
        """Fencing number of the latest grant; `NO_FENCING` before it."""
        held = self.held.get(lease)
        return held.fencing if held else NO_FENCING

    def encode(self) -> bytes:
        """Canonical encoding: equal states give equal bytes."""
        return msgspec.msgpack.encode(
            _Form(
                [held for _, held in sorted(self.held.items())],
                self.outcomes.get_entries(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are no encoded state.
        """
        form = msgspec.msgpack.decode(data, type=_Form)
        self.held = {held.lease: held for held in form.leases}
        self.outcomes.restore(form.outcomes)


def _change(
    offset: Offset,
    record: LeaseTake | LeaseRenew | LeaseRelease,
    current: LeaseInForce | None,
) -> LeaseInForce | None:
    if isinstance(record, LeaseTake):
        return LeaseInForce(
            record.lease,
            record.holder,
            record.incarnation,
            FencingNumber(offset),
            0,
            record.ttl_ms,
        )
    if current is None or current.released:
        return None
    return msgspec.structs.replace(
        current,
        renewals=current.renewals + 1,
        released=isinstance(record, LeaseRelease),
    )
