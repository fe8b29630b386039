"""What a gateway believes of the deployment that it serves."""

from __future__ import annotations

import logging

from lovagestage.gateway.configuration import Configuration
from lovagestage.gateway.rollouts import (
    Assignment,
    Rollout,
    choose_versions,
)
from lovagestage.gateway.rotation import Rotation, Upstream
from lovagestage.gateway.trust import Trust
from lovagestage.types import ServiceId

_log = logging.getLogger(__name__)


class Deployment:
    """Configuration, upstreams and roll-outs in force.

    Attributes:
        configuration: The newest one; None before the first.
        trust: Age of its last proof.
        rotation: Upstreams.
        rollouts: The last order of each service.
    """

    def __init__(self, trust: Trust) -> None:
        self.configuration: Configuration | None = None
        self.trust = trust
        self.rotation = Rotation()
        self.rollouts: dict[ServiceId, Rollout] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Takes a configuration; an older one than known is ignored.

        A read that shows the past must not bring back what was taken away.
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

    def assign(
        self, service: ServiceId, seed: str, now_s: float
    ) -> tuple[Assignment, list[Upstream]]:
        """Chooses a request's version and finds its upstreams."""
        ready = self.rotation.get_ready(service)
        versions = sorted({upstream.entry.version for upstream in ready})
        rollout = self.rollouts.get(service)
        assignment = choose_versions(rollout, versions, seed, now_s)
        if assignment.version is None:
            return assignment, ready
        chosen = [u for u in ready if u.entry.version == assignment.version]
        return assignment, chosen or ready
