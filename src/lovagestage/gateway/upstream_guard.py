"""Decides whether this gateway may send a request to an upstream.

Each path on which a request reaches an upstream asks here twice: when the
upstream is chosen, and immediately before the request is sent. In between, a
connection may take some hundred milliseconds to open, and the upstream may have
said something of itself in another answer. A request that is sent again after
its kept connection broke is asked about once more.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Protocol

import xxhash

from lovagestage.decisions.limit_sharing import GatewaySet, LimitPolicy
from lovagestage.decisions.send_rates import NO_REQUESTS, RateLimit
from lovagestage.decisions.upstream_notices import (
    MIN_RATE_PER_S,
    PERMITTED,
    UNCONFIRMED_RETENTION_S,
    AnswerNotices,
    Denial,
    NoticeChange,
    NoticeKind,
    Permission,
    check_rate,
)
from lovagestage.decisions.warmup import GatewayView, Warmup, WarmupPolicy
from lovagestage.gateway.limit_shares import SHARE_RETENTION_S, LimitShares
from lovagestage.gateway.rotation import GONE_RETENTION_S, Rotation
from lovagestage.gateway.upstream import Upstream, UpstreamState
from lovagestage.types import ServiceId, ZoneId

STARTUP_DELAY_S = 3.0
"""Time in seconds after its start in which a gateway leaves upstreams that are
warming up or limited to other gateways: its hello message reaches them within
about a second, and it receives the reported queue times, which name the other
gateways, several times a second."""
RECHECK_LIMIT = RateLimit(1, UNCONFIRMED_RETENTION_S)
"""Limit of a gateway that finds out whether a limit still holds."""


class PeerDirectory(Protocol):
    """Names of the other gateways."""

    def get_all(self) -> Collection[str] | None:
        """Returns all known ones; None where gateways can't learn of them."""

    def get_live(self, now_s: float) -> Collection[str]:
        """Returns those that were heard from lately."""

    def get_in_zone(self) -> Collection[str]:
        """Returns those in this gateway's availability zone."""


class UpstreamGuard:
    """Applies what is known of an upstream's capacity to each request.

    Args:
        warmup_policy: How gateways share the request rate of an upstream that
            is warming up.
        limit_policy: How gateways share the request limit that an upstream
            states.
        rotation: The upstreams, of which leaving ones are taken out.
        get_warmup: Returns the warm-up of a service's upstreams; None where
            they handle their full load from the start.
        zone: The gateway's availability zone.
        own_name: Name of the gateway among the gateways.
        peers: Names of the other gateways.
        started_s: Elapsed time in seconds at the start of the process.

    Attributes:
        shares: This gateway's shares of the limits that upstreams state.
    """

    def __init__(
        self,
        warmup_policy: WarmupPolicy,
        limit_policy: LimitPolicy,
        rotation: Rotation,
        get_warmup: Callable[[ServiceId], Warmup | None],
        zone: ZoneId,
        own_name: str,
        peers: PeerDirectory,
        started_s: float,
    ) -> None:
        self._warmup_policy = warmup_policy
        self._rotation = rotation
        self._get_warmup = get_warmup
        self._zone = zone
        self._own_name = own_name
        self._peers = peers
        self._started_s = started_s
        self.shares = LimitShares(
            limit_policy, rotation, random.Random(), self.get_gateway_set
        )
        self._gateways: GatewaySet | None = None
        self._gateways_s = 0.0
        # A few of thousands of upstreams say anything of themselves, and each
        # choice goes through these alone.
        self._noticed: set[Upstream] = set()
        self._on_limit_changed: Callable[[Upstream], None] | None = None

    def set_limit_listener(self, listener: Callable[[Upstream], None]) -> None:
        """Sets what is called when an upstream has changed its limit."""
        self._on_limit_changed = listener

    def check(
        self, upstream: Upstream, now_s: float, is_placed: bool = False
    ) -> Permission:
        """Returns whether an upstream may get a request from here.

        Args:
            upstream: The upstream.
            now_s: Elapsed time in seconds.
            is_placed: Whether the request is already counted as placed at the
                upstream.
        """
        notices = upstream.notices
        share = NO_REQUESTS
        if notices.limit_per_s is not None:
            share = self._get_rate_limit(upstream, notices.limit_per_s, now_s)
        permission = notices.check(share, upstream.sends, now_s, is_placed)
        if permission.denial is None and upstream.warmup.is_cold(now_s):
            return self._check_warmup(upstream, now_s, is_placed)
        return permission

    def record_answer(
        self,
        upstream: Upstream,
        notices: AnswerNotices,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Records what an answer of an upstream says of it.

        Args:
            upstream: The upstream.
            notices: Statements of the answer.
            sent_s: Elapsed time in seconds at which the request was sent.
            now_s: Elapsed time in seconds.
        """
        changes = upstream.record_answer_notices(notices, sent_s, now_s)
        if changes:
            self._noticed.add(upstream)
        for change in changes:
            if change.malformed is None:
                self._apply(change, upstream, now_s)

    def _apply(
        self, change: NoticeChange, upstream: Upstream, now_s: float
    ) -> None:
        match change.kind:
            case NoticeKind.LEAVING:
                self._rotation.record_leaving(upstream, now_s)
            case NoticeKind.REQUEST_LIMIT:
                if self._on_limit_changed is not None:
                    self._on_limit_changed(upstream)

    def record_peer_limit(
        self, upstream: Upstream, per_s: float | None, heard_s: float
    ) -> None:
        """Records a request limit that another gateway has read.

        Args:
            upstream: The upstream.
            per_s: The limit; None where the upstream no longer states one.
            heard_s: Elapsed time in seconds at which that gateway read it.
        """
        upstream.record_peer_limit(per_s, heard_s)
        self._noticed.add(upstream)

    def get_denied(self, now_s: float) -> set[Upstream]:
        """Returns the upstreams that get nothing because of their notices."""
        return {
            upstream
            for upstream in self.get_noticed(now_s)
            if self.check(upstream, now_s).denial is not None
        }

    def get_noticed(self, now_s: float) -> set[Upstream]:
        """Returns the upstreams whose notices may restrict requests."""
        for upstream in list(self._noticed):
            is_forgotten = (
                upstream.state is UpstreamState.GONE
                and now_s - upstream.changed_s > GONE_RETENTION_S
            )
            if is_forgotten or not upstream.notices.get_kinds(now_s):
                self._noticed.remove(upstream)
                self.shares.forget(upstream)
        return self._noticed

    def get_gateway_set(self, now_s: float) -> GatewaySet:
        """Returns the gateways that share upstreams, as known lately."""
        known = self._gateways
        if known is None or now_s - self._gateways_s >= SHARE_RETENTION_S:
            known = self._gateways = GatewaySet(
                self._own_name,
                self._peers.get_all(),
                self._peers.get_live(now_s),
                now_s - self._started_s >= STARTUP_DELAY_S,
            )
            self._gateways_s = now_s
        return known

    def _get_rate_limit(
        self, upstream: Upstream, per_s: float, now_s: float
    ) -> RateLimit:
        rate_limit = self.shares.get_rate_limit(upstream, per_s, now_s)
        if rate_limit.requests:
            return rate_limit
        name = f"{upstream.incarnation}/{self._own_name}"
        place = xxhash.xxh32_intdigest(name.encode()) / 2**32
        count = 1 + len(self.get_gateway_set(now_s).peers or ())
        if upstream.notices.is_limit_unconfirmed(count, place, now_s):
            return RECHECK_LIMIT
        return rate_limit

    def _check_warmup(
        self, upstream: Upstream, now_s: float, is_placed: bool
    ) -> Permission:
        warmup = self._get_warmup(upstream.entry.service)
        if warmup is None:
            return PERMITTED
        rate_limit = self._warmup_policy.get_rate_limit(
            self._get_zone_view(now_s),
            upstream.id,
            upstream.entry.zone,
            warmup.requests_per_s,
        )
        return check_rate(
            rate_limit,
            upstream.sends,
            now_s,
            is_placed,
            Denial.COLD,
            1.0 / max(MIN_RATE_PER_S, warmup.requests_per_s),
        )

    def _get_zone_view(self, now_s: float) -> GatewayView:
        is_discovering = self._peers.get_all() is not None
        return GatewayView(
            self._own_name,
            self._zone,
            self._peers.get_in_zone() if is_discovering else None,
            now_s - self._started_s >= STARTUP_DELAY_S,
        )
