"""Size, bounds and configuration of the deployment that a soak runs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

GATEWAYS = 3
"""Default number of gateway processes.

With eight or more, some gateways watch the store on behalf of others.
"""
WORKERS = 4
EVENTS = 6
REVOKE_S = 2.5
DRAIN_S = 2.0
STOP_S = 6.0
"""Seconds that a gateway has from SIGTERM until it must have ended."""
CONTACT_S = 3.0
"""Seconds without a fault after which a gateway is in touch."""
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
"""Bad answers of a version after which it must be stopped in `ROLLBACK_S`."""
EXPOSURE_RATIO, EXPOSURE_SLACK = 0.15, 30
DEADLINE_S = 3.0
LONG_DEADLINE_S = 8.0
SERVICE = "pool"
OLD_VERSION = "v1"
"""Version of the service outside roll-outs."""
WORKSPACE = "clinic"
POLICIES: dict[str, dict[str, object]] = {
    "safe": {"RouteType": "safe", "MaxAttempts": 3},
    "unsafe": {"RouteType": "unsafe", "MaxAttempts": 1},
    "stream": {
        "RouteType": "streaming",
        "MaxAttempts": 3,
        "Resumable": True,
        "TargetGapMs": 500,
    },
    "once": {
        "RouteType": "streaming",
        "MaxAttempts": 1,
        "TargetGapMs": 500,
    },
    "steady": {
        "RouteType": "streaming",
        "MaxAttempts": 1,
        "TargetGapMs": 1200,
        "TimeoutMs": LONG_DEADLINE_S * 1000,
    },
    "slow": {
        "RouteType": "unsafe",
        "MaxAttempts": 1,
        "TimeoutMs": LONG_DEADLINE_S * 1000,
    },
}
"""Fields of the routes by name. The last two answer for several seconds."""
STREAMS = ("stream", "once", "steady")
SETTINGS = f"""NodeName=NAME
Zone=a
Ip=127.0.0.1
PortRange=PEER,PEER
Listen.Frontend=127.0.0.1:CLIENT
Listen.Readiness=127.0.0.1:READY
Platform.Address=STORE
Bounds.RevokeMs={int(REVOKE_S * 1000)}
Bounds.ConfigApplyMs=2000
Bounds.DrainMs={int(DRAIN_S * 1000)}
Bounds.GraceS={int(STOP_S)}
Bounds.RetryBudgetRatio=0.9
Bounds.RetrySlack=54
Bounds.ExposureShare={EXPOSURE_RATIO}
Bounds.ExposureSlack={EXPOSURE_SLACK}
Bounds.RollbackMs={int(ROLLBACK_S * 1000)}
"""


def make_configuration(version: int, keys: Sequence[str]) -> dict[str, Any]:
    """Returns the fields of a configuration with the given API keys."""
    routes = [
        {
            "Name": f"r-{name}",
            "Hostname": "ficu95.example",
            "PathPrefix": f"/{name}/",
            "TimeoutMs": DEADLINE_S * 1000,
            "TargetLatencyMs": 400,
            "Service": SERVICE,
            **policy,
        }
        for name, policy in POLICIES.items()
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": SERVICE}],
        "Limits": {"IdleTimeoutMs": 5000},
        "Tenants": [{"Name": WORKSPACE, "ApiKeys": list(keys)}],
    }
