"""Leases folded from the `control` stream, without any clock.

A take record names the grant and the number of renewals that it supersedes. A
renewal that precedes a take in the log makes the take a conflict, and a take
that precedes a renewal makes the renewal a conflict. The order of the log
decides, and every reader decides alike. Clocks are used only outside the fold,
in `leasing.py`.
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
"""Number of results of lease records that are remembered.

The limit is small because a lease record is retried within seconds or not at
all.
"""

NO_FENCING = FencingNumber(-1)
"""Fencing number that the first take of a lease supersedes."""


class LeaseInForce(msgspec.Struct, frozen=True, array_like=True):
    """State of a lease as folded from the log.

    Attributes:
        lease: Name of the lease.
        holder: VM of the process that took the lease last.
        incarnation: Incarnation of the process that took the lease last.
        fencing: Fencing number: offset of the record that granted the lease.
        renewals: Number of renewals and releases since the grant.
        ttl_ms: Milliseconds for which the lease is held after its grant or
            its latest renewal.
        released: Whether the holder released the lease, so that another
            process may take it immediately.
    """

    lease: LeaseId
    holder: VmId
    incarnation: int
    fencing: FencingNumber
    renewals: int
    ttl_ms: int
    released: bool = False


class _EncodedState(msgspec.Struct, frozen=True, array_like=True):
    leases: list[LeaseInForce]
    outcomes: list[OutcomeEntry]


class Leases:
    """Leases by name, with the results of recent lease records.

    Attributes:
        by_id: Leases by name. Released leases stay in it, so that fencing
            numbers never decrease.
        outcomes: Results of the latest lease records.
    """

    name = "leases"
    record_types: tuple[type[msgspec.Struct], ...] = (
        LeaseTake,
        LeaseRenew,
        LeaseRelease,
    )

    def __init__(self) -> None:
        self.by_id: dict[LeaseId, LeaseInForce] = {}
        self.outcomes = OutcomeTable(MAX_OUTCOMES)

    def apply(self, offset: Offset, record: msgspec.Struct) -> None:
        """Applies a lease record if it names the current grant and renewals."""
        assert isinstance(record, LeaseTake | LeaseRenew | LeaseRelease)
        if record.change_id in self.outcomes:
            return
        current = self.by_id.get(record.lease)
        fencing = current.fencing if current else NO_FENCING
        renewals = current.renewals if current else 0
        outcome = Outcome.CONFLICT
        if (record.fencing, record.renewals) == (fencing, renewals):
            changed = _apply_to_lease(offset, record, current)
            if changed is not None:
                outcome = Outcome.ACCEPTED
                renewals = changed.renewals
                self.by_id[record.lease] = changed
        self.outcomes.add(
            record.change_id, ChangeResult(outcome, renewals, offset)
        )

    def get_fencing(self, lease: LeaseId) -> FencingNumber:
        """Returns the fencing number of the latest grant of a lease.

        Returns:
            `NO_FENCING` if the lease was never granted.
        """
        current = self.by_id.get(lease)
        return current.fencing if current else NO_FENCING

    def encode(self) -> bytes:
        """Returns the canonical encoding: equal states give equal bytes."""
        return msgspec.msgpack.encode(
            _EncodedState(
                [lease for _, lease in sorted(self.by_id.items())],
                self.outcomes.get_entries(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces this state by an encoded one.

        Raises:
            msgspec.MsgspecError: The bytes are not an encoded state.
        """
        encoded = msgspec.msgpack.decode(data, type=_EncodedState)
        self.by_id = {lease.lease: lease for lease in encoded.leases}
        self.outcomes.restore(encoded.outcomes)


def _apply_to_lease(
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
