"""Holding a lease by own clocks: pure rules, and the task around them.

The holder counts from when it sent its latest confirmed renewal, a contender
from when it saw that renewal in the log. Sending comes before seeing, so the
holder's time is over first, whatever is delayed, lost or paused in between;
the margin covers clocks that run at different speeds.
"""

from __future__ import annotations

import dataclasses
import logging
import math
import time

import mode
import msgspec
import xxhash

from lovagestage.control.reader import ControlReader
from lovagestage.control.writer import RecordWriter, make_change_id
from lovagestage.exceptions import LeaseLostError, LogError
from lovagestage.messages.envelope import Hello
from lovagestage.state.leases import NO_FENCING, LeaseInForce
from lovagestage.state.outcomes import Outcome
from lovagestage.state.records import LeaseRelease, LeaseRenew, LeaseTake
from lovagestage.types import ChangeId, FencingNumber, LeaseId

_log = logging.getLogger(__name__)

DEFAULT_TTL_S = 15.0
MARGIN_RATIO = 0.2
"""Part of the time to live that the holder gives away."""

RENEW_RATIO = 1 / 3
"""Part of the time to live after which the holder renews."""

STEPS_PER_TTL = 15
FIRST_AT_ONCE = 1.5
RELEASE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class LeaseView:
    """One process's view of a lease, with times of its own clock.

    Attributes:
        lease: The lease.
        own: Name and incarnation of this process.
        ttl_ms: Time to live that this process takes the lease with.
        current: The lease as this process has read it; None before the
            first grant.
        observed_s: When `current` last changed here.
        fencing: Number of the own grant; None where there is none.
        sent_s: When the latest confirmed record of the own grant was sent.
    """

    lease: LeaseId
    own: Hello
    ttl_ms: int
    current: LeaseInForce | None = None
    observed_s: float = 0.0
    fencing: FencingNumber | None = None
    sent_s: float = 0.0


def observe(
    view: LeaseView, current: LeaseInForce | None, now_s: float
) -> LeaseView:
    """The view after the log was read up to `current`."""
    if current == view.current:
        return view
    assert current is not None
    fencing = view.fencing
    if current.fencing != fencing or current.released:
        fencing = None
    return dataclasses.replace(
        view, current=current, observed_s=now_s, fencing=fencing
    )


def confirm(view: LeaseView, sent_s: float) -> LeaseView:
    """The view after a take or renewal of its own was read as accepted.

    Args:
        view: Has observed the record.
        sent_s: When the record was first sent, not when it was read: the
            time between is the contender's.
    """
    if not _is_own(view):
        return view
    assert view.current is not None
    return dataclasses.replace(
        view, fencing=view.current.fencing, sent_s=sent_s
    )


def get_held_fencing(view: LeaseView, now_s: float) -> FencingNumber | None:
    """Number to act under; None where the lease is not surely held."""
    if view.fencing is None or view.current is None:
        return None
    ttl_s = view.current.ttl_ms / 1000
    if now_s - view.sent_s >= ttl_s * (1 - MARGIN_RATIO):
        return None
    return view.fencing


def make_next_record(
    view: LeaseView, now_s: float, change_id: ChangeId, turn_s: float = 0.0
) -> LeaseTake | LeaseRenew | None:
    """What this process may append now; None where it has to wait.

    Args:
        view: The lease as this process sees it.
        now_s: Monotonic time.
        change_id: Id of the record.
        turn_s: How much later than the earliest time to take it.
    """
    current = view.current
    if current is None:
        return _make_take(view, NO_FENCING, 0, change_id)
    if _is_own(view):
        return LeaseRenew(
            change_id, view.lease, current.fencing, current.renewals
        )
    free_after_s = 0.0 if current.released else current.ttl_ms / 1000
    if now_s - view.observed_s >= free_after_s + turn_s:
        return _make_take(view, current.fencing, current.renewals, change_id)
    return None


def get_turn_s(view: LeaseView, contenders: int, step_s: float) -> float:
    """How much longer than others this process waits for a free lease.

    The logarithm of a uniform number makes few go early and most late: of
    any number of contenders about `FIRST_AT_ONCE` go within the first step,
    and the others read of the grant before their turn (suppression timers of
    multicast feedback, Nonnenmacher and Biersack 1999).

    Args:
        view: The lease as this process sees it.
        contenders: How many want it.
        step_s: Time in which a grant is read by all.
    """
    current = view.current
    if current is None:
        return 0.0
    text = f"{view.own.vm}\0{view.lease}\0{current.fencing}"
    text += f"\0{current.renewals}"
    share = (xxhash.xxh3_64_intdigest(text.encode()) + 1) / 2**64
    late = math.log(max(1.0, contenders * share))
    return step_s * late / math.log(FIRST_AT_ONCE)


def _make_take(
    view: LeaseView,
    fencing: FencingNumber,
    renewals: int,
    change_id: ChangeId,
) -> LeaseTake:
    return LeaseTake(
        change_id,
        view.lease,
        fencing,
        renewals,
        view.own.vm,
        view.own.incarnation,
        view.ttl_ms,
    )


def _is_own(view: LeaseView) -> bool:
    current = view.current
    return (
        current is not None
        and not current.released
        and current.holder == view.own.vm
        and current.incarnation == view.own.incarnation
    )


class LeaseKeeper(mode.Service):
    """Takes and renews one lease, as long as the process runs.

    Args:
        lease: The lease.
        own: Name and incarnation of this process.
        control: The folded state.
        writer: Appends the lease's records.
        ttl_s: Time to live.
    """

    def __init__(
        self,
        lease: LeaseId,
        own: Hello,
        control: ControlReader,
        writer: RecordWriter,
        ttl_s: float = DEFAULT_TTL_S,
    ) -> None:
        super().__init__()
        self._control = control
        self._writer = writer
        self._ttl_s = ttl_s
        self._view = LeaseView(lease, own, int(ttl_s * 1000))
        control.subscribe(self._observe)

    def get_fencing(self) -> FencingNumber:
        """Number to act under; asked again before each act.

        Raises:
            LeaseLostError: The lease is not surely held.
        """
        fencing = get_held_fencing(self._view, time.monotonic())
        if fencing is None:
            raise LeaseLostError(self._view.lease)
        return fencing

    @property
    def is_held(self) -> bool:
        """Whether the lease is surely held now."""
        return get_held_fencing(self._view, time.monotonic()) is not None

    async def on_stop(self) -> None:
        """Gives the lease up, so that another need not wait for its end."""
        current = self._view.current
        if self._view.fencing is None or current is None:
            return
        self._view = dataclasses.replace(self._view, fencing=None)
        record = LeaseRelease(
            make_change_id(), current.lease, current.fencing, current.renewals
        )
        try:
            await self._writer.append(record, RELEASE_TIMEOUT_S)
        except LogError as error:
            _log.warning("lease_not_released", extra={"code": error.code})

    @mode.Service.task
    async def _keep(self) -> None:
        while not self.should_stop:
            if self._is_due():
                await self._append_next()
            await self.sleep(self._ttl_s / STEPS_PER_TTL)

    def _is_due(self) -> bool:
        if not (self._control.is_usable and self._control.caught_up):
            return False
        held = self.is_held
        age_s = time.monotonic() - self._view.sent_s
        return not held or age_s >= self._ttl_s * RENEW_RATIO

    async def _append_next(self) -> None:
        self._observe()
        sent_s = time.monotonic()
        turn_s = get_turn_s(
            self._view,
            len(self._control.folded.members.members),
            self._ttl_s / STEPS_PER_TTL,
        )
        record = make_next_record(self._view, sent_s, make_change_id(), turn_s)
        if record is None:
            return
        was_held = self.is_held
        try:
            result = await self._writer.append(record, self._ttl_s)
        except LogError as error:
            _log.warning(
                "lease_append_failed",
                extra={"lease": self._view.lease, "code": error.code},
            )
            return
        self._observe()
        if result.outcome is Outcome.ACCEPTED:
            self._view = confirm(self._view, sent_s)
            if not was_held:
                self._log_taken()

    def _log_taken(self) -> None:
        _log.info(
            "lease_taken",
            extra={"lease": self._view.lease, "fencing": self._view.fencing},
        )

    def _observe(self) -> None:
        current = self._control.folded.leases.held.get(self._view.lease)
        self._view = observe(self._view, current, time.monotonic())

    def get_dump(self) -> dict[str, object]:
        """State for the dump."""
        return {
            "lease": self._view.lease,
            "held": self.is_held,
            "current": msgspec.to_builtins(self._view.current),
        }
