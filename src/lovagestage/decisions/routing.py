"""Chooses an upstream for a version (no clock and no I/O)."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from lovagestage.types import VmId, ZoneId

FREE_BATCH_RATIO = 0.8
"""Fraction of its batch up to which an upstream is assumed to have free slots.
The rest covers requests of other entries that arrived after the upstream's last
heartbeat."""


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """State of an upstream as an entry knows it when it decides.

    Attributes:
        vm: VM of the upstream.
        zone: Availability zone of the upstream.
        versions: Loaded versions, or the pool of the upstream.
        running: Number of requests at the upstream: that of the last heartbeat,
            corrected by the requests that this entry has since sent and seen
            end.
        max_running: Maximum number of requests that may be at the upstream
            concurrently.
        max_batch: Number of requests that the engine processes concurrently; 0
            if unknown.
        token_interval_ms: Milliseconds between two tokens of a stream; 0 if
            unknown.
        last_sent: Value of a counter, which grows with each request that this
            entry sends to any upstream, at the last request sent to this one.
        is_engine: Whether the upstream is a model engine.
    """

    vm: VmId
    zone: ZoneId
    versions: frozenset[str]
    running: int
    max_running: int
    max_batch: int = 0
    token_interval_ms: float = 0.0
    last_sent: int = 0
    is_engine: bool = True


def choose_upstream(
    views: Sequence[UpstreamView],
    version: str,
    excluded: frozenset[VmId],
    rng: random.Random,
) -> VmId | None:
    """Chooses the next upstream in turn, or a random one that is better.

    While no requests wait, turns distribute the requests most evenly. When
    requests wait, one random alternative is enough (Mitzenmacher 2001). With
    more than one alternative, entries that share an old heartbeat would send to
    the same upstream. Measurements are in docs/design/load.md.

    Args:
        views: All upstreams that accept new requests.
        version: Version that must be loaded, `MODEL@VERSION`.
        excluded: Upstreams that have already refused this request.
        rng: Source of randomness.

    Returns:
        The VM of the chosen upstream, or None if no upstream can accept the
        request.
    """
    eligible = [
        view
        for view in views
        if version in view.versions
        and view.vm not in excluded
        and view.running < view.max_running
    ]
    if not eligible:
        return None
    in_turn = min(eligible, key=lambda view: view.last_sent)
    candidate = rng.choice(eligible)
    return min((in_turn, candidate), key=get_wait_ms).vm


def get_wait_ms(view: UpstreamView) -> float:
    """Returns the expected wait for a batch slot, up to a common factor.

    Requests that exceed the batch wait at the pace of the upstream, so the wait
    grows with their number and with the time between the upstream's tokens.
    """
    free_slots = FREE_BATCH_RATIO * (view.max_batch or view.max_running)
    waiting = max(0.0, view.running + 1 - free_slots)
    return waiting * (view.token_interval_ms or 1.0)
