"""The deployment that a day is played on: services, routes and bounds."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence
from typing import Any

GATEWAYS = 5
GRACE_S = 8.0
"""Seconds from SIGTERM until SIGKILL."""
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
LOSS_SLACK_S = 0.2
IDLE_TIMEOUT_S = 15.0
SESSION_S = 5.0
OLD_VERSION = "v1"
WORKSPACE = "clinic"
KEY = "n2ctnfzs989anu6wsjnb"
MODELS = ("small", "middle", "large")
"""Names of the models, smallest first."""
PACES = {"small": 0.3, "middle": 0.8, "large": 3.0}
"""Time per token of each model against that of the middle of the range."""
SETTINGS = f"""NodeName=NAME
Zone=a
Ip=127.0.0.1
PortRange=PEER,PEER
Listen.Frontend=127.0.0.1:CLIENT
Listen.Readiness=127.0.0.1:READY
Platform.Address=STORE
Bounds.RevokeMs=5000
Bounds.ConfigApplyMs={int(CONFIG_APPLY_S * 1000)}
Bounds.DrainMs=2000
Bounds.GraceS={int(GRACE_S)}
Bounds.RetryBudgetRatio=0.9
Bounds.RetryWindowS=10
Bounds.RetrySlack=54
Bounds.ExposureShare=0.15
Bounds.ExposureSlack=30
Bounds.RollbackMs=5000
Bounds.SessionS={int(SESSION_S)}
"""


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and the number of its workers."""

    name: str
    workers: int


POOL = Service("pool", 5)
API = Service("api", 4)
SERVICES = (POOL, API)


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One kind of request.

    Attributes:
        name: Name, which is its path as well.
        kind: What may be repeated.
        service: Service that answers it.
        per_s: Mean rate in requests per second.
        target_s: Latency objective in seconds.
        deadline_s: Time in seconds that the caller waits.
        timeout_s: Timeout of the route in seconds.
        max_attempts: Number of workers that one request may be sent to.
        body_bytes: Length of the request's body.
        prompt_tokens: Tokens of the prompt; 0 without one.
        events: Mean number of events of a stream.
        work_s: Mean time in seconds of an answer that is not a stream.
    """

    name: str
    kind: RouteKind
    service: Service
    per_s: float
    target_s: float
    deadline_s: float
    timeout_s: float
    max_attempts: int
    body_bytes: int
    prompt_tokens: int = 0
    events: int = 0
    work_s: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.UNSAFE

    @property
    def abandon_gap_s(self) -> float:
        """Time in seconds without an event after which callers leave."""
        if not self.events:
            return self.deadline_s
        return max(2.0, 4 * self.target_s, 8 * TARGET_GAP_S)


TARGET_GAP_S = 1.2
CLASSES = (
    RequestClass(
        "audit", RouteKind.STREAMING, POOL, 10.0, 2.0, 8.0, 8.0, 3,
        18_000, prompt_tokens=9190, events=10,
    ),
    RequestClass(
        "draft", RouteKind.STREAMING, POOL, 10.8, 1.5, 5.0, 5.0, 3,
        4_700, prompt_tokens=2370, events=5,
    ),
    RequestClass(
        "chat", RouteKind.STREAMING, POOL, 5.3, 1.5, 25.0, 25.0, 3,
        1_400, prompt_tokens=715, events=56,
    ),
    RequestClass(
        "receipt", RouteKind.UNSAFE, API, 6.5, 0.4, 4.0, 2.0, 1,
        600, work_s=0.09,
    ),
    RequestClass(
        "status", RouteKind.SAFE, API, 2.6, 0.4, 4.0, 2.0, 2,
        1, work_s=0.09,
    ),
)  # fmt: skip
BY_NAME = {each.name: each for each in CLASSES}


def make_configuration(
    version: int, extra_routes: Sequence[str] = ()
) -> dict[str, Any]:
    """Returns the fields of a configuration.

    Args:
        version: Its number.
        extra_routes: Names of routes that no request uses.
    """
    routes = [_make_route(each, each.name) for each in CLASSES]
    routes += [_make_route(BY_NAME["status"], name) for name in extra_routes]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": service.name, "HealthPath": "/healthz"}
            for service in SERVICES
        ],
        "Limits": {"IdleTimeoutMs": int(IDLE_TIMEOUT_S * 1000)},
        "Tenants": [{"Name": WORKSPACE, "ApiKeys": [KEY]}],
    }


def _make_route(each: RequestClass, name: str) -> dict[str, Any]:
    route: dict[str, Any] = {
        "Name": f"r-{name}",
        "Hostname": "ficu95.example",
        "PathPrefix": f"/{name}/",
        "RouteType": each.kind.value,
        "TimeoutMs": int(each.timeout_s * 1000),
        "TargetLatencyMs": int(each.target_s * 1000),
        "Priority": 1,
        "Service": each.service.name,
        "MaxAttempts": each.max_attempts,
        "Public": False,
    }
    if each.kind is RouteKind.STREAMING:
        route |= {
            "Resumable": True,
            "SessionAffinity": True,
            "TargetGapMs": int(TARGET_GAP_S * 1000),
            "Sizes": list(MODELS),
        }
    return route
