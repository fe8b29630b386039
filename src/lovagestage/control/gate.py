"""Refuses orders of a lease's earlier holders.

Some engines ignore the fencing number and some do not check who gives an
order. The sidecar beside each engine is therefore the only one that talks to
it, and lets an order through only under the newest number that it knows.
"""

from __future__ import annotations

import time

from lovagestage.control.reader import ControlReader
from lovagestage.exceptions import (
    GateNotReadyError,
    LogError,
    StaleFencingError,
)
from lovagestage.types import FencingNumber, LeaseId

FRESH_S = 1.0
"""Longest time between asking the log and letting an order through."""


class FencingGate:
    """Checks the fencing numbers of orders.

    Args:
        control: The folded state.
    """

    def __init__(self, control: ControlReader) -> None:
        self._control = control

    async def check_now(self, lease: LeaseId, fencing: FencingNumber) -> None:
        """Checks an order against what the log has now.

        Raises:
            GateNotReadyError: See `check`.
            StaleFencingError: See `check`.
        """
        # A process that was paused finds an order in its socket before it
        # has read that the lease has passed on meanwhile; its state says
        # "read to the end", and the engine would load for an earlier holder.
        # Reading after the order has come shows every grant before it, and a
        # pause within the read shows by the clock.
        asked_s = time.monotonic()
        try:
            await self._control.read_to_end()
        except LogError as error:
            raise GateNotReadyError(lease, fencing) from error
        if time.monotonic() - asked_s > FRESH_S:
            raise GateNotReadyError(lease, fencing)
        self.check(lease, fencing)

    def check(self, lease: LeaseId, fencing: FencingNumber) -> None:
        """Lets an order through, or raises.

        Raises:
            GateNotReadyError: The gate has not read how far the lease got;
                the order was not carried out, and may be sent again.
            StaleFencingError: A later holder has taken the lease.
        """
        folded = self._control.folded
        # A gate that has just started, or has lost the log, may not know the
        # latest grant and would let a paused holder's order through: it
        # first reads the log to its end. No holder stays one without the log,
        # so nothing that is due is kept waiting.
        if not self._control.caught_up or fencing >= folded.next_offset:
            raise GateNotReadyError(lease, fencing)
        granted = folded.leases.get_fencing(lease)
        if fencing != granted:
            raise StaleFencingError(lease, fencing, granted)
