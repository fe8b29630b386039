"""Settings of a gateway process."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from lovagestage.types import RegionId, VmId, ZoneId

DEFAULT_HEARTBEAT_S = 1.2


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Time and rate limits that the owners of the deployment set.

    Attributes:
        revoke_s: Time in seconds after which a revoked key must no longer be
            accepted.
        apply_s: Time in seconds after which a configuration must be in force.
        drain_s: Time in seconds after which a draining upstream must get no new
            requests.
        evacuate_s: Time in seconds after which the upstreams of an evacuated
            zone must get no new requests.
        stop_s: Time in seconds after which a process that was signalled to stop
            is killed.
        retry_ratio: Limit of retries within a window, as a ratio to a service's
            requests. A retry is any arrival of a request at an upstream after
            its first.
        retry_window_s: Length of the window in seconds.
        retry_slack: Number of retries allowed beyond the ratio, over all
            gateways together.
        exposure_ratio: Share of a service's requests that an unproven version
            may get over its complete roll-out.
        exposure_slack: Number of requests allowed beyond that share, over all
            gateways together.
        session_s: Longest time in seconds between two consecutive requests of a
            session.
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
    """Addresses and limits of a gateway process.

    Attributes:
        vm: The VM on which the gateway runs.
        zone: The VM's availability zone.
        regions: Region of each availability zone.
        client_address: `IP:PORT` on which callers connect.
        readiness_address: `IP:PORT` that the load balancer probes.
        peer_address: `IP:PORT` for datagrams of other gateways; None if the
            deployment allows none.
        store_address: `IP:PORT` of the metadata store.
        bounds: Limits of the deployment.
        heartbeat_s: Interval in seconds between the writes of an upstream.
    """

    vm: VmId
    zone: ZoneId
    regions: Mapping[ZoneId, RegionId]
    client_address: str
    readiness_address: str
    peer_address: str | None
    store_address: str
    bounds: Bounds
    heartbeat_s: float
