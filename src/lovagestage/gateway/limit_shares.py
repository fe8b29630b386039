"""This gateway's shares of the upstreams' request limits, and their leases."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterator

import xxhash

from lovagestage.decisions.demand import (
    KEPT_DEVIATIONS,
    WANTED_DEVIATIONS,
    RequestRate,
    get_sufficient_rate,
)
from lovagestage.decisions.limit_sharing import (
    GatewaySet,
    LimitPolicy,
    get_sharing_peers,
)
from lovagestage.decisions.send_rates import RateLimit
from lovagestage.decisions.share_lending import (
    LEASE_S,
    NO_LOAN,
    Lease,
    LentShare,
    Loan,
)
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.upstream import Upstream
from lovagestage.types import ServiceId

SHARE_RETENTION_S = 1.0
"""Time in seconds for which a share is used before it is determined again from
the known gateways: there may be hundreds of them."""
ASKED_RATIO = 1.5
"""Gateways that are asked, as a multiple of those that would lend enough if
each could lend a request in the span: some have none to spare."""
RENEWAL_RATIO = 0.5
"""Share of a lease that is left when it is renewed."""


@dataclasses.dataclass(frozen=True)
class Wish:
    """What this gateway would borrow from another one.

    Attributes:
        lender: Name of the other gateway.
        upstream: The upstream with the limit.
        per_s: Requests per second.
    """

    lender: str
    upstream: Upstream
    per_s: float


@dataclasses.dataclass
class _Entry:
    """A share and what it was determined from.

    Attributes:
        share: The share.
        limit_per_s: The limit in requests per second.
        computed_s: Elapsed time in seconds at which it was determined.
        lenders: Names of the other gateways that share the limit; None until
            they are asked for.
    """

    share: LentShare
    limit_per_s: float
    computed_s: float
    lenders: list[str] | None = None


class LimitShares:
    """Shares of the request limits that upstreams state.

    Args:
        policy: How gateways share a limit.
        rotation: All upstreams.
        rng: Source of randomness.
        get_gateways: Returns the gateways that share limits, for a time.
    """

    def __init__(
        self,
        policy: LimitPolicy,
        rotation: Rotation,
        rng: random.Random,
        get_gateways: Callable[[float], GatewaySet],
    ) -> None:
        self._policy = policy
        self._rotation = rotation
        self._rng = rng
        self._get_gateways = get_gateways
        self._entries: dict[Upstream, _Entry] = {}
        self._demand: dict[ServiceId, RequestRate] = {}

    def record_request(self, service: ServiceId, now_s: float) -> None:
        """Counts a request for which an upstream of a service is chosen."""
        self._demand.setdefault(service, RequestRate()).record(now_s)

    def get_rate_limit(
        self, upstream: Upstream, limit_per_s: float, now_s: float
    ) -> RateLimit:
        """Returns the limit for this gateway's requests to an upstream."""
        entry = self._get_entry(upstream, limit_per_s, now_s)
        return entry.share.get_rate_limit(now_s)

    def forget(self, upstream: Upstream) -> None:
        """Forgets the share of an upstream that states no limit any more."""
        self._entries.pop(upstream, None)

    def find_wishes(
        self, max_lenders: int, now_s: float
    ) -> dict[str, list[Wish]]:
        """Returns what this gateway would borrow, by the lender's name.

        What it renews goes first. What it lacks at an upstream is divided
        among the gateways that are asked, others each time.

        Args:
            max_lenders: Maximum number of gateways to ask.
            now_s: Elapsed time in seconds.
        """
        wishes: dict[str, list[Wish]] = {}
        limited = [
            (
                upstream,
                entry,
                self._get_needed_per_s(upstream, WANTED_DEVIATIONS, now_s),
            )
            for upstream, entry in self._get_limited(now_s)
            if entry.share.base.may_be_lent
        ]
        for upstream, entry, needed_per_s in limited:
            for wish in _find_renewals(upstream, entry, needed_per_s, now_s):
                wishes.setdefault(wish.lender, []).append(wish)
        for upstream, entry, needed_per_s in limited:
            missing_per_s = needed_per_s - entry.share.get_per_s(now_s)
            if missing_per_s > 0.0:
                unit_per_s = entry.share.base.unit_per_s
                count = math.ceil(ASKED_RATIO * missing_per_s / unit_per_s)
                room = max(0, max_lenders - len(wishes))
                lenders = self._choose_lenders(
                    upstream, entry, wishes, count, room
                )
                for lender in lenders:
                    wish = Wish(lender, upstream, missing_per_s / len(lenders))
                    wishes.setdefault(lender, []).append(wish)
        return wishes

    def _choose_lenders(
        self,
        upstream: Upstream,
        entry: _Entry,
        asked: Collection[str],
        count: int,
        room: int,
    ) -> list[str]:
        """Chooses gateways to ask, first those that are asked anyway.

        Args:
            upstream: The upstream with the limit.
            entry: This gateway's share of it.
            asked: Names of the gateways that are asked already.
            count: Maximum number of gateways.
            room: How many of them may be others than those.
        """
        if entry.lenders is None:
            gateways = self._get_gateways(entry.computed_s)
            entry.lenders = get_sharing_peers(
                gateways, upstream.id, entry.limit_per_s
            )
        borrowed = entry.share.borrowed
        lenders = [name for name in entry.lenders if name not in borrowed]
        chosen = [name for name in lenders if name in asked]
        chosen = self._rng.sample(chosen, min(count, len(chosen)))
        others = [name for name in lenders if name not in asked]
        more = min(count - len(chosen), room, len(others))
        return chosen + self._rng.sample(others, max(0, more))

    def lend(
        self, upstream: Upstream, borrower: str, per_s: float, now_s: float
    ) -> Loan:
        """Lends a part of a share to another gateway.

        Returns:
            What is lent; `NO_LOAN` where none can be spared.
        """
        limit_per_s = upstream.notices.limit_per_s
        if limit_per_s is None:
            return NO_LOAN
        share = self._get_entry(upstream, limit_per_s, now_s).share
        kept_per_s = self._get_kept_per_s(upstream, share, now_s)
        sent = upstream.sends.count_since(now_s - share.base.span_s)
        return share.lend(borrower, per_s, kept_per_s, sent, now_s)

    def borrow(
        self,
        upstream: Upstream,
        lender: str,
        loan: Loan,
        asked_s: float,
        now_s: float,
    ) -> None:
        """Takes what another gateway lends.

        Args:
            upstream: The upstream with the limit.
            lender: Name of the other gateway.
            loan: What it lends.
            asked_s: Elapsed time in seconds at which this gateway asked.
            now_s: Elapsed time in seconds.
        """
        entry = self._entries.get(upstream)
        if entry is not None and asked_s <= now_s:
            lease = Lease(loan.per_s, asked_s + LEASE_S)
            known = entry.share.borrowed.get(lender)
            if known is None or known.until_s < lease.until_s:
                entry.share.borrow(lender, lease, loan.accrued, now_s)

    def _get_entry(
        self, upstream: Upstream, limit_per_s: float, now_s: float
    ) -> _Entry:
        entry = self._entries.get(upstream)
        is_current = (
            entry is not None
            and entry.limit_per_s == limit_per_s
            and now_s - entry.computed_s < SHARE_RETENTION_S
        )
        if entry is not None and is_current:
            return entry
        gateways = self._get_gateways(now_s)
        base = self._policy.get_share(gateways, upstream.id, limit_per_s)
        if entry is None:
            share = LentShare(base, now_s)
        else:
            share = entry.share
            share.set_base(base, now_s)
            if limit_per_s < entry.limit_per_s:
                ratio = limit_per_s / entry.limit_per_s
                share.scale_borrowed(ratio, now_s)
        entry = _Entry(share, limit_per_s, now_s)
        self._entries[upstream] = entry
        return entry

    def _get_limited(self, now_s: float) -> list[tuple[Upstream, _Entry]]:
        limited = []
        for upstream in list(self._entries):
            limit_per_s = upstream.notices.limit_per_s
            if limit_per_s is not None:
                entry = self._get_entry(upstream, limit_per_s, now_s)
                limited.append((upstream, entry))
        return limited

    def _get_needed_per_s(
        self, upstream: Upstream, deviations: float, now_s: float
    ) -> float:
        """Returns the rate that this gateway needs at an upstream."""
        service = upstream.entry.service
        demand = self._demand.get(service)
        per_s = 0.0 if demand is None else demand.get_per_s(now_s)
        upstreams = max(1, len(self._rotation.get_ready(service)))
        return get_sufficient_rate(per_s, deviations) / upstreams

    def _get_kept_per_s(
        self, upstream: Upstream, share: LentShare, now_s: float
    ) -> float:
        """Returns the part of a share that this gateway does not lend."""
        needed_per_s = self._get_needed_per_s(upstream, KEPT_DEVIATIONS, now_s)
        base, unit_per_s = share.base.per_s, share.base.unit_per_s
        if base >= 2.0 * unit_per_s:
            return min(base, unit_per_s * round(needed_per_s / unit_per_s))
        # Such a share is lent whole or not at all. What is needed is kept at
        # few upstreams, other ones at each gateway.
        ready = self._rotation.get_ready(upstream.entry.service)
        shared = [u for u in ready if self._has_share(u)]
        count = round(len(shared) * needed_per_s / unit_per_s)
        own_name = self._get_gateways(now_s).own_name
        shared.sort(key=lambda u: _get_order(own_name, u))
        return base if upstream in shared[:count] else 0.0

    def _has_share(self, upstream: Upstream) -> bool:
        entry = self._entries.get(upstream)
        return entry is not None and entry.share.base.per_s > 0.0


def _find_renewals(
    upstream: Upstream, entry: _Entry, needed_per_s: float, now_s: float
) -> Iterator[Wish]:
    """Yields the leases that end soon and are still needed."""
    spare_per_s = entry.share.get_per_s(now_s) - needed_per_s
    for lender, lease in list(entry.share.borrowed.items()):
        if lease.until_s - now_s > RENEWAL_RATIO * LEASE_S:
            continue
        if lease.per_s <= spare_per_s:
            spare_per_s -= lease.per_s
            continue
        yield Wish(lender, upstream, lease.per_s)


def _get_order(own_name: str, upstream: Upstream) -> int:
    name = f"{own_name}/{upstream.incarnation}".encode()
    return int(xxhash.xxh3_64_intdigest(name))
