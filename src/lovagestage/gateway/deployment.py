"""A gateway's state view of the deployment that it serves."""

from __future__ import annotations

import dataclasses
import logging
import math
from collections.abc import Mapping, Sequence

from lovagestage.decisions.allowed_regions import RegionSet, is_region_allowed
from lovagestage.decisions.evacuation import EvacuatedZones
from lovagestage.decisions.return_turns import ReturnTurns
from lovagestage.decisions.upstream_notices import Permission
from lovagestage.decisions.warmup import Warmup
from lovagestage.gateway.admission import RETRY_AFTER_S
from lovagestage.gateway.configuration import Configuration
from lovagestage.gateway.freshness import ConfigurationFreshness
from lovagestage.gateway.rollout_assignment import Assignment, choose_version
from lovagestage.gateway.rollout_shares import choose_trial_upstreams
from lovagestage.gateway.rollouts import Rollout, RolloutOutcome
from lovagestage.gateway.rotation import Rotation
from lovagestage.gateway.session_pins import SessionPins
from lovagestage.gateway.upstream import Upstream
from lovagestage.gateway.upstream_guard import UpstreamGuard
from lovagestage.types import RegionId, ServiceId, VersionId, ZoneId

_log = logging.getLogger(__name__)


class Deployment:
    """Configuration, upstreams and roll-outs in force.

    Args:
        freshness: Freshness of the configuration.
        pins: Versions that sessions were last answered by.
        guard: Decides which upstreams may get another request.
        rotation: All known upstreams and their states.

    Attributes:
        configuration: The newest configuration; None before the first one.
        freshness: Freshness of the configuration.
        rotation: All known upstreams and their states.
        rollouts: The last roll-out order of each service.
        pins: Versions that sessions were last answered by.
        evacuations: Availability zones whose upstreams get no requests.
        regions: Region of each availability zone.
        guard: Decides which upstreams may get another request.
    """

    def __init__(
        self,
        freshness: ConfigurationFreshness,
        pins: SessionPins,
        guard: UpstreamGuard,
        rotation: Rotation,
    ) -> None:
        self.configuration: Configuration | None = None
        self.freshness = freshness
        self.rotation = rotation
        self.rollouts: dict[ServiceId, Rollout] = {}
        self.pins = pins
        self.evacuations = EvacuatedZones()
        self.regions: Mapping[ZoneId, RegionId] = {}
        self.guard = guard
        self._turns: dict[ServiceId, ReturnTurns] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Applies a configuration, unless a newer or the same one is known.

        A stale read of the store must not restore routes or keys that were
        removed.
        """
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        _log.info(
            "configuration_applied",
            extra={
                "version": configuration.version,
                "previous": known.version if known else None,
                "routes": len(configuration),
            },
        )
        self.configuration = configuration

    def get_ready(
        self, service: ServiceId, allowed_regions: RegionSet | None
    ) -> list[Upstream]:
        """Returns the upstreams of a service to which requests may be sent.

        Args:
            service: The service.
            allowed_regions: Regions where the requests may run; None for any
                region.

        Returns:
            The upstreams that are ready and lie neither in an evacuated
            availability zone nor outside the allowed regions.
        """
        ready = self.rotation.get_ready(service)
        if allowed_regions is None and not len(self.evacuations):
            return ready
        return [
            upstream
            for upstream in ready
            if upstream.entry.zone not in self.evacuations
            and is_region_allowed(
                self.regions.get(upstream.entry.zone), allowed_regions
            )
        ]

    def get_warmup(self, service: ServiceId) -> Warmup | None:
        """Returns the warm-up of a service's upstreams; None for no warm-up."""
        if self.configuration is None:
            return None
        return self.configuration.warmups.get(service)

    def mark_zone_restored(self, zone: ZoneId, now_s: float) -> None:
        """Marks a restored zone's upstreams as warming up.

        Its upstreams may have begun to warm up shortly before, and report that
        only with their next heartbeat.

        Args:
            zone: Availability zone that is no longer evacuated.
            now_s: Elapsed time in seconds.
        """
        for upstream in self.rotation.get_all():
            warmup = self.get_warmup(upstream.entry.service)
            if warmup is not None and upstream.entry.zone == zone:
                self.rotation.record_warmup(upstream, warmup.duration_s, now_s)

    def filter_warming_up(
        self, upstreams: Sequence[Upstream], now_s: float
    ) -> Sequence[Upstream]:
        """Returns those of the upstreams that are warming up."""
        if now_s >= self.rotation.cold_until_s:
            return ()
        return [u for u in upstreams if u.warmup.is_cold(now_s)]

    def filter_available(
        self, upstreams: Sequence[Upstream], now_s: float
    ) -> Sequence[Upstream]:
        """Returns the upstreams that may get a request from this gateway now.

        An upstream that is warming up, or that states a request limit, is
        included only while this gateway may send it another request.
        """
        if now_s < self.rotation.cold_until_s:
            return [
                upstream
                for upstream in upstreams
                if self.guard.check(upstream, now_s).denial is None
            ]
        denied = self.guard.get_denied(now_s)
        if not denied:
            return upstreams
        return [upstream for upstream in upstreams if upstream not in denied]

    def get_denial(
        self, upstreams: Sequence[Upstream], now_s: float
    ) -> Permission | None:
        """Returns why none of the upstreams may get a request now.

        Args:
            upstreams: The upstreams.
            now_s: Elapsed time in seconds.

        Returns:
            The denial of the upstream that accepts a request soonest, with the
            interval of the requests that all of them accept together; None
            where one accepts a request now, and for no upstreams.
        """
        checks = [self.guard.check(upstream, now_s) for upstream in upstreams]
        if not checks or any(check.denial is None for check in checks):
            return None
        soonest = min(checks, key=_get_sort_key)
        if not soonest.interval_s:
            return soonest
        per_s = sum(1.0 / c.interval_s for c in checks if c.interval_s)
        return dataclasses.replace(soonest, interval_s=1.0 / per_s)

    def assign_turn(
        self,
        service: ServiceId,
        denial: Permission,
        remaining_s: float,
        now_s: float,
    ) -> float:
        """Returns the time in seconds after which a caller should return.

        Args:
            service: The service of the request.
            denial: Why no upstream accepts it now.
            remaining_s: Time in seconds until the request's deadline.
            now_s: Elapsed time in seconds.
        """
        turns = self._turns.setdefault(service, ReturnTurns())
        wait_s = max(RETRY_AFTER_S, denial.wait_s or 0.0)
        return turns.assign(wait_s, denial.interval_s, remaining_s, now_s)

    def assign(
        self,
        service: ServiceId,
        session: str | None,
        request: str,
        now_s: float,
        allowed_regions: RegionSet | None = None,
    ) -> Assignment:
        """Chooses the version that a request's session is assigned to.

        Args:
            service: The service.
            session: The session; None for a request without a session.
            request: Id of the request.
            now_s: Elapsed time in seconds.
            allowed_regions: Regions where the request may run; None for any
                region.

        Returns:
            The version, and whether it is the new version of a roll-out.
        """
        rollout = self.rollouts.get(service)
        versions: list[VersionId] = []
        if rollout is not None:
            ready = self.get_ready(service, allowed_regions)
            versions = sorted({upstream.entry.version for upstream in ready})
        if session is None:
            return choose_version(rollout, versions, request, now_s)
        is_pinned_elsewhere = (
            rollout is not None
            and self.pins.is_pinned_elsewhere(
                service, session, rollout.order.version, now_s
            )
        )
        assignment = choose_version(
            rollout, versions, session, now_s, is_pinned_elsewhere
        )
        self.pins.record_request(service, session, assignment.version, now_s)
        return assignment

    def get_upstreams(
        self,
        service: ServiceId,
        assignment: Assignment,
        now_s: float,
        allowed_regions: RegionSet | None = None,
    ) -> list[Upstream]:
        """Returns the upstreams that take requests of an assignment.

        The new version of a roll-out gets its share on a few trial upstreams,
        unless all ready upstreams are of that version.
        """
        version_upstreams = self.get_version_upstreams(
            service, assignment, allowed_regions
        )
        rollout = self.rollouts.get(service)
        if rollout is None or not assignment.is_new:
            return version_upstreams
        if len(version_upstreams) == len(
            self.get_ready(service, allowed_regions)
        ):
            return version_upstreams
        trial = choose_trial_upstreams(
            [u.id for u in version_upstreams],
            rollout.order.version,
            rollout.get_share(now_s),
        )
        return [u for u in version_upstreams if u.id in trial]

    def get_version_upstreams(
        self,
        service: ServiceId,
        assignment: Assignment,
        allowed_regions: RegionSet | None = None,
    ) -> list[Upstream]:
        """Returns all upstreams of an assignment's version, on trial or not."""
        ready = self.get_ready(service, allowed_regions)
        if assignment.version is None:
            return ready
        return [u for u in ready if u.entry.version == assignment.version]

    def get_fallback(
        self,
        service: ServiceId,
        assignment: Assignment,
        allowed_regions: RegionSet | None = None,
    ) -> list[Upstream]:
        """Returns upstreams for a request that its own version cannot answer.

        While a roll-out runs, upstreams of the other version still serve
        requests; once it is decided, the version that is no longer used may
        have no upstreams left or be faulty.
        """
        rollout = self.rollouts.get(service)
        if rollout is None or assignment.version is None:
            return []
        target = rollout.order.version
        is_running = rollout.outcome is RolloutOutcome.RUNNING
        return [
            upstream
            for upstream in self.get_ready(service, allowed_regions)
            if upstream.entry.version != assignment.version
            and (upstream.entry.version != target or is_running)
            and not (upstream.entry.version == target and rollout.is_stopped)
        ]


def _get_sort_key(permission: Permission) -> float:
    return math.inf if permission.wait_s is None else permission.wait_s
