"""Token limits of workspaces that all entries enforce together.

Each entry has a token bucket for each workspace. The bucket is refilled with
the entry's share of the limit, which follows the entry's part of the demand. It
is also refilled with a part of the balance of all entries together, which is
the number of tokens that the limit has granted less the number that all entries
have used. The shares may be wrong for some time after a change; the balance
compensates for this. The use and the demand at other entries arrive in
`UsageReport` messages. These contain cumulative counters of one process, so
that a lost or repeated message does no harm.

The decisions are pure: they read no clock and open no socket.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable

import xxhash

from lovagestage.messages.peers import UsageReport, UsageRow
from lovagestage.types import ServiceId, VmId, WorkspaceHash, WorkspaceId

DEFAULT_TOKENS = 256.0
"""Estimate in tokens for a request that names no maximum, before this entry has
answered any request of the workspace."""
MEAN_WEIGHT = 0.05
"""Weight of the latest answer in the mean number of tokens per answer."""
DEMAND_TIME_CONSTANT_S = 3.0
"""Time constant in seconds with which the measured demand decays; the length of
a report cycle is used if it is longer."""
SHARE_TIME_CYCLES = 2.0
"""Time constant, in report cycles, with which the share of an entry moves to
its target. Without it, an entry that has not yet received a report of other
demand would use the full limit immediately, and all entries would do so until
the first reports arrive."""
BALANCE_TIME_CYCLES = 5.0
"""Time, in report cycles, over which the balance is corrected. It is longer
than the reports take; otherwise the corrections would overshoot."""
MAX_CUT_RATIO = 0.5
"""Maximum correction that reduces the refill, as a fraction of the limit."""
MAX_RAISE_RATIO = 1.0
"""Maximum correction that increases the refill, as a fraction of the limit."""
MAX_DEBT_S = 20.0
"""Maximum debt, in seconds of the limit. A wrong count can't hold a workspace
back for longer than this."""
STALE_CYCLES = 3.0
"""Report cycles after which the demand in a peer's last report is ignored."""
PEER_RETENTION_S = 600.0
"""Seconds after which a peer's last report is dropped."""
FLOOR_RATIO = 0.02
"""Minimum demand that is assumed of each entry, as a fraction of its even
share."""
MIN_BURST_S = 1.0
"""Minimum depth of the bucket of all entries together, in seconds of the
limit."""
CLASS_RESERVE_RATIO = 0.15
"""Fraction of the bucket that a class leaves to each class that is more
urgent."""
MAX_CLASS_STEPS = 3
"""Maximum number of more urgent classes for which a class leaves a reserve."""
BORROW_THRESHOLD_RATIO = 0.1
"""Balance above which an entry may borrow, as a fraction of the depth of the
bucket of all entries together, beyond the reserve of the request's class."""
MAX_BORROWED_PARTS = 4.0
"""Maximum number of tokens that an entry may borrow, in even parts of the
bucket."""
REPORT_RATIO = 0.25
"""Demand below this fraction of an even share is not reported: if the demand at
all entries were as low, the workspace would be far below its limit."""
MAX_RETRY_AFTER_S = 60
"""Maximum number of seconds after which a refused caller is asked to retry."""


@dataclasses.dataclass(frozen=True)
class Limit:
    """Limit of a workspace, from the document of the service.

    Attributes:
        tokens_per_s: Generated tokens per second, summed over all entries.
        burst_tokens: Number of tokens by which a burst may exceed the limit.
    """

    tokens_per_s: float
    burst_tokens: float

    @property
    def depth_tokens(self) -> float:
        """Depth in tokens of the bucket of all entries together."""
        return max(self.burst_tokens, self.tokens_per_s * MIN_BURST_S)


@dataclasses.dataclass(frozen=True)
class Charge:
    """Result of the admission of a request.

    Attributes:
        tokens: Estimated number of tokens that was charged; 0 if refused.
        retry_after_s: Seconds after which a retry may succeed; None unless
            refused.
    """

    tokens: float
    retry_after_s: int | None = None


@dataclasses.dataclass
class _PeerUsage:
    incarnation: int
    used_tokens: float
    demand_per_s: float
    received_s: float


class _Usage:
    """Usage of one workspace at one entry."""

    def __init__(
        self, limit: Limit, entries: int, balance_tokens: float, now_s: float
    ) -> None:
        self.limit = limit
        self.share = 1.0 / entries
        self.level_tokens = limit.depth_tokens / entries
        self.balance_tokens = balance_tokens
        self.demand_per_s = 0.0
        self.used_tokens = 0.0
        self.mean_tokens = 0.0
        self.updated_s = now_s
        self.peers: dict[VmId, _PeerUsage] = {}

    def get_estimate(self, max_tokens: int | None) -> float:
        mean = self.mean_tokens
        if max_tokens is None:
            return mean or DEFAULT_TOKENS
        return min(mean, max_tokens) if mean else float(max_tokens)

    def get_refill_per_s(self, cycle_s: float) -> float:
        rate = self.limit.tokens_per_s
        correction = self.balance_tokens / (BALANCE_TIME_CYCLES * cycle_s)
        correction = max(correction, -MAX_CUT_RATIO * rate)
        correction = min(correction, MAX_RAISE_RATIO * rate)
        return self.share * (rate + correction)

    def get_depth_tokens(self, entries: int) -> float:
        return self.limit.depth_tokens * max(self.share, 1.0 / entries)

    def get_floor_tokens(self, priority: int, entries: int) -> float:
        steps = min(max(priority, 0), MAX_CLASS_STEPS)
        reserve = CLASS_RESERVE_RATIO * steps
        depth = self.limit.depth_tokens
        if self.balance_tokens > (BORROW_THRESHOLD_RATIO + reserve) * depth:
            # An even part of a small bucket is less than one request. Without
            # borrowing, a workspace far below its limit would occasionally be
            # refused.
            return -MAX_BORROWED_PARTS * depth / entries
        return self.get_depth_tokens(entries) * reserve

    def spend(self, tokens: float) -> None:
        self.level_tokens -= tokens
        self.balance_tokens -= tokens
        self.used_tokens += tokens


class LimitTable:
    """Usage of all workspaces, as one entry knows it.

    Args:
        vm: VM of the entry.
        incarnation: Start time of the process.
        now_s: Monotonic time in seconds.
    """

    def __init__(self, vm: VmId, incarnation: int, now_s: float) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._started_s = now_s
        self._usages: dict[WorkspaceHash, _Usage] = {}
        self._limits: dict[WorkspaceHash, Limit] = {}
        self._live_peers: frozenset[VmId] = frozenset()
        self._cycle_s = 1.0

    @property
    def entries(self) -> int:
        """Number of entries that share the limits, including this one."""
        return len(self._live_peers) + 1

    def set_peers(self, live: Iterable[VmId], cycle_s: float) -> None:
        """Sets the other entries that share the limits.

        Args:
            live: The other entries that are presumed alive.
            cycle_s: Seconds in which each entry reports to all others.
        """
        self._live_peers = frozenset(live)
        self._cycle_s = cycle_s

    def set_limit(self, tag: WorkspaceHash, limit: Limit) -> None:
        """Sets a limit in force.

        Reports about workspaces for which no limit was set are ignored.
        """
        self._limits[tag] = limit
        usage = self._usages.get(tag)
        if usage is not None:
            usage.limit = limit

    def admit(
        self,
        tag: WorkspaceHash,
        max_tokens: int | None,
        priority: int,
        now_s: float,
    ) -> Charge:
        """Charges a request's estimate, or refuses the request.

        A request is admitted while the bucket's level is above the part that is
        reserved from its class, whatever the size of the request. The debt that
        this may create holds back the following requests, and no request is too
        large to be ever admitted.
        """
        usage = self._advance(tag, now_s)
        estimate = usage.get_estimate(max_tokens)
        usage.demand_per_s += estimate / self._get_demand_time_constant_s()
        floor = usage.get_floor_tokens(priority, self.entries)
        if usage.level_tokens > floor:
            usage.spend(estimate)
            return Charge(estimate)
        refill = usage.get_refill_per_s(self._cycle_s)
        wait_s = (floor - usage.level_tokens) / refill
        return Charge(0.0, min(max(1, math.ceil(wait_s)), MAX_RETRY_AFTER_S))

    def replace_estimate(
        self,
        tag: WorkspaceHash,
        charge: Charge,
        used_tokens: float,
        now_s: float,
    ) -> None:
        """Replaces an estimate by the tokens used; 0 if nothing ran."""
        usage = self._advance(tag, now_s)
        usage.spend(used_tokens - charge.tokens)
        if used_tokens == 0:
            return
        if usage.mean_tokens == 0.0:
            usage.mean_tokens = used_tokens
        change = used_tokens - usage.mean_tokens
        usage.mean_tokens += MEAN_WEIGHT * change

    def make_report(self, now_s: float) -> UsageReport | None:
        """Makes the report to the other entries; None if demand is low."""
        rows = []
        for tag in list(self._usages):
            usage = self._advance(tag, now_s)
            even_rate = usage.limit.tokens_per_s / self.entries
            if usage.demand_per_s < REPORT_RATIO * even_rate:
                continue
            used, demand = usage.used_tokens, usage.demand_per_s
            rows.append(UsageRow(tag, round(used), round(demand)))
        if not rows:
            return None
        return UsageReport(self._vm, self._incarnation, rows)

    def apply_report(self, report: UsageReport, now_s: float) -> None:
        """Applies a report of another entry."""
        for row in report.rows:
            if row.tag in self._limits:
                usage = self._advance(row.tag, now_s)
                self._apply_row(usage, report, row, now_s)

    def get_dump(self) -> list[dict[str, object]]:
        """Returns the usage by workspace tag for the state dump."""
        return [
            {
                "workspace": f"{tag:016x}",
                "share": round(usage.share, 4),
                "level_tokens": round(usage.level_tokens),
                "balance_tokens": round(usage.balance_tokens),
                "used_tokens": round(usage.used_tokens),
                "demand_per_s": round(usage.demand_per_s),
                "peers": len(usage.peers),
            }
            for tag, usage in self._usages.items()
        ]

    def _apply_row(
        self, usage: _Usage, report: UsageReport, row: UsageRow, now_s: float
    ) -> None:
        existing = usage.peers.get(report.entry)
        if existing is not None and report.incarnation < existing.incarnation:
            return
        max_charge = usage.limit.tokens_per_s * self._cycle_s
        if existing is not None and report.incarnation == existing.incarnation:
            used = row.used_tokens - existing.used_tokens
            max_charge *= 1.0 + (now_s - existing.received_s) / self._cycle_s
        elif now_s - self._started_s < 2.0 * self._cycle_s:
            # This process has just started. If the earlier use of the other
            # entries were subtracted from its balance, it would refuse requests
            # for a long time.
            used = 0.0
        else:
            used = row.used_tokens
        # Rows of low demand are not sent, so the first row after a long time
        # may contain the use of hours, for which the limit has granted tokens
        # meanwhile.
        usage.balance_tokens -= min(used, max_charge + usage.limit.depth_tokens)
        usage.peers[report.entry] = _PeerUsage(
            report.incarnation, row.used_tokens, row.demand_per_s, now_s
        )

    def _advance(self, tag: WorkspaceHash, now_s: float) -> _Usage:
        usage = self._usages.get(tag)
        if usage is None:
            usage = self._make_usage(self._limits[tag], now_s)
            self._usages[tag] = usage
        elapsed_s = now_s - usage.updated_s
        if elapsed_s > 0:
            usage.updated_s = now_s
            self._refill(usage, elapsed_s, now_s)
        return usage

    def _make_usage(self, limit: Limit, now_s: float) -> _Usage:
        # A new process does not know the use before its start. If its balance
        # were full, each replaced entry would grant the burst once more.
        granted = limit.tokens_per_s * (now_s - self._started_s)
        balance = min(limit.depth_tokens, granted)
        return _Usage(limit, self.entries, balance, now_s)

    def _refill(self, usage: _Usage, elapsed_s: float, now_s: float) -> None:
        usage.demand_per_s *= math.exp(
            -elapsed_s / self._get_demand_time_constant_s()
        )
        target = self._get_target_share(usage, now_s)
        remaining = math.exp(-elapsed_s / (SHARE_TIME_CYCLES * self._cycle_s))
        usage.share = target + (usage.share - target) * remaining
        limit = usage.limit
        refill_tokens = usage.get_refill_per_s(self._cycle_s) * elapsed_s
        depth = usage.get_depth_tokens(self.entries)
        usage.level_tokens = min(depth, usage.level_tokens + refill_tokens)
        balance = usage.balance_tokens + limit.tokens_per_s * elapsed_s
        balance = max(balance, -MAX_DEBT_S * limit.tokens_per_s)
        usage.balance_tokens = min(balance, limit.depth_tokens)

    def _get_target_share(self, usage: _Usage, now_s: float) -> float:
        floor = FLOOR_RATIO * usage.limit.tokens_per_s / self.entries
        own_demand = usage.demand_per_s + floor
        peer_demand = self._get_peer_demand(usage, now_s)
        return own_demand / (
            own_demand + peer_demand + floor * len(self._live_peers)
        )

    def _get_peer_demand(self, usage: _Usage, now_s: float) -> float:
        total = 0.0
        for vm, peer in list(usage.peers.items()):
            report_age_s = now_s - peer.received_s
            if report_age_s > PEER_RETENTION_S:
                del usage.peers[vm]
            elif (
                vm in self._live_peers
                and report_age_s < STALE_CYCLES * self._cycle_s
            ):
                total += peer.demand_per_s
        return total

    def _get_demand_time_constant_s(self) -> float:
        return max(DEMAND_TIME_CONSTANT_S, self._cycle_s)


def get_workspace_tag(
    service: ServiceId, workspace: WorkspaceId
) -> WorkspaceHash:
    """Returns the short name of a service's workspace in reports."""
    name = f"{service}/{workspace}".encode()
    return WorkspaceHash(xxhash.xxh64_intdigest(name))
