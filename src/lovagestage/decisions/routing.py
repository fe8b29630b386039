"""Chooses an upstream for a version: pure decisions, no clock or socket."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

from lovagestage.types import VmId, ZoneId

FREE_BATCH_RATIO = 0.8
"""An upstream is taken to have room up to this part of its batch. The rest
covers requests of other entries that its last heartbeat did not know of."""


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """What an entry knows of an upstream when it decides.

    Attributes:
        vm: The upstream's VM.
        zone: Its availability zone.
        versions: Versions it has loaded, or its pool.
        running: Requests there, as of the last heartbeat, corrected by those
            that this entry has sent and seen ended since.
        max_running: Requests that may be there at once.
        max_batch: Requests that its engine works on at once; 0 if unknown.
        token_interval_ms: Time between tokens of a stream; 0 if unknown.
        last_sent: Grows with each request that this entry sends anywhere; the
            value at the last one sent there.
        is_engine: Whether it is a model engine.
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

    Where nothing waits, turns spread the requests most evenly. Where
    something does, one random alternative is enough (Mitzenmacher 2001), and
    more than one makes entries that share an old heartbeat run to the same
    upstream. Figures are in docs/design/load.md.

    Args:
        views: All upstreams that take new work.
        version: `MODEL@VERSION` that must be loaded.
        excluded: Upstreams that already refused this request.
        rng: Source of randomness.

    Returns:
        The chosen VM, or None where no upstream can take the request.
    """
    able = [
        view
        for view in views
        if version in view.versions
        and view.vm not in excluded
        and view.running < view.max_running
    ]
    if not able:
        return None
    in_turn = min(able, key=lambda view: view.last_sent)
    other = rng.choice(able)
    return min((in_turn, other), key=get_wait_ms).vm


def get_wait_ms(view: UpstreamView) -> float:
    """Expected wait for a place in the batch, up to a common factor.

    Requests over the batch take their turn at the upstream's own pace, so the
    wait grows with their number and with the time between its tokens.
    """
    room = FREE_BATCH_RATIO * (view.max_batch or view.max_running)
    waiting = max(0.0, view.running + 1 - room)
    return waiting * (view.token_interval_ms or 1.0)
