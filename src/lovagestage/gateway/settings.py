"""Settings of a gateway process."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from lovagestage.types import RegionId, VmId, ZoneId


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that the deployment's owners set.

    Attributes:
        revoke_s: A key that was taken away may be used no longer than this.
        apply_s: A configuration is in force after this.
        drain_s: A leaving upstream takes no request after this.
        evacuate_s: No upstream of a zone that is to be empty takes one after
            this.
        stop_s: A process that was told to stop is killed after this.
        retry_ratio: Arrivals beyond the first of each request, as a share of
            requests, that a service may get within a window.
        retry_window_s: Length of that window.
        retry_slack: Such arrivals beyond the share, over all gateways.
        exposure_ratio: Share of a service's requests that an unproved version
            may get over its whole roll-out.
        exposure_slack: Such requests beyond that share, over all gateways.
        session_s: Requests of a session follow each other within this.
    """

    revoke_s: float
    apply_s: float
    drain_s: float
    evacuate_s: float
    stop_s: float
    retry_ratio: float
    exposure_ratio: float
    exposure_slack: float
    session_s: float
    retry_window_s: float
    retry_slack: float


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Where a gateway listens and what it must keep to.

    Attributes:
        vm: The VM that it runs on.
        zone: The VM's availability zone.
        regions: Region of each availability zone.
        client_address: `IP:PORT` that callers reach.
        readiness_address: `IP:PORT` that the balancer asks.
        peer_address: `IP:PORT` for datagrams of other gateways; None where
            the deployment allows none.
        store_address: `IP:PORT` of the metadata store.
        bounds: Limits of the deployment.
    """

    vm: VmId
    zone: ZoneId
    regions: Mapping[ZoneId, RegionId]
    client_address: str
    readiness_address: str
    peer_address: str | None
    store_address: str
    bounds: Bounds
