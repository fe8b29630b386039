"""Rejects orders that were sent by an earlier holder of a lease.

Some engines ignore the fencing number, and some do not authenticate the sender
of an order. The sidecar beside each engine is therefore the only process that
sends orders to the engine. The sidecar forwards an order only if the order's
fencing number is the newest number that the sidecar knows.
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

MAX_READ_S = 1.0
"""Longest duration, in seconds, of the log read that precedes an order.

A longer read may have included a pause of the process, so that its result is
out of date and a later grant of the lease could be missed.
"""


class FencingGate:
    """Checks the fencing numbers of orders against the folded leases.

    Args:
        control: Reader that holds the folded control state.
    """

    def __init__(self, control: ControlReader) -> None:
        self._control = control

    async def check_now(self, lease: LeaseId, fencing: FencingNumber) -> None:
        """Reads the log to its end, then checks an order.

        Args:
            lease: Lease that the order was given under.
            fencing: Fencing number of the order.

        Raises:
            GateNotReadyError: The log can't be read, the read took longer
                than `MAX_READ_S`, or `check` raised the error.
            StaleFencingError: See `check`.
        """
        # A process that resumes after a pause finds an order in its socket
        # before it has read that another process took the lease meanwhile.
        # Its folded state still counts as read to the end, so the engine
        # would load a version for an earlier holder. Reading the log after
        # the order has arrived shows every grant that precedes the order. A
        # pause during the read shows as a read that takes too long.
        started_s = time.monotonic()
        try:
            await self._control.read_to_end()
        except LogError as error:
            raise GateNotReadyError(lease, fencing) from error
        if time.monotonic() - started_s > MAX_READ_S:
            raise GateNotReadyError(lease, fencing)
        self.check(lease, fencing)

    def check(self, lease: LeaseId, fencing: FencingNumber) -> None:
        """Checks an order against the folded state, without reading the log.

        Args:
            lease: Lease that the order was given under.
            fencing: Fencing number of the order.

        Raises:
            GateNotReadyError: The log has not been read to its end, or not
                up to the order's grant. The order was not carried out and
                may be sent again.
            StaleFencingError: The order's number is not that of the latest
                grant of the lease, as after a later holder has taken it.
        """
        folded = self._control.folded
        # A gate that has just started, or whose log is unavailable, may not
        # know the latest grant and would accept the order of an earlier
        # holder that was paused. The log has to be read to its end first. No
        # process stays the holder without the log either, so this rejection
        # delays no order that should be carried out.
        if not self._control.caught_up or fencing >= folded.next_offset:
            raise GateNotReadyError(lease, fencing)
        granted = folded.leases.get_fencing(lease)
        if fencing != granted:
            raise StaleFencingError(lease, fencing, granted)
