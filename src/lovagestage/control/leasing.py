"""Lease holding by local clocks: pure rules, and the task that applies them.

The holder counts the lease's time to live from when the holder sent its latest
confirmed renewal. A contender counts from when it read that renewal in the
log. Sending precedes reading, so the lease expires for the holder first,
whatever is delayed, lost or paused in between. The margin covers clocks that
run at different speeds.
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
"""Fraction of the time to live that the holder does not use.

Without the margin, a holder with a slow clock would still act while a
contender with a faster clock has already taken the lease.
"""

RENEW_RATIO = 1 / 3
"""Fraction of the time to live after which the holder renews the lease."""

STEPS_PER_TTL = 15
FIRST_STEP_CONTENDERS = 1.5
RELEASE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True)
class LeaseView:
    """State of a lease as one process knows it, with times of its own clock.

    Attributes:
        lease: Name of the lease.
        own: VM and incarnation of this process.
        ttl_ms: Time to live, in milliseconds, that this process requests when
            it takes the lease.
        current: The lease as this process has read it from the log; None
            before the first grant.
        observed_s: Monotonic time, in seconds, at which this process last saw
            `current` change.
        fencing: Fencing number of this process's grant; None if this process
            has no grant.
        sent_s: Monotonic time, in seconds, at which this process sent the
            latest confirmed record of its grant.
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
    """Returns the view after the log was read up to `current`.

    Args:
        view: The view before the read.
        current: The lease that was read from the log.
        now_s: Monotonic time in seconds.
    """
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
    """Returns the view after the log accepted this process's take or renewal.

    Args:
        view: A view that `observe` has already updated with the record.
        sent_s: Monotonic time, in seconds, at which the record was first
            sent, not when it was read back. A contender counts from its own
            read, so the holder must not count the time in between as its own.
    """
    if not _is_own(view):
        return view
    assert view.current is not None
    return dataclasses.replace(
        view, fencing=view.current.fencing, sent_s=sent_s
    )


def get_held_fencing(view: LeaseView, now_s: float) -> FencingNumber | None:
    """Returns the fencing number to act under.

    Args:
        view: The lease as this process sees it.
        now_s: Monotonic time in seconds.

    Returns:
        None if the lease may have expired or is not held by this process.
    """
    if view.fencing is None or view.current is None:
        return None
    ttl_s = view.current.ttl_ms / 1000
    if now_s - view.sent_s >= ttl_s * (1 - MARGIN_RATIO):
        return None
    return view.fencing


def make_next_record(
    view: LeaseView,
    now_s: float,
    change_id: ChangeId,
    takeover_delay_s: float = 0.0,
) -> LeaseTake | LeaseRenew | None:
    """Makes the lease record that this process may append now.

    Args:
        view: The lease as this process sees it.
        now_s: Monotonic time in seconds.
        change_id: Change id of the record.
        takeover_delay_s: Seconds to wait after the lease has become free
            before taking the lease.

    Returns:
        None if this process has to wait.
    """
    current = view.current
    if current is None:
        return _make_take(view, NO_FENCING, 0, change_id)
    if _is_own(view):
        return LeaseRenew(
            change_id, view.lease, current.fencing, current.renewals
        )
    free_after_s = 0.0 if current.released else current.ttl_ms / 1000
    if now_s - view.observed_s >= free_after_s + takeover_delay_s:
        return _make_take(view, current.fencing, current.renewals, change_id)
    return None


def get_takeover_delay_s(
    view: LeaseView, contenders: int, step_s: float
) -> float:
    """Returns how many seconds this process waits before taking a free lease.

    The delay is the logarithm of a uniform number, so few contenders have a
    short delay and most have a long one. Of any number of contenders, about
    `FIRST_STEP_CONTENDERS` append within the first step. The other contenders
    read the grant before their own delay is over (suppression timers of
    multicast feedback, Nonnenmacher and Biersack 1999).

    Args:
        view: The lease as this process sees it.
        contenders: Number of processes that want the lease.
        step_s: Seconds within which all contenders read a grant.
    """
    current = view.current
    if current is None:
        return 0.0
    text = f"{view.own.vm}\0{view.lease}\0{current.fencing}"
    text += f"\0{current.renewals}"
    uniform = (xxhash.xxh3_64_intdigest(text.encode()) + 1) / 2**64
    delay_steps = math.log(max(1.0, contenders * uniform))
    return step_s * delay_steps / math.log(FIRST_STEP_CONTENDERS)


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
    """Takes and renews one lease for as long as the process runs.

    Args:
        lease: Name of the lease.
        own: VM and incarnation of this process.
        control: Reader that holds the folded control state.
        writer: Writer that appends the lease's records to the log.
        ttl_s: Time to live in seconds.
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
        """Returns the fencing number to act under.

        A caller has to call this method again before each action.

        Raises:
            LeaseLostError: The lease may have expired or is not held by this
                process.
        """
        fencing = get_held_fencing(self._view, time.monotonic())
        if fencing is None:
            raise LeaseLostError(self._view.lease)
        return fencing

    @property
    def is_held(self) -> bool:
        """Whether this process certainly holds the lease now."""
        return get_held_fencing(self._view, time.monotonic()) is not None

    async def on_stop(self) -> None:
        """Releases the lease, so that another process need not await expiry."""
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
    async def _maintain_lease(self) -> None:
        while not self.should_stop:
            if self._is_due():
                await self._append_next()
            await self.sleep(self._ttl_s / STEPS_PER_TTL)

    def _is_due(self) -> bool:
        if not (self._control.is_usable and self._control.caught_up):
            return False
        is_held = self.is_held
        age_s = time.monotonic() - self._view.sent_s
        return not is_held or age_s >= self._ttl_s * RENEW_RATIO

    async def _append_next(self) -> None:
        self._observe()
        sent_s = time.monotonic()
        takeover_delay_s = get_takeover_delay_s(
            self._view,
            len(self._control.folded.members.members),
            self._ttl_s / STEPS_PER_TTL,
        )
        record = make_next_record(
            self._view, sent_s, make_change_id(), takeover_delay_s
        )
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
                self._log_lease_taken()

    def _log_lease_taken(self) -> None:
        _log.info(
            "lease_taken",
            extra={"lease": self._view.lease, "fencing": self._view.fencing},
        )

    def _observe(self) -> None:
        current = self._control.folded.leases.by_id.get(self._view.lease)
        self._view = observe(self._view, current, time.monotonic())

    def get_dump(self) -> dict[str, object]:
        """Returns the state of the lease for the diagnostic dump."""
        return {
            "lease": self._view.lease,
            "held": self.is_held,
            "current": msgspec.to_builtins(self._view.current),
        }
