"""Decodes the records that operators and upstreams write to the store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated, Any, Literal

import msgspec

from lovagestage.decisions.allowed_regions import RegionSet
from lovagestage.decisions.warmup import Warmup
from lovagestage.exceptions import CodecError
from lovagestage.gateway.configuration import (
    Backend,
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    WorkspaceEntry,
)
from lovagestage.gateway.rollouts import (
    OutcomeRecord,
    RolloutOrder,
    RolloutOutcome,
)
from lovagestage.gateway.upstream import UpstreamEntry
from lovagestage.types import (
    Position,
    RegionId,
    ServiceId,
    VersionId,
    WorkspaceId,
    ZoneId,
)

CONFIG_KEY = "config"
_ORDER_PREFIX = "rollout/"
_EVACUATION_PREFIX = "evacuate/"
_ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
_OUTCOME_STATES = {
    RolloutOutcome.RUNNING: "in_progress",
    RolloutOutcome.COMPLETED: "completed",
    RolloutOutcome.REVERTED: "reverted",
}
_OUTCOMES_BY_STATE = {
    state: outcome for outcome, state in _OUTCOME_STATES.items()
}
_DEFAULT_TIMEOUT_MS = 30_000
_DEFAULT_TARGET_LATENCY_MS = 1_000
_DEFAULT_EVENT_INTERVAL_MS = 1_200

JsonObject = Mapping[str, Any]
_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_PORT_PATTERN = (
    r"([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])"
)
_Address = Annotated[
    str, msgspec.Meta(pattern=rf"^\d{{1,3}}(\.\d{{1,3}}){{3}}:{_PORT_PATTERN}$")
]


class _UpstreamFields(msgspec.Struct):
    """The fields of an upstream's entry in the store.

    Writers other than upstreams leave incomplete entries in the same topic:
    an entry that violates these types is rejected.
    """

    Service: _NonEmptyText
    Address: _Address
    Zone: str
    Version: str
    MaxBatchSize: Annotated[int, msgspec.Meta(gt=0)]
    State: Literal["ready", "draining"]
    WarmupLeftMs: float
    Sequence: _NonNegativeInt
    born: _NonNegativeInt | msgspec.UnsetType = msgspec.UNSET


def decode_configuration(data: bytes) -> Configuration:
    """Decodes a configuration record.

    Args:
        data: The record's value, a JSON object.

    Raises:
        CodecError: The value is not a valid configuration.
    """
    fields = _decode_object(data)
    try:
        return Configuration(
            int(fields["Version"]),
            [_decode_route(route) for route in fields.get("Routes", ())],
            _decode_limits(fields.get("Limits", {})),
            _decode_api_keys(fields.get("Tenants")),
            _decode_warmups(fields.get("Services", ())),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise CodecError(f"Configuration: {error!r}.") from error


def _decode_route(fields: JsonObject) -> Route:
    backends = fields.get("Backends") or [
        {"Service": fields["Service"], "Weight": 1}
    ]
    return Route(
        name=str(fields.get("Name", "")),
        host=str(fields["Hostname"]).lower(),
        prefix=fields["PathPrefix"],
        kind=_ROUTE_KINDS.get(
            fields.get("RouteType", "unsafe"), RouteKind.UNSAFE
        ),
        timeout_s=fields.get("TimeoutMs", _DEFAULT_TIMEOUT_MS) / 1000,
        target_latency_s=fields.get(
            "TargetLatencyMs", _DEFAULT_TARGET_LATENCY_MS
        )
        / 1000,
        max_event_interval_s=fields.get(
            "TargetGapMs", _DEFAULT_EVENT_INTERVAL_MS
        )
        / 1000,
        max_attempts=int(fields.get("MaxAttempts", 1)),
        priority=int(fields.get("Priority", 0)),
        is_public=bool(fields.get("Public", False)),
        is_resumable=bool(fields.get("Resumable", False)),
        models=tuple(fields.get("Sizes") or ()),
        backends=tuple(
            Backend(ServiceId(backend["Service"]), float(backend["Weight"]))
            for backend in backends
        ),
        allowed_regions=_decode_allowed_regions(fields),
    )


def _decode_allowed_regions(fields: JsonObject) -> RegionSet | None:
    regions = fields.get("AllowedRegions")
    return frozenset(RegionId(name) for name in regions) if regions else None


def _decode_limits(fields: JsonObject) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        int(fields.get("MaxHeaderBytes", default.head_bytes)),
        int(fields.get("MaxBodyBytes", default.body_bytes)),
        fields.get("HeaderTimeoutMs", default.head_timeout_s * 1000) / 1000,
        fields.get("IdleTimeoutMs", default.idle_timeout_s * 1000) / 1000,
    )


def _decode_api_keys(
    workspaces: list[JsonObject] | None,
) -> dict[str, WorkspaceEntry] | None:
    if workspaces is None:
        return None
    keys: dict[str, WorkspaceEntry] = {}
    for fields in workspaces:
        entry = WorkspaceEntry(
            WorkspaceId(fields["Name"]),
            fields.get("Priority"),
            _decode_allowed_regions(fields),
        )
        keys.update(dict.fromkeys(fields.get("ApiKeys", ()), entry))
    return keys


def _decode_warmups(services: Sequence[JsonObject]) -> dict[ServiceId, Warmup]:
    warmups = {}
    for fields in services:
        duration_s = float(fields.get("WarmupS", 0.0))
        requests_per_s = float(fields.get("WarmupPerS", 0.0))
        if duration_s > 0.0 and requests_per_s > 0.0:
            warmups[ServiceId(fields["Name"])] = Warmup(
                duration_s, requests_per_s
            )
    return warmups


def decode_upstream(data: bytes) -> UpstreamEntry:
    """Decodes an upstream's description of itself.

    Args:
        data: The value of the upstream's record, a JSON object.

    Raises:
        CodecError: The value is not a valid entry of an upstream.
    """
    try:
        fields = msgspec.json.decode(data, type=_UpstreamFields)
    except (msgspec.DecodeError, ValueError) as error:
        raise CodecError(f"Upstream: {error}") from error
    start_ms = fields.born
    return UpstreamEntry(
        service=ServiceId(fields.Service),
        address=fields.Address,
        zone=ZoneId(fields.Zone),
        version=VersionId(fields.Version),
        slots=fields.MaxBatchSize,
        is_draining=fields.State == "draining",
        start_ms=None if start_ms is msgspec.UNSET else start_ms,
        warmup_left_s=max(0.0, fields.WarmupLeftMs / 1000),
        sequence=fields.Sequence,
    )


def parse_order_key(key: str) -> ServiceId | None:
    """Returns the service whose roll-out a record's key orders.

    Args:
        key: Key of a record in the operators' topic.

    Returns:
        The service; None where the key does not order a roll-out.
    """
    if not key.startswith(_ORDER_PREFIX):
        return None
    return ServiceId(key.removeprefix(_ORDER_PREFIX))


def parse_evacuation_key(key: str) -> ZoneId | None:
    """Returns the availability zone that a record's key orders to evacuate.

    Args:
        key: Key of a record in the operators' topic.

    Returns:
        The zone; None where the key does not order an evacuation.
    """
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return ZoneId(key.removeprefix(_EVACUATION_PREFIX))


def decode_order(data: bytes) -> RolloutOrder:
    """Decodes an order to move a service to another version.

    Args:
        data: The record's value, a JSON object.

    Raises:
        CodecError: The value is not a valid order.
    """
    fields = _decode_object(data)
    try:
        return RolloutOrder(
            ServiceId(fields["Service"]),
            VersionId(str(fields["Target"])),
            float(fields["DurationS"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f"Roll-out: {error!r}.") from error


def make_outcome_key(service: ServiceId) -> str:
    """Returns the key under which operators look up a roll-out's outcome."""
    return f"{_ORDER_PREFIX}{service}"


def encode_outcome(record: OutcomeRecord) -> bytes:
    """Encodes the outcome of a roll-out for the operators."""
    return msgspec.json.encode(
        {
            "State": _OUTCOME_STATES[record.outcome],
            "Target": str(record.version),
            # The next two fields belong to this project. The order's position
            # distinguishes two orders of the same version; the share is the
            # first share that all gateways have agreed on.
            "Order": record.order,
            "Share": record.first_share,
        }
    )


def decode_outcome(data: bytes) -> OutcomeRecord:
    """Decodes an outcome that `encode_outcome` has encoded.

    Args:
        data: The record's value, a JSON object.

    Raises:
        CodecError: The value is not a valid outcome.
    """
    fields = _decode_object(data)
    try:
        return OutcomeRecord(
            VersionId(fields["Target"]),
            _OUTCOMES_BY_STATE[fields["State"]],
            Position(int(fields.get("Order", -1))),
            float(fields.get("Share", 0.0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise CodecError(f"Outcome: {error!r}.") from error


def _decode_object(data: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise CodecError(str(error)) from error
