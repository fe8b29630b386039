"""Lends shares of a limit to the gateways where the requests arrive.

Several gateways share a limit that binds their sum. Each has a base share; one
that does not need all of it lends a part to another one for a short time. The
lender gives the part up before it tells the borrower, and takes it back once
the lease has ended for both, so that a lost datagram or a cut between them
leaves a part unused, and never used twice.

Requests are counted in a span of time that is the same for all gateways. A part
that was borrowed a moment ago allows requests only as its rate accrues:
otherwise the lender and the borrower could each use the part's whole span. What
has accrued at the lender, and was not used there, goes over with the part.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from lovagestage.decisions.send_rates import (
    MAX_REQUESTS_PER_SPAN,
    NO_REQUESTS,
    RateLimit,
)

LEASE_S = 1.5
"""Length in seconds of a lease. The borrower counts it from when it asked, the
lender from when it lent, which is later. It is shorter than the time for which
a gateway that restarts, and knows no leases, leaves limits to others."""
MAX_LENT_SPAN_S = 3.5
"""Longest span in seconds of a share that is lent. A lease of a smaller share
brings less than half a request, and costs its lender the whole span in which
the next one accrues."""
_ROUNDING = 1e-6


@dataclasses.dataclass(frozen=True)
class BaseShare:
    """A gateway's part of a limit before any is lent.

    Attributes:
        per_s: Requests per second.
        span_s: Time in seconds in which requests are counted.
    """

    per_s: float
    span_s: float

    @property
    def unit_per_s(self) -> float:
        """Smallest rate in requests per second that allows a request."""
        return 1.0 / self.span_s

    @property
    def may_be_lent(self) -> bool:
        """Whether a lease brings its borrower anything."""
        return self.span_s <= MAX_LENT_SPAN_S


@dataclasses.dataclass(frozen=True)
class Lease:
    """A part of a limit that one gateway has lent to another.

    Attributes:
        per_s: Requests per second.
        until_s: Time in seconds of its end, by the clock of who holds this.
    """

    per_s: float
    until_s: float


@dataclasses.dataclass(frozen=True)
class Loan:
    """What a gateway gives up for another one.

    Attributes:
        per_s: Requests per second for the length of a lease.
        accrued: Requests that have accrued before and may be sent at once.
    """

    per_s: float
    accrued: float = 0.0


NO_LOAN = Loan(0.0)


@dataclasses.dataclass(frozen=True)
class _Segment:
    begun_s: float
    ended_s: float
    per_s: float


class LentShare:
    """One gateway's share of one limit, with what it has lent and borrowed.

    Args:
        base: The share before any is lent.
        now_s: Elapsed time in seconds.
    """

    def __init__(self, base: BaseShare, now_s: float) -> None:
        self._base = base
        self._lent: list[tuple[str, Lease]] = []
        self._borrowed: dict[str, Lease] = {}
        self._per_s = base.per_s
        self._advanced_s = now_s
        self._history = [_Segment(now_s - base.span_s, now_s, base.per_s)]
        self._taken_over: list[_Segment] = []

    @property
    def base(self) -> BaseShare:
        """The share before any is lent."""
        return self._base

    @property
    def borrowed(self) -> Mapping[str, Lease]:
        """Leases from other gateways, by the lender's name."""
        return self._borrowed

    def get_per_s(self, now_s: float) -> float:
        """Returns the requests per second that the gateway has now."""
        self._advance(now_s)
        return self._per_s

    def get_rate_limit(self, now_s: float) -> RateLimit:
        """Returns the limit for the gateway's requests."""
        self._advance(now_s)
        per_s = self._per_s
        requests = int(per_s * self._base.span_s + _ROUNDING)
        if requests < 1:
            return NO_REQUESTS
        requests = min(MAX_REQUESTS_PER_SPAN, requests)
        span_s = requests / per_s
        accrued = self._sum_history(now_s - span_s)
        return RateLimit(min(requests, int(accrued + _ROUNDING)), span_s)

    def set_base(self, base: BaseShare, now_s: float) -> None:
        """Changes the share: the limit or the set of gateways has changed."""
        self._advance(now_s)
        self._base = base
        self._update_rate()

    def scale_borrowed(self, ratio: float, now_s: float) -> None:
        """Reduces what is borrowed, as the limit has fallen by a ratio."""
        self._advance(now_s)
        for lender, lease in list(self._borrowed.items()):
            per_s = ratio * lease.per_s
            self._borrowed[lender] = dataclasses.replace(lease, per_s=per_s)
        self._update_rate()

    def lend(
        self,
        borrower: str,
        wanted_per_s: float,
        kept_per_s: float,
        sent: int,
        now_s: float,
    ) -> Loan:
        """Gives up a part of the share for the length of a lease.

        Args:
            borrower: Name of the other gateway.
            wanted_per_s: Requests per second that it asks for in all. An
                earlier lease of its own is replaced.
            kept_per_s: Requests per second that this gateway needs itself.
            sent: Requests that this gateway has sent in the last span.
            now_s: Elapsed time in seconds.

        Returns:
            What is lent; `NO_LOAN` where none can be spared.
        """
        self._advance(now_s)
        if not self._base.may_be_lent:
            return NO_LOAN
        free = self._base.per_s - self._count_lent(besides=borrower)
        unit = self._base.unit_per_s
        per_s = min(max(wanted_per_s, unit), free - kept_per_s)
        if 0.0 < free - per_s < unit - _ROUNDING:
            # A rest below one request in the span is of no use here.
            per_s = free if kept_per_s <= 0.0 else free - unit
        if per_s < unit - _ROUNDING:
            return NO_LOAN
        is_renewed = any(name == borrower for name, _ in self._lent)
        accrued = 0.0 if is_renewed else self._give_up(per_s / free, sent)
        self._lent.append((borrower, Lease(per_s, now_s + LEASE_S)))
        self._update_rate()
        return Loan(per_s, accrued)

    def borrow(
        self, lender: str, lease: Lease, accrued: float, now_s: float
    ) -> None:
        """Takes a lease of another gateway, in place of its earlier one.

        Args:
            lender: Name of the other gateway.
            lease: The lease.
            accrued: Requests that have accrued at the lender.
            now_s: Elapsed time in seconds.
        """
        self._advance(now_s)
        if lease.until_s <= now_s or lease.per_s <= 0.0:
            self._borrowed.pop(lender, None)
        else:
            self._borrowed[lender] = lease
            time_s = min(self._base.span_s, accrued / lease.per_s)
            segment = _Segment(now_s - time_s, now_s, lease.per_s)
            self._taken_over.append(segment)
        self._update_rate()

    def _give_up(self, ratio: float, sent: int) -> float:
        """Removes a part of what has accrued; returns what is left of it."""
        from_s = self._advanced_s - self._base.span_s
        accrued = ratio * self._sum_history(from_s) - sent
        self._history = [_scale(each, 1.0 - ratio) for each in self._history]
        self._taken_over = [
            _scale(each, 1.0 - ratio) for each in self._taken_over
        ]
        return max(0.0, accrued)

    def _count_lent(self, besides: str | None = None) -> float:
        """Adds up what is lent; of several leases of one gateway the largest.

        The datagram with the newest one may be lost, and its borrower goes on
        with the one before.
        """
        largest: dict[str, float] = {}
        for borrower, lease in self._lent:
            if borrower != besides:
                known = largest.get(borrower, 0.0)
                largest[borrower] = max(known, lease.per_s)
        return sum(largest.values())

    def _advance(self, now_s: float) -> None:
        """Ends leases, and records the rate since the last call.

        A lease that ended meanwhile counts as if it had ended at that call.
        """
        if now_s <= self._advanced_s:
            return
        before_per_s = self._per_s
        self._lent = [entry for entry in self._lent if entry[1].until_s > now_s]
        for lender, lease in list(self._borrowed.items()):
            if lease.until_s <= now_s:
                del self._borrowed[lender]
        self._update_rate()
        per_s = min(before_per_s, self._per_s)
        self._add_segment(_Segment(self._advanced_s, now_s, per_s))
        self._advanced_s = now_s

    def _add_segment(self, segment: _Segment) -> None:
        last = self._history[-1]
        if last.per_s == segment.per_s:
            self._history.pop()
            segment = dataclasses.replace(segment, begun_s=last.begun_s)
        oldest_s = segment.ended_s - self._base.span_s
        self._history = [
            each for each in self._history if each.ended_s > oldest_s
        ]
        self._history.append(segment)
        self._taken_over = [
            each for each in self._taken_over if each.ended_s > oldest_s
        ]

    def _sum_history(self, from_s: float) -> float:
        return sum(
            each.per_s * max(0.0, each.ended_s - max(each.begun_s, from_s))
            for each in (*self._history, *self._taken_over)
        )

    def _update_rate(self) -> None:
        borrowed = sum(lease.per_s for lease in self._borrowed.values())
        own = max(0.0, self._base.per_s - self._count_lent())
        self._per_s = own + borrowed


def _scale(segment: _Segment, ratio: float) -> _Segment:
    return dataclasses.replace(segment, per_s=ratio * segment.per_s)
